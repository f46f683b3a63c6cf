"""Count the permits that a broker granted and that were not given back."""

from dataclasses import dataclass

from jayshunt.admission.const import STUCK_RUN_FACTOR, UNKNOWN_MINIMUM_MS
from jayshunt.admission.instances import PoolInstances
from jayshunt.admission.messages import HeldPermit
from jayshunt.ids import PermitId


@dataclass
class GrantedPermit:
    """Hold one permit; times are monotonic seconds.

    A stuck permit is held for much longer than its class runs; its slot is not
    expected to come free soon.
    """

    held: HeldPermit
    granted_s: float
    expires_s: float
    run_ms: float
    stuck: bool = False


class PermitTable:
    """Own the permits of one pool and the count of used slots per instance."""

    def __init__(self, instances: PoolInstances) -> None:
        """Start without permits."""
        self._instances = instances
        self._permits: dict[PermitId, GrantedPermit] = {}
        self.running_ms = 0.0

    def __len__(self) -> int:
        """Return the number of permits that are held."""
        return len(self._permits)

    def add(self, held: HeldPermit, run_ms: float, now_s: float) -> None:
        """Count one slot as used."""
        if held.permit in self._permits:
            return
        state = self._instances.find(held.vm)
        if state is not None:
            state.in_use += 1
        expires_s = now_s + held.ttl_ms / 1000
        self._permits[held.permit] = GrantedPermit(held, now_s, expires_s, run_ms)
        self.running_ms += run_ms

    def find(self, permit: PermitId) -> GrantedPermit | None:
        """Return a permit that is held."""
        return self._permits.get(permit)

    def remove(self, permit: PermitId) -> None:
        """Count the slot of a permit as free."""
        granted = self._permits.pop(permit, None)
        if granted is None:
            return
        state = self._instances.find(granted.held.vm)
        if state is not None:
            state.in_use = max(0, state.in_use - 1)
            if granted.stuck:
                state.stuck_slots = max(0, state.stuck_slots - 1)
        if not granted.stuck:
            self.running_ms = max(0.0, self.running_ms - granted.run_ms)

    def check(self, now_s: float) -> None:
        """Free the slots of expired permits and mark those that are stuck."""
        for permit in [p for p, g in self._permits.items() if g.expires_s <= now_s]:
            self.remove(permit)
        for granted in self._permits.values():
            if granted.stuck:
                continue
            limit_ms = max(UNKNOWN_MINIMUM_MS, STUCK_RUN_FACTOR * granted.run_ms)
            if (now_s - granted.granted_s) * 1000 > limit_ms:
                self._mark_stuck(granted)

    def held(self, now_s: float) -> tuple[HeldPermit, ...]:
        """Return the permits with their remaining time to live."""
        return tuple(
            HeldPermit(
                g.held.permit,
                g.held.vm,
                g.held.work_class,
                max(0.0, (g.expires_s - now_s) * 1000),
            )
            for g in self._permits.values()
        )

    def _mark_stuck(self, granted: GrantedPermit) -> None:
        granted.stuck = True
        self.running_ms = max(0.0, self.running_ms - granted.run_ms)
        state = self._instances.find(granted.held.vm)
        if state is not None:
            state.stuck_slots += 1
