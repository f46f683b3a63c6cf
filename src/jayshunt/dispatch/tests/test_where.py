"""Test that an explanation of where a job would go is true and changes nothing."""

import time
import unittest
from copy import deepcopy

from jayshunt.dispatch.diagnostics import describe_dispatch
from jayshunt.dispatch.models import Resources
from jayshunt.dispatch.records import encode_job
from jayshunt.dispatch.tests.builders import (
    build_job,
    build_queue,
    build_step,
)
from jayshunt.dispatch.tests.fleet_builders import FakeFleet
from jayshunt.dispatch.tests.where_builders import (
    QUESTION,
    ask,
    build_peer_api,
    build_ready_dispatcher,
    list_vms,
    views_by_name,
)
from jayshunt.ids import JobId
from jayshunt.platform.formats import MalformedSubmission, decode_submission


class WhereTest(unittest.TestCase):
    """Ask one dispatcher with eight workers."""

    def setUp(self) -> None:
        """Fill some workers, and make others unusable."""
        fleet = FakeFleet(8)
        self.dispatcher = build_ready_dispatcher(fleet)
        self.addCleanup(self.dispatcher.stop, False)
        self.store = fleet.store
        self.api = build_peer_api(fleet, self.dispatcher)
        self.views = views_by_name(self.dispatcher)
        now_s = time.monotonic()
        self.views["w1"].set_aside_until_s = now_s + 60
        self.views["w2"].is_failing = True
        self.views["w3"].placement_paused_until_s = now_s + 60
        self.fill("w4", 62_000)
        self.fill("w5", 56_000)

    def fill(self, name: str, millicores: int) -> None:
        """Place a task on a worker."""
        step = build_step(resources=Resources(millicores, 1_000))
        job = build_job(step, number=0x100 + millicores)
        self.dispatcher.tracker.add_job(job)
        self.dispatcher.tracker.record_order(
            job.tasks()[0], self.views[name], 16, time.monotonic()
        )

    def ask(self, **changes) -> dict:
        """Return the explanation of a job of two tasks."""
        status, answer = ask(self.api, {**QUESTION, **changes})
        self.assertEqual("200 -", status, answer)
        return answer

    def test_job_is_then_placed_where_the_answer_said(self) -> None:
        """An explanation by other rules than the planner's would mislead."""
        told = {row["worker"]: row["tasks"] for row in self.ask()["workers"]}
        job = JobId("00000000000000f1")
        spec = decode_submission(job, build_queue().queue, QUESTION["job"].encode())
        value = encode_job(spec, build_queue(), time.time())
        self.dispatcher.notify_accepted(job, value, 99)
        self.dispatcher.planner._round()
        found = {
            name: count
            for name, view in self.views.items()
            if (count := sum(key.job == job for key in view.tasks))
        }
        self.assertEqual(told, found)
        self.assertEqual(2, sum(found.values()))

    def test_nothing_changes(self) -> None:
        """A question must neither reserve room nor count as an arrival."""

        def snapshot() -> tuple:
            sizer, tracker = self.dispatcher.fleet.sizer, self.dispatcher.tracker
            return (
                describe_dispatch(self.dispatcher),
                [repr(job.tasks()) for job in tracker.jobs.values()],
                [repr(view) for view in tracker.workers.values()],
                deepcopy((sizer.arrivals, sizer.counted, sizer.recent_needs)),
                dict(sizer.needs),
                self.dispatcher.planner.knows_all_runs,
                dict(self.store.items),
                self.store.revision,
            )

        before = snapshot()
        self.ask()
        self.assertEqual(before, snapshot())

    def test_each_worker_that_gets_nothing_has_a_reason(self) -> None:
        """Operators could not tell a full pool from one that is set aside."""
        answer = self.ask()
        reasons = {row["worker"]: row["reason"] for row in answer["others"]}
        for name, text in (
            ("w6", "ranks higher"),
            ("w1", "set aside"),
            ("w2", "silent"),
            ("w3", "refused a start"),
            ("w4", "no room"),
        ):
            self.assertIn(text, reasons[name])
        self.assertEqual(["w5", "w0"], [r["worker"] for r in answer["workers"]])
        self.assertTrue(answer["is_accepted"])
        self.assertEqual((0.0, 0.4), (answer["start_in_s"], answer["end_in_s"]))
        self.assertAlmostEqual(1.6 * 0.4 + 0.6, answer["objective_s"])
        self.assertTrue(answer["is_in_time"])

    def test_moves_are_those_that_the_sizer_then_decides(self) -> None:
        """A pool that is short would look as if it got no VMs."""
        list_vms(self.dispatcher, self.views, spare=3)
        job = '{"steps": [{"cpu": 60000, "count": 40, "estimateMs": 400}]}'
        before = deepcopy(self.dispatcher.fleet.sizer.counted)
        moves = self.ask(job=job)["moves"]
        self.assertEqual(before, self.dispatcher.fleet.sizer.counted)
        self.assertEqual(["vm-s0", "vm-s1", "vm-s2"], [row["vm"] for row in moves])
        self.assertFalse(any(row["is_begun"] for row in moves))

    def test_queue_that_is_far_behind_refuses(self) -> None:
        """The answer must be the one that a submission would get."""
        step = build_step(task_count=900, estimate_ms=60_000)
        behind = build_job(step, number=0xE1, accepted_s=time.monotonic())
        self.dispatcher.tracker.add_job(behind)
        answer = self.ask()
        self.assertFalse(answer["is_accepted"])
        refusals = self.dispatcher.planner.refusals()
        self.assertEqual(refusals[build_queue().queue], answer["retry_after_s"])

    def test_job_without_room_waits(self) -> None:
        """A job larger than any worker must not look as if it started at once."""
        job = '{"steps": [{"cpu": 65000, "estimateMs": 400}]}'
        answer = self.ask(job=job)
        self.assertEqual([], answer["workers"])
        self.assertEqual("room on a worker", answer["waits_for"])
        self.assertGreater(answer["start_in_s"], 0)

    def test_malformed_job_has_the_error_of_a_submission(self) -> None:
        """A file that `where` takes must be one that can be submitted."""
        for text in ("{", '{"steps": []}', '{"steps": [{"after": [3]}]}'):
            with self.assertRaises(MalformedSubmission) as raised:
                decode_submission(JobId("a1"), build_queue().queue, text.encode())
            status, answer = ask(self.api, {**QUESTION, "job": text})
            self.assertEqual("400 -", status)
            self.assertEqual(str(raised.exception), answer["error"])

    def test_unknown_queue_and_workspace(self) -> None:
        """A mistyped name must not be answered for another queue."""
        for change in ({"queue": "other"}, {"workspace": "other"}):
            status, answer = ask(self.api, {**QUESTION, **change})
            self.assertEqual("404 -", status, answer)

    def test_entry_that_is_cut_off_says_so(self) -> None:
        """An entry without a dispatcher knows nothing that it could answer."""
        status, answer = ask(build_peer_api(FakeFleet(0), None), QUESTION)
        self.assertEqual("503 -", status)
        self.assertIn("cut off", answer["error"])

    def test_scheduled_job_waits_for_its_time(self) -> None:
        """Its tasks do not exist yet, so none can be placed."""
        text = '{"steps": [{"cpu": 1}], "times": 1, "startAtMs": 9000000000000}'
        self.assertEqual("its time has not come", self.ask(job=text)["waits_for"])


if __name__ == "__main__":
    unittest.main()
