"""Start stand-ins in this process and each entry in a separate process."""

import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from jayshunt import http_client
from jayshunt.config.models import ConfigDocument
from jayshunt.errors import JayshuntError
from jayshunt_measure.certificates import Authority
from jayshunt_standins.inventory import InventoryStandIn, ListedVm
from jayshunt_standins.relay import Relay
from jayshunt_standins.server import LOOPBACK
from jayshunt_standins.store import StoreStandIn
from jayshunt_standins.upstream import UpstreamStandIn
from jayshunt_standins.worker import WorkerStandIn

TOKEN = "loopback-only"
READY_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 15.0
# Below the range from which the kernel takes ports for outgoing connections.
PORT_RANGE = (12_000, 32_000)


@dataclass(frozen=True)
class VmPlan:
    """Describe one VM to start.

    `kind` is upstream or worker; only upstreams have `slots`.
    """

    name: str
    zone: str
    rack: str
    kind: str
    pool: str
    slots: int = 8


@dataclass
class EntryHandle:
    """Represent one entry process and its addresses."""

    name: str
    zone: str
    callers: str
    operators: str
    peers: str
    settings_file: Path
    process: subprocess.Popen | None = None


@dataclass
class Testbed:
    """Start and stop the stand-ins and the entry processes of one run.

    `command` starts an entry and `environment` adds variables to its process. Zones
    in `cuttable_zones` reach the store and the inventory over relays, which can drop
    the traffic. `lag_s` is the time by which the inventory lags behind.
    """

    vms: list[VmPlan]
    entries_per_zone: dict[str, int]
    lag_s: float = 2.0
    command: tuple[str, ...] = (sys.executable, "-m", "jayshunt")
    environment: dict[str, str] = field(default_factory=dict)
    upstreams: dict[str, UpstreamStandIn] = field(default_factory=dict)
    workers: dict[str, WorkerStandIn] = field(default_factory=dict)
    entries: list[EntryHandle] = field(default_factory=list)
    relays: dict[str, list[Relay]] = field(default_factory=dict)
    cuttable_zones: tuple[str, ...] = ()
    store: StoreStandIn | None = None
    inventory: InventoryStandIn | None = None
    _folder: tempfile.TemporaryDirectory | None = None

    def start(self) -> "Testbed":
        """Start the stand-ins, then a process for each entry."""
        self._folder = tempfile.TemporaryDirectory(prefix="jayshunt-")
        self.token_file = Path(self._folder.name) / "token"
        self.token_file.write_text(TOKEN)
        self.store = StoreStandIn()
        self.inventory = InventoryStandIn(
            [self._start_vm(plan) for plan in self.vms],
            self.lag_s,
            power=self._set_power,
        )
        self.store.start()
        self.inventory.start()
        self.authority = Authority(Path(self._folder.name))
        names = [
            (f"{zone}-{number}", zone)
            for zone, count in self.entries_per_zone.items()
            for number in range(count)
        ]
        ports = free_ports(3 * len(names))
        addresses = [f"{LOOPBACK}:{port}" for port in ports]
        peers = addresses[2::3]
        for number, (name, zone) in enumerate(names):
            listen = addresses[3 * number : 3 * number + 3]
            self.entries.append(self._prepare_entry(name, zone, listen, peers))
        for entry in self.entries:
            self.start_entry(entry)
        return self

    def stop_entry(self, entry: EntryHandle) -> None:
        """Send SIGTERM to one entry, as its platform does, and wait for its exit."""
        if entry.process is not None:
            entry.process.terminate()
            _wait_for_exit(entry.process)

    def stop(self) -> None:
        """Stop all entries and stand-ins, also after a start that failed halfway."""
        for entry in self.entries:
            if entry.process and entry.process.poll() is None:
                entry.process.terminate()
        for entry in self.entries:
            if entry.process:
                _wait_for_exit(entry.process)
        servers = [*self.upstreams.values(), *self.workers.values()]
        relays = [relay for pair in self.relays.values() for relay in pair]
        for server in [*relays, *servers, self.store, self.inventory]:
            if server is not None:
                server.stop()
        if self._folder is not None:
            self._folder.cleanup()

    def start_entry(self, entry: EntryHandle) -> None:
        """Start one entry process and write its log next to its settings file."""
        log = entry.settings_file.with_suffix(".log")
        with log.open("ab") as log_file:
            entry.process = subprocess.Popen(
                [*self.command, "entry", "--settings", str(entry.settings_file)],
                stdout=log_file,
                stderr=log_file,
                env={**os.environ, **self.environment},
            )

    def configure(self, document: ConfigDocument) -> int:
        """Apply a configuration and return its version once all entries are ready."""
        answer = self.operator_call(
            self.entries[0], "PUT", "config", document.model_dump(mode="json")
        )
        for entry in self.entries:
            self.wait_ready(entry)
        return answer["version"]

    def wait_ready(self, entry: EntryHandle) -> None:
        """Wait until the readiness check of an entry succeeds."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            if _status_of(f"http://{entry.operators}/readyz") == 200:
                return
            time.sleep(0.05)
        log = entry.settings_file.with_suffix(".log").read_text()
        raise RuntimeError(f"entry {entry.name} did not become ready:\n{log[-4000:]}")

    def operator_call(
        self, entry: EntryHandle, method: str, path: str, content: object = None
    ) -> dict:
        """Send one operator call; retry a call without an answer until the timeout."""
        body = None if content is None else json.dumps(content).encode()
        end_s = time.monotonic() + READY_TIMEOUT_S
        while True:
            try:
                answer = http_client.request(
                    method,
                    f"http://{entry.operators}/v1/operator/{path}",
                    body=body,
                    headers={"Authorization": f"Bearer {TOKEN}"},
                    timeout_s=10,
                    step="testbed",
                )
            except JayshuntError:
                if time.monotonic() > end_s:
                    raise
                time.sleep(0.05)
                continue
            if answer.status != 200:
                raise RuntimeError(f"{method} {path}: {answer.body.decode()}")
            return json.loads(answer.body)

    def _set_power(self, vm: str, is_on: bool) -> None:
        server = self.upstreams.get(vm) or self.workers[vm]
        if is_on:
            server.power_on()
        else:
            server.power_off()

    def _start_vm(self, plan: VmPlan) -> ListedVm:
        if plan.kind == "upstream":
            server = UpstreamStandIn(plan.name, plan.slots)
            self.upstreams[plan.name] = server
        else:
            server = WorkerStandIn(plan.name)
            self.workers[plan.name] = server
        server.start()
        return ListedVm(
            id=plan.name,
            address=server.address,
            zone=plan.zone,
            rack=plan.rack,
            kind=plan.kind,
            cpu_cores=64.0,
            memory_bytes=256 * 2**30,
            initial_pool=plan.pool,
        )

    def _platform_addresses(self, zone: str) -> tuple[str, str]:
        """Return the addresses of store and inventory to use in a zone."""
        if zone not in self.cuttable_zones:
            return self.store.address, self.inventory.address
        if zone not in self.relays:
            servers = (self.store, self.inventory)
            self.relays[zone] = [Relay(s.address).start() for s in servers]
        store, inventory = self.relays[zone]
        return store.address, inventory.address

    def _prepare_entry(
        self, name: str, zone: str, listen: list[str], all_peers: list[str]
    ) -> EntryHandle:
        callers, operators, peers = listen
        seeds = [address for address in all_peers if address != peers]
        keys = self.authority.issue(name)
        store, inventory = self._platform_addresses(zone)
        settings = Path(self._folder.name) / f"{name}.toml"
        settings.write_text(f"""
seeds = {json.dumps(seeds)}

[identity]
entry = "{name}"
zone = "{zone}"
region = "local"

[listen]
callers = "{callers}"
operators = "{operators}"
peers = "{peers}"

[platform]
store_url = "http://{store}"
inventory_url = "http://{inventory}"

[operators]
token_file = "{self.token_file}"

[tls.peers]
certificate_file = "{keys.certificate_file}"
key_file = "{keys.key_file}"
authority_file = "{keys.authority_file}"
""")
        return EntryHandle(name, zone, callers, operators, peers, settings)


def free_ports(count: int) -> list[int]:
    """Return free loopback ports below the ephemeral port range.

    An outgoing connection could take an ephemeral port before the entry binds it.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        if port not in ports and _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    try:
        socket.create_server((LOOPBACK, port)).close()
    except OSError:
        return False
    return True


def _status_of(url: str) -> int:
    try:
        return http_client.request("GET", url, timeout_s=2, step="testbed").status
    except JayshuntError:
        return 0


def _wait_for_exit(process: subprocess.Popen) -> None:
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
