"""Simulate one incarnation of a worker: its runs, its lease and its run ends."""

import json
import math
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from jayshunt_soak.const import (
    HOLD_MAX_MS,
    MEMORY_MB_PER_VM,
    MILLICORES_PER_VM,
    MIN_CLOCK_RATE,
    STOP_TAKES_S,
)

MAX_ENDS_LISTED = 500
# Share of the runs of lasting tasks that fail, and when they do.
LASTING_FAILURE_RATIO = 0.3
LASTING_FAILURE_S = (0.2, 3.0)
# The first task of the first step of a deadly job crashes its worker.
DEADLY_TASK = ".0.0.0"


@dataclass
class Run:
    """Describe one run; times are monotonic seconds.

    `done_s` is the end of its work, and `stopped_s` the time at which it is gone after
    an order to stop it.
    """

    number: int
    done_s: float
    fails: bool
    cpu: int
    memory_mb: int
    stopped_s: float = math.inf


@dataclass(frozen=True)
class WorkerIdentity:
    """Describe who a worker is during one incarnation."""

    worker: str
    pool: str
    labels: tuple[str, ...]


class WorkerIncarnation:
    """Run the tasks of one incarnation, and record every start and end.

    An incarnation that has ended starts and records nothing more, also for a call that
    it received before. Its answers must not be sent.
    """

    def __init__(
        self,
        identity: WorkerIdentity,
        clock_rate: float,
        record: Callable[[dict], None],
        guards_capacity: bool = True,
        on_crash: Callable[[], None] = lambda: None,
        clock_start_ms: int = 0,
    ) -> None:
        """Start without runs; `clock_rate` is the speed of the worker's own clock.

        It begins at `clock_start_ms`. `record` writes an event to the log. `on_crash`
        is called once a task crashes the worker.
        """
        self.identity = identity
        self.millicores = MILLICORES_PER_VM
        self._guards_capacity = guards_capacity
        self._on_crash = on_crash
        self.started_ms = int(time.time() * 1000)
        self._started_s = time.monotonic()
        self._clock_rate = max(MIN_CLOCK_RATE, clock_rate)
        self._write = record
        self._changed = threading.Condition()
        self._fencing_token = 0
        self._clock_start_ms = clock_start_ms
        self._lease_end_ms = self._recorded_lapse_ms = clock_start_ms
        self._runs: dict[str, Run] = {}
        self._max_ended_run: dict[str, int] = {}
        self._ends: list[list] = []
        self._last_end = 0
        self.is_ended = False

    def start(self, body: dict) -> tuple[int, dict]:
        """Start a run, or return the reason of the refusal."""
        with self._changed:
            if self.is_ended:
                return self._answer(503)
            self._advance()
            refusal = self._refusal(body)
            if refusal is not None:
                return self._answer(409, reason=refusal)
            task, run_number = body["task"], body["run"]
            if task in self._runs:
                return self._answer(200)
            work = json.loads(body["spec"])
            is_deadly = work["crash_after_ms"] is not None and task.endswith(
                DEADLY_TASK
            )
            self._runs[task] = _begin_run(task, run_number, work, is_deadly)
            self._record(
                {
                    "event": "start",
                    "task": task,
                    "run": run_number,
                    "pool": self.identity.pool,
                    "labels": self.identity.labels,
                }
            )
            if is_deadly:
                self._crash_later(task, run_number, work["crash_after_ms"] / 1000)
            return self._answer(200)

    def _crash_later(self, task: str, run_number: int, after_s: float) -> None:
        """Crash under a task; without a delay, before its start is answered."""
        if after_s > 0:
            threading.Timer(after_s, self._crash, (task, run_number)).start()
        else:
            self._crash(task, run_number)

    def _crash(self, task: str, run_number: int) -> None:
        with self._changed:
            self._advance()
            run = self._runs.get(task)
            if self.is_ended or run is None or run.number != run_number:
                return
            self._record({"event": "crash", "task": task, "run": run_number})
            self._end_all()
            self._on_crash()

    def _refusal(self, body: dict) -> str | None:
        task, run_number = body["task"], body["run"]
        if body["fencingToken"] < self._fencing_token:
            return "fence"
        self._fencing_token = body["fencingToken"]
        self._extend(body["untilMs"])
        if self._lease_end_ms <= self._clock_ms():
            return "late"
        current_run = self._runs.get(task)
        if current_run is not None and current_run.number == run_number:
            return None
        if current_run is not None or run_number <= self._max_ended_run.get(task, 0):
            return "old"
        if not self._guards_capacity:
            return None
        work = json.loads(body["spec"])
        cpu = sum(run.cpu for run in self._runs.values()) + work["cpu"]
        memory = sum(run.memory_mb for run in self._runs.values()) + work["memory_mb"]
        return "room" if cpu > self.millicores or memory > MEMORY_MB_PER_VM else None

    def stop(self, body: dict) -> tuple[int, dict]:
        """Stop a run; if its start arrives only later, refuse that start."""
        with self._changed:
            if self.is_ended:
                return self._answer(503)
            self._advance()
            if body["fencingToken"] < self._fencing_token:
                return self._answer(409, reason="fence")
            self._fencing_token = body["fencingToken"]
            task, run_number = body["task"], body["run"]
            run = self._runs.get(task)
            if run is not None and run.number == run_number:
                run.stopped_s = min(run.stopped_s, time.monotonic() + STOP_TAKES_S)
                self._record({"event": "stopping", "task": task, "run": run_number})
            self._max_ended_run[task] = max(
                run_number, self._max_ended_run.get(task, 0)
            )
            return self._answer(200)

    def hold(self, body: dict) -> tuple[int, dict]:
        """Extend the lease and list all runs and all ends not yet acknowledged.

        Ends up to `seenUpto` are acknowledged and dropped. Without further ends, wait
        up to `waitMs` for one.
        """
        end_s = time.monotonic() + body.get("waitMs", 0) / 1000
        with self._changed:
            if self.is_ended:
                return self._answer(503)
            self._advance()
            if body["fencingToken"] < self._fencing_token:
                return self._answer(409, reason="fence")
            self._fencing_token = body["fencingToken"]
            self._extend(body.get("untilMs", 0))
            acknowledged_number = body["seenUpto"]
            for end in [end for end in self._ends if end[0] <= acknowledged_number]:
                self._record({"event": "noted", "task": end[1], "run": end[2]})
            self._ends = [end for end in self._ends if end[0] > acknowledged_number]
            while not self._ends and not self.is_ended:
                remaining_s = end_s - time.monotonic()
                if remaining_s <= 0:
                    break
                self._changed.wait(min(remaining_s, 0.02))
                self._advance()
            running = [[t, r.number, "", 100, 0] for t, r in self._runs.items()]
            ended = self._ends[:MAX_ENDS_LISTED]
            status, answer = self._answer(200)
            return status, {**answer, "running": running, "ended": ended}

    def end(self) -> None:
        """End the incarnation and all its runs at once, as its VM is taken away."""
        with self._changed:
            self._advance()
            self._end_all()

    def record_due_ends(self) -> None:
        """Record the ends that are due, also if nobody calls the worker any more."""
        with self._changed:
            self._advance()

    def record_life(self) -> None:
        """Record that the incarnation has begun."""
        who = self.identity
        self._record({"event": "life", "pool": who.pool, "labels": who.labels})

    def resize(self, millicores: int) -> None:
        """Change the capacity; what runs goes on."""
        with self._changed:
            self.millicores = millicores
            self._record({"event": "capacity", "cpu": millicores})

    def _record(self, event: dict) -> None:
        who = {"worker": self.identity.worker, "born": self.started_ms}
        self._write({"at_s": time.monotonic(), **who, **event})

    def _end_all(self) -> None:
        self.is_ended = True
        for task in list(self._runs):
            self._end(task, "gone", time.monotonic())
        self._changed.notify_all()

    def _advance(self) -> None:
        """End the runs that are done or stopped, and all once the lease has lapsed.

        If the process was paused beyond the lease, the runs end as of the lapse, not
        as of now.
        """
        now_s = time.monotonic()
        lease_s = (self._lease_end_ms - self._clock_start_ms) / 1000 / self._clock_rate
        lease_end_s = self._started_s + lease_s
        for task, run in list(self._runs.items()):
            if run.done_s <= min(now_s, lease_end_s, run.stopped_s):
                self._end(task, "failed" if run.fails else "done", run.done_s)
            elif run.stopped_s <= min(now_s, lease_end_s):
                self._end(task, "stopped", run.stopped_s)
            elif lease_end_s <= now_s:
                self._end(task, "lapsed", lease_end_s)
        if lease_end_s <= now_s and self._recorded_lapse_ms != self._lease_end_ms:
            self._recorded_lapse_ms = self._lease_end_ms
            self._record({"event": "lapse", "at_s": lease_end_s})

    def _end(self, task: str, outcome: str, ended_s: float) -> None:
        run = self._runs.pop(task)
        self._max_ended_run[task] = max(run.number, self._max_ended_run.get(task, 0))
        self._record(
            {
                "event": "end",
                "task": task,
                "run": run.number,
                "how": outcome,
                "at_s": ended_s,
            }
        )
        if outcome != "gone":
            self._last_end += 1
            self._ends.append([self._last_end, task, run.number, outcome, ""])
            self._changed.notify_all()

    def _extend(self, until_ms: int) -> None:
        max_until_ms = self._clock_ms() + HOLD_MAX_MS
        self._lease_end_ms = max(self._lease_end_ms, min(until_ms, max_until_ms))

    def _clock_ms(self) -> int:
        passed_s = time.monotonic() - self._started_s
        return self._clock_start_ms + int(passed_s * 1000 * self._clock_rate)

    def _answer(self, status: int, **fields) -> tuple[int, dict]:
        answer = {"clockMs": self._clock_ms(), "born": self.started_ms, **fields}
        return status, answer


def _begin_run(task: str, number: int, work: dict, is_deadly: bool) -> Run:
    """Return a run that starts now; one that lasts ends only if it fails.

    A deadly one ends with the crash, also if that comes late on a busy machine.
    """
    duration_s = math.inf if is_deadly else work["ms"] / 1000
    fails = work["fails"]
    if work["lasts"]:
        rng = random.Random(f"{task}.{number}")
        fails = rng.random() < LASTING_FAILURE_RATIO
        duration_s = rng.uniform(*LASTING_FAILURE_S) if fails else math.inf
    done_s = time.monotonic() + duration_s
    return Run(number, done_s, fails, work["cpu"], work["memory_mb"])
