"""Poll the platform's list of VMs."""

import json
import logging
import random
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
    """Poll the platform's list of VMs and publish it as `current`."""

    def __init__(self, base_url: str, clock: Clock) -> None:
        """Initialize with an empty list."""
        self._url = base_url.rstrip("/")
        self._clock = clock
        self._rng = random.Random()
        self._version = 0
        self._entries: dict[str, str] = {}
        self.last_error = ""
        self._current = VmList()
        self._listeners: list[Callable[[VmList], None]] = []

    @property
    def current(self) -> VmList:
        """Return the newest list."""
        return self._current

    def add_listener(self, listener: Callable[[VmList], None]) -> None:
        """Register a callback that receives each newer list."""
        self._listeners.append(listener)

    def run(self, stop: threading.Event) -> None:
        """Poll at intervals until `stop` is set."""
        while not stop.is_set():
            try:
                self.poll()
                self.last_error = ""
            except JayshuntError as error:
                if not self.last_error:
                    _LOGGER.warning("inventory: poll failed: %s", error)
                self.last_error = str(error)
            # Jitter spreads out the polls of entries that started at the same time.
            self._clock.wait(stop, POLL_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    def poll(self) -> None:
        """Request the changes since the last list and apply them.

        An answer that is not newer than the last list is dropped. If the platform
        does not know the version of the last list, it returns the whole list. Raise
        JayshuntError if the platform cannot be reached or refuses, and ValueError or
        KeyError if the content is malformed.
        """
        step = "inventory.list"
        answer = http_client.request(
            "GET",
            f"{self._url}/vms?since={self._version}",
            timeout_s=CALL_TIMEOUT_S,
            step=step,
        )
        if answer.status != 200:
            raise JayshuntError(
                "inventory_unavailable", step=step, peer=self._url.split("//")[-1]
            )
        self.apply_answer(json.loads(answer.body))

    def apply_answer(self, content: dict) -> None:
        """Apply an answer of the platform: changes since the last list, or all VMs."""
        if content["as_of_s"] <= self._current.as_of_s:
            return
        items = content["vms"]
        vms = {vm.vm: vm for vm in map(_parse_vm, items) if vm is not None}
        entries = {i["id"]: i["address"] for i in items if i["kind"] == ENTRY_KIND}
        if content.get("since") == self._version and self._version:
            changed = {*content["removed"], *(item["id"] for item in items)}
            kept = {k: v for k, v in self._current.vms.items() if k not in changed}
            vms = {**kept, **vms} if changed else self._current.vms
            kept = {k: v for k, v in self._entries.items() if k not in changed}
            entries = {**kept, **entries}
        self._version = content.get("version", 0)
        self._entries = entries
        addresses = tuple(sorted(entries.values()))
        self._current = VmList(content["as_of_s"], vms, addresses)
        for listener in self._listeners:
            listener(self._current)

    def request_vm_action(self, vm: VmId, action: str) -> None:
        """Ask the platform to `drain` or `reboot` a VM.

        Raise JayshuntError `platform_refused` unless it accepts.
        """
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


# Items of other kinds are ignored; those of entries only give peer addresses.
KINDS = frozenset(kind.value for kind in VmKind)
ENTRY_KIND = "entry"


def _parse_vm(item: dict) -> ListedVm | None:
    if item["kind"] not in KINDS:
        return None
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
