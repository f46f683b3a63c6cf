"""Evaluate roll-outs from the versions in the store and on the nodes."""

import time
from collections import defaultdict

from jayshunt_measure.node_hosts import NodeHosts

# Roll-out time that is reported for a version which is not in force at the end.
NOT_IN_FORCE_MS = 60_000.0


class PartitionLog:
    """Record which nodes were partitioned, and from when until when."""

    def __init__(self) -> None:
        """Create a log without partitions."""
        self.cuts: list[tuple[frozenset[str], float, float]] = []
        self._open: tuple[frozenset[str], float] | None = None

    def begin_cut(self, entries: set[str]) -> None:
        """Record the start of a partition."""
        self._open = (frozenset(entries), time.monotonic())

    def end_cut(self) -> None:
        """Record the end of the current partition."""
        entries, since_s = self._open
        self.cuts.append((entries, since_s, time.monotonic()))
        self._open = None

    def reachable_s(self, entry: str, at_s: float) -> float:
        """Return the earliest time at which a node could receive a version."""
        for entries, since_s, until_s in self.cuts:
            if entry in entries and since_s <= at_s <= until_s:
                return until_s
        return at_s


def rollout_times_ms(
    hosts: NodeHosts, partitions: PartitionLog, after: int
) -> list[float]:
    """Return the roll-out time of each version later than `after`.

    It is the time from the accept until the version is in force on all nodes. For a
    node that is partitioned or restarts, it counts from when the node is back.
    """
    applied = defaultdict(list)
    for event in hosts.find("applied"):
        applied[event["entry"]].append(event)
    start_times = _start_times(hosts)
    times = []
    for stored in hosts.store.versions:
        if stored.version <= after:
            continue
        worst_ms = 0.0
        for entry in hosts.plans:
            from_s = partitions.reachable_s(entry, stored.at_s)
            from_s = _running_from_s(start_times[entry], from_s)
            seen = [
                e["at_s"]
                for e in applied[entry]
                if e["version"] >= stored.version and e["at_s"] >= stored.at_s
            ]
            took_ms = (min(seen) - from_s) * 1000 if seen else NOT_IN_FORCE_MS
            worst_ms = max(worst_ms, took_ms)
        times.append(worst_ms)
    return times


def count_faults(hosts: NodeHosts) -> dict[str, int]:
    """Return the number of faults by kind; all must be 0."""
    stored = {(v.version, v.digest) for v in hosts.store.versions}
    teams = hosts.store.teams()
    accepted = hosts.find("accepted")
    refused = [e for e in hosts.find("refused") if e["outcome"] == "not_run"]
    accepted_pairs = {(e["name"], e["quota"]) for e in accepted}
    return {
        "reverted": _count_reverted(hosts),
        "accepted_lost": sum(
            teams.get(e["name"]) != e["quota"]
            or (e["version"], e["digest"]) not in stored
            for e in accepted
        ),
        "applied_not_accepted": sum(
            (e["version"], e["digest"]) not in stored for e in hosts.find("applied")
        )
        + sum(
            teams.get(e["name"]) == e["quota"]
            and (e["name"], e["quota"]) not in accepted_pairs
            for e in refused
        ),
        "conflicts_unnoticed": _count_unnoticed_conflicts(accepted),
        "not_in_force": _count_behind(hosts),
    }


def _count_reverted(hosts: NodeHosts) -> int:
    reverted = 0
    highest: dict[str, int] = {}
    for event in hosts.find("applied"):
        # A restarted node that first applies an older version also counts.
        if event["version"] < highest.get(event["entry"], 0):
            reverted += 1
        highest[event["entry"]] = event["version"]
    return reverted


def _count_unnoticed_conflicts(accepted: list[dict]) -> int:
    raced = defaultdict(set)
    for event in accepted:
        if event["base"] is not None:
            raced[(event["base"], event["name"])].add(event["quota"])
    return sum(len(quotas) - 1 for quotas in raced.values())


def _count_behind(hosts: NodeHosts) -> int:
    versions = {e["entry"]: e["version"] for e in hosts.find("applied")}
    newest = hosts.store.newest
    return sum(versions.get(entry) != newest for entry in hosts.plans)


def _start_times(hosts: NodeHosts) -> dict[str, list[float]]:
    start_times = defaultdict(list)
    for event in hosts.find("started"):
        start_times[event["entry"]].append(event["at_s"])
    return start_times


def _running_from_s(starts: list[float], at_s: float) -> float:
    """Return the last start within 3 s after `at_s`, or `at_s` if there is none."""
    later = [s for s in starts if at_s < s < at_s + 3.0]
    return later[-1] if later else at_s
