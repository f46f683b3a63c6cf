"""Measure the resource usage of a complete entry that controls a zone."""

import time
from dataclasses import dataclass, replace

from jayshunt_measure.node_hosts import Host, NodeHosts
from jayshunt_standins.inventory import InventoryStandIn, ListedVm
from jayshunt_standins.upstream import UpstreamStandIn
from jayshunt_standins.worker import WorkerStandIn

ZONES = 15
POOLS = 41
UPSTREAMS_PER_POOL = 8
VMS_PER_RACK = 4
SETTLE_S = 3.0
STEADY_S = 12.0
WARM_UP_CHANGES = 3
WARM_UP_S = 2.0


@dataclass
class EntryCost:
    """Hold the resource usage of a complete entry at a number of workers."""

    workers: int
    is_controller: bool
    cpu_ratio: float
    peers_bytes_per_s: float
    store_bytes_per_s: float
    list_bytes_per_s: float
    vms_bytes_per_s: float
    memory_bytes: float
    store_calls_per_s: float
    store_writes_per_s: float

    @property
    def bytes_per_s(self) -> float:
        """Return the control traffic, without VM checks, which belong to serving."""
        return self.peers_bytes_per_s + self.store_bytes_per_s + self.list_bytes_per_s


def measure_entries(hosts: NodeHosts, workers: int) -> list[EntryCost]:
    """Start two entries in a new zone and measure them while idle.

    The zone has its share of the workers. One entry becomes zone controller. The
    two share the brokers of every pool, and both watch the configuration.
    """
    upstream, worker = UpstreamStandIn("shared", 64), WorkerStandIn("shared")
    upstream.start()
    worker.start()
    zone = f"zone-{workers}"
    inventory = InventoryStandIn(
        _list_vms(zone, workers, upstream.address, worker.address), lag_s=0.0
    )
    inventory.start()
    hosts.services[inventory.address] = "list"
    hosts.services[upstream.address] = hosts.services[worker.address] = "vms"
    started = [_start(hosts, zone, name, inventory.url) for name in ("a", "b")]
    try:
        _open_connections(hosts, workers)
        hosts.wait(lambda: False, SETTLE_S)
        before, started_s = hosts.stats(f"{zone}-1", started), time.monotonic()
        hosts.wait(lambda: False, STEADY_S)
        after = hosts.stats(f"{zone}-2", started)
        seconds = time.monotonic() - started_s
    finally:
        for host in started:
            host.stop()
            hosts.hosts.remove(host)
        for server in (inventory, upstream, worker):
            server.stop()
    pairs = [(b, a) for b in before for a in after if b["pid"] == a["pid"]]
    return [_cost(workers, b, a, seconds) for b, a in pairs]


def _open_connections(hosts: NodeHosts, workers: int) -> None:
    """Accept changes that the new entries spread, so that they connect to peers.

    Otherwise the periodic exchanges open them over 40 s, each with a TLS handshake.
    """
    entry = min(hosts.plans)
    for number in range(WARM_UP_CHANGES):
        hosts.wait(lambda: False, WARM_UP_S)
        hosts.host_of(entry).send(
            do="accept", entry=entry, name=f"warm-up-{workers}-{number}", quota=1.0
        )


def _start(hosts: NodeHosts, zone: str, name: str, inventory_url: str) -> Host:
    known = hosts.plans[min(hosts.plans)]
    plan = replace(
        hosts.plan(1, 1, 1)[0],
        entry=f"{zone}-{name}",
        zone=zone,
        region=known.region,
        seeds=tuple(p.address for p in list(hosts.plans.values())[:3]),
        store_url=hosts.store.url,
    )
    return hosts.start_full(plan, inventory_url)


def _cost(workers: int, before: dict, after: dict, seconds: float) -> EntryCost:
    def rate(key: str) -> float:
        return (after[key] - before[key]) / seconds

    return EntryCost(
        workers,
        after["is_controller"],
        rate("cpu_s"),
        rate("peers_bytes"),
        rate("store_bytes"),
        rate("list_bytes"),
        rate("vms_bytes"),
        float(after["rss_bytes"]),
        rate("store_calls"),
        rate("store_writes"),
    )


def _list_vms(
    zone: str, workers: int, upstream_address: str, worker_address: str
) -> list[ListedVm]:
    """Return the VMs of all zones; the first zone is the measured one."""
    zones = [zone, *(f"other-{number}" for number in range(ZONES - 1))]
    vms = []
    for kind, count in (
        ("worker", workers),
        ("upstream", POOLS * UPSTREAMS_PER_POOL),
    ):
        address = worker_address if kind == "worker" else upstream_address
        for number in range(count):
            in_zone = number // ZONES
            vms.append(
                ListedVm(
                    id=f"{kind}-{number}",
                    address=address,
                    zone=zones[number % ZONES],
                    rack=f"rack-{number % ZONES}-{in_zone // VMS_PER_RACK}",
                    kind=kind,
                    cpu_cores=64.0,
                    memory_bytes=256 * 2**30,
                    accelerators=2 if kind == "worker" else 0,
                    initial_pool=f"pool-{number % POOLS}",
                )
            )
    return vms
