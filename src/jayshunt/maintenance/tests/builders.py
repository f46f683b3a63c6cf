"""Build a fake zone whose VMs are taken down for maintenance."""

import random
from dataclasses import replace

from jayshunt.clock import ManualClock
from jayshunt.config.models import ConfigDocument
from jayshunt.errors import JayshuntError
from jayshunt.ids import Epoch, PoolName, RackName, VmId, ZoneName
from jayshunt.inventory.models import ListedState, ListedVm, VmList
from jayshunt.maintenance.permits import PermitLedger
from jayshunt.maintenance.reporting import ZoneReporter
from jayshunt.maintenance.runner import MaintenanceRunner
from jayshunt.pools import transitions
from jayshunt.pools.models import (
    Assignment,
    AssignmentRecord,
    AssignmentState,
    VmKind,
)
from jayshunt.store.documents import DocumentStore
from jayshunt.store.errors import StoreUnavailable
from jayshunt.store.tests.builders import FakeStore

DESK = PoolName("desk")


def build_list(clock: ManualClock, zones: tuple[str, ...], per_zone: int) -> VmList:
    """Return a list of VMs, each in a rack of its own."""
    vms = [
        ListedVm(
            VmId(f"{zone}-{n}"),
            f"127.0.0.1:{n + 1}",
            ZoneName(zone),
            RackName(f"rack-{n}"),
            VmKind.UPSTREAM,
            ListedState.LIVE,
            initial_pool=DESK,
        )
        for zone in zones
        for n in range(per_zone)
    ]
    return VmList(clock.now_s(), {vm.vm: vm for vm in vms})


def build_record(zone: str, listed: VmList) -> AssignmentRecord:
    """Return a record in which every VM of a zone serves."""
    return transitions.apply_vm_list(
        AssignmentRecord(ZoneName(zone)), listed, {}, listed.as_of_s
    )


class FakeWriter:
    """Keep the record as the zone controller does; `drain` drains VMs at once."""

    def __init__(self, record: AssignmentRecord, store: FakeStore) -> None:
        """Start as controller with fencing epoch 1."""
        self.record = record
        self.store = store
        self.fencing_epoch: Epoch | None = Epoch(1)

    def write(self, transition) -> AssignmentRecord:
        """Apply a transition unless the store is down."""
        if self.store.down:
            raise StoreUnavailable("store.put", "fake", "down")
        self.record = transition(self.record)
        return self.record

    def drain(self) -> None:
        """Mark every leaving VM as drained."""
        leaving = [
            (a.vm, a.epoch)
            for a in self.record.assignments.values()
            if a.state is AssignmentState.LEAVING
        ]
        self.record = transitions.mark_drained(self.record, leaving, 0.0)


class MaintenanceZone:
    """Run the maintenance of one zone with VMs that reboot in 60 s."""

    def __init__(self, stops: dict, per_zone: int = 4, ratio: float = 0.5) -> None:
        """Start with all VMs serving."""
        self.clock = ManualClock()
        self.store = FakeStore()
        self.config = ConfigDocument.model_validate(
            {"pools": {DESK: {"min_available_ratio": ratio}}, "planned_stops": stops}
        )
        self.listed = build_list(self.clock, ("north",), per_zone)
        self.writer = FakeWriter(build_record("north", self.listed), self.store)
        self.ledger = build_ledger(self.store, self, ratio, lambda: Epoch(1))
        self.failing: dict[VmId, str] = {}
        self.broken: set[VmId] = set()
        self.rebooted_s: dict[VmId, float] = {}
        self.reboots: list[VmId] = []
        self.most_down = 0
        self.runner = MaintenanceRunner(
            ZoneName("north"),
            self.writer,
            self.ledger,
            ZoneReporter(
                ZoneName("north"), self.ledger, lambda: self.failing, self.clock
            ),
            lambda: self.config,
            self._call_vm,
            self._check,
            self.clock,
        )

    def run(self, seconds: int, step_s: int = 5) -> None:
        """Step the runner for some time, with a current list at each step."""
        for _ in range(seconds // step_s):
            self.clock.advance(step_s)
            self.listed = replace(self.listed, as_of_s=self.clock.now_s())
            self.step()

    def step(self) -> None:
        """Run one step; an error of the store ends it early."""
        try:
            self.runner.step(self.writer.record)
        except JayshuntError:
            pass
        self.writer.drain()
        down = {a.vm for a in self.assignments() if not self._serves(a)}
        self.most_down = max(self.most_down, len(down | set(self.failing)))

    def assignments(self) -> list[Assignment]:
        """Return all assignments."""
        return list(self.writer.record.assignments.values())

    def states(self) -> set[AssignmentState]:
        """Return the states of all VMs."""
        return {a.state for a in self.assignments()}

    def done(self) -> int:
        """Return how many VMs have completed a wave."""
        return sum(bool(a.done_waves) for a in self.assignments())

    def _serves(self, assignment: Assignment) -> bool:
        return assignment.state is AssignmentState.SERVING

    def _call_vm(self, vm: VmId, action: str) -> None:
        self.reboots.append(vm)
        self.rebooted_s[vm] = self.clock.now_s()

    def _check(self, assignments) -> dict[VmId, bool]:
        now_s = self.clock.now_s()
        return {
            a.vm: a.vm not in self.broken
            and now_s - self.rebooted_s.get(a.vm, 0.0) >= 60
            for a in assignments
        }


def build_ledger(store: FakeStore, holder, ratio: float, fence) -> PermitLedger:
    """Return a ledger on a fake store; `holder` has `clock` and `listed`."""
    documents = DocumentStore(store, holder.clock, random.Random(1))
    return PermitLedger(
        documents, lambda: holder.listed, lambda _: ratio, fence, holder.clock
    )
