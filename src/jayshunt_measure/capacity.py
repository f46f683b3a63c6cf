"""Measure the resource usage of one node at the size expected in two years."""

import json
import random
import signal
import time
from dataclasses import asdict, dataclass, field
from typing import Annotated

import typer

from jayshunt_measure.capacity_documents import (
    DocumentCost,
    measure_documents,
    measure_planning,
)
from jayshunt_measure.capacity_entry import EntryCost, measure_entries
from jayshunt_measure.figures import quantile, slope
from jayshunt_measure.node_hosts import Host, NodeHosts
from jayshunt_measure.rollout import full_document

SIZES = (16, 32, 60)
WORKERS = (400, 800, 1_600)
NODES_PER_HOST = 8
ZONES = 15
REGIONS = 4
SETTLE_S = 6.0
STEADY_S = 12.0
CHANGES = 5
CHANGES_PER_DAY = 1_400
PAUSE_S = 1.0
LOSS_LIMIT_S = 8.0
PARTITION_S = 10.0
HEAL_LIMIT_S = 30.0


@dataclass
class SizeCost:
    """Hold the resource usage of one node in a cluster of `nodes` nodes.

    `cpu_ratio` is CPU seconds per second. `bytes_per_s` counts payload bytes,
    `wire_bytes_per_s` the bytes on the wire.
    """

    nodes: int
    cpu_ratio: float
    bytes_per_s: float
    wire_bytes_per_s: float
    segments_per_s: float
    memory_bytes: float
    store_calls_per_s: float


@dataclass
class CapacityFigures:
    """Hold the fields that the measurement prints.

    CPU ratios are CPU seconds per second. The fields `per_node` and
    `per_1000_workers` are slopes of the cost over the size.
    """

    control_cpu_ratio: float = 0.0
    memory_bytes: float = 0.0
    control_bytes_per_s: float = 0.0
    loss_detected_p99_ms: float = 0.0
    false_losses: int = 0
    converged_after_heal_ms: float = 0.0
    change_cpu_ms: float = 0.0
    change_bytes: float = 0.0
    cpu_ratio_per_node: float = 0.0
    bytes_per_s_per_node: float = 0.0
    memory_bytes_per_node: float = 0.0
    cpu_ratio_per_1000_workers: float = 0.0
    bytes_per_s_per_1000_workers: float = 0.0
    memory_bytes_per_1000_workers: float = 0.0
    sizes: list[SizeCost] = field(default_factory=list)
    entries: list[EntryCost] = field(default_factory=list)
    documents: list[DocumentCost] = field(default_factory=list)
    plan_ms_by_workers: dict[int, float] = field(default_factory=dict)


