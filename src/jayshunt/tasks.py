"""Run the background tasks of a process on one executor."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

_LOGGER = logging.getLogger(__name__)

MAX_TASKS = 256
STOP_TIMEOUT_S = 5.0


class TaskGroup:
    """Group of background tasks that are stopped together.

    A background task, here called task, is no part of a job. It is a function that
    takes the stop event and returns soon after the event is set. An exception that
    a task raises is logged, never lost.
    """

    def __init__(self, name: str, max_tasks: int = MAX_TASKS) -> None:
        """Create the executor; no thread starts before the first task.

        A task beyond `max_tasks` waits, without a log record, for another to end.
        """
        self._executor = ThreadPoolExecutor(max_tasks, thread_name_prefix=name)
        self._stop = threading.Event()
        self._futures: list[Future] = []

    @property
    def stopping(self) -> threading.Event:
        """Return the event that tells the tasks to stop."""
        return self._stop

    def start(self, task: Callable[[threading.Event], None]) -> Future:
        """Start one task; the Future is done, with result None, when the task ends."""
        future = self._executor.submit(self._run, task)
        self._futures = [f for f in self._futures if not f.done()]
        self._futures.append(future)
        return future

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Set the stop event and wait for every task; `timeout_s` applies to each."""
        self._stop.set()
        for future in self._futures:
            try:
                future.result(timeout=timeout_s)
            except TimeoutError:
                _LOGGER.warning("tasks: a task did not stop within %.1f s", timeout_s)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _run(self, task: Callable[[threading.Event], None]) -> None:
        try:
            task(self._stop)
        except Exception:
            _LOGGER.exception("tasks: unexpected error in a task")
