"""Start and stop the processes of a soak, and the relays between them."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

from jayshunt import http_client
from jayshunt.dispatch.records import TERM_KEY
from jayshunt.errors import JayshuntError
from jayshunt_soak.const import (
    ENTRIES,
    HOST,
    KINDS,
    MILLICORES_PER_VM,
    POOLS,
    RACKS,
    RESTART_DELAY_S,
    SPARE,
    STOP_GRACE_S,
    VMS_PER_RACK,
)
from jayshunt_soak.platform import formats
from jayshunt_soak.platform.machines import ListedVm, MachinesStandIn
from jayshunt_soak.platform.store import PlatformStoreStandIn
from jayshunt_soak.queues import StoredQueues
from jayshunt_standins.relay import Relay

ROOT = Path(__file__).resolve().parents[2]
SUPERVISE_INTERVAL_S = 0.05
CONTROL_TIMEOUT_S = 0.2
# How long two workers are down whose addresses are swapped.
SWAP_DOWN_S = 0.6
RECORD_TIMEOUT_S = 2.0


def free_ports(count: int) -> list[int]:
    """Return free loopback ports.

    They are below the kernel's range of ephemeral ports, so that no outgoing
    connection takes one of them.
    """
    found: list[int] = []
    port = 12_000 + os.getpid() % 500 * 40
    while len(found) < count:
        port += 1
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        found.append(port)
    return found


@dataclass
class Program:
    """Describe one process that is restarted whenever it ends.

    `ends` lists the times at which it ended, `restart_s` is the time of its next
    start; both are monotonic seconds. `statuses` are the exit statuses.
    """

    name: str
    command: list[str]
    environment: dict[str, str]
    log: Path
    process: subprocess.Popen | None = None
    restart_s: float | None = 0.0
    ends: list[float] | None = None
    statuses: list[int] = field(default_factory=list)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Testbed:
    """Run every process, stand-in and relay of one soak run."""

    def __init__(self, folder: Path, seed: int) -> None:
        """Assign ports and create the stand-ins, relays and programs; start none."""
        self.folder = folder
        vms = [f"m-{r}-{n}" for r in range(RACKS) for n in range(VMS_PER_RACK)]
        ports = free_ports(len(vms) + 3 * ENTRIES)
        self.vm_ports = dict(zip(vms, ports))
        self.store = PlatformStoreStandIn(seed)
        pools = (*POOLS, SPARE)
        self._listed = [
            ListedVm(
                vm,
                vm[2],
                pools[n % len(pools)],
                KINDS[n // len(pools) % len(KINDS)],
                f"{HOST}:{self.vm_ports[vm]}",
            )
            for n, vm in enumerate(vms)
        ]
        # The list changes with the VMs; a rack that is killed starts again as at first.
        self._kinds = {vm.vm_id: vm.kind for vm in self._listed}
        self._pools = {vm.vm_id: vm.pool for vm in self._listed}
        self._seed = seed
        self.machines = MachinesStandIn(self._listed, self.store)
        self.vm_relays = {vm: Relay(f"{HOST}:{p}") for vm, p in self.vm_ports.items()}
        self.store_relays = [Relay(self.store.address) for _ in range(ENTRIES)]
        entry_ports = ports[len(vms) :]
        self.entry_ports = [entry_ports[3 * n : 3 * n + 3] for n in range(ENTRIES)]
        self.entries = [self._build_entry(n) for n in range(ENTRIES)]
        self.racks = [self._build_rack(str(r)) for r in range(RACKS)]
        self._stopping = threading.Event()
        self._config_lock = threading.Lock()
        self.config_times_s: list[float] = []
        self.queue_pools = {pool: pool for pool in POOLS}
        self.stored_queues: list[StoredQueues] = []
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start everything and write the first configuration."""
        for server in (self.store, self.machines):
            server.start()
        for relay in (*self.vm_relays.values(), *self.store_relays):
            relay.start()
        self.store_next_config()
        threading.Thread(target=self._supervise, daemon=True).start()

    def store_next_config(self) -> None:
        """Store the next version of the configuration, and record when it was there.

        `config_times_s` has one time for each version, starting with version 1.
        """
        with self._config_lock:
            version = len(self.config_times_s) + 1
            queues = StoredQueues(time.monotonic(), dict(self.queue_pools))
            self.stored_queues.append(queues)
            value = formats.config(version, queues.pools)
            self.store.put(formats.CONFIG_KEY, value)
            self.config_times_s.append(time.monotonic())

    def send_queue_to(self, queue: str, pool: str) -> None:
        """Store a configuration that sends a queue to another pool."""
        self.queue_pools = {**self.queue_pools, queue: pool}
        self.store_next_config()

    def stop(self) -> None:
        """Kill every process that this testbed started, and stop the stand-ins."""
        self._stopping.set()
        with self._lock:
            for program in (*self.entries, *self.racks):
                program.send_signal(signal.SIGCONT)
                program.send_signal(signal.SIGKILL)
                if program.process is not None:
                    program.process.wait()
        for relay in (*self.vm_relays.values(), *self.store_relays):
            relay.stop()
        for server in (self.store, self.machines):
            server.stop()

    def heal(self) -> None:
        """End every fault."""
        self.store.faults = type(self.store.faults)()
        for relay in (*self.vm_relays.values(), *self.store_relays):
            relay.restore()
        for program in (*self.entries, *self.racks):
            program.send_signal(signal.SIGCONT)
        for vm in self.vm_ports:
            self.resize(vm, MILLICORES_PER_VM)
            self._show_address(vm)

    def _show_address(self, vm: str) -> None:
        """Let a VM's worker announce the address of the relay to it."""
        shown = {"shown": self.vm_relays[vm].address}
        self._call_vm(vm, "address", shown, CONTROL_TIMEOUT_S)

    def restart_worker(self, vm: str, order: dict) -> bool:
        """Crash the worker on a VM and start it again soon; return whether it is done.

        `order` has `is_silent`, whether open connections stay silent or are closed. It
        may have `is_new`, whether the worker gets another id; `kind`; `down_s`; and
        `keeps_calls`, whether the next incarnation takes calls that wait for it, also
        on open connections.
        """
        is_done = self._call_vm(vm, "restart", order, CONTROL_TIMEOUT_S)
        if not order["is_silent"] and not order.get("keeps_calls"):
            # A process that crashes closes its connections at once. Callers that see
            # it reach the next incarnation over new ones.
            self.vm_relays[vm].reset()
        return is_done

    def change_kind(self, vm: str, order: dict) -> None:
        """Start the worker on a VM again under its id as another kind."""
        (kind,) = (kind for kind in KINDS if kind != self._kinds[vm])
        self.restart_worker(vm, {**order, "kind": kind})

    def restore_kind(self, vm: str, order: dict) -> None:
        """Start the worker on a VM again under its id as the kind that it had first."""
        self.restart_worker(vm, {**order, "kind": self._kinds[vm]})

    def swap_addresses(self, vm: str, choice: int) -> None:
        """Start a worker and one of another pool under other ids, addresses swapped."""
        pools = self.machines.pools()
        others = [
            other for other in pools if len({SPARE, pools[vm], pools[other]}) == 3
        ]
        if not others:
            return
        other = others[choice % len(others)]
        order = {"is_silent": False, "is_new": True, "down_s": SWAP_DOWN_S}
        # An address belongs to another worker only once the worker there is gone.
        if not all(self.restart_worker(name, order) for name in (vm, other)):
            return
        first, second = self.vm_relays[vm], self.vm_relays[other]
        first.exchange_targets(second)
        self.vm_relays |= {vm: second, other: first}
        for rack, program in enumerate(self.racks):
            program.command = self._rack_command(str(rack))
        for name in (vm, other):
            self._show_address(name)

    def cut_off(self, vm: str, is_one_way: bool, for_s: float) -> None:
        """Cut a VM's worker off from the entries and the list of workers.

        One way, calls still reach the worker, but no answer leaves it. The path is open
        again with `restore` of its relay.
        """
        self._call_vm(vm, "quiet", {"for_s": for_s}, CONTROL_TIMEOUT_S)
        if is_one_way:
            self.vm_relays[vm].is_one_way = True
        else:
            self.vm_relays[vm].silence()

    def take_away(self, vm: str, order: dict) -> None:
        """Let a VM leave with its worker, and come back with another one.

        `order` has `drain_s`, how long the worker announces its end before (0: it
        crashes); `away_s`; `state`, how the VM is listed meanwhile, and `lag_s`, how
        long after the end; `is_silent`, whether calls get no answer or are closed; and
        `listed_s`, how long the entry of the worker is still written.
        """
        self._call_vm(vm, "leave", order, CONTROL_TIMEOUT_S)

    def delay_orders(self, vm: str, for_s: float) -> None:
        """Let a VM's worker leave orders unanswered and carry them out late."""
        self._call_vm(vm, "late", {"for_s": for_s}, CONTROL_TIMEOUT_S)

    def resize(self, vm: str, millicores: int) -> None:
        """Change the capacity of the worker on a VM; one that is down keeps none."""
        self._call_vm(vm, "resize", {"cpu": millicores}, CONTROL_TIMEOUT_S)

    def record_due_ends(self) -> None:
        """Let all workers record ends that are due; they do so by themselves if called.

        A worker that nobody calls after its lease would look as if its runs went on.
        """
        for vm in self.vm_ports:
            self._call_vm(vm, "record", {}, RECORD_TIMEOUT_S)

    def _call_vm(self, vm: str, path: str, body: dict, timeout_s: float) -> bool:
        """Give an order of the soak to a VM; return whether it answered."""
        try:
            http_client.request(
                "POST",
                f"http://{HOST}:{self.vm_ports[vm]}/standin/{path}",
                body=json.dumps(body).encode(),
                timeout_s=timeout_s,
                step=f"soak.{path}",
            )
        except JayshuntError as error:
            print(f"{path} of {vm} failed: {error}", file=sys.stderr)
            return False
        return True

    def terminate(self, program: Program) -> None:
        """Send SIGTERM to a process, and kill it if it runs after `STOP_GRACE_S`."""
        process = program.process
        program.send_signal(signal.SIGTERM)

        def kill() -> None:
            if process is not None and process.poll() is None:
                process.kill()

        threading.Timer(STOP_GRACE_S, kill).start()

    def dispatcher(self) -> Program | None:
        """Return the entry that holds the present term, None if none does."""
        for value in self.store.values(TERM_KEY).values():
            holder = json.loads(value)["entry"]
            return next((p for p in self.entries if p.name == holder), None)
        return None

    def events(self) -> list[dict]:
        """Return the events that workers recorded and the ends of their processes."""
        rows: list[dict] = []
        for program in self.racks:
            log = self.folder / f"{program.name}.events"
            for line in log.read_text().splitlines():
                rows.append({**json.loads(line), "process": program.name})
            ends = program.ends or []
            rows += [
                {"at_s": at, "event": "killed", "process": program.name} for at in ends
            ]
        return sorted(rows, key=lambda row: row["at_s"])

    def _supervise(self) -> None:
        while not self._stopping.wait(SUPERVISE_INTERVAL_S):
            with self._lock:
                if self._stopping.is_set():
                    return
                for program in (*self.entries, *self.racks):
                    self._restart_if_ended(program)

    def _restart_if_ended(self, program: Program) -> None:
        now_s = time.monotonic()
        if program.process is not None and program.process.poll() is not None:
            program.ends = [*(program.ends or []), now_s]
            program.statuses.append(program.process.returncode)
            program.process, program.restart_s = None, now_s + RESTART_DELAY_S
        if program.process is None and now_s >= program.restart_s:
            with program.log.open("ab") as log:
                program.process = subprocess.Popen(
                    program.command,
                    env={**os.environ, **program.environment},
                    stdout=log,
                    stderr=log,
                    cwd=ROOT,
                )

    def _build_entry(self, number: int) -> Program:
        name = f"entry-{number}"
        settings = self.folder / f"{name}.toml"
        settings.write_text(
            formats.entry_settings(
                name,
                self.entry_ports[number],
                self.store_relays[number].address,
                self.machines.address,
            )
        )
        command = [sys.executable, str(ROOT / "deploy" / "platform_entry.py")]
        environment = {"JAYSHUNT_CONFIG": str(settings)}
        return Program(name, command, environment, self.folder / f"{name}.log")

    def _build_rack(self, rack: str) -> Program:
        name = f"rack-{rack}"
        environment = {"PYTHONPATH": str(ROOT / "src")}
        log = self.folder / f"{name}.log"
        return Program(name, self._rack_command(rack), environment, log)

    def _rack_command(self, rack: str) -> list[str]:
        vms = {
            vm.vm_id: self._pools[vm.vm_id] for vm in self._listed if vm.rack == rack
        }
        plan = {
            "rack": rack,
            "vms": vms,
            "kinds": {vm: self._kinds[vm] for vm in vms},
            "ports": {vm: self.vm_ports[vm] for vm in vms},
            "shown": {vm: self.vm_relays[vm].address for vm in vms},
            "platform": self.machines.address,
            "log": str(self.folder / f"rack-{rack}.events"),
            "seed": self._seed,
        }
        module = "jayshunt_soak.platform.rack"
        return [sys.executable, "-m", module, json.dumps(plan)]
