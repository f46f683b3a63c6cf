"""Test terms, progress and acceptance against a store with faults."""

import random
import threading
import unittest

from jayshunt.clock import ManualClock
from jayshunt.dispatch.commits import ProgressWriter
from jayshunt.dispatch.entry import JobEntry
from jayshunt.dispatch.errors import AcceptUnknown, JobRefused, NoDispatcher, TermOver
from jayshunt.dispatch.models import Address, Bounds, EntryNode, JobState, RunEnd
from jayshunt.dispatch.records import (
    TERM_KEY,
    accepted_key,
    apply_progress,
    decode_job,
    encode_job,
    encode_progress,
    progress_key,
    stored_state,
)
from jayshunt.dispatch.store_models import Put
from jayshunt.dispatch.term import (
    STAND_JITTER_S,
    OwnTerm,
    TermKeeper,
    stand_delay_s,
)
from jayshunt.dispatch.tests.builders import (
    FakeStore,
    add_worker_view,
    build_end,
    build_job,
    build_queue,
    build_report,
    build_spec,
    build_step,
    build_tracker,
    place,
)
from jayshunt.ids import EntryId, Revision, ZoneName

LOOPBACK = Address("127.0.0.1", 1)


def build_node(name: str = "entry-1") -> EntryNode:
    """Return the settings of an entry."""
    return EntryNode(
        EntryId(name),
        ZoneName("ash"),
        *[LOOPBACK] * 4,
        None,
        None,
        1.0,
        300,
        1_500,
        Bounds(),
    )


class FakeHolder:
    """Record the duties that a term takes up and gives up."""

    def __init__(self, own: OwnTerm, log: list) -> None:
        """Keep the log."""
        self.own = own
        self.log = log

    def start(self) -> None:
        """Record the start."""
        self.log.append(("start", self.own.term.token))

    def stop(self, in_order: bool) -> None:
        """Record the stop."""
        self.log.append(("stop", self.own.term.token, in_order))


class TermTest(unittest.TestCase):
    """Cover election, loss and the end of a term."""

    def setUp(self) -> None:
        """Build a store and a log of duties."""
        self.store = FakeStore()
        self.clock = ManualClock(0.0)
        self.log: list = []

    def keeper(self, name: str) -> TermKeeper:
        """Return an entry that stands for the term."""
        return TermKeeper(
            build_node(name),
            self.store,
            self.clock,
            random.Random(1),
            lambda own: FakeHolder(own, self.log),
            self.clock.monotonic_s,
        )

    def follow(self, keeper: TermKeeper) -> None:
        """Let an entry look once."""
        keeper._revision = None
        keeper._follow_once(threading.Event())

    def test_one_of_two_holds_the_term(self) -> None:
        """Two holders would place the same tasks."""
        first, second = self.keeper("entry-1"), self.keeper("entry-2")
        self.follow(first)
        self.follow(second)
        self.assertIsNotNone(first.own)
        self.assertIsNone(second.own)
        self.assertEqual(EntryId("entry-1"), second.term.entry)

    def test_large_and_lately_started_entries_stand_first(self) -> None:
        """In a rolling restart the term went to entries that were to stop next."""
        large_new = stand_delay_s(2.15, 100.0, 5.0)
        large_old = stand_delay_s(2.15, 100.0, 900.0)
        small_new = stand_delay_s(0.5, 100.0, 5.0)
        self.assertLess(large_new + STAND_JITTER_S, large_old)
        self.assertLess(large_old + STAND_JITTER_S, small_new)

    def test_entry_with_a_thin_link_stands_last(self) -> None:
        """One with 5 Mbit/s held the term for 7 s without reading all jobs."""
        thin = stand_delay_s(2.15, 5.0, 5.0)
        small = stand_delay_s(0.5, 100.0, 900.0)
        self.assertLess(small + STAND_JITTER_S, thin)
        self.assertLess(thin, 0.7)

    def test_token_rises_from_term_to_term(self) -> None:
        """Workers refuse orders below the highest token."""
        first, second = self.keeper("entry-1"), self.keeper("entry-2")
        self.follow(first)
        token = first.own.term.token
        first.leave()
        self.follow(second)
        self.assertGreater(second.own.term.token, token)

    def test_term_with_a_lost_answer_is_recognized(self) -> None:
        """The lease of an unnoticed term would block all others until its end."""
        self.store.fault = lambda step: "lost" if step == "txn" else ""
        keeper = self.keeper("entry-1")
        self.follow(keeper)
        self.assertIsNotNone(keeper.own)

    def test_late_creation_of_a_term_fails(self) -> None:
        """A key created seconds later, by an entry that gave up, has no holder."""
        keeper = self.keeper("entry-1")
        self.store.fault = lambda step: "late" if step == "txn" else ""
        self.follow(keeper)
        self.store.fault = lambda step: ""
        self.assertIsNone(keeper.own)
        with self.assertRaises(Exception):
            self.store.run_late()
        self.assertNotIn(TERM_KEY, self.store.items)

    def test_no_order_after_the_own_view_of_the_lease(self) -> None:
        """A paused holder that wakes up must not act before it has renewed."""
        keeper = self.keeper("entry-1")
        self.follow(keeper)
        own = keeper.own
        self.assertTrue(own.is_valid)
        self.clock.advance(4.0)
        self.assertFalse(own.is_valid)
        keeper._renew_once(own)
        self.assertTrue(own.is_valid)

    def test_lost_lease_ends_the_duties(self) -> None:
        """Another entry may hold the term already."""
        keeper = self.keeper("entry-1")
        self.follow(keeper)
        own = keeper.own
        self.store.end_lease(own.term.lease)
        keeper._renew_once(own)
        self.assertFalse(own.is_valid)
        self.assertEqual(("stop", own.term.token, False), self.log[-1])

    def test_restarted_entry_ends_its_predecessors_term(self) -> None:
        """After a loss of all processes nobody else could end the lease."""
        self.follow(self.keeper("entry-1"))
        restarted = self.keeper("entry-1")
        self.follow(restarted)
        self.follow(restarted)
        self.assertIsNotNone(restarted.own)

    def test_entry_that_handed_over_stands_back(self) -> None:
        """A dispatcher in a cut-off zone would take the term again at once."""
        keeper = self.keeper("entry-1")
        self.follow(keeper)
        keeper.resign(6.0)
        self.follow(keeper)
        self.assertIsNone(keeper.own)
        self.clock.advance(6.1)
        self.follow(keeper)
        self.assertIsNotNone(keeper.own)


