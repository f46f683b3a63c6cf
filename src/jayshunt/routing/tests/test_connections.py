"""Test connections against a stand-in that fails."""

import unittest
from dataclasses import replace

from jayshunt.clock import SystemClock
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import RequestId, VmId
from jayshunt.routing.connections import UpstreamConnections
from jayshunt.routing.tests.builders import caller_request
from jayshunt_standins.upstream import UpstreamFaults, UpstreamStandIn

VM = VmId("vm")


class ConnectionsTest(unittest.TestCase):
    """Test what a caller gets when a connection fails."""

    def setUp(self) -> None:
        """Start one instance."""
        self.upstream = UpstreamStandIn("vm")
        self.upstream.start()
        self.addCleanup(self.upstream.stop)
        self.connections = UpstreamConnections(SystemClock(), lambda: 4)
        self.addCleanup(self.connections.stop)
        self.count = 0

    def send(self, repeatable: bool = True, timeout_ms: float = 2000.0):
        """Send one request and return its answer or error."""
        self.count += 1
        name = RequestId(f"r-{self.count}")
        request = replace(caller_request(repeatable), request=name)
        try:
            sent = self.connections.send(VM, self.upstream.address, request, timeout_ms)
        except JayshuntError as error:
            return error
        return sent.answer

    def break_upstream(self, **faults) -> None:
        """Set the instance's faults."""
        self.upstream.set_faults(UpstreamFaults(**faults))

    def test_refused_connection_ran_nothing(self) -> None:
        """A retry of a marked request depends on a true `not_run`."""
        self.upstream.stop()
        self.assertEqual(self.send(repeatable=False).outcome, Outcome.NOT_RUN)

    def test_reset_before_the_first_byte_is_unknown(self) -> None:
        """The request was delivered, so it may have run."""
        self.break_upstream(reset_before=True)
        self.assertEqual(self.send(repeatable=False).outcome, Outcome.UNKNOWN)

    def test_cut_answer_is_never_returned(self) -> None:
        """Half of an answer must not look like a whole one."""
        self.break_upstream(reset_after=True)
        self.assertEqual(self.send(repeatable=False).outcome, Outcome.UNKNOWN)

    def test_marked_request_runs_once_on_a_connection_that_closes(self) -> None:
        """libcurl sends a request again if a reused connection closes early."""
        self.send()
        self.break_upstream(reset_before=True)
        self.send(repeatable=False)
        self.assertEqual(self.upstream.received, ["r-1", "r-2"])

    def test_silent_connection_is_not_used_again(self) -> None:
        """A late answer would reach the next request on the connection."""
        self.break_upstream(late_s=0.2)
        late = self.send(timeout_ms=60)
        self.assertEqual(
            (late.code, late.outcome.value), ("upstream_timeout", "unknown")
        )
        self.break_upstream()
        answer = self.send()
        self.assertEqual(answer.body, b"vm r-2 body")
        self.assertEqual(self.connections.idle_counts(), {VM: 1})

    def test_answer_of_another_request_is_dropped(self) -> None:
        """An instance that mixes up answers must not show them to callers."""
        self.upstream.answer_headers = {"Jayshunt-Request-Id": "r-other"}
        error = self.send()
        self.assertEqual(error.code, "answer_crossed")

    def test_idle_connections_stay_within_the_share(self) -> None:
        """The entries' connections to an instance must not exceed its limit."""
        self.connections = UpstreamConnections(SystemClock(), lambda: 0)
        self.send()
        self.assertEqual(self.connections.idle_counts(), {VM: 0})
