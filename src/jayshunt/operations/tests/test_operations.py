"""Test status, dumps and metrics."""

import unittest

from jayshunt.clock import ManualClock
from jayshunt.config.models import ConfigDocument, ConfigSnapshot
from jayshunt.ids import ClassName, EntryId, Epoch, JobId, TeamName, ZoneName
from jayshunt.jobs.models import Job, JobRequest, JobState
from jayshunt.membership.models import Member, MembershipView, MemberState
from jayshunt.operations.class_statistics import ClassStatistics, merge_status
from jayshunt.operations.const import WINDOW_S
from jayshunt.operations.deployment import DeploymentReader
from jayshunt.operations.metrics import EntryMetrics
from jayshunt.operations.reporter import EntryReporter
from jayshunt.operations.sections import job_class_rows

QUOTES = ClassName("quotes")
CONFIG = ConfigSnapshot(
    document=ConfigDocument.model_validate(
        {"pools": {"desk": {}}, "classes": {"quotes": {"pool": "desk", "target_ms": 9}}}
    )
)


class ClassStatisticsTest(unittest.TestCase):
    """Test the statistics that decide whether a class meets its target."""

    def setUp(self):
        """Create statistics without counts."""
        self.clock = ManualClock()
        self.statistics = ClassStatistics(self.clock)

    def status(self):
        """Return the status of the class `quotes`."""
        return merge_status(self.statistics.counts(CONFIG))[0]

    def test_refused_requests_miss_the_target(self):
        """Refused requests, although fast, must count against the target."""
        for _ in range(98):
            self.statistics.record(QUOTES, 5.0, 9)
        for code in ("overloaded", "no_instance"):
            self.statistics.record(QUOTES, 0.1, 9, code)
        status = self.status()
        self.assertFalse(status.is_met)
        self.assertEqual(status.reason, "of 100: 1 overloaded, 1 no_instance")

    def test_percentile_of_several_entries_is_of_all_their_answers(self):
        """A percentile must be computed from the answers of all entries together.

        The mean of the entries' percentiles would hide a slow entry.
        """
        other = ClassStatistics(self.clock)
        for _ in range(97):
            self.statistics.record(QUOTES, 5.0, 9)
        for _ in range(3):
            other.record(QUOTES, 400.0, 9)
        counts = [*self.statistics.counts(CONFIG), *other.counts(CONFIG)]
        status = merge_status(counts)[0]
        self.assertTrue(400 <= status.p99_ms <= 440, status.p99_ms)
        self.assertEqual(status.reason, "of 100: 3 answered late")

    def test_old_requests_leave_the_window(self):
        """Requests older than the window must not affect the status."""
        self.statistics.record(QUOTES, 50.0, 9)
        self.clock.advance(WINDOW_S + 10)
        self.assertEqual(self.status().requests, 0)
        self.assertEqual(self.statistics.totals()[QUOTES].requests, 1)

    def test_codes_are_bounded(self):
        """The number of refusal codes must be bounded, as each is a metric label."""
        for number in range(100):
            self.statistics.record(QUOTES, 1.0, 9, f"code-{number}")
        self.assertLessEqual(len(self.statistics.totals()[QUOTES].refused), 25)

    def test_metrics_follow_the_naming_rules(self):
        """A wrong metric name or unit would break dashboards and alert rules."""
        self.statistics.record(QUOTES, 5.0, 9)
        text = EntryMetrics(self.statistics).text().decode()
        self.assertIn('jayshunt_requests_total{class="quotes",result="met"} 1.0', text)
        bucket = 'jayshunt_request_duration_seconds_bucket{class="quotes",le="0.01"}'
        self.assertIn(f"{bucket} 1.0", text)


class DeploymentReaderTest(unittest.TestCase):
    """Test the status of a deployment in which some entries do not respond."""

    def test_partial_answer_names_entries_that_did_not_respond(self):
        """An unresponsive entry must neither block the status nor be omitted."""
        own = EntryId("north-0")
        states = {
            "north-0": MemberState.ALIVE,
            "north-1": MemberState.ALIVE,
            "south-0": MemberState.SUSPECT,
            "south-1": MemberState.LOST,
        }
        members = tuple(
            Member(EntryId(name), ZoneName("z"), f"{name}:1", 1, state)
            for name, state in states.items()
        )
        answers = {"north-1:1": ({"process": {"config_version": 3}}, "")}
        reporter = EntryReporter()
        reporter.add_status("process", lambda: {"config_version": 4})

        def request_report(address, kind, on_report):
            on_report(*answers.get(address, (None, "connection refused")))

        reader = DeploymentReader(
            own,
            reporter,
            lambda: MembershipView(1, members),
            request_report,
            ManualClock(),
        )
        status = reader.status()
        self.assertEqual(
            status["missing"], {"south-0": "connection refused", "south-1": "lost"}
        )
        versions = {p["entry"]: p["config_version"] for p in status["processes"]}
        self.assertEqual(versions, {"north-0": 4, "north-1": 3})


class ReporterTest(unittest.TestCase):
    """Test that dumps do not leak secrets and are complete despite errors."""

    def test_secrets_are_redacted_and_a_broken_section_is_shown(self):
        """A dump must redact secrets, as it is shared, and show a failed section."""

        def fail():
            raise RuntimeError("broken slice")

        reporter = EntryReporter()
        reporter.add_dump("peers", lambda: {"list": [{"private_key": "abc"}]})
        reporter.add_dump("store", fail)
        with self.assertLogs("jayshunt.operations.reporter", "ERROR"):
            dump = reporter.dump()
        self.assertEqual(dump["peers"], {"list": [{"private_key": "(redacted)"}]})
        self.assertIn("broken slice", dump["store"]["error"])


class JobClassRowsTest(unittest.TestCase):
    """Test the rows of job classes in the status."""

    def rows(self, epoch: int, state: JobState) -> list[dict]:
        """Return the rows for one job that was accepted 70 s ago."""
        document = {
            "pools": {"desk": {}},
            "classes": {"plans": {"pool": "desk", "kind": "job", "max_wait_s": 60}},
        }
        config = ConfigSnapshot(document=ConfigDocument.model_validate(document))
        request = JobRequest(ClassName("plans"), TeamName("salons"), "work")
        job = Job(JobId("j1"), request, state, accepted_s=30.0)
        reasons = {JobId("j1"): "no worker has 8 cores"}
        zone = ZoneName("north")
        return job_class_rows(config, zone, Epoch(epoch), [job], reasons, 100.0)

    def test_late_job_is_missed_with_its_reason(self):
        """A job class misses its target as soon as one job waits too long."""
        (row,) = self.rows(3, JobState.WAITING)
        self.assertFalse(row["is_met"])
        self.assertEqual(row["reasons"], {"no worker has 8 cores": 1})
        (row,) = self.rows(3, JobState.PLACED)
        self.assertTrue(row["is_met"])
        self.assertEqual((row["waiting"], row["running"]), (0, 1))

    def test_entry_that_is_not_controller_reports_no_jobs(self):
        """An entry that does not know the jobs must not report empty rows."""
        self.assertEqual(self.rows(0, JobState.WAITING), [])
