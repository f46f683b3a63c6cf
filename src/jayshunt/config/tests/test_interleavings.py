"""Test with random interleavings that no accepted edit is lost or reverted."""

import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from jayshunt.config.const import CURRENT_KEY
from jayshunt.config.content import read_snapshot
from jayshunt.config.tests.builders import add_class, build_coordinator
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.store.documents import DocumentStore
from jayshunt.store.tests.builders import FakeStore

ENTRIES = st.integers(0, 2)
FAULTS = st.sampled_from(["", "lose_answers", "drop_writes", "delay_writes", "down"])


class Interleavings(RuleBasedStateMachine):
    """Three entries on a store with lost, delayed and repeated writes and old reads.

    The rules are the steps that hypothesis combines; the invariants are checked
    after each of them.
    """

    def __init__(self) -> None:
        """Start three entries on an empty store."""
        super().__init__()
        self.store = FakeStore()
        self.started = 0
        self.entries = [self.start(number) for number in range(3)]
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.highest = 0

    def start(self, number: int):
        """Return a new coordinator and the versions it puts in force."""
        self.started += 1
        coordinator = build_coordinator(self.store, self.started)
        seen: list[int] = []
        coordinator.add_listener(lambda snapshot: seen.append(snapshot.version))
        return coordinator, seen

    @rule(entry=ENTRIES, fault=FAULTS, count=st.integers(1, 20))
    def accept(self, entry: int, fault: str, count: int) -> None:
        """Accept an edit that adds a new class during a fault of the store."""
        coordinator, _ = self.entries[entry]
        name = f"c{len(self.accepted) + len(self.refused)}-{self.store.puts}"
        if fault:
            setattr(self.store, fault, count)
        try:
            coordinator.accept(add_class(name), "ama")
            self.accepted.add(name)
        except JayshuntError as error:
            if error.outcome is Outcome.NOT_RUN:
                self.refused.add(name)
        for each in ("lose_answers", "drop_writes", "delay_writes", "down"):
            setattr(self.store, each, 0)

    @rule()
    def deliver(self) -> None:
        """Deliver the delayed writes to the store."""
        self.store.deliver()

    @rule(entry=ENTRIES, age=st.integers(0, 3))
    def read_store(self, entry: int, age: int) -> None:
        """Refresh from the store, which returns a value up to three writes old."""
        self.store.stale = age
        try:
            self.entries[entry][0].refresh()
        finally:
            self.store.stale = 0

    @rule(entry=ENTRIES, peer=ENTRIES)
    def fetch(self, entry: int, peer: int) -> None:
        """Apply the version of a peer, which may be older."""
        version, content = self.entries[peer][0].pack_current()
        if version:
            self.entries[entry][0].apply_packed(content)

    @rule(entry=ENTRIES)
    def restart(self, entry: int) -> None:
        """Restart an entry without any state."""
        self.entries[entry] = self.start(entry)

    @invariant()
    def nothing_reverts(self) -> None:
        """The versions in force on an entry must strictly increase."""
        for _, seen in self.entries:
            assert seen == sorted(set(seen)), seen

    @invariant()
    def accepted_is_kept(self) -> None:
        """The stored version must contain all accepted classes and no rejected ones."""
        stored = self.store.values.get(CURRENT_KEY)
        if stored is None:
            assert not self.accepted
            return
        documents = DocumentStore(self.store, None, None)
        content = documents.read(CURRENT_KEY).content
        classes = set(read_snapshot(content).document.classes)
        assert self.accepted <= classes, self.accepted - classes
        assert not self.refused & classes, self.refused & classes
        for coordinator, _ in self.entries:
            current = coordinator.current()
            assert set(current.document.classes) <= classes


Interleavings.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class InterleavingTest(Interleavings.TestCase, unittest.TestCase):
    """Run the state machine."""
