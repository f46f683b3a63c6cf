"""Decide which leaving VMs are drained and which entry registrations are stale."""

from collections.abc import Callable, Iterable

from jayshunt.ids import EntryId, Epoch, Revision, VmId
from jayshunt.inventory.models import VmList
from jayshunt.pools.const import QUIET_PERIOD_S
from jayshunt.pools.models import (
    Acknowledgement,
    AssignmentRecord,
    AssignmentState,
    EntryRegistration,
)

Registrations = list[tuple[EntryRegistration, Revision]]


def leaving_vms(record: AssignmentRecord) -> list[VmId]:
    """Return the VMs in state LEAVING, which wait for acknowledgements."""
    return [
        vm
        for vm, assignment in record.assignments.items()
        if assignment.state is AssignmentState.LEAVING
    ]


def drain_blocker(
    vm: VmId,
    epoch: Epoch,
    registered: Registrations,
    acknowledged: dict[EntryId, Acknowledgement],
) -> str:
    """Return what keeps a VM that began to leave at an epoch from being drained.

    The result is "" once every registered entry acknowledged that epoch and has no
    request in flight on the VM.
    """
    for registration, _ in registered:
        ack = acknowledged.get(registration.entry)
        if ack is None or ack.incarnation != registration.incarnation:
            return f"{registration.entry} did not acknowledge"
        if ack.epoch < epoch:
            return f"{registration.entry} is at epoch {ack.epoch}"
        if ack.in_flight.get(vm):
            return f"{registration.entry} has {ack.in_flight[vm]} requests in flight"
    return ""


def find_drained(
    record: AssignmentRecord,
    registered: Registrations,
    acknowledged: dict[EntryId, Acknowledgement],
    drain_checks: Iterable[Callable[[VmId], int]],
) -> tuple[list[tuple[VmId, Epoch]], dict[VmId, str]]:
    """Return the drained VMs with their epochs, and the reasons why others wait.

    Each of `drain_checks` returns how many jobs still run on a VM. Without any
    registered entry nothing is drained, because at least the controller itself must
    be registered.
    """
    done, waiting = [], {}
    for vm in leaving_vms(record):
        epoch = record.assignments[vm].epoch
        reason = drain_blocker(vm, epoch, registered, acknowledged)
        busy = sum(count_work(vm) for count_work in drain_checks)
        if not registered:
            reason = "no entry is registered"
        elif busy and not reason:
            reason = f"{busy} jobs run on it"
        if reason:
            waiting[vm] = reason
        else:
            done.append((vm, epoch))
    return done, waiting


class StaleRegistrations:
    """Find registrations of entries whose VM no longer exists.

    A registration is stale when a platform list newer than the registration names
    other entry VMs but not this one, and the entry neither answered nor was listed
    for QUIET_PERIOD_S.
    """

    def __init__(self) -> None:
        """Start without any silent entry."""
        self._silent_since_s: dict[EntryId, float] = {}

    def find(
        self,
        registered: Registrations,
        acknowledged: dict[EntryId, Acknowledgement],
        listed: VmList,
        now_s: float,
    ) -> list[tuple[EntryId, Revision]]:
        """Return the entries whose registrations to remove, with their revisions."""
        silent, stale = {}, []
        for registration, revision in registered:
            entry = registration.entry
            ack = acknowledged.get(entry)
            answered = ack and ack.incarnation == registration.incarnation
            is_listed = registration.peer_address in listed.entries
            is_list_older = listed.as_of_s <= registration.registered_s
            if answered or is_listed or is_list_older or not listed.entries:
                continue
            silent[entry] = self._silent_since_s.get(entry, now_s)
            if now_s - silent[entry] >= QUIET_PERIOD_S:
                stale.append((entry, revision))
        self._silent_since_s = silent
        return stale
