"""Track the permits that a broker granted and that were not released."""

from dataclasses import dataclass

from jayshunt.admission.const import BLOCK_MINIMUM_MS, STUCK_RUN_FACTOR
from jayshunt.admission.instances import PoolInstances
from jayshunt.admission.messages import HeldPermit
from jayshunt.ids import PermitId


@dataclass
class GrantedPermit:
    """Represent a granted permit; times are monotonic seconds.

    A permit is stuck if it is held much longer than its class runs; its slot is
    not expected to become free soon.
    """

    held: HeldPermit
    granted_s: float
    expires_s: float
    run_ms: float
    stuck: bool = False


class PermitTable:
    """Track the permits of one pool and the slots in use on each instance.

    `running_ms` is the sum of the expected run times of permits that are not stuck.
    """

    def __init__(self, instances: PoolInstances) -> None:
        """Create an empty table; slots are counted in the states of `instances`."""
        self._instances = instances
        self._permits: dict[PermitId, GrantedPermit] = {}
        self.running_ms = 0.0

    def __len__(self) -> int:
        """Return the number of permits that are held."""
        return len(self._permits)

    def add(self, held: HeldPermit, run_ms: float, now_s: float) -> None:
        """Add a permit and count its slot as used; ignore a known permit."""
        if held.permit in self._permits:
            return
        state = self._instances.find(held.vm)
        if state is not None:
            state.in_use += 1
        expires_s = now_s + held.ttl_ms / 1000
        self._permits[held.permit] = GrantedPermit(held, now_s, expires_s, run_ms)
        self.running_ms += run_ms

    def find(self, permit: PermitId) -> GrantedPermit | None:
        """Return a held permit, or None."""
        return self._permits.get(permit)

    def remove(self, permit: PermitId) -> None:
        """Remove a permit and count its slot as free."""
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
        """Remove expired permits and mark stuck ones."""
        for permit in [p for p, g in self._permits.items() if g.expires_s <= now_s]:
            self.remove(permit)
        for granted in self._permits.values():
            if granted.stuck:
                continue
            limit_ms = max(BLOCK_MINIMUM_MS, STUCK_RUN_FACTOR * granted.run_ms)
            if (now_s - granted.granted_s) * 1000 > limit_ms:
                self._mark_stuck(granted)

    def held_permits(self, now_s: float) -> tuple[HeldPermit, ...]:
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
