"""Measure the time and the correctness of configuration roll-outs."""

import json
import random
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Annotated

import typer

from jayshunt_measure.figures import quantile
from jayshunt_measure.node_hosts import NodeHosts
from jayshunt_measure.rollout_verdict import (
    PartitionLog,
    count_faults,
    rollout_times_ms,
)
from jayshunt_standins.store import StoreFaults

ZONES = 6
REGIONS = 2
NODES_PER_HOST = 6
SETTLE_LIMIT_S = 6.0
CHANGES_PER_CASE = 8
OUTAGE_LIMIT_S = 4.0
SLOW_STORE_S = 0.3


@dataclass
class RolloutFigures:
    """Hold the fields that the measurement prints.

    The counts from `reverted` to `not_in_force` must be 0. `store_calls_per_s` is
    that of the case without a fault, `cases` is the 99th percentile by case in ms.
    """

    entries: int = 0
    accepted: int = 0
    refused: int = 0
    rollout_p50_ms: float = 0.0
    rollout_p99_ms: float = 0.0
    rollout_store_down_p99_ms: float = 0.0
    rollout_watch_only_p99_ms: float = 0.0
    reverted: int = 0
    accepted_lost: int = 0
    applied_not_accepted: int = 0
    conflicts_unnoticed: int = 0
    not_in_force: int = 0
    store_calls_per_s: float = 0.0
    cases: dict[str, float] = field(default_factory=dict)


