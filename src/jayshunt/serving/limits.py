"""Limit connections and the memory for requests."""

import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from jayshunt.errors import JayshuntError
from jayshunt.serving.const import (
    DEFAULT_STATUS,
    MAX_CONNECTION_RESERVE,
    MAX_HEAD_BYTES,
    ROOM_WAIT_S,
    SMALL_REQUEST_BYTES,
    SMALL_REQUESTS_SHARE,
)
from jayshunt.settings.models import Limits


@dataclass(frozen=True, slots=True)
class SizeLimits:
    """Store how many bytes the head and the body of one request may have."""

    max_head_bytes: int
    max_body_bytes: int


@dataclass(frozen=True)
class ServerLimits:
    """Limits of one HTTP server; times are in seconds.

    `read_timeout_s` bounds a whole head and, separately, a whole body.
    `max_held_body_bytes` applies to the bodies and long heads of all connections
    together, and with `are_answers_charged` also to large answers, which are then
    refused beyond it. `socket_buffer_bytes` is the size of the kernel's buffers of
    each connection, which Linux doubles; None leaves it to the kernel.
    `overload_status` is the status of refusals for lack of connections or memory.
    `drain_grace_s` is the time for which a stopping server still accepts new
    requests, so that the balancer and callers with open connections can stop
    using it.
    """

    max_connections: int = 256
    max_connections_per_client: int | None = None
    max_head_bytes: int = MAX_HEAD_BYTES
    max_body_bytes: int = 8 * 1024 * 1024
    max_held_body_bytes: int = 64 * 1024 * 1024
    are_answers_charged: bool = False
    socket_buffer_bytes: int | None = None
    overload_status: int = DEFAULT_STATUS
    read_timeout_s: float = 10.0
    write_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    drain_grace_s: float = 1.0
    drain_timeout_s: float = 30.0

    @property
    def crowded_connections(self) -> int:
        """Return from how many connections on each new one closes another one."""
        reserve = min(MAX_CONNECTION_RESERVE, self.max_connections // 8)
        return self.max_connections - reserve

    @property
    def reserved_bytes(self) -> int:
        """Return how much of the memory for requests is kept for small ones.

        One body of the largest size always fits beside it.
        """
        share = int(self.max_held_body_bytes * SMALL_REQUESTS_SHARE)
        return max(0, min(share, self.max_held_body_bytes - self.max_body_bytes))

    @property
    def sizes(self) -> SizeLimits:
        """Return the limits of one request."""
        return SizeLimits(self.max_head_bytes, self.max_body_bytes)


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
        self._released = threading.Condition(self._lock)
        self._open: Counter[str] = Counter()
        self._total = 0

    @property
    def total(self) -> int:
        """Return the number of open connections."""
        return self._total

    def is_crowded(self) -> bool:
        """Return whether a new connection has to displace another one."""
        return self._total >= self._limits.crowded_connections

    def acquire(self, client: str, wait_s: float = 0.0) -> str | None:
        """Count a new connection, or return the error code of the limit it exceeds.

        Wait up to `wait_s` until another one is closed.
        """
        per_client = self._limits.max_connections_per_client
        with self._lock:
            if self._total >= self._limits.max_connections and wait_s:
                self._released.wait(wait_s)
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
            self._released.notify()
            if not self._open[client]:
                del self._open[client]


class RequestMemory:
    """Limit on the bytes of requests held in memory over all connections.

    `make_room` closes the connection that has been sending its request for longest,
    other than the given one, and returns whether there was any.
    """

    def __init__(
        self,
        max_bytes: int,
        make_room: Callable[[object], bool] = lambda _: False,
        reserved_bytes: int = 0,
    ) -> None:
        """Start with no bytes held; `reserved_bytes` are kept for small requests."""
        self._max_bytes = max_bytes
        self._reserved_bytes = reserved_bytes
        self._make_room = make_room
        self._lock = threading.Lock()
        self._released = threading.Condition(self._lock)
        self._waiting = 0
        self._held = 0
        self.peak_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes held now."""
        return self._held

    def acquire(self, size: int, held: int = 0, owner: object = None) -> bool:
        """Add bytes of a request to the count; return False if they exceed the limit.

        `held` bytes of the same request are counted already. If others hold the
        bytes, wait for ROOM_WAIT_S at most until a slow sender gave way.
        """
        limit = self._max_bytes
        if held + size > SMALL_REQUEST_BYTES:
            limit -= self._reserved_bytes
        with self._lock:
            if self._add(size, limit):
                return True
        if size > limit or not self._make_room(owner):
            return False
        with self._lock:
            self._waiting += 1
            try:
                return self._released.wait_for(
                    lambda: self._add(size, limit), timeout=ROOM_WAIT_S
                )
            finally:
                self._waiting -= 1

    def release(self, size: int) -> None:
        """Subtract bytes that are no longer held."""
        with self._lock:
            self._held -= size
            if self._waiting:
                self._released.notify_all()

    def _add(self, size: int, limit: int) -> bool:
        if self._held + size > limit:
            return False
        self._held += size
        if self._held > self.peak_bytes:
            self.peak_bytes = self._held
        return True


class RequestCharge:
    """Bytes that one connection has charged to the shared limit.

    Bytes are charged on arrival and not when `Content-Length` announces them, so
    that a slow sender cannot reserve memory that others need.
    """

    def __init__(self, memory: RequestMemory, owner: object = None) -> None:
        """Start with no bytes charged; `owner` is the connection."""
        self._memory = memory
        self._owner = owner
        self._acquired = 0

    def acquire(self, size: int) -> None:
        """Charge bytes; raise JayshuntError if they exceed the limit."""
        if size <= 0:
            return
        if not self._memory.acquire(size, self._acquired, self._owner):
            raise JayshuntError(
                "bodies_exhaust_memory",
                step="serving.body",
                retry_after_s=1.0,
                detail="the requests in flight use up their memory",
            )
        self._acquired += size

    def raise_to(self, size: int) -> None:
        """Charge bytes up to `size`; raise JayshuntError if they exceed the limit."""
        self.acquire(size - self._acquired)

    def reduce_to(self, size: int) -> None:
        """Release the charged bytes beyond `size`."""
        surplus = self._acquired - size
        if surplus > 0:
            self._memory.release(surplus)
            self._acquired = size
