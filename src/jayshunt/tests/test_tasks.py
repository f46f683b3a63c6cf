"""Test how background tasks end and recover."""

import threading
import time
import unittest

from jayshunt.tasks import TaskGroup

SLOW_TASKS = 40
STOP_TIMEOUT_S = 0.05
WAIT_S = 5.0


class TaskGroupTest(unittest.TestCase):
    """Test the stop of many tasks and the supervision of one."""

    def test_stop_timeout_covers_all_tasks_together(self) -> None:
        """A dispatcher that waits for each worker session keeps its term meanwhile.

        With a timeout for each task, a handover over 540 workers lasted as long as the
        longest call to a worker, about two seconds in which nobody dispatched.
        """
        release = threading.Event()
        self.addCleanup(release.set)
        group = TaskGroup("test")
        for _ in range(SLOW_TASKS):
            group.start(lambda stop: release.wait(WAIT_S))
        begun_s = time.monotonic()
        with self.assertLogs("jayshunt.tasks", "WARNING") as logs:
            group.stop(STOP_TIMEOUT_S)
        self.assertLess(time.monotonic() - begun_s, STOP_TIMEOUT_S * SLOW_TASKS / 4)
        self.assertEqual(1, len(logs.records))

    def test_supervised_task_runs_again_after_an_error(self) -> None:
        """An unexpected error must not end a loop that the process depends on."""
        group = TaskGroup("test")
        self.addCleanup(group.stop)
        calls: list[int] = []
        recovered = threading.Event()

        def fail_once(stop: threading.Event) -> None:
            calls.append(1)
            if len(calls) == 1:
                raise RuntimeError("malformed")
            recovered.set()

        with self.assertLogs("jayshunt.tasks", "ERROR"):
            group.supervise(fail_once)
            self.assertTrue(recovered.wait(WAIT_S))

    def test_task_that_is_started_after_the_stop_does_not_run(self) -> None:
        """A term that ended while its threads started looked like an unexpected error.

        The entry was stopped right after it had taken over (soak seed 110).
        """
        group = TaskGroup("test")
        group.stop()
        for start in (group.start, group.supervise):
            self.assertIsNone(start(lambda stop: self.fail("ran")).result(WAIT_S))

    def test_task_over_the_limit_is_logged(self) -> None:
        """A session that waits for a thread gets no lease, which must be visible."""
        release = threading.Event()
        group = TaskGroup("test", max_tasks=1)
        self.addCleanup(group.stop)
        self.addCleanup(release.set)
        group.start(lambda stop: release.wait(WAIT_S))
        with self.assertLogs("jayshunt.tasks", "ERROR"):
            group.start(lambda stop: None)


if __name__ == "__main__":
    unittest.main()
