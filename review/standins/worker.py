"""Run one life of a worker as a process of its own.

PROTOCOL.md, "Running tasks". The first argument is the plan as JSON. The `spec` of
a job is JSON: `ms` is how long a task works, `how` how it ends.
"""

import asyncio
import heapq
import json
import sys
import time
from pathlib import Path

from standins.http import Answer, Request, Server, call
from standins.record import Record

MAX_ENDS_LISTED = 500
STARTUP_S = 0.3


class Worker:
    """Carry out orders and report runs, as one life of a worker."""

    def __init__(self, plan: dict) -> None:
        """Start without runs and without a fencing token."""
        self._plan = plan
        self._record = Record(Path(plan["record"]), plan["worker"])
        self._begun_s = time.monotonic()
        self._born_ms = int(time.time() * 1000)
        self._token = 0
        self._until_ms = 0
        self._lapsed_ms = 0
        self._runs: dict[str, dict] = {}
        self._due: list[tuple[float, str, int]] = []
        self._highest: dict[str, int] = {}
        self._ends: list[list] = []
        self._last_end = 0
        self._changed = asyncio.Event()
        self._draining = False
        self._seq = 0

    async def run(self) -> None:
        """Serve until the process is killed."""
        server = Server(self._answer, self._plan["port"])
        await server.start()
        self._record.write("life", machine=self._plan["machine"])
        self._ticker = asyncio.create_task(self._run_advance())
        await asyncio.sleep(self._plan.get("first_ping_s", 0.0))
        while True:
            await self._ping()
            await asyncio.sleep(self._plan["heartbeat_s"])

    async def _run_advance(self) -> None:
        """End runs in time, also while nobody calls."""
        while True:
            await asyncio.sleep(0.02)
            self._advance()

    async def _ping(self) -> None:
        plan = self._plan
        self._seq += 1
        entry = {
            "service": plan["pool"],
            "address": plan["address"],
            "zone": plan["zone"],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": plan["capacity"],
            "labels": plan["labels"],
            "machine": plan["machine"],
            "born": self._born_ms,
            "seq": self._seq,
        }
        body = {"worker": plan["worker"], "entry": entry}
        await call("POST", plan["platform"], "/standin/ping", body, timeout_s=1.0)

    async def _answer(self, request: Request) -> Answer:
        if request.path == "/healthz":
            return 200, {}
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self._plan["worker"]):
            return self._reply(421)
        body = request.json()
        self._advance()
        if body["fencingToken"] < self._token:
            return self._reply(409, reason="fence")
        self._token = body["fencingToken"]
        match request.path:
            case "/run-start":
                return self._start(body)
            case "/run-stop":
                return self._stop(body)
            case "/hold":
                return await self._hold(body)
            case "/pace":
                return self._reply(200)
        return self._reply(400)

    def _start(self, body: dict) -> Answer:
        task, number = body["task"], body["run"]
        self._extend(body["untilMs"])
        if self._until_ms <= self._clock_ms():
            return self._reply(409, reason="late")
        run = self._runs.get(task)
        if run is not None and run["number"] == number:
            return self._reply(200)
        if run is not None or number <= self._highest.get(task, 0):
            return self._reply(409, reason="old")
        if self._plan.get("needs_ticket") and body.get("ticket", "") != self._ticket():
            return self._reply(409, reason="ticket")
        work = json.loads(body["spec"])
        room = self._plan["capacity"]["cpu"]
        if sum(r["cpu"] for r in self._runs.values()) + work["cpu"] > room:
            return self._reply(409, reason="room")
        now_s = time.monotonic()
        self._runs[task] = {
            "number": number,
            "cpu": work["cpu"],
            "begun_s": now_s,
            "how": work.get("how", "done"),
        }
        if work["ms"] is not None:
            heapq.heappush(self._due, (now_s + work["ms"] / 1000, task, number))
        self._record.write("start", task=task, run=number, token=body["fencingToken"])
        return self._reply(200)

    def _ticket(self) -> str:
        return f"t-{self._plan['worker']}-{self._born_ms}"

    def _stop(self, body: dict) -> Answer:
        task, number = body["task"], body["run"]
        run = self._runs.get(task)
        if run is not None and run["number"] == number:
            self._end(task, "stopped")
        self._highest[task] = max(number, self._highest.get(task, 0))
        return self._reply(200)

    async def _hold(self, body: dict) -> Answer:
        end_s = time.monotonic() + body.get("waitMs", 0) / 1000
        self._extend(body.get("untilMs", 0))
        seen = body["seenUpto"]
        if self._ends and self._ends[0][0] <= seen:
            noted = [row[:3] for row in self._ends if row[0] <= seen]
            self._ends = [row for row in self._ends if row[0] > seen]
            self._record.write("noted", ends=noted)
        while not self._ends:
            now_s = time.monotonic()
            if now_s >= end_s:
                break
            wait_s = end_s - now_s
            if self._due:
                wait_s = min(wait_s, max(0.0, self._due[0][0] - now_s))
            lease_s = (self._until_ms - self._clock_ms()) / 1000
            if self._runs:
                wait_s = min(wait_s, max(0.0, lease_s))
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), wait_s + 0.001)
            except TimeoutError:
                pass
            self._advance()
        return self._reply(
            200,
            running=[
                [task, run["number"], "", self._percent(run), 0]
                for task, run in self._runs.items()
            ],
            ended=self._ends[:MAX_ENDS_LISTED],
        )

    def _percent(self, run: dict) -> int:
        worked_s = time.monotonic() - run["begun_s"]
        return min(100, int(100 * worked_s / STARTUP_S))

    def _advance(self) -> None:
        """End the runs whose work is done, or all if the lease has run out."""
        now_s = time.monotonic()
        lapse_s = self._begun_s + self._until_ms / 1000
        while self._due and self._due[0][0] <= min(now_s, lapse_s):
            _, task, number = heapq.heappop(self._due)
            run = self._runs.get(task)
            if run is not None and run["number"] == number:
                self._end(task, run["how"])
        if lapse_s <= now_s and self._lapsed_ms != self._until_ms:
            self._lapsed_ms = self._until_ms
            self._record.write("lapse")
        if lapse_s <= now_s and self._runs:
            for task in list(self._runs):
                self._end(task, "lapsed")

    def _end(self, task: str, how: str) -> None:
        run = self._runs.pop(task)
        self._highest[task] = max(run["number"], self._highest.get(task, 0))
        self._last_end += 1
        self._ends.append([self._last_end, task, run["number"], how, ""])
        self._record.write(
            "end", n=self._last_end, task=task, run=run["number"], how=how
        )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _extend(self, until_ms: int) -> None:
        most_ms = self._clock_ms() + self._plan["hold_max_ms"]
        self._until_ms = max(self._until_ms, min(until_ms, most_ms))

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._begun_s) * 1000)

    def _reply(self, status: int, **fields) -> Answer:
        return status, {"clockMs": self._clock_ms(), "born": self._born_ms, **fields}


if __name__ == "__main__":
    asyncio.run(Worker(json.loads(sys.argv[1])).run())
