"""Collect status and dumps from all entries."""

import json
import logging
import threading
from collections.abc import Callable
from dataclasses import asdict, dataclass, field

import grpc

from jayshunt.clock import Clock
from jayshunt.ids import EntryId
from jayshunt.membership.models import Member, MembershipView, MemberState
from jayshunt.operations.class_statistics import merge_status
from jayshunt.operations.const import PEER_TIMEOUT_S
from jayshunt.operations.models import ClassCounts
from jayshunt.operations.reporter import EntryReporter
from jayshunt.peers.channels import PeerChannels
from jayshunt.peers.protocol import peer_pb2, peer_pb2_grpc

_LOGGER = logging.getLogger(__name__)

OnReport = Callable[[dict | None, str], None]
RequestReport = Callable[[str, str, OnReport], None]


@dataclass
class CollectedReports:
    """Reports by entry, and for each entry without a report the reason."""

    reports: dict[EntryId, dict] = field(default_factory=dict)
    missing: dict[EntryId, str] = field(default_factory=dict)


class DeploymentReader:
    """Request reports from all known entries concurrently, with one timeout."""

    def __init__(
        self,
        entry: EntryId,
        reporter: EntryReporter,
        view: Callable[[], MembershipView],
        request_report: RequestReport,
        clock: Clock,
    ) -> None:
        """Initialize the reader.

        `request_report(address, kind, on_report)` must not block; `kind` is
        "status" or "dump".
        """
        self._entry = entry
        self._reporter = reporter
        self._view = view
        self._request_report = request_report
        self._clock = clock

    def status(self) -> dict:
        """Return classes, pools, waves and processes of the whole deployment."""
        collected = self.collect("status", self._reporter.status())
        return summarize(self._entry, collected)

    def dump(self) -> dict:
        """Return the dump of each entry."""
        collected = self.collect("dump", self._reporter.dump())
        return {"entries": collected.reports, "missing": collected.missing}

    def report(self) -> dict:
        """Return the roll-outs of all entries and each zone's other samples.

        All entries of a zone sample the same buffer and moves. The samples of the
        entry that has the most are returned, because it has run for longest.
        """
        collected = self.collect("dump", self._reporter.dump())
        zones: dict[str, dict] = {}
        roll_outs = []
        for entry, dump in sorted(collected.reports.items()):
            samples = dump.get("samples", {})
            zone = dump.get("status", {}).get("process", {}).get("zone", entry)
            roll_outs += [{**r, "entry": entry} for r in samples.get("roll_outs", [])]
            known = zones.get(zone, {})
            if len(samples.get("buffer", [])) > len(known.get("buffer", [])):
                zones[zone] = samples
        return {
            "zones": zones,
            "roll_outs": roll_outs,
            "entries": len(collected.reports),
            "missing": collected.missing,
        }

    def collect(self, kind: str, own: dict) -> CollectedReports:
        """Return the reports of all entries that answer within the timeout.

        `own` is the report of this entry. Lost entries are not queried.
        """
        collected = CollectedReports({self._entry: own})
        members = [m for m in self._view().members if m.entry != self._entry]
        queried = [member for member in members if member.state is not MemberState.LOST]
        collected.missing.update(
            {m.entry: "lost" for m in members if m.state is MemberState.LOST}
        )
        changed = threading.Condition()
        for member in queried:
            self._request_report(
                member.peer_address, kind, _report_handler(collected, changed, member)
            )
        end_s = self._clock.monotonic_s() + PEER_TIMEOUT_S
        with changed:
            while len(collected.reports) + len(collected.missing) <= len(members):
                left_s = end_s - self._clock.monotonic_s()
                if left_s <= 0:
                    break
                changed.wait(left_s)
            late = {
                m.entry: f"no answer in {PEER_TIMEOUT_S} s"
                for m in queried
                if m.entry not in collected.reports
            }
            return CollectedReports(
                dict(collected.reports), {**late, **dict(collected.missing)}
            )


def summarize(entry: EntryId, collected: CollectedReports) -> dict:
    """Merge the reports of the entries into one status of the deployment."""
    reports = collected.reports
    own = reports[entry]
    counts = [
        _read_counts(item)
        for report in reports.values()
        for item in _rows(report, "classes")
    ]
    return {
        "entry": entry,
        "config_version": own.get("process", {}).get("config_version"),
        "store": own.get("process", {}).get("store"),
        "classes": [asdict(status) for status in merge_status(counts)],
        "job_classes": _newest_rows(reports, "job_classes", "work_class"),
        "pools": _newest_rows(reports, "pools", "pool"),
        "waves": _newest_rows(reports, "waves", "wave"),
        "planned_stops": own.get("planned_stops", {}),
        "processes": [
            {"entry": name, **report.get("process", {})}
            for name, report in sorted(reports.items())
        ],
        "missing": collected.missing,
    }


def report_requester(channels: PeerChannels, own: EntryId) -> RequestReport:
    """Return a function that requests an entry's report over gRPC asynchronously."""

    def request_report(address: str, kind: str, on_report: OnReport) -> None:
        stub = channels.stub(address, peer_pb2_grpc.OperationsStub)
        method = stub.GetStatus if kind == "status" else stub.GetDump
        call = method.future(peer_pb2.ReportRequest(entry=own), timeout=PEER_TIMEOUT_S)

        def on_done(future: grpc.Future) -> None:
            if future.cancelled():
                on_report(None, "cancelled")
            elif error := future.exception():
                on_report(None, getattr(error, "details", lambda: str(error))() or "")
            else:
                on_report(json.loads(future.result().content), "")

        call.add_done_callback(on_done)

    return request_report


def _report_handler(
    collected: CollectedReports, changed: threading.Condition, member: Member
):
    def on_report(report: dict | None, problem: str) -> None:
        with changed:
            if report is None:
                collected.missing[member.entry] = problem or "no answer"
            else:
                collected.reports[member.entry] = report
            changed.notify_all()

    return on_report


def _newest_rows(reports: dict[EntryId, dict], section: str, name: str) -> list[dict]:
    """Return the rows of a section; per name and zone that of the highest epoch."""
    rows: dict[tuple, dict] = {}
    for report in reports.values():
        for row in _rows(report, section):
            row_key = (row.get(name), row.get("zone", ""))
            known = rows.get(row_key)
            if known is None or row.get("epoch", 0) > known.get("epoch", 0):
                rows[row_key] = row
    return [rows[row_key] for row_key in sorted(rows, key=str)]


def _rows(report: dict, section: str) -> list[dict]:
    rows = report.get(section, [])
    return rows if isinstance(rows, list) else []


def _read_counts(item: dict) -> ClassCounts:
    buckets = {int(number): count for number, count in item["buckets"].items()}
    return ClassCounts(**{**item, "buckets": buckets})
