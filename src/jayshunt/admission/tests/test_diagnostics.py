"""Test what operators are told of a pool."""

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
        """Operators would look for a fault where only demand has grown."""
        for _ in range(40):
            self.recorder.ask()
        text = " ".join(explain_broker(self.broker))
        self.assertIn("class quotes bursts", text)
        refused = describe_broker(self.broker)["refusals"]
        self.assertGreater(refused["quotes overloaded"], 0)

    def test_lost_instances_are_named(self) -> None:
        """A missed class must point to the instances that take no work."""
        self.broker.report_health(VmId("vm-1"), HealthReport.LEAVING)
        for _ in range(4):
            granted = self.recorder.reply(self.recorder.ask())
            self.broker.release(result(granted, SendOutcome.FAILED))
        lines = explain_broker(self.broker)
        self.assertIn("instance vm-1 is leaving", lines)
        self.assertIn("instance vm-2 is ejected: requests fail", lines)

    def test_stuck_slots_are_named(self) -> None:
        """Silent connections use up slots without any error."""
        self.recorder.ask(remaining_ms=5000)
        for _ in range(20):
            self.clock.advance(0.1)
            self.broker.tick()
        lines = explain_broker(self.broker)
        self.assertIn("instance vm-1 holds 1 slots without an answer", lines)
