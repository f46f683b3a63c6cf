"""Stand in for the platform's machines: their list, moves and upkeeps.

PROTOCOL.md, "Machines". A machine runs one life of a worker at a time, as a process.
"""

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from standins.http import HOST, Answer, Request, Server
from standins.record import Record
from standins.relay import Relay
from standins.store import Store

REVIEW = Path(__file__).resolve().parent.parent


@dataclass
class Machine:
    """Hold one machine and the life of a worker that runs on it.

    `done_waves` are the waves whose upkeep the machine has begun. `plan` holds further
    fields of the plan of its workers.
    """

    machine: str
    pool: str
    rack: str
    zone: str
    cpu: int
    kind: str = "a"
    port: int = 0
    plan: dict = field(default_factory=dict)
    state: str = "up"
    worker: str = ""
    process: subprocess.Popen | None = None
    lives: int = 0
    done_waves: set[int] = field(default_factory=set)
    relay: Relay | None = None


class Machines:
    """List machines, move them and take them down, and start their workers."""

    def __init__(
        self,
        machines: list[Machine],
        store: Store,
        record: Path,
        bounds: dict,
        heartbeat_s: float,
        spare_pools: set[str],
    ) -> None:
        """Start no worker; machines of spare pools are off."""
        self.server = Server(self._answer)
        self.machines = {m.machine: m for m in machines}
        # Called with an order and the function that carries it out.
        self.fault: (
            Callable[[Request, Callable[[], Answer]], Awaitable[Answer]] | None
        ) = None
        self.list_fault: Callable[[], Awaitable[None]] | None = None
        self._store = store
        self._path = record
        self._record = Record(record, "machines")
        self._bounds = bounds
        self._heartbeat_s = heartbeat_s
        self._spare = spare_pools
        self._tasks: set[asyncio.Task] = set()
        self.uses_relays = False

    async def start(self) -> None:
        """Listen, and start the workers of the machines that are on."""
        await self.server.start()
        for machine in self.machines.values():
            if self.uses_relays:
                machine.relay = Relay(machine.port)
                await machine.relay.start()
            if machine.pool not in self._spare:
                self.start_life(machine)

    async def crash_dark(self, machine: Machine, down_s: float) -> None:
        """Let a machine lose power, and its worker start again under its id."""
        worker = machine.worker
        machine.relay.go_dark()
        self.kill(machine)
        await asyncio.sleep(down_s)
        self.start_life(machine, worker)
        machine.relay.come_back()

    def stop(self) -> None:
        """Kill every worker that was started."""
        for machine in self.machines.values():
            self.kill(machine)

    def start_life(self, machine: Machine, worker: str | None = None) -> None:
        """Start a life of a worker, under the id `worker` or a new one."""
        machine.lives += 1
        machine.worker = worker or f"i-{machine.machine}-{machine.lives}"
        port = machine.port if machine.relay is None else machine.relay.port
        plan = {
            "worker": machine.worker,
            "machine": machine.machine,
            "pool": machine.pool,
            "zone": machine.zone,
            "address": f"{HOST}:{port}",
            "port": machine.port,
            "labels": [machine.kind, machine.rack],
            "capacity": {"cpu": machine.cpu, "memMb": 262_144, "gpu": 0},
            "platform": self._store.server.address,
            "heartbeat_s": self._heartbeat_s,
            "hold_max_ms": self._bounds["holdMaxMs"],
            "record": str(self._path),
            **machine.plan,
        }
        machine.process = subprocess.Popen(
            [sys.executable, "-B", "-m", "standins.worker", json.dumps(plan)],
            env={**os.environ, "PYTHONPATH": str(REVIEW)},
        )

    def kill(self, machine: Machine) -> None:
        """Kill the worker on a machine."""
        if machine.process is not None and machine.process.poll() is None:
            machine.process.send_signal(signal.SIGKILL)
            machine.process.wait()
            self._record.write("killed", worker=machine.worker, machine=machine.machine)
        machine.process = None

    async def _answer(self, request: Request) -> Answer:
        if request.method == "GET" and request.path == "/machines":
            if self.list_fault is not None:
                await self.list_fault()
            rows = [self._row(machine) for machine in self.machines.values()]
            return 200, {"machines": rows, "nextToken": None}
        if self.fault is not None:
            return await self.fault(request, lambda: self._carry_out(request))
        return self._carry_out(request)

    def _row(self, machine: Machine) -> dict:
        row = {
            "machine": machine.machine,
            "pool": machine.pool,
            "state": machine.state,
            "zone": machine.zone,
            "labels": [machine.kind, machine.rack],
            "capacity": {"cpu": machine.cpu, "memMb": 262_144, "gpu": 0},
        }
        if machine.worker and machine.state == "up":
            row["id"] = machine.worker
        return row

    def _carry_out(self, request: Request) -> Answer:
        body = request.json()
        machine = self.machines.get(body["machine"])
        if machine is None:
            return 400, {}
        holder = request.headers.get("x-duty-holder")
        token = request.headers.get("x-fencing-token")
        match request.path:
            case "/machine-move":
                answer = self._move(machine, body["pool"])
            case "/machine-upkeep":
                answer = self._upkeep(machine, body["wave"])
            case _:
                return 400, {}
        self._record.write(
            "order",
            order=request.path,
            **body,
            holder=holder,
            token=token,
            status=answer[0],
            reason=answer[1].get("reason"),
        )
        return answer

    def _move(self, machine: Machine, pool: str) -> Answer:
        if machine.pool == pool:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        self._take(machine, "moving", self._bounds["moveS"], pool)
        return 200, {}

    def _upkeep(self, machine: Machine, wave: int) -> Answer:
        declared = self._store.content(f"op/wave/{wave}")
        if declared is None or machine.machine not in declared["machines"]:
            return 409, {"reason": "wave"}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        if wave in machine.done_waves:
            return 200, {}
        machine.done_waves.add(wave)
        self._take(machine, "upkeep", self._bounds["upkeepS"], machine.pool)
        return 200, {}

    def _take(self, machine: Machine, state: str, for_s: float, pool: str) -> None:
        self._record.write("down", machine=machine.machine, state=state, pool=pool)
        self.kill(machine)
        self._store.forget(machine.worker)
        machine.state, machine.worker, machine.pool = state, "", pool

        async def bring_back() -> None:
            await asyncio.sleep(for_s)
            machine.state = "up"
            self._record.write("up", machine=machine.machine, pool=pool)
            if pool not in self._spare:
                self.start_life(machine)

        task = asyncio.create_task(bring_back())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
