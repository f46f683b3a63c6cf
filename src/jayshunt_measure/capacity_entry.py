"""Measure one whole entry that controls a zone."""

import time
from dataclasses import dataclass, replace

from jayshunt_measure.node_hosts import NodeHosts
from jayshunt_standins.inventory import InventoryStandIn, ListedVm
from jayshunt_standins.upstream import UpstreamStandIn
from jayshunt_standins.worker import WorkerStandIn

ZONES = 15
POOLS = 41
UPSTREAMS_PER_POOL = 8
VMS_PER_RACK = 4
SETTLE_S = 6.0
STEADY_S = 12.0


@dataclass
class EntryCost:
    """Hold what a whole entry costs at a number of workers."""

    workers: int
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
        """Return what control costs; checks of VMs serve their callers."""
        return self.peers_bytes_per_s + self.store_bytes_per_s + self.list_bytes_per_s


def measure_entry(hosts: NodeHosts, workers: int) -> EntryCost:
    """Start an entry in a zone of its own share of the workers and let it idle.

    The zone has no other entry, so this one is broker of every pool, zone
    controller and watcher at once.
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
    plan = hosts.plan(1, 1, 1)[0]
    known = hosts.plans[min(hosts.plans)]
    seeds = tuple(p.address for p in list(hosts.plans.values())[:3])
    plan = replace(
        plan,
        entry=f"entry-{workers}",
        zone=zone,
        region=known.region,
        seeds=seeds,
        store_url=hosts.store.url,
    )
    host = hosts.start_full(plan, inventory.url)
    try:
        hosts.wait(lambda: False, SETTLE_S)
        before, started_s = hosts.stats(f"{zone}-1", [host]), time.monotonic()
        hosts.wait(lambda: False, STEADY_S)
        after = hosts.stats(f"{zone}-2", [host])
        seconds = time.monotonic() - started_s
    finally:
        host.stop()
        hosts.hosts.remove(host)
        for server in (inventory, upstream, worker):
            server.stop()

    def rate(key: str) -> float:
        return (after[0][key] - before[0][key]) / seconds

    return EntryCost(
        workers,
        rate("cpu_s"),
        rate("peers_bytes"),
        rate("store_bytes"),
        rate("list_bytes"),
        rate("vms_bytes"),
        float(after[0]["rss_bytes"]),
        rate("store_calls"),
        rate("store_writes"),
    )


def _list_vms(
    zone: str, workers: int, upstream_address: str, worker_address: str
) -> list[ListedVm]:
    """List the VMs of every zone; the first zone is the measured one."""
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
