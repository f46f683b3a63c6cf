"""Test the clients of workers and of the VM service against scripted servers."""

import unittest

from jayshunt.dispatch.models import Address, OrderRefusal, RunningRun, TaskKey
from jayshunt.dispatch.vms import DutyRefusal, VmState
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import EntryId, JobId, PoolName, VmId, WorkerId
from jayshunt.platform.machine_calls import VmServiceClient
from jayshunt.platform.tests.scripted_server import MALFORMED_BODIES, ScriptedServer
from jayshunt.platform.worker_calls import WorkerClient
from jayshunt.tests.builders import run_in_loop


class WorkerTest(unittest.TestCase):
    """Test the orders to a worker and the lists of runs on the wire."""

    def setUp(self) -> None:
        """Start a scripted worker."""
        self.server = ScriptedServer()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.calls = WorkerClient(WorkerId("i-1"), self.server.address, 7)

    def test_poll_runs_reads_both_lists(self) -> None:
        """A misread row of running or ended runs would start a task twice."""
        self.server.answers = [
            (
                200,
                {
                    "clockMs": 9,
                    "born": 3,
                    "running": [["a.0.1.2", 4, "", 50, 12]],
                    "ended": [[1, "a.0.1.3", 2, "failed", "s"]],
                },
            )
        ]
        answer = run_in_loop(self.calls.poll_runs(5, 800, 100, 1.0))
        self.assertEqual(TaskKey(JobId("a"), 0, 1, 2), answer.running[0].task)
        self.assertEqual(("s", 1), (answer.ended[0].checkpoint, answer.ended[0].number))
        _, _, body, headers = self.server.requests[0]
        self.assertEqual(
            (7, 5, 800), tuple(body[k] for k in ("fencingToken", "seenUpto", "untilMs"))
        )
        self.assertEqual("i-1", headers["X-Expect-Instance"])

    def test_full_list_of_ends_may_lack_some(self) -> None:
        """A run whose end is not listed yet would count as one that never was."""
        for count, may_lack_ends in ((499, False), (500, True)):
            ended = [[n, f"a.0.0.{n}", 1, "done", ""] for n in range(1, count + 1)]
            self.server.answers = [(200, {"clockMs": 9, "ended": ended})]
            answer = run_in_loop(self.calls.poll_runs(0, None, 0, 1.0))
            self.assertEqual(may_lack_ends, answer.may_lack_ends, f"{count} ends")

    def test_refusals_are_told_apart(self) -> None:
        """Each refusal needs its own reason, as the dispatcher reacts differently."""
        self.server.answers = [
            (409, {"reason": "fence"}),
            (421, {}),
            (503, {}),
            (409, {"reason": "old", "clockMs": 4}),
        ]
        task = TaskKey(JobId("a"), 0, 0, 0)
        found = [run_in_loop(self.calls.stop(task, 1, 1.0)).refusal for _ in range(4)]
        self.assertEqual(
            [
                OrderRefusal.FENCED,
                OrderRefusal.OTHER_INCARNATION,
                OrderRefusal.UNHEALTHY,
                OrderRefusal.SUPERSEDED,
            ],
            found,
        )

    def test_malformed_report_has_an_unknown_outcome(self) -> None:
        """A report without the malformed row would show that its run has ended."""
        task = TaskKey(JobId("a"), 0, 0, 0)
        reports = [
            *MALFORMED_BODIES,
            {"clockMs": 9, "running": [["a.0.1", 4, "", 50]]},
            {"clockMs": 9, "running": [["a.0.1.2", None, "", 50]]},
            {"clockMs": 9, "ended": [[1, "a.0.1.3", 2, "odd", ""]]},
        ]
        for report in reports:
            self.server.answers = [(200, report)]
            with self.assertRaises(JayshuntError) as caught:
                run_in_loop(self.calls.poll_runs(0, 800, 0, 1.0))
            self.assertIs(Outcome.UNKNOWN, caught.exception.outcome)
        self.server.answers = [(200, b"["), (409, [1])]
        self.assertIsNone(run_in_loop(self.calls.stop(task, 1, 1.0)).refusal)
        self.assertIs(
            OrderRefusal.OTHER, run_in_loop(self.calls.stop(task, 1, 1.0)).refusal
        )


class RunReportTest(unittest.TestCase):
    """Decode one report after the other."""

    def test_row_that_changed_is_decoded_anew(self) -> None:
        """Rows that are as before are taken from the report before."""
        client = WorkerClient(WorkerId("w1"), Address("127.0.0.1", 1), 7)
        rows = [[f"{n:016x}.0.0.0", 16, "", 50, 0] for n in range(3)]
        first = client._decode_report({"clockMs": 1, "running": rows})
        changed = [rows[0], [rows[1][0], 17, "saved", 100, 5]]
        second = client._decode_report({"clockMs": 2, "running": changed})
        self.assertIs(first.running[0], second.running[0])
        expected = RunningRun(first.running[1].task, 17, "saved", 100, 5)
        self.assertEqual(expected, second.running[1])
        self.assertEqual(2, len(second.running))


class VmServiceTest(unittest.TestCase):
    """Test the list of VMs and the orders on the wire."""

    def test_malformed_list_is_refused_as_a_whole(self) -> None:
        """VMs that are missing from the list would count as gone."""
        server = ScriptedServer()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        calls = VmServiceClient(server.address, EntryId("entry-1"))
        vm = {"machine": "m-1", "pool": "desk", "state": "up"}
        server.answers = [
            *((200, body) for body in MALFORMED_BODIES),
            (200, {"machines": [vm], "nextToken": 7}),
        ]
        for _ in range(len(server.answers)):
            with self.assertRaises(JayshuntError):
                calls.list()
        server.answers = [(409, b"["), (409, {"reason": ["fence"]})]
        for _ in range(2):
            answer = calls.move(VmId("m-1"), PoolName("desk"), 7)
            self.assertIs(DutyRefusal.OTHER, answer.refusal)

    def test_malformed_row_hides_no_vm(self) -> None:
        """One odd row stopped all duties, as the list was refused as long as it was.

        Its own VM must not count as gone either, which would complete its waves.
        """
        server = ScriptedServer()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        calls = VmServiceClient(server.address, EntryId("entry-1"))
        rows = [{"machine": f"m-{n}", "pool": "desk", "state": "up"} for n in range(3)]
        odd = [{**row, "capacity": {"cpu": "x"}} for row in (rows[0], rows[1])]
        page = {"machines": [odd[0], None, 7, {"pool": "desk"}, odd[1], rows[2]]}
        server.answers = [(200, {"machines": [rows[0]]}), (200, page), (200, page)]
        calls.list()
        with self.assertLogs("jayshunt.platform.machine_calls", "WARNING") as logs:
            found = {vm.vm: vm.state for vm in calls.list()}
            calls.list()
        expected = {"m-0": VmState.UP, "m-1": VmState.DOWN, "m-2": VmState.UP}
        self.assertEqual(expected, found)
        self.assertEqual(4, len(logs.records))


if __name__ == "__main__":
    unittest.main()
