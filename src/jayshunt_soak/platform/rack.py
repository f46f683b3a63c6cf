"""Run the workers of one rack as a process of its own.

The process takes its plan as JSON in the first argument: the rack, its VMs with
their pools, ports and shown addresses, the platform, the log file and the seed.
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
    CORES_PER_VM,
    HEARTBEAT_S,
    MEMORY_MB_PER_VM,
    MOVE_S,
    SLOWEST_CLOCK,
    SPARE,
)
from jayshunt_soak.platform.life import WorkerLife
from jayshunt_standins.server import Call, Reply, StandInServer


class VmStandIn(StandInServer):
    """Serve the lives of one VM at one address."""

    def __init__(self, vm: str, rack: str, pool: str, shown: str, plan: dict) -> None:
        """Start the first life unless the pool is off."""
        super().__init__(plan["ports"][vm])
        self.vm, self.rack, self.pool, self.shown = vm, rack, pool, shown
        self._platform = plan["platform"]
        self._log = Path(plan["log"]).open("a", buffering=1)
        self._rng = random.Random(f"{plan['seed']}-{vm}")
        self.life: WorkerLife | None = None
        if pool != SPARE:
            self._begin()

    def answer(self, call: Call) -> Reply:
        """Answer an order for the worker, or one for the VM."""
        if call.path == "/standin/move":
            self._move(call.json()["pool"])
            return Reply(200, {})
        life = self.life
        if life is None:
            return Reply(503, {})
        if call.headers.get("X-Expect-Instance") not in (None, life.worker):
            return Reply(421, {})
        body = call.json()
        match call.path:
            case "/run-start":
                return Reply(*life.start(body))
            case "/run-stop":
                return Reply(*life.stop(body))
            case "/hold":
                return Reply(*life.hold(body))
            case "/pace":
                return Reply(200, {"clockMs": 0})
        return Reply(404, {})

    def beat(self) -> None:
        """Register with the platform again and again."""
        while True:
            life = self.life
            if life is not None:
                entry = {
                    "worker": life.worker,
                    "entry": {
                        "service": self.pool,
                        "address": self.shown,
                        "zone": self.rack,
                        "state": "ready",
                        "born": life.born_ms,
                        "machine": self.vm,
                        "labels": ["a", f"r-{self.rack}"],
                        "capacity": {"cpu": CORES_PER_VM, "memMb": MEMORY_MB_PER_VM},
                    },
                }
                self._register(entry)
            time.sleep(HEARTBEAT_S)

    def _register(self, entry: dict) -> None:
        try:
            http_client.request(
                "POST",
                f"http://{self._platform}/standin/beat",
                body=json.dumps(entry).encode(),
                timeout_s=CALL_TIMEOUT_S,
                step="soak.beat",
            )
        except JayshuntError as error:
            print(f"a heartbeat was lost: {error}", file=sys.stderr)

    def _begin(self) -> None:
        worker = f"i-{uuid.uuid4().hex[:10]}"

        def record(event: dict) -> None:
            at_s = event.pop("at_s", time.monotonic())
            row = {"at_s": at_s, "worker": worker, "vm": self.vm, **event}
            self._log.write(json.dumps(row) + "\n")

        self.life = WorkerLife(worker, self._rng.uniform(SLOWEST_CLOCK, 1.0), record)
        record({"event": "life", "pool": self.pool})

    def _move(self, pool: str) -> None:
        life, self.life = self.life, None
        if life is not None:
            life.end()
        self.pool = pool
        if pool != SPARE:
            threading.Timer(MOVE_S, self._begin).start()


def main() -> None:
    """Serve until killed."""
    plan = json.loads(sys.argv[1])
    for vm, pool in plan["vms"].items():
        server = VmStandIn(vm, plan["rack"], pool, plan["shown"][vm], plan)
        server.start()
        threading.Thread(target=server.beat, daemon=True).start()
    print("ready", flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
