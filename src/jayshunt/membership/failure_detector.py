"""Detect failed members from heartbeats and probes."""

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


class DetectorAction(Enum):
    """Name the action that overdue heartbeats of a member require."""

    PROBE = "probe"
    SUSPECT = "suspect"
    LOST = "lost"


@dataclass
class HeartbeatRecord:
    """Record the last evidence that a monitored member is alive, in monotonic seconds.

    `last_heartbeat_s` is when this process last received a heartbeat of the member
    (None if never). `last_evidence_s` also covers heartbeats that other monitors
    received and the member's own probe replies. `digest_mismatches` counts successive
    heartbeats whose digest differed from that of this process.
    """

    last_evidence_s: float
    last_heartbeat_s: float | None = None
    incarnation: int = 0
    sequence: int = 0
    next_probe_s: float = 0.0
    digest_mismatches: int = 0


class FailureDetector:
    """Track heartbeats and report members that need a probe or a state change."""

    def __init__(self) -> None:
        """Start without monitored members."""
        self._records: dict[EntryId, HeartbeatRecord] = {}

    def set_monitored(self, members: Iterable[Member], now_s: float) -> None:
        """Set the monitored members; new ones get NEW_MONITOR_GRACE_S to connect."""
        start_s = now_s + NEW_MONITOR_GRACE_S - SUSPECT_AFTER_S
        self._records = {
            m.entry: self._records.get(m.entry) or HeartbeatRecord(start_s)
            for m in members
        }

    def record_heartbeat(
        self, heartbeat: Heartbeat, digest: int, now_s: float
    ) -> HeartbeatRecord | None:
        """Record a heartbeat and return the member's record.

        Return None if the member is not monitored or the heartbeat is out of order.
        """
        record = self._records.get(heartbeat.entry)
        if record is None:
            return None
        order = (heartbeat.incarnation, heartbeat.sequence)
        if order <= (record.incarnation, record.sequence):
            return None
        record.incarnation, record.sequence = order
        record.last_heartbeat_s = now_s
        record.last_evidence_s = max(record.last_evidence_s, now_s)
        digest_matches = heartbeat.digest == digest
        record.digest_mismatches = 0 if digest_matches else record.digest_mismatches + 1
        return record

    def record_evidence(self, entry: EntryId, last_heartbeat_s: float) -> None:
        """Record when a member or another of its monitors confirmed it alive."""
        record = self._records.get(entry)
        if record is not None:
            record.last_evidence_s = max(record.last_evidence_s, last_heartbeat_s)

    def heartbeat_age_s(self, entry: EntryId, now_s: float) -> float | None:
        """Return the seconds since a member's last heartbeat; None if never."""
        record = self._records.get(entry)
        if record is None or record.last_heartbeat_s is None:
            return None
        return now_s - record.last_heartbeat_s

    def shift_times(self, pause_s: float) -> None:
        """Shift all times by a pause in which this process received no heartbeats."""
        for record in self._records.values():
            if record.last_heartbeat_s is not None:
                record.last_heartbeat_s += pause_s
            record.last_evidence_s += pause_s

    def check_timeouts(
        self, now_s: float, on_timeout: Callable[[EntryId, DetectorAction], None]
    ) -> None:
        """Report the action for each member whose heartbeats are overdue."""
        for entry, record in list(self._records.items()):
            last_heartbeat_s = record.last_heartbeat_s or record.last_evidence_s
            if now_s - last_heartbeat_s < PROBE_AFTER_S:
                continue
            if now_s >= record.next_probe_s:
                record.next_probe_s = now_s + PROBE_INTERVAL_S
                on_timeout(entry, DetectorAction.PROBE)
            evidence_age_s = now_s - record.last_evidence_s
            if evidence_age_s >= LOST_AFTER_S:
                on_timeout(entry, DetectorAction.LOST)
            elif evidence_age_s >= SUSPECT_AFTER_S:
                on_timeout(entry, DetectorAction.SUSPECT)
