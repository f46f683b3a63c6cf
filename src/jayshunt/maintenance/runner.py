"""Run planned stops in one zone: permits, drain, reboot, probation."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Protocol

from jayshunt.clock import Clock
from jayshunt.config.models import ConfigDocument
from jayshunt.errors import JayshuntError
from jayshunt.ids import Epoch, PoolName, VmId, ZoneName
from jayshunt.maintenance import waves
from jayshunt.maintenance.const import DEFAULT_VM_MAINTENANCE_S, RETURN_LIMIT_S
from jayshunt.maintenance.models import (
    Budget,
    Permit,
    PermitDenied,
    WaveProgress,
    WaveState,
    WaveStatus,
)
from jayshunt.maintenance.permits import PermitLedger
from jayshunt.maintenance.probation import ProbationTracker
from jayshunt.maintenance.reporting import ZoneReporter
from jayshunt.pools import transitions
from jayshunt.pools.models import Assignment, AssignmentRecord, AssignmentState

_LOGGER = logging.getLogger(__name__)

# Weight of the newest value in the moving average of the time from the start of a VM's
# MAINTENANCE to the end of its probation. The drain is not included; VMs that only
# move to another pool are.
VM_TIME_EWMA_WEIGHT = 0.2


class RecordWriter(Protocol):
    """Change the zone's record; implemented by the zone controller."""

    @property
    def fencing_epoch(self) -> Epoch | None:
        """Return the controller's fencing epoch, or None if the lease is not held."""

    def write(
        self, transition: Callable[[AssignmentRecord], AssignmentRecord]
    ) -> AssignmentRecord:
        """Apply a transition and return the resulting record."""


class MaintenanceRunner:
    """Advance the planned stops of a zone.

    The zone's controller calls `step` as one of its duties.
    """

    def __init__(
        self,
        zone: ZoneName,
        writer: RecordWriter,
        ledger: PermitLedger,
        reporter: ZoneReporter,
        read_config: Callable[[], ConfigDocument],
        call_vm: Callable[[VmId, str], None],
        check_health: Callable[[Iterable[Assignment]], dict[VmId, bool]],
        clock: Clock,
    ) -> None:
        """Start without any wave.

        `call_vm(vm, action)` requests an action on a VM from the platform and raises
        JayshuntError if that fails.
        """
        self._zone = zone
        self._writer = writer
        self._ledger = ledger
        self._reporter = reporter
        self._read_config = read_config
        self._call_vm = call_vm
        self._check_health = check_health
        self._clock = clock
        self._probations = ProbationTracker(clock)
        self._mean_vm_s = DEFAULT_VM_MAINTENANCE_S
        self.statuses: tuple[WaveStatus, ...] = ()
        self.denied: dict[VmId, PermitDenied] = {}

    @property
    def budgets(self) -> dict[PoolName, Budget]:
        """Return the budgets of the zone's pools as last read."""
        return self._reporter.budgets

    def step(self, record: AssignmentRecord) -> None:
        """Advance every VM that is down, then take down VMs that get a permit.

        Reboots and probations in progress continue while the store is down; changes
        that need a write to the store are tried again at the next step.
        """
        fence = self._writer.fencing_epoch
        if fence is None:
            return
        self._reboot(record)
        passed = self._check_probations(record)
        self._reporter.step(record, fence)
        record = self._advance(record, passed, fence)
        self._take_down(record)

    def _reboot(self, record: AssignmentRecord) -> None:
        down = _in_state(record, AssignmentState.MAINTENANCE)
        self._probations.retain_only({a.vm for a in down})
        for assignment in down:
            if not self._probations.needs_reboot(assignment.vm, assignment.epoch):
                continue
            if not assignment.wave and not assignment.next_pool:
                self._probations.skip_reboot(assignment.vm, assignment.epoch)
                continue
            try:
                self._call_vm(assignment.vm, "reboot")
            except JayshuntError as error:
                _LOGGER.warning("maintenance: reboot failed, will retry: %s", error)
                continue
            self._probations.record_reboot(assignment.vm, assignment.epoch)
            _LOGGER.info("maintenance: %s reboots", assignment.vm)

    def _check_probations(self, record: AssignmentRecord) -> list[Assignment]:
        down = _in_state(record, AssignmentState.MAINTENANCE)
        healthy = self._check_health(down)
        return [
            a
            for a in down
            if self._probations.record_check(a.vm, a.epoch, healthy[a.vm])
        ]

    def _advance(
        self, record: AssignmentRecord, passed: list[Assignment], fence: Epoch
    ) -> AssignmentRecord:
        now_s = self._clock.now_s()
        drained = [
            a.vm
            for a in _in_state(record, AssignmentState.DRAINED)
            if a.wave or a.next_pool
        ]
        late = [
            a
            for a in _in_state(record, AssignmentState.MAINTENANCE)
            if a.wave and a not in passed and now_s - a.changed_s > RETURN_LIMIT_S
        ]
        late = [a for a in late if a.vm not in _progress(record, a.wave).failed]
        if not drained and not passed and not late:
            return record

        def advance(newest: AssignmentRecord) -> AssignmentRecord:
            for vm in drained:
                newest = transitions.begin_maintenance(newest, vm, now_s)
            for item in passed:
                newest = _with_returned(newest, item, now_s)
            for item in late:
                progress = _progress(newest, item.wave)
                progress = waves.record_failure(progress, item.vm, now_s)
                newest = _with_progress(newest, item.wave, progress)
            return newest

        record = self._writer.write(advance)
        for item in passed:
            _LOGGER.info("maintenance: %s passed its probation", item.vm)
            self._mean_vm_s += VM_TIME_EWMA_WEIGHT * (
                now_s - item.changed_s - self._mean_vm_s
            )
        for pool in {item.pool for item in passed}:
            returned = {item.vm for item in passed if item.pool == pool}
            self._ledger.release(pool, returned, fence)
        return record

    def _take_down(self, record: AssignmentRecord) -> None:
        """Request permits, begin to drain VMs and update the status of each wave."""
        now_s, statuses, granted = self._clock.now_s(), [], []
        config = self._read_config()
        due = [
            waves.current_wave(name, stop, now_s)
            for name, stop in config.planned_stops.items()
        ]
        self.denied = {}
        denied_pools: set[PoolName] = set()
        for wave in sorted(due, key=lambda w: (w.finish_by_s or float("inf"), w.name)):
            taken = [a.vm for a, _, _ in granted]
            todo = [
                a
                for a in waves.candidates(wave, self._zone, record.assignments.values())
                if a.vm not in taken
            ]
            permits, reason = self._request_permits(wave, todo, record, denied_pools)
            granted += permits
            statuses.append(self._status(wave, todo, permits, record, reason, config))
        self.statuses = tuple(statuses)
        names = {wave.name for wave in due}
        if granted or not names.issuperset(record.waves):
            self._writer.write(
                lambda r: _with_leaving(
                    _without_undeclared_waves(r, names), granted, now_s
                )
            )

    def _request_permits(
        self,
        wave: waves.Wave,
        todo: list[Assignment],
        record: AssignmentRecord,
        denied_pools: set[PoolName],
    ) -> tuple[list[tuple[Assignment, Permit, str]], str]:
        """Return the VMs that got permits, and why no more were granted."""
        progress = _progress(record, wave.name)
        down = waves.vms_down(wave, record.assignments.values())
        free_width = waves.free_width(progress, len(down), self._clock.now_s())
        granted, reason = [], ""
        if todo and not free_width:
            reason = progress.reason or f"waits for {_names(down)}"
        for assignment in todo:
            if len(granted) >= free_width:
                break
            if assignment.pool in denied_pools:
                continue
            cause = wave.stop.reason or f"planned stop {wave.name}"
            answer = self._ledger.request(
                assignment.pool, self._zone, assignment.vm, cause
            )
            if isinstance(answer, PermitDenied):
                denied_pools.add(assignment.pool)
                self.denied[assignment.vm] = answer
                reason = f"{answer.code}: {answer.reason}"
                continue
            granted.append((assignment, answer, wave.name))
        return granted, reason

    def _status(
        self,
        wave: waves.Wave,
        todo: list[Assignment],
        permits: list,
        record: AssignmentRecord,
        reason: str,
        config: ConfigDocument,
    ) -> WaveStatus:
        now_s = self._clock.now_s()
        progress = _progress(record, wave.name)
        down = len(waves.vms_down(wave, record.assignments.values())) + len(permits)
        remaining = len(todo) - len(permits)
        done = sum(wave.name in a.done_waves for a in record.assignments.values())
        status = WaveStatus(
            wave=wave.name,
            state=waves.state_of(progress, remaining, down, now_s, reason),
            remaining=remaining,
            down=down,
            done=done,
            width=progress.width,
            reason=reason or progress.reason,
        )
        if status.state is WaveState.DONE:
            return status
        pools = {a.pool for a in todo}
        allowed = waves.allowed_at_once(pools, self._reporter.budgets, config)
        return waves.forecast(status, wave.finish_by_s, allowed, self._mean_vm_s, now_s)