def capacity(
    seed: Annotated[int, typer.Option(help="Seed of the faults.")] = 1,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Measure the cost of a node at several sizes, and how nodes detect failures.

    The latter are the time to detect a loss, the false losses in pauses, and the time
    to recover from a partition.
    """
    figures = CapacityFigures()
    rng = random.Random(seed)
    for size in SIZES:
        _with_nodes(size, lambda hosts: _measure_size(figures, hosts, rng))
    _add_slopes(figures)
    figures.documents = measure_documents()
    figures.plan_ms_by_workers = measure_planning()
    content = asdict(figures)
    for name, value in content.items():
        if isinstance(value, int | float):
            typer.echo(f"{name:<32}{value:>16.6g}")
    for row in [*figures.sizes, *figures.entries, *figures.documents]:
        typer.echo("  ".join(f"{n} {_format(v)}" for n, v in asdict(row).items()))
    for workers, plan_ms in figures.plan_ms_by_workers.items():
        typer.echo(f"workers of a zone {workers}  plan {plan_ms} ms")
    if as_json:
        typer.echo(json.dumps(content))


def _format(value: object) -> str:
    return f"{value:.5g}" if isinstance(value, float) else str(value)


def _with_nodes(size: int, action) -> None:
    hosts = NodeHosts()
    try:
        plans = hosts.plan(size, min(ZONES, size // 4), REGIONS)
        # The last four nodes have their own processes, to be paused and killed.
        shared, alone = plans[:-4], plans[-4:]
        for first in range(0, len(shared), NODES_PER_HOST):
            hosts.start(shared[first : first + NODES_PER_HOST])
        for plan in alone:
            hosts.start([plan])
        hosts.wait(lambda: len(hosts.find("started")) >= size)
        if not hosts.wait(lambda: _is_converged(hosts, set(hosts.plans)), HEAL_LIMIT_S):
            raise RuntimeError(f"{size} nodes did not discover each other")
        entry = plans[0].entry
        hosts.host_of(entry).send(do="load", entry=entry, document=full_document())
        _wait(hosts, SETTLE_S)
        action(hosts)
    finally:
        hosts.stop()


def _measure_size(
    figures: CapacityFigures, hosts: NodeHosts, rng: random.Random
) -> None:
    shared = [h for h in hosts.hosts if _node_count(hosts, h) > 1]
    cost, _ = _measure_steady_state(hosts, shared, "steady")
    figures.sizes.append(cost)
    if cost.nodes + 4 < max(SIZES):
        return
    _measure_changes(figures, hosts, shared)
    _measure_pauses(figures, hosts, rng)
    for workers in WORKERS:
        figures.entries += measure_entries(hosts, workers)
    _measure_losses(figures, hosts)
    _measure_heal(figures, hosts)


def _measure_steady_state(
    hosts: NodeHosts, shared: list[Host], mark: str
) -> tuple[SizeCost, dict[str, float]]:
    before, started_s = hosts.stats(f"{mark}-before", shared), time.monotonic()
    _wait(hosts, STEADY_S)
    after = hosts.stats(f"{mark}-after", shared)
    seconds = time.monotonic() - started_s
    nodes = sum(item["nodes"] for item in after)
    used = {
        key: sum(i[key] for i in after) - sum(i[key] for i in before)
        for key in ("cpu_s", "payload_bytes", "wire_bytes", "segments", "store_calls")
    }
    rates = {key: value / seconds / nodes for key, value in used.items()}
    cost = SizeCost(
        len(hosts.plans),
        rates["cpu_s"],
        rates["payload_bytes"],
        rates["wire_bytes"],
        rates["segments"],
        sum(item["rss_bytes"] for item in after) / nodes,
        rates["store_calls"],
    )
    return cost, used


def _measure_changes(
    figures: CapacityFigures, hosts: NodeHosts, shared: list[Host]
) -> None:
    """Measure the cost of a configuration change for each node."""
    idle, _ = _measure_steady_state(hosts, shared, "idle")
    before = hosts.stats("changes-before", shared)
    started_s = time.monotonic()
    for number in range(CHANGES):
        entry = sorted(hosts.plans)[number]
        host = hosts.host_of(entry)
        host.send(do="accept", entry=entry, name=f"change-{number}", quota=1.0)
        hosts.wait(lambda: len(hosts.find("accepted")) > number)
    _wait(hosts, 2.0)
    after = hosts.stats("changes-after", shared)
    seconds = time.monotonic() - started_s
    nodes = sum(item["nodes"] for item in after)

    def per_change(key: str, idle_rate: float) -> float:
        used = sum(i[key] for i in after) - sum(i[key] for i in before)
        return (used / nodes - idle_rate * seconds) / CHANGES

    figures.change_cpu_ms = 1000 * per_change("cpu_s", idle.cpu_ratio)
    figures.change_bytes = per_change("payload_bytes", idle.bytes_per_s)


def _measure_pauses(
    figures: CapacityFigures, hosts: NodeHosts, rng: random.Random
) -> None:
    """Pause processes for a second; count the nodes wrongly declared lost."""
    for host in rng.sample(hosts.hosts, 4):
        host.process.send_signal(signal.SIGSTOP)
        _wait(hosts, PAUSE_S)
        host.process.send_signal(signal.SIGCONT)
        _wait(hosts, 2.0)
    figures.false_losses = sum(e["state"] == "lost" for e in hosts.find("state"))


def _measure_losses(figures: CapacityFigures, hosts: NodeHosts) -> None:
    """Kill nodes that have their own process; all others must detect the loss."""
    times = []
    alone = [h for h in hosts.hosts if _node_count(hosts, h) == 1]
    for host in alone[:4]:
        entry = next(e for e in hosts.plans if hosts.host_of(e) is host)
        since_s = time.monotonic()
        host.process.send_signal(signal.SIGKILL)
        del hosts.plans[entry]
        observers = set(hosts.plans)

        def lost_at_s() -> dict[str, float]:
            return {
                e["entry"]: e["at_s"]
                for e in hosts.find("state")
                if e["about"] == entry and e["state"] == "lost"
            }

        hosts.wait(lambda: observers <= set(lost_at_s()), LOSS_LIMIT_S)
        found = lost_at_s()
        times += [
            (found.get(o, since_s + LOSS_LIMIT_S) - since_s) * 1000 for o in observers
        ]
        hosts.hosts.remove(host)
    figures.loss_detected_p99_ms = quantile(times, 0.99)


def _measure_heal(figures: CapacityFigures, hosts: NodeHosts) -> None:
    """Partition a zone, heal it and wait until every node knows all others."""
    zone = hosts.plans[min(hosts.plans)].zone
    hosts.partition(zone)
    _wait(hosts, PARTITION_S)
    hosts.heal(zone)
    healed_s = time.monotonic()
    healed = hosts.wait(lambda: _is_converged(hosts, set(hosts.plans)), HEAL_LIMIT_S)
    # A cluster that has not converged within the limit is reported as twice the limit.
    took_s = time.monotonic() - healed_s if healed else 2 * HEAL_LIMIT_S
    figures.converged_after_heal_ms = round(took_s * 1000, 1)


def _is_converged(hosts: NodeHosts, entries: set[str]) -> bool:
    alive: dict[str, set[str]] = {entry: set() for entry in entries}
    for event in hosts.find("state"):
        if event["entry"] not in alive:
            continue
        if event["state"] == "alive":
            alive[event["entry"]].add(event["about"])
        else:
            alive[event["entry"]].discard(event["about"])
    return all(known >= entries for known in alive.values())


def _add_slopes(figures: CapacityFigures) -> None:
    nodes = [float(cost.nodes) for cost in figures.sizes]
    # The limits apply to each role, so the most expensive one is used.
    controllers = [cost for cost in figures.entries if cost.is_controller]
    workers = [cost.workers / 1000 for cost in controllers]

    def per_node(name: str) -> float:
        return slope(nodes, [getattr(cost, name) for cost in figures.sizes])

    def per_workers(name: str) -> float:
        return slope(workers, [getattr(cost, name) for cost in controllers])

    figures.cpu_ratio_per_node = per_node("cpu_ratio")
    figures.bytes_per_s_per_node = per_node("bytes_per_s")
    figures.memory_bytes_per_node = per_node("memory_bytes")
    figures.cpu_ratio_per_1000_workers = per_workers("cpu_ratio")
    figures.bytes_per_s_per_1000_workers = per_workers("bytes_per_s")
    figures.memory_bytes_per_1000_workers = per_workers("memory_bytes")
    changes_per_s = CHANGES_PER_DAY / 86_400
    largest = controllers[-1]
    figures.control_cpu_ratio = (
        largest.cpu_ratio + changes_per_s * figures.change_cpu_ms / 1000
    )
    figures.control_bytes_per_s = (
        largest.bytes_per_s + changes_per_s * figures.change_bytes
    )
    figures.memory_bytes = largest.memory_bytes


def _node_count(hosts: NodeHosts, host: Host) -> int:
    return sum(hosts.host_of(entry) is host for entry in hosts.plans)


def _wait(hosts: NodeHosts, seconds: float) -> None:
    hosts.wait(lambda: False, seconds)
