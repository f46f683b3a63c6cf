"""Run many small tasks that wait for HTTP answers and timers on one thread.

A task is a generator, written straight down. It yields what it waits for and is
resumed with the result::

    def check(url):
        while True:
            try:
                answer = yield HttpCall("GET", url, timeout_s=1.0, step="check")
                print(answer.status)
            except JayshuntError as error:
                print(error)
            yield Sleep(5.0)

    loop = TaskLoop("checks")
    loop.start()
    loop.spawn(lambda: check("http://127.0.0.1:8080/"))

With a thread for each peer instead, a process that takes over thousands of peers spends
seconds on starting and switching threads.
"""

import heapq
import itertools
import logging
import os
import selectors
import threading
import time
from collections import deque
from collections.abc import Callable, Generator
from dataclasses import dataclass
from functools import partial

from jayshunt.errors import JayshuntError
from jayshunt.http_client import HttpAnswer, HttpCall
from jayshunt.http_multi import MAX_IDLE_CONNECTIONS, HttpMulti
from jayshunt.tasks import RESTART_DELAY_S

_LOGGER = logging.getLogger(__name__)

# Limits the wait for events, so that a lost one delays the loop only this long.
MAX_SELECT_S = 1.0


class Signal:
    """Flag that other threads set and for which one task may wait."""

    def __init__(self) -> None:
        """Start as not set."""
        self.is_set = False
        self._on_set: Callable[[], None] | None = None

    def set(self) -> None:
        """Set the flag and resume the task that waits for it."""
        self.is_set = True
        on_set = self._on_set
        if on_set is not None:
            on_set()

    def clear(self) -> None:
        """Reset the flag."""
        self.is_set = False

    def watch(self, on_set: Callable[[], None] | None) -> None:
        """Call `on_set` at each `set` and if the flag is set now; None ends it."""
        self._on_set = on_set
        if on_set is not None and self.is_set:
            on_set()


@dataclass(frozen=True, slots=True)
class Sleep:
    """Resume the task after a time in seconds."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class Wait:
    """Resume the task once a signal is set, at the latest after `timeout_s`."""

    signal: Signal
    timeout_s: float


Step = HttpCall | Sleep | Wait
Steps = Generator[Step, HttpAnswer | None, object]


@dataclass(eq=False)
class _RunningTask:
    """Task with its function, which is called again after an unexpected error.

    `wait` identifies the wait for a signal that may resume the task, so that neither a
    late timer nor a second signal resumes it again.
    """

    function: Callable[[], Steps]
    restarts: bool
    steps: Steps
    wait: object = None


class TaskLoop:
    """Thread that resumes tasks; `spawn` and `stop` may be called from any thread."""

    def __init__(
        self, name: str, max_idle_connections: int = MAX_IDLE_CONNECTIONS
    ) -> None:
        """Create the loop; no task runs before `start`."""
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._selector = selectors.DefaultSelector()
        self._http = HttpMulti(self._selector, max_idle_connections)
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._ready: deque[Callable[[], None]] = deque()
        self._is_stopping = False
        self._is_wakeup_sent = False
        self._wakeup_read_fd, self._wakeup_write_fd = os.pipe()
        os.set_blocking(self._wakeup_read_fd, False)
        os.set_blocking(self._wakeup_write_fd, False)
        self._selector.register(self._wakeup_read_fd, selectors.EVENT_READ)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Make the thread drop all tasks, abort their calls and end; do not wait."""
        self._is_stopping = True
        self._wake_up()

    def spawn(self, function: Callable[[], Steps], restarts: bool = False) -> None:
        """Run a task; with `restarts`, again after an unexpected error."""
        self._call_soon(partial(self._begin, function, restarts))

    def _call_soon(self, callback: Callable[[], None]) -> None:
        self._ready.append(callback)
        self._wake_up()

    def _wake_up(self) -> None:
        if self._is_wakeup_sent or threading.current_thread() is self._thread:
            return
        self._is_wakeup_sent = True
        try:
            os.write(self._wakeup_write_fd, b"x")
        except OSError as error:
            _LOGGER.debug("tasks: the loop is closed or full: %s", error)

    def _run(self) -> None:
        while not self._is_stopping:
            try:
                self._run_once()
            except Exception:
                _LOGGER.exception("tasks: unexpected error in the task loop")
                # An error that comes back must not use up the processor and the log.
                time.sleep(RESTART_DELAY_S)
        self._close()

    def _run_once(self) -> None:
        for key, events in self._selector.select(self._timeout_s()):
            if key.fd == self._wakeup_read_fd:
                self._is_wakeup_sent = False
                os.read(self._wakeup_read_fd, 4096)
            else:
                self._http.run_socket(key.fd, events)
        self._http.run_timeouts()
        now_s = time.monotonic()
        while self._timers and self._timers[0][0] <= now_s:
            heapq.heappop(self._timers)[2]()
        for _ in range(len(self._ready)):
            self._ready.popleft()()

    def _timeout_s(self) -> float:
        if self._ready:
            return 0.0
        timeout_s = MAX_SELECT_S
        http_timeout_s = self._http.timeout_s()
        if http_timeout_s is not None:
            timeout_s = min(timeout_s, http_timeout_s)
        if self._timers:
            timeout_s = min(timeout_s, self._timers[0][0] - time.monotonic())
        return max(0.0, timeout_s)

    def _begin(self, function: Callable[[], Steps], restarts: bool) -> None:
        self._resume(_RunningTask(function, restarts, function()))

    def _resume(
        self,
        task: _RunningTask,
        answer: HttpAnswer | None = None,
        error: JayshuntError | None = None,
    ) -> None:
        try:
            if error is None:
                step = task.steps.send(answer)
            else:
                step = task.steps.throw(error)
            self._wait_for(task, step)
        except StopIteration:
            return
        except Exception:
            _LOGGER.exception("tasks: unexpected error in a task")
            if task.restarts:
                again = partial(self._begin, task.function, True)
                self._call_later(RESTART_DELAY_S, again)

    def _wait_for(self, task: _RunningTask, step: Step) -> None:
        match step:
            case HttpCall():
                self._http.start(step, partial(self._resume, task))
            case Sleep(duration_s):
                self._call_later(duration_s, partial(self._resume, task))
            case Wait(signal, timeout_s):
                self._wait_for_signal(task, signal, timeout_s)
            case _:
                raise TypeError(f"a task yielded {step!r}")

    def _wait_for_signal(
        self, task: _RunningTask, signal: Signal, timeout_s: float
    ) -> None:
        wait = object()
        task.wait = wait

        def end_wait() -> None:
            if task.wait is wait:
                task.wait = None
                signal.watch(None)
                self._resume(task)

        self._call_later(timeout_s, end_wait)
        signal.watch(lambda: self._call_soon(end_wait))

    def _call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        timer = (time.monotonic() + delay_s, next(self._sequence), callback)
        heapq.heappush(self._timers, timer)

    def _close(self) -> None:
        self._timers.clear()
        self._ready.clear()
        self._http.close()
        self._selector.close()
        os.close(self._wakeup_read_fd)
        os.close(self._wakeup_write_fd)
