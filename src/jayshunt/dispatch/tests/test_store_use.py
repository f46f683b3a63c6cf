"""Test elections, progress writes and job acceptance with store faults."""

import random
import threading
import unittest
from dataclasses import replace

from jayshunt.clock import ManualClock
from jayshunt.dispatch.commits import ProgressWriter
from jayshunt.dispatch.entry import EntryJobService
from jayshunt.dispatch.errors import AcceptUnknown, JobRefused, NoDispatcher, TermEnded
from jayshunt.dispatch.models import JobState, RunEnd
from jayshunt.dispatch.records import (
    TERM_KEY,
    accepted_key,
    apply_progress,
    cancelled_key,
    decode_job,
    encode_job,
    encode_progress,
    progress_key,
    stored_state,
)
from jayshunt.dispatch.store_models import Put
from jayshunt.dispatch.term import (
    ELECTION_JITTER_S,
    OwnTerm,
    TermElection,
    election_delay_s,
)
from jayshunt.dispatch.tests.builders import (
    add_worker_view,
    build_end,
    build_job,
    build_node,
    build_queue,
    build_report,
    build_spec,
    build_step,
    build_tracker,
    place,
)
from jayshunt.dispatch.tests.fakes import FakeStore
from jayshunt.ids import EntryId, JobId, Revision, WorkspaceName
from jayshunt.overload.models import QueueOutlook
from jayshunt.workspaces.const import NO_WORKSPACE


class FakeDuties:
    """Record when the duties of a term start and stop."""

    def __init__(self, own: OwnTerm, log: list) -> None:
        """Append to `log`."""
        self.own = own
        self.log = log

    def start(self) -> None:
        """Record the start."""
        self.log.append(("start", self.own.term.token))

    def stop(self, is_graceful: bool) -> None:
        """Record the stop."""
        self.log.append(("stop", self.own.term.token, is_graceful))


class TermTest(unittest.TestCase):
    """Test the election, the loss and the end of a term."""

    def setUp(self) -> None:
        """Build a store and a log of started and stopped duties."""
        self.store = FakeStore()
        self.clock = ManualClock(0.0)
        self.log: list = []

    def election(self, name: str) -> TermElection:
        """Return the election of one entry."""
        return TermElection(
            build_node(name),
            self.store,
            self.clock,
            random.Random(1),
            lambda own: FakeDuties(own, self.log),
            self.clock.monotonic_s,
        )

    def follow(self, election: TermElection) -> None:
        """Read the term, campaign if there is none, and watch once."""
        election._revision = None
        election._follow_once(threading.Event())

    def test_one_of_two_holds_the_term(self) -> None:
        """Two concurrent holders would place the same tasks twice."""
        first, second = self.election("entry-1"), self.election("entry-2")
        self.follow(first)
        self.follow(second)
        self.assertIsNotNone(first.own)
        self.assertIsNone(second.own)
        self.assertEqual(EntryId("entry-1"), second.term.entry)

    def test_large_and_recently_started_entries_campaign_first(self) -> None:
        """Otherwise entries that a rolling restart stops next would win the term."""
        large_new = election_delay_s(2.15, 100.0, 5.0)
        large_old = election_delay_s(2.15, 100.0, 900.0)
        small_new = election_delay_s(0.5, 100.0, 5.0)
        self.assertLess(large_new + ELECTION_JITTER_S, large_old)
        self.assertLess(large_old + ELECTION_JITTER_S, small_new)

    def test_entry_with_low_bandwidth_campaigns_last(self) -> None:
        """An entry with 5 Mbit/s can hold the term for 7 s without reading all jobs."""
        thin = election_delay_s(2.15, 5.0, 5.0)
        small = election_delay_s(0.5, 100.0, 900.0)
        self.assertLess(small + ELECTION_JITTER_S, thin)
        self.assertLess(thin, 0.7)

    def test_token_rises_from_term_to_term(self) -> None:
        """Workers refuse orders with a token below the highest they have seen."""
        first, second = self.election("entry-1"), self.election("entry-2")
        self.follow(first)
        token = first.own.term.token
        first.leave()
        self.follow(second)
        self.assertGreater(second.own.term.token, token)

    def test_term_with_a_lost_answer_is_recognized(self) -> None:
        """A term that its holder does not know of blocks all entries until it expires.

        It comes about when the answer to the write that creates the key is lost.
        """
        self.store.fault = lambda step: "lost" if step == "txn" else ""
        election = self.election("entry-1")
        self.follow(election)
        self.assertIsNotNone(election.own)

    def test_late_creation_of_a_term_fails(self) -> None:
        """A write applied after its entry gave up would create a key with no holder.

        The write fails, as the entry has ended the lease that it refers to.
        """
        election = self.election("entry-1")
        self.store.fault = lambda step: "late" if step == "txn" else ""
        self.follow(election)
        self.store.fault = lambda step: ""
        self.assertIsNone(election.own)
        with self.assertRaises(Exception):
            self.store.run_late()
        self.assertNotIn(TERM_KEY, self.store.items)

    def test_no_order_after_the_lease_expired_locally(self) -> None:
        """A holder that resumes after a pause must renew its lease before it acts."""
        election = self.election("entry-1")
        self.follow(election)
        own = election.own
        self.assertTrue(own.is_valid)
        self.clock.advance(4.0)
        self.assertFalse(own.is_valid)
        election._renew_once(own)
        self.assertTrue(own.is_valid)

    def test_lost_lease_ends_the_duties(self) -> None:
        """Once the lease is gone, another entry may already hold the term."""
        election = self.election("entry-1")
        self.follow(election)
        own = election.own
        self.store.end_lease(own.term.lease)
        election._renew_once(own)
        self.assertFalse(own.is_valid)
        self.assertEqual(("stop", own.term.token, False), self.log[-1])

    def test_restarted_entry_ends_its_predecessors_term(self) -> None:
        """If all processes died, no other entry could end the lease."""
        self.follow(self.election("entry-1"))
        restarted = self.election("entry-1")
        self.follow(restarted)
        self.follow(restarted)
        self.assertIsNotNone(restarted.own)

    def test_entry_that_handed_over_backs_off(self) -> None:
        """A dispatcher in a partitioned zone would win the term again at once."""
        election = self.election("entry-1")
        self.follow(election)
        election.resign(6.0)
        self.follow(election)
        self.assertIsNone(election.own)
        self.clock.advance(6.1)
        self.follow(election)
        self.assertIsNotNone(election.own)


