"""Run entries, and upstreams in separate processes, for the serving measurement."""

import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from jayshunt import http_client
from jayshunt.config.models import ConfigDocument
from jayshunt.errors import JayshuntError
from jayshunt.ids import EntryId, ZoneName
from jayshunt.membership.models import Member
from jayshunt.membership.ranking import rank_members
from jayshunt_measure.serving_shapes import INSTANCES_PER_ZONE, SLOTS, ZONES, Shape
from jayshunt_measure.testbed import EntryHandle, Testbed, VmPlan
from jayshunt_standins.inventory import ListedVm

STAND_IN_COMMAND = "from jayshunt_standins.main import main; main()"
MEMBERS_TIMEOUT_S = 20.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass
class ServingTestbed(Testbed):
    """Run the upstreams outside this process, which sends the requests.

    `rotation` contains the names of the entries to which requests are sent.
    """

    rotation: set[str] = field(default_factory=set)
    addresses: dict[str, str] = field(default_factory=dict)
    _read_positions: dict[str, tuple[int, int]] = field(default_factory=dict)

    def start(self) -> "ServingTestbed":
        """Start the upstreams of each zone, then stand-ins and entries."""
        self._processes = []
        for zone in ZONES:
            self._start_upstreams([vm for vm in self.vms if vm.zone == zone])
        super().start()
        return self

    def stop(self) -> None:
        """Stop entries, stand-ins and upstreams."""
        super().stop()
        for process in self._processes:
            process.terminate()
        for process in self._processes:
            process.wait()

    def wait_members(self) -> None:
        """Wait until every entry knows all others, and add all to the rotation."""
        end_s = time.monotonic() + MEMBERS_TIMEOUT_S
        for entry in self.entries:
            while not self._knows_all(entry):
                if time.monotonic() > end_s:
                    raise RuntimeError(f"{entry.name} does not know all entries")
                time.sleep(0.05)
            self.rotation.add(entry.name)

    def _knows_all(self, entry: EntryHandle) -> bool:
        status = self.operator_call(entry, "GET", "status")
        return not status["missing"] and len(status["processes"]) == len(self.entries)

    def entries_in_rotation(self) -> list[EntryHandle]:
        """Return the entries to which the platform's load balancer sends requests."""
        return [entry for entry in self.entries if entry.name in self.rotation]

    def instances_of(self, pool: str) -> list[EntryHandle]:
        """Return a pool's instances as handles to which requests can be sent."""
        return [
            EntryHandle(vm.name, vm.zone, self.addresses[vm.name], "", "", Path())
            for vm in self.vms
            if vm.pool == pool
        ]

    def broker_of(self, zone: str, pool: str) -> EntryHandle:
        """Return the entry that is ranked first as broker of a pool."""
        members = [
            Member(EntryId(e.name), ZoneName(e.zone), e.peers, 1)
            for e in self.entries
            if e.zone == zone
        ]
        first = rank_members(f"broker|{zone}|{pool}", members)[0]
        return next(e for e in self.entries if e.name == first.entry)

    def signal_entry(self, entry: EntryHandle, number: int) -> None:
        """Send a signal to the process of one entry."""
        entry.process.send_signal(number)

    def kill_entry(self, entry: EntryHandle) -> None:
        """Kill one entry, as a crash does; the load balancer removes it at once."""
        self.rotation.discard(entry.name)
        entry.process.kill()
        entry.process.wait()

    def stop_entry(self, entry: EntryHandle) -> None:
        """Stop one entry, as for maintenance, without waiting for its exit."""
        self.rotation.discard(entry.name)
        entry.process.send_signal(signal.SIGTERM)

    def restart_ended(self) -> None:
        """Restart all stopped or killed entries and wait until they are ready."""
        ended = [e for e in self.entries if e.name not in self.rotation]
        for entry in ended:
            entry.process.wait()
            self.start_entry(entry)
        for entry in ended:
            self.wait_ready(entry)
        if ended:
            self.wait_members()

    def set_faults(self, vm: str, **faults: object) -> None:
        """Set the faults of one instance."""
        self._call(vm, "PUT", "faults", faults)

    def read_runs(self, vm: str) -> dict:
        """Return the records of an instance since the last read."""
        ran, received = self._read_positions.get(vm, (0, 0))
        path = f"ran?since={ran}&received_since={received}"
        report = self._call(vm, "GET", path)
        received += len(report["received"])
        self._read_positions[vm] = (ran + len(report["ran"]), received)
        return report

    def cpu_s(self) -> float:
        """Return the CPU time that the entries have used so far."""
        total = 0.0
        for entry in self.entries:
            stat = Path(f"/proc/{entry.process.pid}/stat").read_text()
            fields = stat.rpartition(")")[2].split()
            total += (int(fields[11]) + int(fields[12])) / TICKS_PER_S
        return total

    def _call(self, vm: str, method: str, path: str, content: object = None) -> dict:
        answer = http_client.request(
            method,
            f"http://{self.addresses[vm]}/standin/{path}",
            body=None if content is None else json.dumps(content).encode(),
            timeout_s=5,
            step="measure",
        )
        if answer.status != 200:
            raise JayshuntError("standin_failed", step="measure", peer=vm)
        return json.loads(answer.body)

    def _start_upstreams(self, plans: list[VmPlan]) -> None:
        process = subprocess.Popen(
            [sys.executable, "-c", STAND_IN_COMMAND, "/dev/stdin"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        process.stdin.write("lag_s = 2.0\n")
        for plan in plans:
            process.stdin.write(
                f'[[vms]]\nid = "{plan.name}"\nzone = "{plan.zone}"\n'
                f'rack = "{plan.rack}"\nkind = "upstream"\nslots = {plan.slots}\n'
                f'initial_pool = "{plan.pool}"\n'
            )
        process.stdin.close()
        self._processes.append(process)
        self.addresses |= json.loads(process.stdout.readline())["vms"]

    def _start_vm(self, plan: VmPlan) -> ListedVm:
        return ListedVm(
            id=plan.name,
            address=self.addresses[plan.name],
            zone=plan.zone,
            rack=plan.rack,
            kind=plan.kind,
            cpu_cores=64.0,
            memory_bytes=256 * 2**30,
            initial_pool=plan.pool,
        )


def instance_plans(shapes: tuple[Shape, ...]) -> list[VmPlan]:
    """Return the instances of each pool, each in a different rack of its zone."""
    return [
        VmPlan(
            f"{shape.pool}-{zone}-{number}",
            zone,
            f"{zone}-rack-{number}",
            "upstream",
            shape.pool,
            SLOTS,
        )
        for shape in shapes
        for zone in ZONES
        for number in range(INSTANCES_PER_ZONE)
    ]


def document(shapes: tuple[Shape, ...]) -> ConfigDocument:
    """Return the configuration with the classes and pools of the given shapes."""
    return ConfigDocument.model_validate(
        {
            "pools": {
                shape.pool: {"slots_per_instance": SLOTS, "min_available_ratio": 0.5}
                for shape in shapes
            },
            "classes": {
                item.name: {"pool": shape.pool, "target_ms": item.target_ms}
                for shape in shapes
                for item in shape.classes
            },
        }
    )
