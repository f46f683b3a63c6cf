"""Test the ownership of VMs over random interleavings of entries and faults."""

import logging
import unittest
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from jayshunt.errors import JayshuntError
from jayshunt.pools import transitions
from jayshunt.pools.models import AssignmentState
from jayshunt.pools.tests.builders import DESK, YARD, FakeEntry, FakeZone

NAMES = ["entry-a", "entry-b", "entry-c"]
VM = "vm-0"


class OwnershipWalk:
    """Run up to three entries of a zone on one store with faults.

    A paused entry keeps its requests in flight and its last record. It acts on both
    when it resumes, although the other entries may have changed the record.
    """

    def __init__(self) -> None:
        """Start two registered entries, one of them controller."""
        self.zone = FakeZone(vms=1)
        self.granted: dict[tuple[int, str], str] = {}
        for name in NAMES[:2]:
            self.zone.add_entry(name)
        self.tick(1)

    def tick(self, seconds: int) -> None:
        """Let time pass; every entry that is not paused does a control step."""
        self.zone.clock.advance(seconds)
        self.zone.relist(self.zone.listed.vms)
        for name in sorted(self.zone.entries):
            self.step(name)

    def step(self, name: str) -> None:
        """Let one entry do one control step."""
        entry = self._running(name)
        if entry is None:
            return
        try:
            entry.controller.step()
        except JayshuntError:
            pass

    def move(self, pool: str) -> None:
        """Begin a move by every entry that considers itself controller."""
        self._write(lambda r: transitions.begin_leaving(r, VM, 0.0, "test", pool))

    def maintain(self) -> None:
        """Take a drained VM down and return it, as the maintenance runner does."""
        self._write(lambda r: transitions.begin_maintenance(r, VM, 0.0))
        self._write(
            lambda r: transitions.return_to_service(
                r, VM, r.assignments[VM].epoch, 0.0, "back"
            )
        )

    def grant(self, name: str, pool: str) -> None:
        """Grant a slot by the record of the entry, which may be outdated."""
        entry = self._running(name)
        if entry is not None and VM in entry.grantable(pool):
            entry.grant(VM)
            self.granted[id(entry), VM] = pool

    def finish(self, name: str) -> None:
        """End all requests of an entry."""
        entry = self._running(name)
        if entry is not None:
            entry.in_flight = {}
            self._forget(entry)

    def pause(self, name: str, paused: bool) -> None:
        """Pause an entry or resume it."""
        if name in self.zone.entries:
            self.zone.entries[name].paused = paused

    def replace_entry(self, name: str) -> None:
        """Kill an entry and its requests, and start a new process at once."""
        self._forget(self.zone.entries.get(name))
        self.zone.clock.advance(0.01)
        self.zone.add_entry(name)

    def start_before_the_controller_steps(self, name: str) -> None:
        """Start an entry that reads the record while a move is under way."""
        self.replace_entry(name)
        self.step(name)

    def lose_entry(self, name: str) -> None:
        """Lose an entry VM for good."""
        self._forget(self.zone.entries.pop(name, None))
        self.zone.unlist(name)

    def relist_lost_entry(self, name: str) -> None:
        """List a lost entry VM as live, by a mistake of the platform."""
        self.zone.list_entry(name)

    def set_store_fault(self, fault: str) -> None:
        """Lose the next answer or write, or take the store down; "up" ends this."""
        store = self.zone.store
        store.lose_answers = int(fault == "lose")
        store.drop_writes = int(fault == "drop")
        store.down = fault == "down"

    def _running(self, name: str) -> FakeEntry | None:
        entry = self.zone.entries.get(name)
        return None if entry is None or entry.paused else entry

    def _forget(self, entry: FakeEntry | None) -> None:
        self.granted = {k: p for k, p in self.granted.items() if k[0] != id(entry)}

    def _write(self, transition) -> None:
        for entry in list(self.zone.entries.values()):
            if entry.paused:
                continue
            try:
                entry.controller.write(transition)
            except JayshuntError:
                pass

    def check_one_pool_per_vm(self) -> None:
        """Check that no VM has requests of two pools and that a drained VM has none."""
        pools: dict[str, set[str]] = {}
        for (_, vm), pool in self.granted.items():
            pools.setdefault(vm, set()).add(pool)
        for vm, names in pools.items():
            assert len(names) == 1, f"{vm} runs requests of {names}"
        newest = max(
            (e.controller.record for e in self.zone.entries.values()),
            key=lambda record: record.epoch,
            default=None,
        )
        for vm, names in pools.items():
            held = newest.assignments[vm] if newest else None
            if held is None:
                continue
            assert held.state not in (
                AssignmentState.DRAINED,
                AssignmentState.MAINTENANCE,
            ), f"{vm} is {held.state} with requests in flight"
            assert held.pool in names, f"{vm} belongs to {held.pool}, runs {names}"

    def check_one_controller(self) -> None:
        """Check that at most one entry considers itself holder of the lease."""
        holders = [e for e in self.zone.entries.values() if e.controller.holds_lease]
        assert len(holders) <= 1, [e.name for e in holders]

    def operations(self) -> list[Callable[[int], None]]:
        """Return the operations; frequent ones are listed several times.

        Each takes a number from which it derives its entry, pool or time.
        """

        def name(number: int) -> str:
            return NAMES[number % len(NAMES)]

        def pool(number: int) -> str:
            return (DESK, YARD)[number % 2]

        return [
            *[lambda n: self.tick((1, 1, 1, 6, 11)[n % 5])] * 6,
            *[lambda n: self.step(name(n))] * 3,
            *[lambda n: self.move(pool(n))] * 4,
            *[lambda n: self.maintain()] * 4,
            *[lambda n: self.grant(name(n), pool(n // 3))] * 8,
            *[lambda n: self.finish(name(n))] * 2,
            lambda n: self.pause(name(n), True),
            *[lambda n: self.pause(name(n), False)] * 2,
            lambda n: self.replace_entry(name(n)),
            *[lambda n: self.start_before_the_controller_steps(name(n))] * 2,
            lambda n: self.lose_entry(name(n)),
            lambda n: self.relist_lost_entry(name(n)),
            lambda n: self.set_store_fault(("lose", "drop", "down")[n % 3]),
            *[lambda n: self.set_store_fault("up")] * 3,
        ]


STEPS = st.lists(
    st.tuples(st.integers(0, 39), st.integers(0, 29)), min_size=60, max_size=60
)


class OwnershipTest(unittest.TestCase):
    """Check that a VM serves one pool, over interleavings and faults."""

    def setUp(self) -> None:
        """Disable logging, as the faults log many lost leases."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @settings(max_examples=400, derandomize=True, deadline=None, database=None)
    @given(STEPS)
    def test_a_vm_serves_one_pool(self, steps: list[tuple[int, int]]) -> None:
        """A VM must not run requests of two pools, and a drained VM must run none."""
        walk = OwnershipWalk()
        operations = walk.operations()
        for chosen, number in steps:
            operations[chosen % len(operations)](number)
            walk.check_one_pool_per_vm()
            walk.check_one_controller()
