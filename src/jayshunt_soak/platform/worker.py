"""Play one life of a worker: its runs, its lease and its ends."""

import json
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

from jayshunt_soak.const import (
    CORES_PER_VM,
    HOLD_MAX_MS,
    MEMORY_MB_PER_VM,
    MIN_CLOCK_RATE,
)

MAX_ENDS_LISTED = 500


@dataclass
class Run:
    """Hold one run; times are steady seconds."""

    number: int
    done_s: float
    fails: bool
    cpu: int
    memory_mb: int


class WorkerIncarnation:
    """Own what runs in one life, and write every start and end to a log."""

    def __init__(
        self, worker: str, clock_rate: float, record: Callable[[dict], None]
    ) -> None:
        """Start empty; `clock_rate` is the speed of the worker's own clock."""
        self.worker = worker
        self.started_ms = int(time.time() * 1000)
        self._started_s = time.monotonic()
        self._clock_rate = max(MIN_CLOCK_RATE, clock_rate)
        self._record = record
        self._changed = threading.Condition()
        self._token = 0
        self._lease_ms = 0
        self._recorded_lapse_ms = 0
        self._runs: dict[str, Run] = {}
        self._last_ended_run: dict[str, int] = {}
        self._ends: list[list] = []
        self._last_end = 0
        self.is_ended = False

    def start(self, body: dict) -> tuple[int, dict]:
        """Begin a run, or say why not."""
        with self._changed:
            self._advance()
            refusal = self._refusal(body)
            if refusal is not None:
                return self._answer(409, reason=refusal)
            task, run_number = body["task"], body["run"]
            if task in self._runs:
                return self._answer(200)
            work = json.loads(body["spec"])
            self._runs[task] = Run(
                run_number,
                time.monotonic() + work["ms"] / 1000,
                work["fails"],
                work["cpu"],
                work["memory_mb"],
            )
            self._record({"event": "start", "task": task, "run": run_number})
            return self._answer(200)

    def _refusal(self, body: dict) -> str | None:
        task, run_number = body["task"], body["run"]
        if body["fencingToken"] < self._token:
            return "fence"
        self._token = body["fencingToken"]
        self._extend(body["untilMs"])
        if self._lease_ms <= self._clock_ms():
            return "late"
        current_run = self._runs.get(task)
        if current_run is not None and current_run.number == run_number:
            return None
        if current_run is not None or run_number <= self._last_ended_run.get(task, 0):
            return "old"
        work = json.loads(body["spec"])
        cpu = sum(run.cpu for run in self._runs.values()) + work["cpu"]
        memory = sum(run.memory_mb for run in self._runs.values()) + work["memory_mb"]
        return "room" if cpu > CORES_PER_VM or memory > MEMORY_MB_PER_VM else None

    def stop(self, body: dict) -> tuple[int, dict]:
        """End a run, or shut out one that has not come yet."""
        with self._changed:
            self._advance()
            if body["fencingToken"] < self._token:
                return self._answer(409, reason="fence")
            self._token = body["fencingToken"]
            task, run_number = body["task"], body["run"]
            run = self._runs.get(task)
            if run is not None and run.number == run_number:
                self._end(task, "stopped", time.monotonic())
            self._last_ended_run[task] = max(
                run_number, self._last_ended_run.get(task, 0)
            )
            return self._answer(200)

    def hold(self, body: dict) -> tuple[int, dict]:
        """Extend the lease, forget noted ends, wait for news and list everything."""
        end_s = time.monotonic() + body.get("waitMs", 0) / 1000
        with self._changed:
            self._advance()
            if body["fencingToken"] < self._token:
                return self._answer(409, reason="fence")
            self._token = body["fencingToken"]
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
        """End everything at once: the VM is taken away."""
        with self._changed:
            self._advance()
            self.is_ended = True
            for task in list(self._runs):
                self._end(task, "gone", time.monotonic())
            self._changed.notify_all()

    def _advance(self) -> None:
        """Take in what the time has done: ends of work, and of the lease.

        A life that was paused past its lease has ended its runs back then.
        """
        now_s = time.monotonic()
        lease_s = self._started_s + self._lease_ms / 1000 / self._clock_rate
        for task, run in list(self._runs.items()):
            if run.done_s <= min(now_s, lease_s):
                self._end(task, "failed" if run.fails else "done", run.done_s)
            elif lease_s <= now_s:
                self._end(task, "lapsed", lease_s)
        if lease_s <= now_s and self._recorded_lapse_ms != self._lease_ms:
            self._recorded_lapse_ms = self._lease_ms
            self._record({"event": "lapse", "at_s": lease_s})

    def _end(self, task: str, outcome: str, ended_s: float) -> None:
        run = self._runs.pop(task)
        self._last_ended_run[task] = max(run.number, self._last_ended_run.get(task, 0))
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
        self._lease_ms = max(self._lease_ms, min(until_ms, max_until_ms))

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._started_s) * 1000 * self._clock_rate)

    def _answer(self, status: int, **fields) -> tuple[int, dict]:
        answer = {"clockMs": self._clock_ms(), "born": self.started_ms, **fields}
        return status, answer
