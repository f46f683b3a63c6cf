"""Run the background tasks of a process on one executor."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait

_LOGGER = logging.getLogger(__name__)

MAX_TASKS = 256
STOP_TIMEOUT_S = 5.0
# Pause before a task that restarts runs again after an unexpected error.
RESTART_DELAY_S = 0.25

Task = Callable[[threading.Event], None]


class TaskGroup:
    """Group of background tasks that are stopped together.

    A background task, here called task, is no part of a job. It is a function that
    takes the stop event and returns soon after the event is set. An exception that
    a task raises is logged, never lost. A task that is started after `stop` does not
    run.
    """

    def __init__(self, name: str, max_tasks: int = MAX_TASKS) -> None:
        """Create the executor; no thread starts before the first task.

        A task beyond `max_tasks` waits for another to end, which is logged.
        """
        self._name = name
        self._max_tasks = max_tasks
        self._executor = ThreadPoolExecutor(max_tasks, thread_name_prefix=name)
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._futures: set[Future] = set()

    @property
    def stopping(self) -> threading.Event:
        """Return the event that tells the tasks to stop."""
        return self._stop

    def start(self, task: Task) -> Future:
        """Start one task; the Future is done, with result None, when the task ends."""
        return self._submit(self._run, task)

    def supervise(self, task: Task) -> Future:
        """Start a task that runs again after an unexpected error.

        For loops that the process cannot do without: one malformed message must not
        end them. The task has to tolerate being called again. It ends when it returns
        or when the group stops.
        """
        return self._submit(self._run_supervised, task)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> None:
        """Set the stop event and wait up to `timeout_s` for all tasks together."""
        self._stop.set()
        with self._lock:
            futures = set(self._futures)
        _, running = wait(futures, timeout_s)
        if running:
            _LOGGER.warning(
                "tasks: %s tasks of %s did not stop within %.2f s",
                len(running),
                self._name,
                timeout_s,
            )
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _submit(self, run: Callable[[Task], None], task: Task) -> Future:
        try:
            future = self._executor.submit(run, task)
        except RuntimeError:
            if not self._stop.is_set():
                raise
            # The group was stopped by another thread while it was being set up.
            future = Future()
            future.set_result(None)
            return future
        with self._lock:
            self._futures.add(future)
            count = len(self._futures)
        future.add_done_callback(self._forget)
        if count > self._max_tasks:
            _LOGGER.error(
                "tasks: a task of %s waits, %s of %s are running",
                self._name,
                count,
                self._max_tasks,
            )
        return future

    def _forget(self, future: Future) -> None:
        with self._lock:
            self._futures.discard(future)

    def _run(self, task: Task) -> None:
        try:
            task(self._stop)
        except Exception:
            _LOGGER.exception("tasks: unexpected error in a task")

    def _run_supervised(self, task: Task) -> None:
        while not self._stop.is_set():
            try:
                task(self._stop)
                return
            except Exception:
                _LOGGER.exception(
                    "tasks: unexpected error in a task, it starts again in %.2f s",
                    RESTART_DELAY_S,
                )
            self._stop.wait(RESTART_DELAY_S)
