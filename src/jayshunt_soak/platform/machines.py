"""Stand in for the platform's list of VMs and its orders to move VMs."""

import json
import threading
import time
from collections import deque
from dataclasses import dataclass

from jayshunt import http_client
from jayshunt.errors import JayshuntError
from jayshunt_soak.const import MEMORY_MB_PER_VM, MILLICORES_PER_VM, MOVE_S, SPARE
from jayshunt_soak.platform.store import PlatformStoreStandIn
from jayshunt_standins.server import Call, DropConnection, Reply, StandInServer

CONTROL_TIMEOUT_S = 1.0
# All VMs send about 24 heartbeats a second, each of which makes a list.
MAX_LISTS = 100


@dataclass
class ListedVm:
    """Describe one VM as the platform knows it.

    A move lasts until `busy_until_s`, in monotonic seconds. `state` is "up", "down", or
    "gone" if the VM is not listed; `left_worker` is the worker that left with it last.
    """

    vm_id: str
    rack: str
    pool: str
    kind: str
    address: str
    busy_until_s: float = 0.0
    worker: str = ""
    state: str = "up"
    is_leaving: bool = False
    left_worker: str = ""


class MachinesStandIn(StandInServer):
    """List VMs, move them between pools, and receive their workers' heartbeats."""

    def __init__(self, vms: list[ListedVm], store: PlatformStoreStandIn) -> None:
        """Start with a list of VMs; heartbeats are passed on to `store`."""
        super().__init__()
        self._vms = {vm.vm_id: vm for vm in vms}
        self._store = store
        self._lock = threading.Lock()
        # The list is as old as this when it is read.
        self.lag_s = 0.0
        self._lists: deque[tuple[float, list[dict]]] = deque(maxlen=MAX_LISTS)

    def answer(self, call: Call) -> Reply:
        """Return the answer to one call."""
        match call.method, call.path:
            case "GET", "/machines":
                return Reply(200, {"machines": self._list()})
            case "POST", "/machine-move":
                reply = self._move(call.json())
            case "POST", "/standin/beat":
                reply = self._receive_heartbeat(call.json())
            case _:
                return Reply(400, {})
        self._lists.append((time.monotonic(), self._rows()))
        return reply

    def _list(self) -> list[dict]:
        """Return the rows as they were `lag_s` ago, the oldest if none is as old."""
        lists = list(self._lists)
        if not self.lag_s or not lists:
            return self._rows()
        until_s = time.monotonic() - self.lag_s
        older = [rows for at_s, rows in lists if at_s <= until_s]
        return older[-1] if older else lists[0][1]

    def _rows(self) -> list[dict]:
        return [self._row(vm) for vm in self._vms.values() if vm.state != "gone"]

    def pools(self) -> dict[str, str]:
        """Return the pool of each VM."""
        return {vm.vm_id: vm.pool for vm in self._vms.values()}

    def _receive_heartbeat(self, body: dict) -> Reply:
        if "vm_off" in body:
            vm = self._vms[body["vm_off"]]
            with self._lock:
                if time.monotonic() >= vm.busy_until_s:
                    vm.pool, vm.worker, vm.state = SPARE, "", "up"
            return Reply(200, {})
        if "vm_left" in body:
            vm = self._vms[body["vm_left"]]
            with self._lock:
                if vm.worker == body["worker"]:
                    vm.worker, vm.left_worker = "", body["worker"]
                    vm.state = body["state"]
            return Reply(200, {})
        vm = self._vms[body["entry"]["machine"]]
        pool = body["entry"]["service"]
        with self._lock:
            if pool != vm.pool and time.monotonic() < vm.busy_until_s:
                # The worker sent this heartbeat before the move.
                return Reply(200, {})
            # A move whose order got no answer may have been carried out late, so the
            # pool in the heartbeat replaces the recorded one.
            if body["worker"] != vm.left_worker:
                vm.pool, vm.worker, vm.state = pool, body["worker"], "up"
                vm.is_leaving = body["entry"]["state"] == "draining"
                vm.kind = body["entry"]["labels"][0]
        self._store.record_heartbeat(body["worker"], json.dumps(body["entry"]).encode())
        return Reply(200, {})

    def _row(self, vm: ListedVm) -> dict:
        is_busy = time.monotonic() < vm.busy_until_s
        row = {"machine": vm.vm_id, "pool": vm.pool, "zone": vm.rack}
        row |= {
            "state": "moving" if is_busy else vm.state,
            "labels": [vm.kind, f"r-{vm.rack}"],
        }
        row["capacity"] = {"cpu": MILLICORES_PER_VM, "memMb": MEMORY_MB_PER_VM}
        if vm.worker and not is_busy:
            row["id"] = vm.worker
        return row

    def _move(self, body: dict) -> Reply:
        vm = self._vms.get(body["machine"])
        if vm is None:
            return Reply(400, {})
        with self._lock:
            if vm.pool == body["pool"]:
                return Reply(200, {})
            is_up = vm.state == "up" and not vm.is_leaving
            if time.monotonic() < vm.busy_until_s or not is_up:
                return Reply(409, {"reason": "busy"})
            try:
                http_client.request(
                    "POST",
                    f"http://{vm.address}/standin/move",
                    body=json.dumps({"pool": body["pool"]}).encode(),
                    timeout_s=CONTROL_TIMEOUT_S,
                    step="soak.move",
                )
            except JayshuntError as error:
                raise DropConnection from error
            vm.pool, vm.worker = body["pool"], ""
            vm.busy_until_s = time.monotonic() + MOVE_S
        return Reply(200, {})
