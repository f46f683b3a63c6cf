"""Follow VMs from their reboot to the end of their probation."""

from dataclasses import dataclass

from jayshunt.clock import Clock
from jayshunt.ids import Epoch, VmId
from jayshunt.maintenance.const import PROBATION_S, REBOOT_MIN_S


@dataclass
class Return:
    """Hold what was seen of one VM since its maintenance began."""

    epoch: Epoch
    rebooted_s: float | None = None
    seen_down: bool = False
    healthy_since_s: float | None = None


class Returns:
    """Decide when a VM may serve again.

    A VM that answers health checks without ever having been seen down may not
    have rebooted yet, so its probation begins REBOOT_MIN_S after the request.
    Any failed check begins the probation anew. What was seen is not stored: a
    new controller asks for the reboot again, which costs time but no safety.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without any VM."""
        self._clock = clock
        self._returns: dict[VmId, Return] = {}

    def needs_reboot(self, vm: VmId, epoch: Epoch) -> bool:
        """Return whether the reboot of this maintenance step was not requested."""
        return self._find(vm, epoch).rebooted_s is None

    def rebooted(self, vm: VmId, epoch: Epoch) -> None:
        """Note that the platform accepted the reboot."""
        self._find(vm, epoch).rebooted_s = self._clock.monotonic_s()

    def skip_reboot(self, vm: VmId, epoch: Epoch) -> None:
        """Note that the VM comes back without a reboot of ours."""
        found = self._find(vm, epoch)
        found.rebooted_s, found.seen_down = self._clock.monotonic_s(), True

    def checked(self, vm: VmId, epoch: Epoch, is_healthy: bool) -> bool:
        """Note one health check; return whether the probation is passed."""
        found, now_s = self._find(vm, epoch), self._clock.monotonic_s()
        if found.rebooted_s is None:
            return False
        if not is_healthy:
            found.seen_down, found.healthy_since_s = True, None
            return False
        if not found.seen_down and now_s - found.rebooted_s < REBOOT_MIN_S:
            return False
        if found.healthy_since_s is None:
            found.healthy_since_s = now_s
        return now_s - found.healthy_since_s >= PROBATION_S

    def keep(self, vms: set[VmId]) -> None:
        """Forget VMs that are no longer in maintenance."""
        self._returns = {vm: r for vm, r in self._returns.items() if vm in vms}

    def _find(self, vm: VmId, epoch: Epoch) -> Return:
        found = self._returns.get(vm)
        if found is None or found.epoch != epoch:
            found = self._returns[vm] = Return(epoch)
        return found
