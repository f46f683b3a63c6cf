"""Test over interleavings that nothing accepted is lost and nothing reverts."""

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
    """Run three entries against a store that loses, delays and repeats."""

    def __init__(self) -> None:
        """Start with empty entries."""
        super().__init__()
        self.store = FakeStore()
        self.started = 0
        self.entries = [self.start(number) for number in range(3)]
        self.accepted: set[str] = set()
        self.refused: set[str] = set()
        self.highest = 0

    def start(self, number: int):
        """Start an entry; a listener records what it puts in force."""
        self.started += 1
        coordinator = build_coordinator(self.store, self.started)
        seen: list[int] = []
        coordinator.add_listener(lambda snapshot: seen.append(snapshot.version))
        return coordinator, seen

    @rule(entry=ENTRIES, fault=FAULTS, count=st.integers(1, 20))
    def accept(self, entry: int, fault: str, count: int) -> None:
        """Add a class of its own while the store fails in one way."""
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
        """Let delayed writes arrive."""
        self.store.deliver()

    @rule(entry=ENTRIES, age=st.integers(0, 3))
    def read_store(self, entry: int, age: int) -> None:
        """Read the store, which may return an older value."""
        self.store.stale = age
        try:
            self.entries[entry][0].refresh()
        finally:
            self.store.stale = 0

    @rule(entry=ENTRIES, peer=ENTRIES)
    def fetch(self, entry: int, peer: int) -> None:
        """Fetch from a peer, whatever its version."""
        version, content = self.entries[peer][0].pack_current()
        if version:
            self.entries[entry][0].apply_packed(content)

    @rule(entry=ENTRIES)
    def restart(self, entry: int) -> None:
        """Replace an entry; it keeps nothing."""
        self.entries[entry] = self.start(entry)

    @invariant()
    def nothing_reverts(self) -> None:
        """Each process must only ever see higher versions."""
        for _, seen in self.entries:
            assert seen == sorted(set(seen)), seen

    @invariant()
    def accepted_is_kept(self) -> None:
        """The stored version must hold all that was accepted and nothing refused."""
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
    """Guard "never reverts" and "accepted is never lost"."""
