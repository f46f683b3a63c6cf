"""Run the workers of one rack as a process of its own.

The first argument is the plan as JSON: the rack, its VMs with their pools, kinds, ports
and advertised addresses (`shown`), the address of the platform, the log file and the
seed.
"""

import json
import random
import socket
import sys
import threading
import time
import uuid
from pathlib import Path

from jayshunt import http_client
from jayshunt.errors import JayshuntError
from jayshunt_soak.const import (
    CALL_TIMEOUT_S,
    CRASH_DOWN_S,
    HEARTBEAT_S,
    KEPT_CALL_S,
    LATE_ORDER_RATIO,
    LATE_ORDER_S,
    MAX_CLOCK_MS,
    MEMORY_MB_PER_VM,
    MIN_CLOCK_RATE,
    MOVE_S,
    RESTART_DOWN_S,
    SILENT_CONNECTION_S,
    SPARE,
    UNGUARDED_POOL,
)
from jayshunt_soak.platform.worker import WorkerIdentity, WorkerIncarnation
from jayshunt_standins.server import Call, DropConnection, Reply, StandInServer


class VmStandIn(StandInServer):
    """Serve the successive worker incarnations of one VM at one address."""

    def __init__(self, vm: str, plan: dict) -> None:
        """Start the first incarnation unless the VM is in the spare pool.

        Heartbeats carry the address of the relay to this VM.
        """
        super().__init__(plan["ports"][vm])
        self.vm, self.rack, self.pool = vm, plan["rack"], plan["vms"][vm]
        self.kind, self.advertised = plan["kinds"][vm], plan["shown"][vm]
        self._platform = plan["platform"]
        self._log = Path(plan["log"]).open("a", buffering=1)
        self._rng = random.Random(f"{plan['seed']}-{vm}")
        self.incarnation: WorkerIncarnation | None = None
        self._is_crashed = False
        self._next_worker: str | None = None
        self._late_until_s = 0.0
        self._quiet_until_s = 0.0
        self._keeps_calls = False
        # The worker that drains, and the entry of one that left with its VM: the list
        # of workers keeps it until then.
        self._draining: WorkerIncarnation | None = None
        self._left_entry: dict = {}
        self._left_entry_until_s = 0.0
        self._is_silent = False
        self._is_back = threading.Event()
        # Connections that a restart ended, and whether they stay silent.
        self._former_connections: dict[socket.socket, bool] = {}
        if self.pool != SPARE:
            self._start_incarnation()

    def answer(self, call: Call) -> Reply:
        """Return the answer to an order for the worker or for the VM."""
        incarnation = self.incarnation
        if call.path.startswith("/standin/"):
            self._control(call.path.removeprefix("/standin/"), call.json())
            return Reply(200, {})
        if call.connection in self._former_connections:
            self._fail_former(call)
        if self._is_crashed:
            if self._is_silent:
                self._is_back.wait(SILENT_CONNECTION_S)
            if not self._keeps_calls or not self._is_back.wait(KEPT_CALL_S):
                raise DropConnection
            # The call was meant for the incarnation before.
            incarnation = self.incarnation
        if incarnation is None:
            return Reply(503, {})
        if call.headers.get("X-Expect-Instance") not in (
            None,
            incarnation.identity.worker,
        ):
            return Reply(421, {})
        if self._leaves_unanswered(call):
            delay_s = self._rng.uniform(*LATE_ORDER_S)
            threading.Timer(delay_s, _carry_out, (incarnation, call)).start()
            raise DropConnection
        reply = _carry_out(incarnation, call)
        if call.connection in self._former_connections:
            self._fail_former(call)
        if incarnation.is_ended:
            raise DropConnection
        return reply

    def _control(self, name: str, order: dict) -> None:
        """Carry out an order of the soak."""
        match name, self.incarnation:
            case "move", _:
                self._move(order["pool"])
            case "restart", _:
                self._restart_worker(order)
            case "leave", WorkerIncarnation() as incarnation:
                leave = threading.Timer(
                    order["drain_s"], self._leave, (incarnation, order)
                )
                self._draining = incarnation if order["drain_s"] else None
                leave.start()
            case "late", _:
                self._late_until_s = time.monotonic() + order["for_s"]
            case "quiet", _:
                self._quiet_until_s = time.monotonic() + order["for_s"]
            case "address", _:
                self.advertised = order["shown"]
            case "resize", WorkerIncarnation() as incarnation:
                incarnation.resize(order["cpu"])
            case "record", WorkerIncarnation() as incarnation:
                incarnation.record_due_ends()

    def _leaves_unanswered(self, call: Call) -> bool:
        """Return whether an order gets no answer and is carried out late."""
        return (
            call.path in ("/run-start", "/run-stop")
            and time.monotonic() < self._late_until_s
            and self._rng.random() < LATE_ORDER_RATIO
        )

    def _fail_former(self, call: Call) -> None:
        """Leave a call on a connection to a former incarnation unanswered."""
        if self._former_connections[call.connection]:
            time.sleep(SILENT_CONNECTION_S)
        raise DropConnection

    def send_heartbeats(self) -> None:
        """Send a heartbeat to the platform every `HEARTBEAT_S`, forever."""
        while True:
            incarnation = self.incarnation
            is_quiet = time.monotonic() < self._quiet_until_s
            if incarnation is None and self.pool == SPARE:
                # Its rack may have started again, and the VM list has its last pool.
                self._register({"vm_off": self.vm})
            elif incarnation is not None and not incarnation.is_ended and not is_quiet:
                self._register(self._registration(incarnation))
            elif incarnation is None and time.monotonic() < self._left_entry_until_s:
                self._register(self._left_entry)
            time.sleep(HEARTBEAT_S)

    def _registration(self, incarnation: WorkerIncarnation) -> dict:
        """Return the heartbeat of a worker."""
        identity = incarnation.identity
        entry = {
            "service": identity.pool,
            "address": self.advertised,
            "zone": self.rack,
            "state": "draining" if incarnation is self._draining else "ready",
            "born": incarnation.started_ms,
            "machine": self.vm,
            "labels": identity.labels,
            "capacity": {"cpu": incarnation.millicores, "memMb": MEMORY_MB_PER_VM},
        }
        return {"worker": identity.worker, "entry": entry}

    def _register(self, registration: dict) -> None:
        try:
            http_client.request(
                "POST",
                f"http://{self._platform}/standin/beat",
                body=json.dumps(registration).encode(),
                timeout_s=CALL_TIMEOUT_S,
                step="soak.beat",
            )
        except JayshuntError as error:
            print(f"heartbeat failed: {error}", file=sys.stderr)

    def _start_incarnation(self, worker: str | None = None) -> None:
        """Start an incarnation under an id; None gives it a new one."""
        worker = worker or f"i-{uuid.uuid4().hex[:10]}"
        labels = (self.kind, f"r-{self.rack}")
        incarnation = WorkerIncarnation(
            WorkerIdentity(worker, self.pool, labels),
            self._rng.uniform(MIN_CLOCK_RATE, 1.0),
            self._write_event,
            guards_capacity=self.pool != UNGUARDED_POOL,
            on_crash=self._crash,
            clock_start_ms=self._rng.randrange(MAX_CLOCK_MS),
        )
        incarnation.record_life()
        self.incarnation, self._is_crashed = incarnation, False
        self._is_silent = False
        self._is_back.set()

    def _write_event(self, event: dict) -> None:
        self._log.write(json.dumps({"vm": self.vm, **event}) + "\n")

    def _crash(self, down_s: float = CRASH_DOWN_S) -> None:
        """Be down for a while, then start another incarnation."""
        self._is_crashed = True
        threading.Timer(down_s, self._restart).start()

    def _restart(self) -> None:
        if self._is_crashed and self.pool != SPARE:
            self._start_incarnation(self._next_worker)
            self._next_worker = None

    def _restart_worker(self, order: dict) -> None:
        """Crash the worker, and start it again soon; see `Testbed.restart_worker`."""
        self.kind = order.get("kind", self.kind)
        incarnation = self.incarnation
        if incarnation is None:
            return
        self._keeps_calls = order.get("keeps_calls", False)
        self._is_back.clear()
        if not self._keeps_calls:
            connections = self.connections.current()
            self._former_connections |= dict.fromkeys(connections, order["is_silent"])
        if not order.get("is_new"):
            self._next_worker = incarnation.identity.worker
        incarnation.end()
        self._crash(order.get("down_s") or self._rng.uniform(*RESTART_DOWN_S))

    def _leave(self, incarnation: WorkerIncarnation, order: dict) -> None:
        """Leave with the VM unless the worker has ended; see `Testbed.take_away`."""
        if self.incarnation is not incarnation or incarnation.is_ended:
            return
        self._left_entry = self._registration(incarnation)
        self._left_entry_until_s = time.monotonic() + order["listed_s"]
        self._keeps_calls, self._is_silent = False, order["is_silent"]
        self._is_back.clear()
        connections = self.connections.current()
        self._former_connections |= dict.fromkeys(connections, order["is_silent"])
        self.incarnation, self._next_worker = None, None
        self._end(incarnation)
        self._crash(order["away_s"])
        worker = incarnation.identity.worker
        left = {"vm_left": self.vm, "worker": worker, "state": order["state"]}
        threading.Timer(order["lag_s"], self._register, (left,)).start()

    def _end(self, incarnation: WorkerIncarnation) -> None:
        """End an incarnation that is not started again at once, and record it."""
        incarnation.end()
        worker, born = incarnation.identity.worker, incarnation.started_ms
        over = {"at_s": time.monotonic(), "event": "over", "worker": worker}
        self._write_event({**over, "born": born})

    def _move(self, pool: str) -> None:
        incarnation, self.incarnation = self.incarnation, None
        if incarnation is not None:
            self._end(incarnation)
        self.pool = pool
        self._is_crashed, self._next_worker = False, None
        if pool != SPARE:
            threading.Timer(MOVE_S, self._start_incarnation).start()


def _carry_out(incarnation: WorkerIncarnation, call: Call) -> Reply:
    """Return what a worker answers to a call."""
    body = call.json()
    match call.path:
        case "/run-start":
            return Reply(*incarnation.start(body))
        case "/run-stop":
            return Reply(*incarnation.stop(body))
        case "/hold":
            return Reply(*incarnation.hold(body))
        case "/pace":
            return Reply(200, {"clockMs": 0})
    return Reply(404, {})


def main() -> None:
    """Serve all VMs of the rack until the process is killed."""
    plan = json.loads(sys.argv[1])
    for vm in plan["vms"]:
        server = VmStandIn(vm, plan)
        server.start()
        threading.Thread(target=server.send_heartbeats, daemon=True).start()
    print("ready", flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
