"""Run the workers of one rack as a process of its own.

The first argument is the plan as JSON: the rack, its VMs with their pools, ports
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
    HEARTBEAT_S,
    MEMORY_MB_PER_VM,
    MILLICORES_PER_VM,
    MIN_CLOCK_RATE,
    MOVE_S,
    SPARE,
)
from jayshunt_soak.platform.worker import WorkerIncarnation
from jayshunt_standins.server import Call, Reply, StandInServer


class VmStandIn(StandInServer):
    """Serve the successive worker incarnations of one VM at one address."""

    def __init__(
        self, vm: str, rack: str, pool: str, advertised: str, plan: dict
    ) -> None:
        """Start the first incarnation unless the VM is in the spare pool.

        Heartbeats carry `advertised` as the address: that of the relay to this VM.
        """
        super().__init__(plan["ports"][vm])
        self.vm, self.rack, self.pool, self.advertised = vm, rack, pool, advertised
        self._platform = plan["platform"]
        self._log = Path(plan["log"]).open("a", buffering=1)
        self._rng = random.Random(f"{plan['seed']}-{vm}")
        self.incarnation: WorkerIncarnation | None = None
        if pool != SPARE:
            self._start_incarnation()

    def answer(self, call: Call) -> Reply:
        """Return the answer to an order for the worker or for the VM."""
        if call.path == "/standin/move":
            self._move(call.json()["pool"])
            return Reply(200, {})
        incarnation = self.incarnation
        if incarnation is None:
            return Reply(503, {})
        if call.headers.get("X-Expect-Instance") not in (None, incarnation.worker):
            return Reply(421, {})
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

    def send_heartbeats(self) -> None:
        """Send a heartbeat to the platform every `HEARTBEAT_S`, forever."""
        while True:
            incarnation = self.incarnation
            if incarnation is not None:
                registration = {
                    "worker": incarnation.worker,
                    "entry": {
                        "service": self.pool,
                        "address": self.advertised,
                        "zone": self.rack,
                        "state": "ready",
                        "born": incarnation.started_ms,
                        "machine": self.vm,
                        "labels": ["a", f"r-{self.rack}"],
                        "capacity": {
                            "cpu": MILLICORES_PER_VM,
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

    def _start_incarnation(self) -> None:
        worker = f"i-{uuid.uuid4().hex[:10]}"

        def record(event: dict) -> None:
            at_s = event.pop("at_s", time.monotonic())
            row = {"at_s": at_s, "worker": worker, "vm": self.vm, **event}
            self._log.write(json.dumps(row) + "\n")

        self.incarnation = WorkerIncarnation(
            worker, self._rng.uniform(MIN_CLOCK_RATE, 1.0), record
        )
        record({"event": "life", "pool": self.pool})

    def _move(self, pool: str) -> None:
        incarnation, self.incarnation = self.incarnation, None
        if incarnation is not None:
            incarnation.end()
        self.pool = pool
        if pool != SPARE:
            threading.Timer(MOVE_S, self._start_incarnation).start()


def main() -> None:
    """Serve all VMs of the rack until the process is killed."""
    plan = json.loads(sys.argv[1])
    for vm, pool in plan["vms"].items():
        server = VmStandIn(vm, plan["rack"], pool, plan["shown"][vm], plan)
        server.start()
        threading.Thread(target=server.send_heartbeats, daemon=True).start()
    print("ready", flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
