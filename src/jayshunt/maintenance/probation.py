"""Track VMs from their reboot to the end of their probation."""

from dataclasses import dataclass

from jayshunt.clock import Clock
from jayshunt.ids import Epoch, VmId
from jayshunt.maintenance.const import PROBATION_S, REBOOT_MIN_S


@dataclass
class Probation:
    """Record what was observed of one VM since its maintenance began.

    `rebooted_s` is when the reboot was accepted or found to be unnecessary, and
    `healthy_since_s` when the uninterrupted series of passed checks began, both in
    monotonic seconds. `was_down` is True after a failed check or without a reboot.
    """

    epoch: Epoch
    rebooted_s: float | None = None
    was_down: bool = False
    healthy_since_s: float | None = None


class ProbationTracker:
    """Decide when a VM may serve again.

    A VM that has passed every health check since the reboot request may not have
    rebooted yet, so its probation begins REBOOT_MIN_S after the request. Any failed
    check restarts the probation. The observations are not stored: a new controller
    requests the reboot again, which costs time but is safe.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without any VM."""
        self._clock = clock
        self._probations: dict[VmId, Probation] = {}

    def needs_reboot(self, vm: VmId, epoch: Epoch) -> bool:
        """Return whether the reboot for this maintenance is still to be requested."""
        return self._find(vm, epoch).rebooted_s is None

    def record_reboot(self, vm: VmId, epoch: Epoch) -> None:
        """Record that the platform accepted the reboot."""
        self._find(vm, epoch).rebooted_s = self._clock.monotonic_s()

    def skip_reboot(self, vm: VmId, epoch: Epoch) -> None:
        """Record that no reboot is needed.

        The platform itself took the VM down and lists it as live again.
        """
        probation = self._find(vm, epoch)
        probation.rebooted_s, probation.was_down = self._clock.monotonic_s(), True

    def record_check(self, vm: VmId, epoch: Epoch, is_healthy: bool) -> bool:
        """Record one health check; return whether the probation is passed."""
        probation, now_s = self._find(vm, epoch), self._clock.monotonic_s()
        if probation.rebooted_s is None:
            return False
        if not is_healthy:
            probation.was_down, probation.healthy_since_s = True, None
            return False
        if not probation.was_down and now_s - probation.rebooted_s < REBOOT_MIN_S:
            return False
        if probation.healthy_since_s is None:
            probation.healthy_since_s = now_s
        return now_s - probation.healthy_since_s >= PROBATION_S

    def retain_only(self, vms: set[VmId]) -> None:
        """Forget all VMs but these, which are still in maintenance."""
        self._probations = {vm: p for vm, p in self._probations.items() if vm in vms}

    def _find(self, vm: VmId, epoch: Epoch) -> Probation:
        probation = self._probations.get(vm)
        if probation is None or probation.epoch != epoch:
            probation = self._probations[vm] = Probation(epoch)
        return probation
