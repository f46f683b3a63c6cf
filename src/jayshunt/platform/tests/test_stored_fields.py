"""Test that what is stored of a job can be read back."""

import unittest

from jayshunt.dispatch.record_models import MAX_CHECKPOINT_CHARS
from jayshunt.dispatch.records import (
    apply_progress,
    decode_job,
    encode_job,
    encode_progress,
)
from jayshunt.dispatch.tests.builders import JOB, build_job, build_queue, build_step
from jayshunt.ids import WorkerId
from jayshunt.platform.formats import decode_submission
from jayshunt.platform.tests.scripted_server import ScriptedServer
from jayshunt.platform.tests.test_server_limits import build_largest_job
from jayshunt.platform.worker_calls import WorkerClient
from jayshunt.tests.builders import run_in_loop


class StoredFieldsTest(unittest.TestCase):
    """Guard against records that the next term cannot read."""

    def test_largest_job_is_read_back(self) -> None:
        """An accepted job whose record is malformed would never run."""
        queue = build_queue()
        spec = decode_submission(JOB, queue.queue, build_largest_job())
        self.assertEqual(spec, decode_job(JOB, encode_job(spec, queue, 1.0))[0])

    def read_checkpoints(self, *saved: str) -> list[str]:
        """Return the checkpoints of runs that a worker lists with these values."""
        server = ScriptedServer()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        rows = [["a.0.0.0", 1, text, 50, 0] for text in saved]
        ended = [[1, "a.0.0.1", 2, "failed", text] for text in saved]
        server.answers = [(200, {"clockMs": 9, "running": rows, "ended": ended})]
        calls = WorkerClient(WorkerId("i-1"), server.address, 7)
        report = run_in_loop(calls.poll_runs(0, None, 0, 1.0))
        return [run.checkpoint for run in (*report.running, *report.ended)]

    def test_checkpoint_that_cannot_be_stored_is_ignored(self) -> None:
        """The next term could not read the progress of the whole job."""
        longest = "\n" * MAX_CHECKPOINT_CHARS
        found = self.read_checkpoints(longest, longest + "x", "\ud800")
        self.assertEqual([longest, "", ""] * 2, found)
        job, successor = build_job(build_step()), build_job(build_step())
        job.tasks()[0].checkpoint = longest
        apply_progress(successor, encode_progress(job))
        self.assertEqual(longest, successor.tasks()[0].checkpoint)


if __name__ == "__main__":
    unittest.main()