class ProgressTest(unittest.TestCase):
    """Cover the writes of progress."""

    def setUp(self) -> None:
        """Run one task of a job under a term."""
        self.store = FakeStore()
        self.job = build_job(build_step(task_count=2))
        self.tracker = build_tracker(self.job)
        self.view = add_worker_view(self.tracker)
        self.key = progress_key(self.job.spec.job)
        lease = self.store.grant_lease(4.0)
        result = self.store.transact({}, (Put(TERM_KEY, b"{}", lease.lease),))
        self.term = result.revision
        self.writer = ProgressWriter(
            self.tracker, threading.RLock(), self.store, self.term, ManualClock(0.0)
        )

    def finish(self, index: int, number: int) -> None:
        """Let a task end well."""
        task = place(self.tracker, self.job, index, self.view)
        row = build_end(number, task, RunEnd.DONE)
        self.tracker.apply_run_report(self.view, build_report(ends=[row]), 1.0, 1.0)

    def test_late_write_never_undoes_a_newer_one(self) -> None:
        """A write without an answer may be carried out seconds later."""
        self.finish(0, 1)
        self.store.fault = lambda step: "late"
        self.assertFalse(self.writer.write_once())
        self.store.fault = lambda step: ""
        self.finish(1, 2)
        self.assertTrue(self.writer.write_once())
        self.store.run_late()
        state = stored_state(self.store.items[self.key].value)
        self.assertEqual(JobState.COMPLETED, state)

    def test_write_whose_answer_was_lost_is_repeated(self) -> None:
        """The end would never be noted otherwise."""
        self.finish(0, 1)
        self.store.fault = lambda step: "lost"
        self.writer.write_once()
        self.store.fault = lambda step: ""
        self.writer.write_once()
        self.writer.write_once()
        stored = self.tracker.stored_versions.__getitem__
        self.assertEqual(1, self.view.note_stored(stored))

    def test_write_after_the_term_is_refused(self) -> None:
        """A holder that was replaced must not change what its successor reads."""
        self.finish(0, 1)
        self.store.items.pop(TERM_KEY)
        with self.assertRaises(TermOver):
            self.writer.write_once()
        self.assertNotIn(self.key, self.store.items)

    def test_progress_survives_a_change_of_term(self) -> None:
        """A successor that forgets an end or a failure runs work again."""
        task = place(self.tracker, self.job, 0, self.view)
        row = build_end(1, task, RunEnd.FAILED)
        self.tracker.apply_run_report(self.view, build_report(ends=[row]), 1.0, 1.0)
        self.finish(1, 2)
        successor = build_job(build_step(task_count=2))
        apply_progress(successor, encode_progress(self.job))
        self.assertEqual(task.failed_runs, successor.steps[0, 0][0].failed_runs)
        self.assertTrue(successor.steps[0, 0][1].phase.value == "done")


