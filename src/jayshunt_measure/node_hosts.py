"""Start processes with control nodes and collect their events."""

import json
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from dataclasses import asdict, replace
from pathlib import Path

from jayshunt_measure.certificates import Authority
from jayshunt_measure.control_node import NodePlan
from jayshunt_measure.recording_store import RecordingStore
from jayshunt_measure.testbed import free_ports
from jayshunt_standins.relay import Relay
from jayshunt_standins.server import LOOPBACK

WAIT_LIMIT_S = 30.0


class Host:
    """Represent one process that runs nodes."""

    def __init__(self, on_event: Callable[[dict], None]) -> None:
        """Start the process; `on_event` is called with each of its events."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "jayshunt_measure.node_host"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self._receive = on_event
        threading.Thread(target=self._read, daemon=True).start()

    def send(self, **command: object) -> None:
        """Send one command; do nothing if the process has ended."""
        try:
            self.process.stdin.write(json.dumps(command) + "\n")
            self.process.stdin.flush()
        except BrokenPipeError:
            return

    def stop(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()

    def _read(self) -> None:
        for line in self.process.stdout:
            self._receive(json.loads(line))


class NodeHosts:
    """Manage a store, a relay to it per zone and the hosts of one run."""

    def __init__(self) -> None:
        """Start the store."""
        self._folder = tempfile.TemporaryDirectory(prefix="jayshunt-")
        self._authority = Authority(Path(self._folder.name))
        self.store = RecordingStore()
        self.store.start()
        self.relays: dict[str, Relay] = {}
        self.hosts: list[Host] = []
        self.events: list[dict] = []
        self._changed = threading.Condition()
        self.plans: dict[str, NodePlan] = {}
        self._host_of: dict[str, Host] = {}
        self.services: dict[str, str] = {self.store.address: "store"}

    def plan(
        self, count: int, zones: int, regions: int, watch_only: bool = False
    ) -> list[NodePlan]:
        """Plan nodes spread over zones; the first three are the seeds of all."""
        addresses = [f"{LOOPBACK}:{port}" for port in free_ports(count)]
        plans = []
        for number, address in enumerate(addresses):
            zone = f"z{number % zones:02}"
            if zone not in self.relays:
                self.relays[zone] = Relay(self.store.address).start()
                self.services[self.relays[zone].address] = "store"
            keys = self._authority.issue(f"e{number:03}")
            plans.append(
                NodePlan(
                    f"e{number:03}",
                    zone,
                    f"r{number % zones % regions}",
                    address,
                    tuple(addresses[:3]),
                    f"http://{self.relays[zone].address}",
                    str(keys.certificate_file),
                    str(keys.key_file),
                    str(keys.authority_file),
                    watch_only,
                )
            )
        return plans

    def start(self, plans: list[NodePlan]) -> Host:
        """Start nodes in a new process."""
        host = Host(self._receive)
        self.hosts.append(host)
        for plan in plans:
            self.plans[plan.entry] = plan
            self._host_of[plan.entry] = host
            host.send(do="start", plan=asdict(plan))
        return host

    def start_full(self, plan: NodePlan, inventory_url: str) -> Host:
        """Start a complete entry in a new process."""
        settings = Path(self._folder.name) / f"{plan.entry}.toml"
        token = Path(self._folder.name) / "token"
        token.write_text("loopback-only")
        settings.write_text(f"""
seeds = {json.dumps(list(plan.seeds))}

[identity]
entry = "{plan.entry}"
zone = "{plan.zone}"
region = "{plan.region}"

[listen]
callers = "{LOOPBACK}:0"
operators = "{LOOPBACK}:0"
peers = "{plan.address}"

[platform]
store_url = "{plan.store_url}"
inventory_url = "{inventory_url}"

[operators]
token_file = "{token}"

[tls.peers]
certificate_file = "{plan.certificate_file}"
key_file = "{plan.key_file}"
authority_file = "{plan.authority_file}"
""")
        host = Host(self._receive)
        self.hosts.append(host)
        host.send(do="full", settings=str(settings))
        return host

    def restart(self, entry: str) -> None:
        """Restart a node that was stopped."""
        plan = replace(self.plans[entry])
        self._host_of[entry].send(do="start", plan=asdict(plan))

    def host_of(self, entry: str) -> Host:
        """Return the host of a node."""
        return self._host_of[entry]

    def partition(self, zone: str) -> None:
        """Partition a zone from the other zones and from the store."""
        inside = {p.address for p in self.plans.values() if p.zone == zone}
        outside = {p.address for p in self.plans.values() if p.zone != zone}
        for entry, plan in self.plans.items():
            cut = outside if plan.zone == zone else inside
            self._host_of[entry].send(do="cut", entry=entry, addresses=sorted(cut))
        self.relays[zone].silence()

    def heal(self, zone: str) -> None:
        """Heal the partition of a zone."""
        for entry in self.plans:
            self._host_of[entry].send(do="cut", entry=entry, addresses=[])
        self.relays[zone].restore()

    def stats(self, mark: str, hosts: list[Host] | None = None) -> list[dict]:
        """Return the resources that hosts have used so far."""
        asked = self.hosts if hosts is None else hosts
        for host in asked:
            host.send(do="stats", mark=mark, services=self.services)
        self.wait(lambda: len(self._stats_with_mark(mark)) >= len(asked), 10)
        return self._stats_with_mark(mark)

    def wait(
        self, condition: Callable[[], bool], limit_s: float = WAIT_LIMIT_S
    ) -> bool:
        """Wait until a condition is true and return whether it is."""
        end_s = time.monotonic() + limit_s
        with self._changed:
            while not condition():
                left_s = end_s - time.monotonic()
                if left_s <= 0:
                    return False
                self._changed.wait(min(left_s, 0.1))
        return True

    def find(self, event: str) -> list[dict]:
        """Return the events of one kind that were received so far."""
        return [item for item in list(self.events) if item["event"] == event]

    def stop(self) -> None:
        """Stop the hosts, the relays and the store."""
        for host in self.hosts:
            host.stop()
        for relay in self.relays.values():
            relay.stop()
        self.store.stop()
        self._folder.cleanup()

    def _stats_with_mark(self, mark: str) -> list[dict]:
        return [item for item in self.find("stats") if item["mark"] == mark]

    def _receive(self, event: dict) -> None:
        with self._changed:
            self.events.append(event)
            self._changed.notify_all()
