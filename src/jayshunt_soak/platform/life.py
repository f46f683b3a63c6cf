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
    SLOWEST_CLOCK,
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


class WorkerLife:
    """Own what runs in one life, and write every start and end to a log."""

    def __init__(
        self, worker: str, clock_rate: float, record: Callable[[dict], None]
    ) -> None:
        """Start empty; `clock_rate` is the speed of the worker's own clock."""
        self.worker = worker
        self.born_ms = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self._rate = max(SLOWEST_CLOCK, clock_rate)
        self._record = record
        self._changed = threading.Condition()
        self._token = 0
        self._lease_ms = 0
        self._lapsed_ms = 0
        self._runs: dict[str, Run] = {}
        self._over: dict[str, int] = {}
        self._ends: list[list] = []
        self._last_end = 0
        self.is_over = False

    def start(self, body: dict) -> tuple[int, dict]:
        """Begin a run, or say why not."""
        with self._changed:
            self._advance()
            refusal = self._refusal(body)
            if refusal is not None:
                return self._answer(409, reason=refusal)
            task, number = body["task"], body["run"]
            if task in self._runs:
                return self._answer(200)
            work = json.loads(body["spec"])
            self._runs[task] = Run(
                number,
                time.monotonic() + work["ms"] / 1000,
                work["fails"],
                work["cpu"],
                work["memory_mb"],
            )
            self._record({"event": "start", "task": task, "run": number})
            return self._answer(200)

    def _refusal(self, body: dict) -> str | None:
        task, number = body["task"], body["run"]
        if body["fencingToken"] < self._token:
            return "fence"
        self._token = body["fencingToken"]
        self._extend(body["untilMs"])
        if self._lease_ms <= self._clock_ms():
            return "late"
        present = self._runs.get(task)
        if present is not None and present.number == number:
            return None
        if present is not None or number <= self._over.get(task, 0):
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
            task, number = body["task"], body["run"]
            run = self._runs.get(task)
            if run is not None and run.number == number:
                self._end(task, "stopped", time.monotonic())
            self._over[task] = max(number, self._over.get(task, 0))
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
            noted = body["seenUpto"]
            for end in [end for end in self._ends if end[0] <= noted]:
                self._record({"event": "noted", "task": end[1], "run": end[2]})
            self._ends = [end for end in self._ends if end[0] > noted]
            while not self._ends and not self.is_over:
                left_s = end_s - time.monotonic()
                if left_s <= 0:
                    break
                self._changed.wait(min(left_s, 0.02))
                self._advance()
            running = [[t, r.number, "", 100, 0] for t, r in self._runs.items()]
            ended = self._ends[:MAX_ENDS_LISTED]
            status, answer = self._answer(200)
            return status, {**answer, "running": running, "ended": ended}

    def end(self) -> None:
        """End everything at once: the VM is taken away."""
        with self._changed:
            self._advance()
            self.is_over = True
            for task in list(self._runs):
                self._end(task, "gone", time.monotonic())
            self._changed.notify_all()

    def _advance(self) -> None:
        """Take in what the time has done: ends of work, and of the lease.

        A life that was paused past its lease has ended its runs back then.
        """
        now_s = time.monotonic()
        lease_s = self._born_s + self._lease_ms / 1000 / self._rate
        for task, run in list(self._runs.items()):
            if run.done_s <= min(now_s, lease_s):
                self._end(task, "failed" if run.fails else "done", run.done_s)
            elif lease_s <= now_s:
                self._end(task, "lapsed", lease_s)
        if lease_s <= now_s and self._lapsed_ms != self._lease_ms:
            self._lapsed_ms = self._lease_ms
            self._record({"event": "lapse", "at_s": lease_s})

    def _end(self, task: str, how: str, at_s: float) -> None:
        run = self._runs.pop(task)
        self._over[task] = max(run.number, self._over.get(task, 0))
        self._record(
            {"event": "end", "task": task, "run": run.number, "how": how, "at_s": at_s}
        )
        if how != "gone":
            self._last_end += 1
            self._ends.append([self._last_end, task, run.number, how, ""])
            self._changed.notify_all()

    def _extend(self, until_ms: int) -> None:
        longest = self._clock_ms() + HOLD_MAX_MS
        self._lease_ms = max(self._lease_ms, min(until_ms, longest))

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born_s) * 1000 * self._rate)

    def _answer(self, status: int, **fields) -> tuple[int, dict]:
        answer = {"clockMs": self._clock_ms(), "born": self.born_ms, **fields}
        return status, answer