def rollout(
    seed: Annotated[int, typer.Option(help="Seed of the operators.")] = 1,
    entries: Annotated[int, typer.Option(min=6, help="Number of entries.")] = 30,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Roll out changes without and with each fault.

    Compare the times with those of nodes that only watch the store.
    """
    figures = RolloutFigures(entries=entries)
    _measure_all(figures, entries, random.Random(seed))
    figures.rollout_watch_only_p99_ms = _measure_watch_only(
        entries, random.Random(seed)
    )
    content = asdict(figures)
    for name, value in content.items():
        if name != "cases":
            typer.echo(f"{name:<28}{value:>12}")
    for name, value in figures.cases.items():
        typer.echo(f"p99 {name:<24}{value:>12}")
    if as_json:
        typer.echo(json.dumps(content))


class RolloutRun:
    """Run the cases on one set of nodes."""

    def __init__(self, hosts: NodeHosts, rng: random.Random) -> None:
        """Initialize the run; the nodes must be running."""
        self.hosts = hosts
        self.store = hosts.store
        self.rng = rng
        self.partitions = PartitionLog()
        self._sent = 0

    def accept(self, count: int = 1, among: list[str] | None = None) -> None:
        """Change teams one after another at random entries, as operators do."""
        for _ in range(count):
            self._sent += 1
            entry = self.rng.choice(among or sorted(self.hosts.plans))
            name = f"new-{self._sent}"
            quota = float(self.rng.randint(1, 99))
            host = self.hosts.host_of(entry)
            host.send(do="accept", entry=entry, name=name, quota=quota)
            self.hosts.wait(lambda: self.answer_count() >= self._sent, SETTLE_LIMIT_S)

    def answer_count(self) -> int:
        """Return how many changes were accepted or refused."""
        return len(self.hosts.find("accepted")) + len(self.hosts.find("refused"))

    def send_racing_edits(self) -> None:
        """Send six concurrent changes, three of which change the same team."""
        base = self.store.newest
        for number, entry in enumerate(self.rng.sample(sorted(self.hosts.plans), 6)):
            self._sent += 1
            same = f"raced-{base}" if number % 2 else f"own-{base}-{number}"
            self.hosts.host_of(entry).send(
                do="edit", entry=entry, base=base, name=same, quota=float(number + 1)
            )
        self.hosts.wait(lambda: self.answer_count() >= self._sent, 2 * SETTLE_LIMIT_S)

    def settle(self) -> None:
        """Wait until the newest version is in force on every node or time is up."""
        self.hosts.wait(self.is_newest_in_force, SETTLE_LIMIT_S)

    def is_newest_in_force(self) -> bool:
        """Return whether the newest version is in force on every node."""
        versions: dict[str, int] = {}
        for event in self.hosts.find("applied"):
            versions[event["entry"]] = event["version"]
        newest = self.store.newest
        return all(versions.get(entry) == newest for entry in self.hosts.plans)

    def fail_store_after_accept(self) -> None:
        """Take the store down right after an accept until the version is rolled out."""
        self.store.down_after_accept = True
        self.accept()
        self.hosts.wait(self.is_newest_in_force, OUTAGE_LIMIT_S)
        self.store.down_after_accept = False
        self.store.faults = StoreFaults()
        # Clients back off for some seconds after an outage.
        # Wait a second before the next change.
        self.hosts.wait(lambda: False, 1.0)

    def partition(self) -> None:
        """Accept changes while a zone is partitioned, then heal the partition."""
        zone = "z01"
        inside = {e for e, p in self.hosts.plans.items() if p.zone == zone}
        self.hosts.partition(zone)
        self.partitions.begin_cut(inside)
        outside = sorted(set(self.hosts.plans) - inside)
        self.accept(4, outside)
        self.hosts.wait(lambda: False, 3.0)
        self.hosts.heal(zone)
        self.partitions.end_cut()
        self.settle()

    def restart_entries(self) -> None:
        """Restart entries while changes roll out."""
        for number in range(4):
            entry = self.rng.choice(sorted(self.hosts.plans))
            host = self.hosts.host_of(entry)
            known = len(self.hosts.find("started"))
            host.send(do="stop", entry=entry, graceful=bool(number % 2))
            others = [e for e in self.hosts.plans if e != entry]
            self.accept(1, others)
            self.hosts.restart(entry)
            self.hosts.wait(lambda: len(self.hosts.find("started")) > known)
        self.settle()


def _measure_all(figures: RolloutFigures, entries: int, rng: random.Random) -> None:
    with_hosts(
        entries, False, lambda hosts: _run_cases(figures, RolloutRun(hosts, rng))
    )


def _run_cases(figures: RolloutFigures, run: RolloutRun) -> None:
    started_s, called = time.monotonic(), run.store.calls
    times: list[float] = []

    def case(name: str, action: Callable[[], None]) -> list[float]:
        before = run.store.newest
        action()
        run.settle()
        run.store.faults = StoreFaults()
        times_ms = rollout_times_ms(run.hosts, run.partitions, before)
        figures.cases[name] = quantile(times_ms, 0.99)
        return times_ms

    times += case("no fault", lambda: run.accept(CHANGES_PER_CASE))
    calls = run.store.calls - called
    figures.store_calls_per_s = round(calls / (time.monotonic() - started_s), 1)
    run.store.faults = StoreFaults(delay_s=SLOW_STORE_S)
    times += case("slow store", lambda: run.accept(3))
    store_down_times_ms = case(
        "store down", lambda: [run.fail_store_after_accept() for _ in range(3)]
    )
    times += case("lost responses", lambda: _lose_responses(run))
    times += case("partition", run.partition)
    times += case("restarts", run.restart_entries)
    times += case(
        "racing operators", lambda: [run.send_racing_edits() for _ in range(2)]
    )
    figures.accepted = len(run.hosts.find("accepted"))
    figures.refused = len(run.hosts.find("refused"))
    figures.rollout_p50_ms = quantile(times, 0.5)
    figures.rollout_p99_ms = quantile(times, 0.99)
    figures.rollout_store_down_p99_ms = quantile(store_down_times_ms, 0.99)
    for name, value in count_faults(run.hosts).items():
        setattr(figures, name, value)


def _lose_responses(run: RolloutRun) -> None:
    for _ in range(3):
        run.store.faults = StoreFaults(lost_answers=1)
        run.accept()


def _measure_watch_only(entries: int, rng: random.Random) -> float:
    times_ms: list[float] = []

    def cases(hosts: NodeHosts) -> None:
        run = RolloutRun(hosts, rng)
        before = run.store.newest
        run.accept(3)
        run.fail_store_after_accept()
        run.settle()
        times_ms.extend(rollout_times_ms(hosts, run.partitions, before))

    with_hosts(entries, True, cases)
    return quantile(times_ms, 0.99)


def with_hosts(
    entries: int, watch_only: bool, action: Callable[[NodeHosts], None]
) -> None:
    """Start nodes with a document of the size expected in two years; call an action."""
    hosts = NodeHosts()
    try:
        plans = hosts.plan(entries, ZONES, REGIONS, watch_only)
        for first in range(0, entries, NODES_PER_HOST):
            hosts.start(plans[first : first + NODES_PER_HOST])
        hosts.wait(lambda: len(hosts.find("started")) >= entries)
        # Members need some seconds to discover and to monitor each other.
        hosts.wait(lambda: False, 2.0)
        first = plans[0].entry
        hosts.host_of(first).send(do="load", entry=first, document=full_document())
        run = RolloutRun(hosts, random.Random(0))
        hosts.wait(lambda: hosts.store.newest > 0 and run.is_newest_in_force())
        action(hosts)
    finally:
        hosts.stop()


def full_document() -> dict:
    """Return a document of the size expected in two years."""
    pools = [f"pool-{number}" for number in range(41)]
    return {
        "pools": {name: {"min_available_ratio": 0.75} for name in pools},
        "classes": {
            f"class-{number}": {"pool": pools[number % 41], "target_ms": 800}
            for number in range(120)
        },
        "teams": {
            f"team-{number}": {"quota_cores": 100.0, "quota_accelerators": 4}
            for number in range(260)
        },
    }