class ProgressTest(unittest.TestCase):
    """Test writes of job progress."""

    def setUp(self) -> None:
        """Build a job of two tasks, a worker and a writer under a term."""
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
        """Let a task end successfully."""
        task = place(self.tracker, self.job, index, self.view)
        row = build_end(number, task, RunEnd.DONE)
        self.tracker.apply_run_report(self.view, build_report(ends=[row]), 1.0, 1.0)

    def test_late_write_never_undoes_a_newer_one(self) -> None:
        """The store may apply a write seconds after its call timed out."""
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
        """Without a repeat, the writer would never know that the end is stored."""
        self.finish(0, 1)
        self.store.fault = lambda step: "lost"
        self.writer.write_once()
        self.store.fault = lambda step: ""
        self.writer.write_once()
        self.writer.write_once()
        stored = self.tracker.stored_versions.__getitem__
        self.assertEqual(1, self.view.acknowledge_stored_ends(stored))

    def test_write_after_the_term_is_refused(self) -> None:
        """A replaced holder must not change records that its successor reads."""
        self.finish(0, 1)
        self.store.items.pop(TERM_KEY)
        with self.assertRaises(TermEnded):
            self.writer.write_once()
        self.assertNotIn(self.key, self.store.items)

    def test_progress_survives_a_change_of_term(self) -> None:
        """A successor that lost an end or a failure would run the work again."""
        task = place(self.tracker, self.job, 0, self.view)
        row = build_end(1, task, RunEnd.FAILED)
        self.tracker.apply_run_report(self.view, build_report(ends=[row]), 1.0, 1.0)
        self.finish(1, 2)
        successor = build_job(build_step(task_count=2))
        apply_progress(successor, encode_progress(self.job))
        self.assertEqual(task.failed_runs, successor.steps[0, 0][0].failed_runs)
        self.assertTrue(successor.steps[0, 0][1].phase.value == "done")


class FakeLink:
    """Replace the link to the dispatcher."""

    def __init__(self) -> None:
        """Start with an unreachable dispatcher."""
        self.refuse_s = 0.0
        self.queue_outlook = None
        self.free_bytes = float("inf")
        self.workspace_retry_s = 0.0
        self.notified: list = []
        self.state = None
        self.submit_error: Exception | None = NoDispatcher("test")
        self.reachable = True

    def is_reachable(self) -> bool:
        """Return whether the dispatcher answers."""
        return self.reachable

    def refuse_retry_after_s(self, queue) -> float:
        """Return after how long refused callers may retry."""
        return self.refuse_s

    def has_room(self, job_bytes: int) -> bool:
        """Return whether the dispatcher has memory for a job."""
        return job_bytes <= self.free_bytes

    def outlook(self, queue):
        """Return the outlook of a queue, if the test has set one."""
        return self.queue_outlook

    def book_return(self, job, queue, refusal) -> float:
        """Return when the caller may return, as for `refuse_retry_after_s`."""
        return self.refuse_s

    def workspace_retry_after_s(self, queue, workspace) -> float:
        """Return after how long a workspace may submit again."""
        return self.workspace_retry_s

    def notify_accepted(self, job, value, created) -> None:
        """Record a notice about an accepted job."""
        self.notified.append(job)

    def notify_cancelled(self, job) -> None:
        """Ignore the notice."""

    def submit(self, key, value, wait_s) -> dict:
        """Accept a job for the entry, or raise."""
        if self.submit_error is not None:
            raise self.submit_error
        return {"is_new": True}

    def job_state(self, job, caller, wait_s):
        """Return the state known to the dispatcher, or raise."""
        if self.state is None:
            raise NoDispatcher("test")
        return self.state


