"""Test the explanation of a pool's state for operators."""

import unittest

from jayshunt.admission.diagnostics import describe_broker, explain_broker
from jayshunt.admission.instances import HealthReport
from jayshunt.admission.messages import SendOutcome
from jayshunt.admission.tests.builders import RequestRecorder, broker_with, result
from jayshunt.clock import ManualClock
from jayshunt.ids import VmId


class ExplanationTest(unittest.TestCase):
    """Test that the explanation names the cause."""

    def setUp(self) -> None:
        """Start with two instances of two slots."""
        self.clock = ManualClock()
        self.broker = broker_with(self.clock, "vm-1", "vm-2", classes=("quotes",))
        self.recorder = RequestRecorder(self.broker)

    def test_burst_is_named(self) -> None:
        """Without the cause, operators look for a fault although demand has grown."""
        for _ in range(40):
            self.recorder.ask()
        text = " ".join(explain_broker(self.broker))
        self.assertIn("class quotes bursts", text)
        refused = describe_broker(self.broker)["refusals"]
        self.assertGreater(refused["quotes overloaded"], 0)

    def test_lost_instances_are_named(self) -> None:
        """The explanation must name the instances that take no work."""
        self.broker.report_health(VmId("vm-1"), HealthReport.LEAVING)
        for _ in range(4):
            granted = self.recorder.reply(self.recorder.ask())
            self.broker.release(result(granted, SendOutcome.FAILED))
        lines = explain_broker(self.broker)
        self.assertIn("instance vm-1 is leaving", lines)
        self.assertIn("instance vm-2 is ejected: requests fail", lines)

    def test_stuck_slots_are_named(self) -> None:
        """Slots held by silent connections cause no error, so they must be reported."""
        self.recorder.ask(remaining_ms=5000)
        for _ in range(20):
            self.clock.advance(0.1)
            self.broker.tick()
        lines = explain_broker(self.broker)
        self.assertIn("instance vm-1 holds 1 slots without an answer", lines)
