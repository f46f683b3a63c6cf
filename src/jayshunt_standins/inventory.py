"""Stand in for the platform's list of VMs, which lags behind the VMs."""

import threading
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace

from jayshunt_standins.server import Call, Reply, StandInServer


@dataclass(frozen=True)
class ListedVm:
    """Describe one VM as the platform lists it."""

    id: str
    address: str
    zone: str
    rack: str
    kind: str
    state: str = "live"
    cpu_cores: float = 0.0
    memory_bytes: int = 0
    accelerators: int = 0
    initial_pool: str = ""


class InventoryStandIn(StandInServer):
    """List VMs as they were `lag_s` seconds ago; drain and reboot them on request.

    `GET /vms` returns the list; with `since` it returns only what changed after that
    version of the list. `POST /vms/<id>/drain` marks a VM as leaving. `POST
    /vms/<id>/reboot` turns it off and removes it from the list for `reboot_s` seconds.
    `PUT /standin/vms/<id>` changes a VM, `DELETE` on the same path removes it. `GET
    /standin/reboots` returns the time and VM of each reboot.
    """

    def __init__(
        self,
        vms: list[ListedVm],
        lag_s: float = 5.0,
        port: int = 0,
        reboot_s: float = 0.5,
        power: Callable[[str, bool], None] = lambda _vm, _on: None,
    ) -> None:
        """Start with a list of VMs.

        `power` is called to turn a VM off (False) and on again (True).
        """
        super().__init__(port)
        self.reboot_s = reboot_s
        self._power = power
        self.lag_s = lag_s
        self._lock = threading.Lock()
        self._vms = {vm.id: vm for vm in vms}
        self._versions: list[tuple[float, dict[str, ListedVm]]] = [(0.0, self._vms)]
        self.reboots: list[tuple[float, str]] = []

    def change(self, vm_id: str, **fields: object) -> None:
        """Change one VM; the list shows it after the lag."""
        with self._lock:
            vms = dict(self._vms)
            vms[vm_id] = replace(vms[vm_id], **fields)
            self._record(vms)

    def remove(self, vm_id: str) -> None:
        """Remove one VM; the list shows it after the lag."""
        with self._lock:
            self._record({k: v for k, v in self._vms.items() if k != vm_id})

    def answer(self, call: Call) -> Reply:
        """Return the answer to one call."""
        parts = call.path.strip("/").split("/")
        match call.method, parts:
            case "GET", ["vms"]:
                return self._list(int(call.query.get("since", 0)))
            case "POST", ["vms", vm_id, "drain"] if vm_id in self._vms:
                self.change(vm_id, state="leaving")
                return Reply(202, {})
            case "POST", ["vms", vm_id, "reboot"] if vm_id in self._vms:
                self.reboots.append((time.time(), vm_id))
                threading.Thread(
                    target=self._reboot, args=(self._vms[vm_id],), daemon=True
                ).start()
                return Reply(202, {})
            case "PUT", ["standin", "vms", vm_id] if vm_id in self._vms:
                self.change(vm_id, **call.json())
                return Reply(200, {})
            case "DELETE", ["standin", "vms", vm_id]:
                self.remove(vm_id)
                return Reply(200, {})
            case "GET", ["standin", "reboots"]:
                return Reply(200, {"reboots": self.reboots})
        return Reply(404, {"error": "unknown path"})

    def _reboot(self, vm: ListedVm) -> None:
        self.remove(vm.id)
        self._power(vm.id, False)
        time.sleep(self.reboot_s)
        self._power(vm.id, True)
        with self._lock:
            self._record({**self._vms, vm.id: replace(vm, state="live")})

    def _record(self, vms: dict[str, ListedVm]) -> None:
        self._vms = vms
        self._versions.append((time.monotonic(), vms))

    def _list(self, since: int) -> Reply:
        with self._lock:
            listed_until_s = time.monotonic() - self.lag_s
            known = sum(1 for v in self._versions if v[0] <= listed_until_s)
            version = max(1, known)
            vms = self._versions[version - 1][1]
            before = self._versions[since - 1][1] if 0 < since <= version else {}
            changed = [asdict(vm) for vm in vms.values() if before.get(vm.id) != vm]
        content = {
            "as_of_s": time.time() - self.lag_s,
            "version": version,
            "since": since if before else 0,
            "vms": changed,
            "removed": [vm for vm in before if vm not in vms],
        }
        return Reply(200, content)
