"""Test how soon the parts of the dispatch use a store that was silent for 5 s."""

import random
import threading
import unittest
from types import SimpleNamespace

from jayshunt.clock import ManualClock
from jayshunt.dispatch.commits import ProgressWriter
from jayshunt.dispatch.intake_reader import IntakeReader
from jayshunt.dispatch.store_models import Term
from jayshunt.dispatch.term import OwnTerm, TermElection
from jayshunt.dispatch.tests.builders import (
    LOOPBACK,
    build_config,
    build_job,
    build_node,
    build_tracker,
)
from jayshunt.dispatch.tests.fakes import FakeStore
from jayshunt.dispatch.worker_list import WorkerList
from jayshunt.ids import EntryId, LeaseId, Revision

OUTAGE_S = 5.0
# How long calls without an answer take: the timeouts of the client.
TIMEOUTS_S = {"list": 2.0, "watch": 1.6, "txn": 1.2, "renew": 1.2}
# A probe of the store finds it again within this time.
PROBE_S = 0.8


class SilentStore(FakeStore):
    """Give no answer until a time; end the test at the first call after it."""

    def __init__(self, clock: ManualClock, stop: threading.Event) -> None:
        """Start a silence of `OUTAGE_S`."""
        super().__init__()
        self._clock, self._stop = clock, stop
        self._back_s = clock.monotonic_s() + OUTAGE_S
        self.renew_timeout_s: float | None = None
        self.fault = self._wait

    def failing_for_s(self) -> float:
        """Return a time above 0 until a probe has found the store again."""
        return max(0.0, self._back_s + PROBE_S - self._clock.monotonic_s())

    def renew_lease(self, lease: LeaseId, timeout_s: float | None = None) -> None:
        """Renew a lease with the timeout that the caller gives."""
        self.renew_timeout_s = timeout_s
        super().renew_lease(lease)

    def late_s(self) -> float:
        """Return how long after the silence the first call was answered."""
        return self._clock.monotonic_s() - self._back_s

    def _wait(self, step: str) -> str:
        if self._clock.monotonic_s() >= self._back_s:
            self._stop.set()
            return "down"
        timeout_s = self.renew_timeout_s if step == "renew" else None
        self._clock.advance(timeout_s or TIMEOUTS_S[step])
        return "down"


class RecoveryTest(unittest.TestCase):
    """Each part has to use the store within a second of its return.

    Until the term is renewed and the list of workers is read, new jobs do not start,
    and until the progress is stored, their callers do not learn of their ends.
    """

    def worst_s(self, build) -> float:
        """Return the longest delay over the moments at which the silence began."""
        found = []
        for offset in range(20):
            clock, stop = ManualClock(0.0), threading.Event()
            store = SilentStore(clock, stop)
            clock.advance(offset * 0.1)
            build(store, clock)(stop)
            found.append(store.late_s())
        return max(found)

    def test_list_of_workers(self) -> None:
        """Pools whose workers do not guard their capacity get no starts meanwhile."""
        dispatcher = SimpleNamespace(ready=threading.Event())
        dispatcher.ready.set()
        self.assertLess(
            self.worst_s(lambda store, clock: WorkerList(dispatcher, store, clock).run),
            1.0,
        )

    def test_progress(self) -> None:
        """Ends are told to callers only once they are stored."""

        def build(store, clock):
            tracker = build_tracker(build_job())
            tracker.dirty.add(build_job().spec.job)
            lock, term = threading.RLock(), Revision(1)
            return ProgressWriter(tracker, lock, store, term, clock).run

        self.assertLess(self.worst_s(build), 1.0)

    def test_intake(self) -> None:
        """Jobs whose entry could not notify the dispatcher are found here."""

        def build(store, clock):
            return IntakeReader(SimpleNamespace(), store, clock, build_config).run

        self.assertLess(self.worst_s(build), 1.0)

    def test_term(self) -> None:
        """New jobs are held back until it is certain that no other entry dispatches."""

        def build(store, clock):
            now_s = clock.monotonic_s
            election = TermElection(
                build_node(), store, clock, random.Random(1), lambda own: None, now_s
            )
            lease = LeaseId("1")
            term = Term(EntryId("entry-1"), LOOPBACK, "i", Revision(1), lease)
            election._own = OwnTerm(term, now_s(), now_s)
            return election.renew

        self.assertLess(self.worst_s(build), 1.0)


if __name__ == "__main__":
    unittest.main()