def _in_state(record: AssignmentRecord, state: AssignmentState) -> list[Assignment]:
    return [a for a in record.assignments.values() if a.state is state]


def _names(assignments: list[Assignment]) -> str:
    return ", ".join(a.vm for a in assignments[:3])


def _progress(record: AssignmentRecord, wave: str) -> WaveProgress:
    return record.waves.get(wave, WaveProgress())


def _with_progress(
    record: AssignmentRecord, wave: str, progress: WaveProgress
) -> AssignmentRecord:
    epoch = Epoch(record.epoch + 1)
    return replace(record, epoch=epoch, waves={**record.waves, wave: progress})


def _with_returned(
    record: AssignmentRecord, item: Assignment, now_s: float
) -> AssignmentRecord:
    reason = f"back from {item.reason}"
    changed = transitions.return_to_service(record, item.vm, item.epoch, now_s, reason)
    if changed is record or not item.wave:
        return changed
    progress = waves.record_success(_progress(record, item.wave), item.vm)
    return _with_progress(changed, item.wave, progress)


def _with_leaving(
    record: AssignmentRecord,
    granted: list[tuple[Assignment, Permit, str]],
    now_s: float,
) -> AssignmentRecord:
    for assignment, permit, wave in granted:
        current = record.assignments.get(assignment.vm)
        # The permit is for one pool, so a VM that moved since then is skipped.
        if current is not None and current.pool == permit.pool:
            record = transitions.begin_leaving(
                record, assignment.vm, now_s, permit.reason, wave=wave
            )
    return record


def _without_undeclared_waves(
    record: AssignmentRecord, names: set[str]
) -> AssignmentRecord:
    """Remove the progress of waves that are no longer declared."""
    kept = {name: wave for name, wave in record.waves.items() if name in names}
    if len(kept) == len(record.waves):
        return record
    assignments = {
        vm: replace(a, done_waves=tuple(w for w in a.done_waves if w in names))
        for vm, a in record.assignments.items()
    }
    epoch = Epoch(record.epoch + 1)
    return replace(record, epoch=epoch, waves=kept, assignments=assignments)