class EntryTest(unittest.TestCase):
    """Test the answers to callers about their jobs."""

    def setUp(self) -> None:
        """Build an entry with a store and a link to the dispatcher."""
        self.store = FakeStore()
        self.link = FakeLink()
        self.clock = ManualClock(0.0)
        self.entry = EntryJobService(self.store, self.link, self.clock)
        self.spec = build_spec()

    def submit(self, timeout_s: float = 0.05):
        """Submit the job."""
        return self.entry.submit(self.spec, build_queue(), timeout_s)

    def test_repeated_submission_remains_one_job(self) -> None:
        """A caller's retry at another entry must not create a second job."""
        self.assertTrue(self.submit().is_new)
        self.assertFalse(self.submit().is_new)
        self.assertEqual([self.spec.job], self.link.notified)

    def test_refused_job_is_not_stored(self) -> None:
        """A refused job must never run, so it must not be stored."""
        self.store.fault = lambda step: "down"
        with self.assertRaises(JobRefused):
            self.submit()
        self.assertEqual({}, self.store.items)

    def test_job_that_could_not_be_stopped_in_time_is_refused(self) -> None:
        """Its tasks all have to run, and some would run on after it was cancelled."""
        entry = EntryJobService(
            self.store, self.link, self.clock, max_runs_per_job=1_250
        )
        lasting = {"is_long_running": True}
        for step, is_taken in (
            (build_step(task_count=1_250, **lasting), True),
            (build_step(task_count=1_251, **lasting), False),
            (build_step(task_count=1_251, is_gang=True, **lasting), True),
            (build_step(task_count=1_251), True),
        ):
            spec = build_spec(step, job=JobId(f"{len(self.store.items):016x}"))
            if is_taken:
                self.assertTrue(entry.submit(spec, build_queue(), 0.05).is_new)
                continue
            with self.assertRaises(JobRefused) as raised:
                entry.submit(spec, build_queue(), 0.05)
            self.assertEqual("job_too_wide", raised.exception.code)
            self.assertIsNone(self.store.get(accepted_key(spec.job)))

    def test_job_cancelled_before_it_is_stored_is_never_accepted(self) -> None:
        """A paused entry stored it after its cancelling was told (review case 8)."""
        self.assertFalse(self.entry.cancel(self.spec.job, NO_WORKSPACE, 0.1))
        with self.assertRaises(JobRefused):
            self.submit()
        self.assertNotIn(accepted_key(self.spec.job), self.store.items)

    def test_late_write_of_a_cancelled_job_has_no_effect(self) -> None:
        """The store carries a write out seconds later, without the entry."""
        self.store.fault = lambda step: "late" if step == "txn" else ""
        with self.assertRaises(AcceptUnknown):
            self.submit()
        self.store.fault = lambda step: ""
        self.assertFalse(self.entry.cancel(self.spec.job, NO_WORKSPACE, 0.1))
        self.store.run_late()
        self.assertNotIn(accepted_key(self.spec.job), self.store.items)

    def test_job_stored_while_it_is_cancelled_is_cancelled(self) -> None:
        """The caller was told that it does not exist, and it ran."""
        get = self.store.get

        def submit_meanwhile(key: str) -> None:
            self.store.get = get
            self.submit()

        self.store.get = submit_meanwhile
        self.assertTrue(self.entry.cancel(self.spec.job, NO_WORKSPACE, 0.1))
        self.assertIn(cancelled_key(self.spec.job), self.store.items)

    def test_other_workspace_cannot_withdraw_a_job(self) -> None:
        """It would keep the owner of the id from submitting its job."""
        self.entry.cancel(self.spec.job, WorkspaceName("other"), 0.1)
        self.spec = replace(self.spec, workspace=WorkspaceName("own"))
        self.assertTrue(self.submit().is_new)

    def test_withdrawals_do_not_stay_in_the_store(self) -> None:
        """Callers that cancel unknown ids would fill it."""
        for job in ("00000000000000c1", "00000000000000c2"):
            self.entry.cancel(JobId(job), NO_WORKSPACE, 0.1)
        leases = {item.lease for item in self.store.items.values()}
        self.assertEqual(1, len(leases))
        self.store.end_lease(*leases)
        self.assertEqual({}, self.store.items)
        self.assertFalse(self.entry.cancel(self.spec.job, NO_WORKSPACE, 0.5))

    def test_lost_answer_is_not_called_a_refusal(self) -> None:
        """The store may have applied the write, or may still apply it."""
        self.store.fault = lambda step: "late"
        with self.assertRaises(AcceptUnknown):
            self.submit()
        self.store.run_late()
        self.assertIn(accepted_key(self.spec.job), self.store.items)

    def test_job_without_memory_is_refused_unless_it_was_accepted(self) -> None:
        """Accepted jobs beyond the memory ended the dispatcher."""
        self.link.free_bytes = 0
        with self.assertRaises(JobRefused):
            self.submit()
        self.assertEqual({}, self.store.items)
        self.link.free_bytes = float("inf")
        self.submit()
        self.link.free_bytes = 0
        self.assertFalse(self.submit().is_new)

    def test_entry_without_the_store_lets_the_dispatcher_write(self) -> None:
        """An entry that is cut off from the store must still serve its callers."""
        self.store.fault = lambda step: "down"
        self.store.failing_s = 1.0
        self.link.submit_error = None
        self.assertTrue(self.submit().is_new)

    def test_isolated_entry_refuses_at_once(self) -> None:
        """The caller could try another entry meanwhile.

        After calls without an answer it would be told that its job may run, and could
        not try again.
        """
        calls: list[str] = []
        self.store.fault = lambda step: calls.append(step) or "lost"
        self.store.failing_s = 2.0
        self.link.reachable = False
        with self.assertRaises(JobRefused):
            self.submit(2.0)
        self.assertEqual([], calls)
        self.assertEqual({}, self.store.items)

    def test_refusal_after_an_unknown_outcome_is_unknown(self) -> None:
        """A refused retry would tell the caller that its first call never ran."""
        self.store.fault = lambda step: "late"
        with self.assertRaises(AcceptUnknown):
            self.submit()
        self.store.fault = lambda step: "down"
        with self.assertRaises(AcceptUnknown):
            self.submit()
        self.link.refuse_s = 3.0
        with self.assertRaises(AcceptUnknown):
            self.submit()
        self.store.run_late()
        self.assertIn(accepted_key(self.spec.job), self.store.items)

    def test_accepted_job_is_known_without_a_dispatcher(self) -> None:
        """A caller submits its job again if it is reported as nonexistent."""
        self.submit()
        self.assertEqual(
            JobState.QUEUED, self.entry.state(self.spec.job, NO_WORKSPACE, 0.1)
        )

    def test_unknown_job_is_reported_as_such(self) -> None:
        """Only the store can decide that a job does not exist."""
        self.assertIsNone(self.entry.state(self.spec.job, NO_WORKSPACE, 0.1))

    def test_queue_far_behind_still_knows_its_jobs(self) -> None:
        """A repeated submission of an accepted job must not be refused."""
        self.submit()
        self.link.refuse_s = 3.0
        self.assertFalse(self.submit().is_new)
        self.spec = build_spec(job="00000000000000b2")
        with self.assertRaises(JobRefused) as caught:
            self.submit()
        self.assertEqual(3.0, caught.exception.retry_after_s)

    def test_outlook_decides_instead_of_the_refusal_of_the_queue(self) -> None:
        """One refusal for the queue would also hit jobs that can be in time."""
        self.link.refuse_s = 3.0
        self.link.queue_outlook = QueueOutlook(build_queue().queue, ((4.0, 0.5),), 60.0)
        self.assertTrue(self.submit().is_new)
        self.spec = build_spec(job="00000000000000b2")
        self.link.queue_outlook = QueueOutlook(build_queue().queue, ((4.0, 5.0),), 60.0)
        with self.assertRaises(JobRefused) as caught:
            self.submit()
        self.assertEqual("queue_behind", caught.exception.code)

    def test_record_holds_the_whole_job(self) -> None:
        """A successor knows only what is in the record."""
        step = build_step(task_count=3, after=(), is_gang=True, target_ms=80)
        spec = build_spec(step, build_step(after=(0,)), times=2, interval_ms=500)
        value = encode_job(spec, build_queue(), 12.5)
        self.assertEqual((spec, 12.5), decode_job(spec.job, value))


class RevisionTest(unittest.TestCase):
    """Test the revisions used in conditions."""

    def test_absent_key_has_revision_zero(self) -> None:
        """Otherwise, a condition that a key is absent could never be met."""
        store = FakeStore()
        self.assertIsNotNone(store.transact({"a": Revision(0)}).revision)


if __name__ == "__main__":
    unittest.main()
