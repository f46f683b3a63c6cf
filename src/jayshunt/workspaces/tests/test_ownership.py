"""Test that a job exists only for the workspace that submitted it."""

import unittest
from types import SimpleNamespace

from jayshunt.clock import ManualClock
from jayshunt.dispatch.errors import JobIdTaken
from jayshunt.dispatch.models import JobState
from jayshunt.dispatch.records import accepted_key, cancelled_key
from jayshunt.dispatch.tests.builders import JOB, build_queue, build_spec
from jayshunt.dispatch.tests.fleet_builders import FakeFleet
from jayshunt.workspaces.const import NO_WORKSPACE
from jayshunt.workspaces.tests.builders import (
    MOUNTAIN,
    RIVER,
    build_entry,
    build_link,
)


class OwnershipTest(unittest.TestCase):
    """Test each way in which an entry reaches a job.

    They are the store, the dispatcher, and the dispatcher for an entry that does not
    reach the store.
    """

    def setUp(self) -> None:
        """Build an entry for each of the ways to the same jobs."""
        fleet = FakeFleet(0)
        self.store = fleet.store
        self.dispatcher = fleet.build_dispatcher()
        self.addCleanup(self.dispatcher.stop, False)
        self.dispatcher.ready.set()
        clock = ManualClock(0.0)
        link = build_link(clock, self.dispatcher)
        cut_off = SimpleNamespace(failing_for_s=lambda: 0.6, get=self.store.get)
        self.entries = {
            "store": build_entry(self.store, build_link(clock), clock),
            "dispatcher": build_entry(self.store, link, clock),
            "cut off": build_entry(cut_off, link, clock),
        }

    def submit(self, way: str, workspace, job=JOB):
        """Submit a job for a workspace."""
        spec = build_spec(job=job, workspace=workspace)
        return self.entries[way].submit(spec, build_queue(), 0.5)

    def test_other_workspaces_see_no_job(self) -> None:
        """Ids appear in logs and tickets, so they must not be enough to read a job."""
        for owner, others in ((RIVER, (MOUNTAIN, NO_WORKSPACE)), (NO_WORKSPACE, ())):
            job = JOB if owner else "00000000000000b2"
            self.submit("cut off", owner, job)
            for way, entry in self.entries.items():
                self.assertEqual(JobState.QUEUED, entry.state(job, owner, 0.1), way)
                for other in others:
                    self.assertIsNone(entry.state(job, other, 0.1), way)
                    self.assertFalse(entry.cancel(job, other, 0.1), way)
        self.assertNotIn(cancelled_key(JOB), self.store.items)
        self.assertIsNone(self.dispatcher.job_state(JOB, MOUNTAIN))

    def test_owner_may_cancel(self) -> None:
        """Each key of the workspace must work, by whatever way the job is reached."""
        for number, (way, entry) in enumerate(self.entries.items()):
            job = f"{number:016x}"
            self.submit(way, RIVER, job)
            self.assertTrue(entry.cancel(job, RIVER, 0.1), way)
            self.assertIn(cancelled_key(job), self.store.items, way)

    def test_id_of_another_workspace_is_taken(self) -> None:
        """Called accepted, the second job would never run; its id would be probed."""
        self.submit("store", RIVER)
        stored = self.store.items[accepted_key(JOB)]
        for way in self.entries:
            for other in (MOUNTAIN, NO_WORKSPACE):
                with self.assertRaises(JobIdTaken, msg=way):
                    self.submit(way, other)
            self.assertFalse(self.submit(way, RIVER).is_new, way)
        self.assertEqual(stored, self.store.items[accepted_key(JOB)])

    def test_full_queue_does_not_confirm_another_workspaces_job(self) -> None:
        """A queue that refuses jobs still accepts a retry, but only the owner's."""
        self.submit("store", RIVER)
        clock = ManualClock(0.0)
        link = build_link(clock)
        link._refusals = {build_queue().queue: 3.0}
        entry = build_entry(self.store, link, clock)
        with self.assertRaises(JobIdTaken):
            entry.submit(build_spec(workspace=MOUNTAIN), build_queue(), 0.1)
        accepted = entry.submit(build_spec(workspace=RIVER), build_queue(), 0.1)
        self.assertFalse(accepted.is_new)


if __name__ == "__main__":
    unittest.main()
