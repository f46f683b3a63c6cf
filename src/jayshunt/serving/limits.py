"""Limit connections and the memory for request bodies."""

import threading
from collections import Counter
from dataclasses import dataclass

from jayshunt.errors import JayshuntError
from jayshunt.settings.models import Limits


@dataclass(frozen=True)
class ServerLimits:
    """Limits of one HTTP server; times are in seconds.

    `read_timeout_s` bounds a whole head and, separately, a whole body.
    `max_held_body_bytes` applies to the bodies of all connections together.
    `drain_grace_s` is the time for which a stopping server still accepts new
    requests, so that the balancer and callers with open connections can stop
    using it.
    """

    max_connections: int = 256
    max_connections_per_client: int | None = None
    max_body_bytes: int = 8 * 1024 * 1024
    max_held_body_bytes: int = 64 * 1024 * 1024
    read_timeout_s: float = 10.0
    write_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    drain_grace_s: float = 1.0
    drain_timeout_s: float = 30.0


# Operators' calls are few and small; their port drains after the callers' port.
OPERATOR_LIMITS = ServerLimits(
    max_connections=32,
    max_body_bytes=2 * 1024 * 1024,
    max_held_body_bytes=8 * 1024 * 1024,
    drain_grace_s=0.0,
    drain_timeout_s=5.0,
)


def caller_limits(limits: Limits) -> ServerLimits:
    """Return the limits of the callers' server from the settings."""
    return ServerLimits(
        max_connections=limits.max_connections,
        max_connections_per_client=limits.max_connections_per_client,
        max_body_bytes=limits.max_body_bytes,
        max_held_body_bytes=limits.max_held_body_bytes,
        read_timeout_s=limits.read_timeout_ms / 1000,
        write_timeout_s=limits.write_timeout_ms / 1000,
        idle_timeout_s=limits.idle_timeout_ms / 1000,
        drain_grace_s=limits.drain_grace_ms / 1000,
        drain_timeout_s=limits.drain_timeout_ms / 1000,
    )


class ConnectionLimit:
    """Counter of open connections, in total and for each client address."""

    def __init__(self, limits: ServerLimits) -> None:
        """Start without open connections."""
        self._limits = limits
        self._lock = threading.Lock()
        self._open: Counter[str] = Counter()
        self._total = 0

    @property
    def total(self) -> int:
        """Return the number of open connections."""
        return self._total

    def acquire(self, client: str) -> str | None:
        """Count a new connection, or return the error code of the limit it exceeds."""
        per_client = self._limits.max_connections_per_client
        with self._lock:
            if self._total >= self._limits.max_connections:
                return "too_many_connections"
            if per_client is not None and self._open[client] >= per_client:
                return "too_many_connections_of_client"
            self._total += 1
            self._open[client] += 1
            return None

    def release(self, client: str) -> None:
        """Remove a closed connection from the counts."""
        with self._lock:
            self._total -= 1
            self._open[client] -= 1
            if not self._open[client]:
                del self._open[client]


class BodyMemoryLimit:
    """Limit on the bytes of request bodies held in memory over all connections."""

    def __init__(self, max_bytes: int) -> None:
        """Start with no bytes held."""
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._held = 0

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes held now."""
        return self._held

    def acquire(self, size: int) -> bool:
        """Add bytes to the count; return False if they would exceed the limit."""
        with self._lock:
            if self._held + size > self._max_bytes:
                return False
            self._held += size
            return True

    def release(self, size: int) -> None:
        """Subtract bytes that are no longer held."""
        with self._lock:
            self._held -= size


class BodyCharge:
    """Bytes that one body has charged to the shared limit.

    Bytes are charged on arrival and not when `Content-Length` announces them, so
    that a slow sender cannot reserve memory that others need.
    """

    def __init__(self, memory: BodyMemoryLimit) -> None:
        """Start with no bytes charged."""
        self._memory = memory
        self._acquired = 0

    def acquire(self, size: int) -> None:
        """Charge arrived bytes; raise JayshuntError if they exceed the limit."""
        if size <= 0:
            return
        if not self._memory.acquire(size):
            raise JayshuntError(
                "bodies_exhaust_memory",
                step="serving.body",
                retry_after_s=1.0,
                detail="the bodies of requests in flight use up their memory",
            )
        self._acquired += size

    def release(self) -> None:
        """Release all charged bytes at the end of the request."""
        if self._acquired:
            self._memory.release(self._acquired)
            self._acquired = 0
