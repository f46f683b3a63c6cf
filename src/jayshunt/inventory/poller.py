"""Poll the platform's list of VMs."""

import json
import logging
import threading
from collections.abc import Callable

from jayshunt import http_client
from jayshunt.clock import Clock
from jayshunt.errors import JayshuntError
from jayshunt.ids import PoolName, RackName, VmId, ZoneName
from jayshunt.inventory.const import CALL_TIMEOUT_S, POLL_INTERVAL_S
from jayshunt.inventory.models import ListedState, ListedVm, VmList
from jayshunt.pools.models import VmKind

_LOGGER = logging.getLogger(__name__)


class InventoryPoller:
    """Own the last list of VMs; others read `current`."""

    def __init__(self, base_url: str, clock: Clock) -> None:
        """Start with an empty list."""
        self._url = base_url.rstrip("/")
        self._clock = clock
        self._current = VmList()
        self._listeners: list[Callable[[VmList], None]] = []

    @property
    def current(self) -> VmList:
        """Return the newest list that was read."""
        return self._current

    def add_listener(self, listener: Callable[[VmList], None]) -> None:
        """Call a listener with each newer list."""
        self._listeners.append(listener)

    def run(self, stop: threading.Event) -> None:
        """Poll until stopped."""
        while not stop.is_set():
            try:
                self.poll()
            except JayshuntError as error:
                _LOGGER.warning("inventory: no list: %s", error)
            self._clock.wait(stop, POLL_INTERVAL_S)

    def poll(self) -> None:
        """Read the list once; an older one than the last is dropped."""
        step = "inventory.list"
        answer = http_client.request(
            "GET", f"{self._url}/vms", timeout_s=CALL_TIMEOUT_S, step=step
        )
        if answer.status != 200:
            raise JayshuntError(
                "inventory_unavailable", step=step, peer=self._url.split("//")[-1]
            )
        content = json.loads(answer.body)
        if content["as_of_s"] <= self._current.as_of_s:
            return
        vms = [_listed(item) for item in content["vms"] if item["kind"] in KINDS]
        self._current = VmList(content["as_of_s"], {vm.vm: vm for vm in vms})
        for listener in self._listeners:
            listener(self._current)

    def call_vm(self, vm: VmId, action: str) -> None:
        """Ask the platform to drain or reboot a VM."""
        step = f"inventory.{action}"
        answer = http_client.request(
            "POST",
            f"{self._url}/vms/{vm}/{action}",
            body=b"",
            timeout_s=CALL_TIMEOUT_S,
            step=step,
        )
        if answer.status != 202:
            raise JayshuntError("platform_refused", step=step, peer=vm)


KINDS = frozenset(kind.value for kind in VmKind)


def _listed(item: dict) -> ListedVm:
    return ListedVm(
        vm=VmId(item["id"]),
        address=item["address"],
        zone=ZoneName(item["zone"]),
        rack=RackName(item["rack"]),
        kind=VmKind(item["kind"]),
        state=ListedState(item["state"]),
        cpu_cores=item.get("cpu_cores", 0.0),
        memory_bytes=item.get("memory_bytes", 0),
        accelerators=item.get("accelerators", 0),
        initial_pool=PoolName(item.get("initial_pool", "")),
    )
