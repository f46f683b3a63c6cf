"""Decide from heartbeats and probes whether members are suspect or lost."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

from jayshunt.ids import EntryId
from jayshunt.membership.const import (
    LOST_AFTER_S,
    NEW_MONITOR_GRACE_S,
    PROBE_AFTER_S,
    PROBE_INTERVAL_S,
    SUSPECT_AFTER_S,
)
from jayshunt.membership.messages import Heartbeat
from jayshunt.membership.models import Member


class Verdict(Enum):
    """Say what the silence of a member calls for."""

    PROBE = "probe"
    SUSPECT = "suspect"
    LOST = "lost"


@dataclass
class Watched:
    """Hold the evidence for the life of one member, in monotonic seconds.

    `heard_s` is when this process last heard the member itself (None if never),
    `evidence_s` also counts what other monitors heard.
    """

    evidence_s: float
    heard_s: float | None = None
    incarnation: int = 0
    sequence: int = 0
    next_probe_s: float = 0.0
    differences: int = 0


class HeartbeatWatch:
    """Hold the evidence for each member that this process monitors."""

    def __init__(self) -> None:
        """Start without members."""
        self._watched: dict[EntryId, Watched] = {}

    def follow(self, members: Iterable[Member], now_s: float) -> None:
        """Monitor exactly these members."""
        grace_s = now_s + NEW_MONITOR_GRACE_S - SUSPECT_AFTER_S
        self._watched = {
            m.entry: self._watched.get(m.entry) or Watched(grace_s) for m in members
        }

    def hear(self, heartbeat: Heartbeat, digest: int, now_s: float) -> Watched | None:
        """Take a heartbeat; one that was sent before the last one is ignored."""
        watched = self._watched.get(heartbeat.entry)
        if watched is None:
            return None
        order = (heartbeat.incarnation, heartbeat.sequence)
        if order <= (watched.incarnation, watched.sequence):
            return None
        watched.incarnation, watched.sequence = order
        watched.heard_s = now_s
        watched.evidence_s = max(watched.evidence_s, now_s)
        same = heartbeat.digest == digest
        watched.differences = 0 if same else watched.differences + 1
        return watched

    def vouch(self, entry: EntryId, heard_s: float) -> None:
        """Take another monitor's evidence of when it heard a member."""
        watched = self._watched.get(entry)
        if watched is not None:
            watched.evidence_s = max(watched.evidence_s, heard_s)

    def silence_s(self, entry: EntryId, now_s: float) -> float | None:
        """Return for how long a member was not heard; None if it never was."""
        watched = self._watched.get(entry)
        if watched is None or watched.heard_s is None:
            return None
        return now_s - watched.heard_s

    def shift(self, pause_s: float) -> None:
        """Ignore a time in which this process could not hear anyone."""
        for watched in self._watched.values():
            if watched.heard_s is not None:
                watched.heard_s += pause_s
            watched.evidence_s += pause_s

    def judge(self, now_s: float, report: Callable[[EntryId, Verdict], None]) -> None:
        """Report what each silence calls for."""
        for entry, watched in list(self._watched.items()):
            heard_s = watched.heard_s or watched.evidence_s
            if now_s - heard_s < PROBE_AFTER_S:
                continue
            if now_s >= watched.next_probe_s:
                watched.next_probe_s = now_s + PROBE_INTERVAL_S
                report(entry, Verdict.PROBE)
            silence_s = now_s - watched.evidence_s
            if silence_s >= LOST_AFTER_S:
                report(entry, Verdict.LOST)
            elif silence_s >= SUSPECT_AFTER_S:
                report(entry, Verdict.SUSPECT)
