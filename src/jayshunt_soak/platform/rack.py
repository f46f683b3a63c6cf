"""Run the workers of one rack as a process of its own.

The first argument is the plan as JSON: the rack, its VMs with their pools, kinds, ports
and advertised addresses (`shown`), the address of the platform, the log file and the
seed.
"""

import json
import random
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
    MEMORY_MB_PER_VM,
    MIN_CLOCK_RATE,
    MOVE_S,
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
        if self.pool != SPARE:
            self._start_incarnation()

    def answer(self, call: Call) -> Reply:
        """Return the answer to an order for the worker or for the VM."""
        incarnation = self.incarnation
        if call.path == "/standin/move":
            self._move(call.json()["pool"])
            return Reply(200, {})
        if call.path == "/standin/resize":
            if incarnation is not None:
                incarnation.resize(call.json()["cpu"])
            return Reply(200, {})
        if call.path == "/standin/record":
            if incarnation is not None:
                incarnation.record_due_ends()
            return Reply(200, {})
        if self._is_crashed:
            raise DropConnection
        if incarnation is None:
            return Reply(503, {})
        if call.headers.get("X-Expect-Instance") not in (
            None,
            incarnation.identity.worker,
        ):
            return Reply(421, {})
        reply = _carry_out(incarnation, call)
        if incarnation.is_ended:
            raise DropConnection
        return reply

    def send_heartbeats(self) -> None:
        """Send a heartbeat to the platform every `HEARTBEAT_S`, forever."""
        while True:
            incarnation = self.incarnation
            if incarnation is not None and not incarnation.is_ended:
                registration = {
                    "worker": incarnation.identity.worker,
                    "entry": {
                        "service": incarnation.identity.pool,
                        "address": self.advertised,
                        "zone": self.rack,
                        "state": "ready",
                        "born": incarnation.started_ms,
                        "machine": self.vm,
                        "labels": incarnation.identity.labels,
                        "capacity": {
                            "cpu": incarnation.millicores,
                            "memMb": MEMORY_MB_PER_VM,
                        },
                    },
                }
                self._register(registration)
            time.sleep(HEARTBEAT_S)

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
        )
        incarnation.record_life()
        self.incarnation, self._is_crashed = incarnation, False

    def _write_event(self, event: dict) -> None:
        self._log.write(json.dumps({"vm": self.vm, **event}) + "\n")

    def _crash(self) -> None:
        """Be down for a while, then start another incarnation."""
        self._is_crashed = True
        threading.Timer(CRASH_DOWN_S, self._restart).start()

    def _restart(self) -> None:
        if self._is_crashed and self.pool != SPARE:
            self._start_incarnation()

    def _move(self, pool: str) -> None:
        incarnation, self.incarnation = self.incarnation, None
        if incarnation is not None:
            incarnation.end()
        self.pool = pool
        self._is_crashed = False
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
