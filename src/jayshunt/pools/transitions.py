"""Compute the next assignment record; the functions here do no I/O."""

from collections.abc import Iterable
from dataclasses import replace

from jayshunt.ids import Epoch, PoolName, VmId
from jayshunt.inventory.models import ListedState, VmList
from jayshunt.pools.const import ABSENT_LIMIT_S, REBOOT_ABSENT_LIMIT_S
from jayshunt.pools.models import Assignment, AssignmentRecord, AssignmentState

# Stored as the reason of an assignment. `_may_return` compares it with the stored
# reason, so the text must not change.
PLATFORM_LEAVING = "the platform takes the VM away"


def update_assignment(
    record: AssignmentRecord, vm: VmId, now_s: float, **fields: object
) -> AssignmentRecord:
    """Return the record at the next epoch, with fields of one assignment changed."""
    epoch = Epoch(record.epoch + 1)
    changed = replace(record.assignments[vm], epoch=epoch, changed_s=now_s, **fields)
    assignments = {**record.assignments, vm: changed}
    return replace(record, epoch=epoch, assignments=assignments)


def begin_leaving(
    record: AssignmentRecord,
    vm: VmId,
    now_s: float,
    reason: str,
    next_pool: PoolName | None = None,
    wave: str = "",
) -> AssignmentRecord:
    """Return the record with a serving VM set to LEAVING.

    A VM in any other state is left as it is.
    """
    assignment = record.assignments.get(vm)
    if assignment is None or assignment.state is not AssignmentState.SERVING:
        return record
    return update_assignment(
        record,
        vm,
        now_s,
        state=AssignmentState.LEAVING,
        next_pool=next_pool,
        wave=wave,
        reason=reason,
    )


def mark_drained(
    record: AssignmentRecord, drained: Iterable[tuple[VmId, Epoch]], now_s: float
) -> AssignmentRecord:
    """Return the record with leaving VMs set to DRAINED.

    Each VM comes with the epoch at which it began to leave. One that returned to
    service and left again in the meantime has another epoch and is not drained.
    """
    for vm, epoch in drained:
        assignment = record.assignments.get(vm)
        if assignment is None or assignment.epoch != epoch:
            continue
        if assignment.state is AssignmentState.LEAVING:
            record = update_assignment(record, vm, now_s, state=AssignmentState.DRAINED)
    return record


def begin_maintenance(
    record: AssignmentRecord, vm: VmId, now_s: float
) -> AssignmentRecord:
    """Return the record with a drained VM set to MAINTENANCE."""
    assignment = record.assignments.get(vm)
    if assignment is None or assignment.state is not AssignmentState.DRAINED:
        return record
    return update_assignment(record, vm, now_s, state=AssignmentState.MAINTENANCE)


def return_to_service(
    record: AssignmentRecord, vm: VmId, epoch: Epoch, now_s: float, reason: str
) -> AssignmentRecord:
    """Return the record with a VM serving again, in its next pool if it moves.

    `epoch` is the assignment's epoch at the start of the passed probation; if the
    assignment changed since, the record stays as it is.
    """
    assignment = record.assignments.get(vm)
    if assignment is None or assignment.epoch != epoch:
        return record
    if assignment.state is not AssignmentState.MAINTENANCE:
        return record
    done = assignment.done_waves
    if assignment.wave and assignment.wave not in done:
        done = (*done, assignment.wave)
    return update_assignment(
        record,
        vm,
        now_s,
        state=AssignmentState.SERVING,
        pool=assignment.next_pool or assignment.pool,
        next_pool=None,
        wave="",
        done_waves=done,
        reason=reason,
    )


def apply_vm_list(
    record: AssignmentRecord,
    listed: VmList,
    absent_since_s: dict[VmId, float],
    now_s: float,
) -> AssignmentRecord:
    """Return the record updated to a newer list of the platform.

    A new VM serves its initial pool. A VM that the platform takes away or no
    longer lists is set to LEAVING, and its assignment is removed once it is drained
    and was missing for ABSENT_LIMIT_S (REBOOT_ABSENT_LIMIT_S in maintenance).
    """
    if not listed.as_of_s:
        return record
    for vm in listed.vms.values():
        if vm.zone == record.zone and vm.initial_pool:
            if vm.vm not in record.assignments:
                record = _add(record, vm, now_s)
    for vm_id, assignment in record.assignments.items():
        vm = listed.vms.get(vm_id)
        # A list older than the assignment may still show the VM as rebooting.
        is_newer = listed.as_of_s >= assignment.changed_s
        if is_newer and (vm is None or vm.state is ListedState.LEAVING):
            record = begin_leaving(record, vm_id, now_s, PLATFORM_LEAVING)
        if vm is None:
            absent_s = now_s - absent_since_s.get(vm_id, now_s)
            if absent_s >= _absent_limit_s(assignment):
                record = _remove(record, vm_id)
        elif vm.state is ListedState.LIVE and _may_return(assignment):
            # It serves again once it passes the probation of MAINTENANCE.
            record = update_assignment(
                record, vm_id, now_s, state=AssignmentState.MAINTENANCE
            )
    return record


def _absent_limit_s(assignment: Assignment) -> float:
    if assignment.state is AssignmentState.MAINTENANCE:
        return REBOOT_ABSENT_LIMIT_S
    return ABSENT_LIMIT_S


def _may_return(assignment: Assignment) -> bool:
    return (
        assignment.state is AssignmentState.DRAINED
        and assignment.reason == PLATFORM_LEAVING
        and not assignment.wave
        and not assignment.next_pool
    )


def _add(record: AssignmentRecord, vm, now_s: float) -> AssignmentRecord:
    epoch = Epoch(record.epoch + 1)
    added = Assignment(
        vm=vm.vm,
        pool=vm.initial_pool,
        state=AssignmentState.SERVING,
        epoch=epoch,
        address=vm.address,
        rack=vm.rack,
        kind=vm.kind,
        reason="listed by the platform",
        changed_s=now_s,
    )
    assignments = {**record.assignments, vm.vm: added}
    return replace(record, epoch=epoch, assignments=assignments)


def _remove(record: AssignmentRecord, vm: VmId) -> AssignmentRecord:
    if record.assignments[vm].state is AssignmentState.LEAVING:
        return record
    assignments = {k: a for k, a in record.assignments.items() if k != vm}
    return replace(record, epoch=Epoch(record.epoch + 1), assignments=assignments)
