"""Track the permits that this entry holds."""

import threading
from dataclasses import dataclass, replace

from jayshunt.admission.messages import HeldPermit, PermitGranted
from jayshunt.clock import Clock
from jayshunt.ids import ClassName, PermitId, PoolName, VmId, ZoneName
from jayshunt.membership.models import Member


@dataclass(frozen=True)
class OwnPermit:
    """Represent a held permit and the member whose broker counts it."""

    held: HeldPermit
    pool: PoolName
    zone: ZoneName
    broker: Member
    expires_s: float


class OwnPermits:
    """Track the permits that this entry was granted and has not released."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty table."""
        self._clock = clock
        self._lock = threading.Lock()
        self._permits: dict[PermitId, OwnPermit] = {}

    def add(
        self,
        granted: PermitGranted,
        work_class: ClassName,
        pool: PoolName,
        zone: ZoneName,
        broker: Member,
    ) -> None:
        """Add a permit until it is released or expires."""
        held = HeldPermit(granted.permit, granted.vm, work_class, granted.ttl_ms)
        expires_s = self._clock.monotonic_s() + granted.ttl_ms / 1000
        with self._lock:
            self._permits[granted.permit] = OwnPermit(
                held, pool, zone, broker, expires_s
            )

    def pop(self, permit: PermitId) -> OwnPermit | None:
        """Remove and return a permit, or return None if it is unknown."""
        with self._lock:
            return self._permits.pop(permit, None)

    def reassign(
        self, pool: PoolName, zone: ZoneName, broker: Member | None
    ) -> tuple[HeldPermit, ...]:
        """Assign the permits of a pool in a zone to a new broker and return them.

        They will be released at the new broker. With None, their broker stays.
        """
        now_s = self._clock.monotonic_s()
        held = []
        with self._lock:
            for permit, own in self._permits.items():
                if own.pool != pool or own.zone != zone:
                    continue
                ttl_ms = max(0.0, (own.expires_s - now_s) * 1000)
                held.append(replace(own.held, ttl_ms=ttl_ms))
                if broker is not None:
                    self._permits[permit] = replace(own, broker=broker)
        return tuple(held)

    def expire(self) -> None:
        """Remove permits whose time to live has ended."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            expired = [p for p, own in self._permits.items() if own.expires_s < now_s]
            for permit in expired:
                del self._permits[permit]

    def count_on_vm(self, vm: VmId) -> int:
        """Return the number of permits on one VM."""
        with self._lock:
            return sum(own.held.vm == vm for own in self._permits.values())

    def all(self) -> tuple[OwnPermit, ...]:
        """Return every permit."""
        with self._lock:
            return tuple(self._permits.values())