class FakeLink:
    """Stand for the way to the dispatcher."""

    def __init__(self) -> None:
        """Start with a dispatcher that answers nothing."""
        self.refuse_s = 0.0
        self.told: list = []
        self.state = None
        self.submit_error: Exception | None = NoDispatcher("test")

    def refuse_retry_after_s(self, queue) -> float:
        """Return how long callers should stay away."""
        return self.refuse_s

    def accepted(self, job, value, created) -> None:
        """Record what the dispatcher is told."""
        self.told.append(job)

    def submit(self, key, value, wait_s) -> dict:
        """Store for the entry, or raise."""
        if self.submit_error is not None:
            raise self.submit_error
        return {"is_new": True}

    def job_state(self, job, wait_s):
        """Return the state that the dispatcher knows, or raise."""
        if self.state is None:
            raise NoDispatcher("test")
        return self.state


class EntryTest(unittest.TestCase):
    """Cover what callers are told of their jobs."""

    def setUp(self) -> None:
        """Build an entry."""
        self.store = FakeStore()
        self.link = FakeLink()
        self.clock = ManualClock(0.0)
        self.entry = JobEntry(self.store, self.link, self.clock)
        self.spec = build_spec()

    def submit(self, timeout_s: float = 0.05):
        """Submit the job."""
        return self.entry.submit(self.spec, build_queue(), timeout_s)

    def test_repeated_submission_remains_one_job(self) -> None:
        """A retry at another entry would book twice."""
        self.assertTrue(self.submit().is_new)
        self.assertFalse(self.submit().is_new)
        self.assertEqual([self.spec.job], self.link.told)

    def test_refusal_is_true(self) -> None:
        """A job that was refused must never run."""
        self.store.fault = lambda step: "down"
        with self.assertRaises(JobRefused):
            self.submit()
        self.assertEqual({}, self.store.items)

    def test_lost_answer_is_not_called_a_refusal(self) -> None:
        """The write may have been done, or may be done later."""
        self.store.fault = lambda step: "late"
        with self.assertRaises(AcceptUnknown):
            self.submit()
        self.store.run_late()
        self.assertIn(accepted_key(self.spec.job), self.store.items)

    def test_entry_without_the_store_lets_the_dispatcher_write(self) -> None:
        """Callers of an entry that the store turns away need not go elsewhere."""
        self.store.fault = lambda step: "down"
        self.store.failing_s = 1.0
        self.link.submit_error = None
        self.assertTrue(self.submit().is_new)

    def test_accepted_job_is_known_without_a_dispatcher(self) -> None:
        """A caller who hears that its job does not exist submits it again."""
        self.submit()
        self.assertEqual(JobState.QUEUED, self.entry.state(self.spec.job, 0.1))

    def test_unknown_job_is_reported_as_such(self) -> None:
        """Only the store can tell that there is no such job."""
        self.assertIsNone(self.entry.state(self.spec.job, 0.1))

    def test_queue_far_behind_still_knows_its_jobs(self) -> None:
        """A repeated submission of an accepted job must not be refused."""
        self.submit()
        self.link.refuse_s = 3.0
        self.assertFalse(self.submit().is_new)
        self.spec = build_spec(job="00000000000000b2")
        with self.assertRaises(JobRefused) as caught:
            self.submit()
        self.assertEqual(3.0, caught.exception.retry_after_s)

    def test_record_holds_the_whole_job(self) -> None:
        """A successor has nothing but the record."""
        step = build_step(task_count=3, after=(), is_gang=True, target_ms=80)
        spec = build_spec(step, build_step(after=(0,)), times=2, interval_ms=500)
        value = encode_job(spec, build_queue(), 12.5)
        self.assertEqual((spec, 12.5), decode_job(spec.job, value))


class RevisionTest(unittest.TestCase):
    """Cover the revisions that conditions use."""

    def test_absent_key_has_revision_zero(self) -> None:
        """A condition on an absent key would never hold otherwise."""
        store = FakeStore()
        self.assertIsNotNone(store.transact({"a": Revision(0)}).revision)


if __name__ == "__main__":
    unittest.main()
