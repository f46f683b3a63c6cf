"""Test upstream connections against a stand-in with injected faults."""

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
    """Test the outcome of a request when its connection fails."""

    def setUp(self) -> None:
        """Start one stand-in instance."""
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

    def set_faults(self, **faults) -> None:
        """Set the faults of the instance; without arguments, remove them."""
        self.upstream.set_faults(UpstreamFaults(**faults))

    def test_refused_connection_ran_nothing(self) -> None:
        """A refused connection certainly ran nothing, so the request may be retried.

        A retry after a false `not_run` would run a request twice.
        """
        self.upstream.stop()
        self.assertEqual(self.send(repeatable=False).outcome, Outcome.NOT_RUN)

    def test_reset_before_the_first_byte_is_unknown(self) -> None:
        """A reset after delivery must not be `not_run`: the request may have run."""
        self.set_faults(reset_before=True)
        self.assertEqual(self.send(repeatable=False).outcome, Outcome.UNKNOWN)

    def test_cut_answer_is_never_returned(self) -> None:
        """A connection cut within the answer must not return a partial answer."""
        self.set_faults(reset_after=True)
        self.assertEqual(self.send(repeatable=False).outcome, Outcome.UNKNOWN)

    def test_unrepeatable_request_runs_once_on_a_connection_that_closes(self) -> None:
        """libcurl must not repeat a request that may run only once.

        It does so if a reused connection closes before the first byte of the answer.
        """
        self.send()
        self.set_faults(reset_before=True)
        self.send(repeatable=False)
        self.assertEqual(self.upstream.received, ["r-1", "r-2"])

    def test_silent_connection_is_not_used_again(self) -> None:
        """After a timeout, a late answer would reach the connection's next request."""
        self.set_faults(late_s=0.2)
        late = self.send(timeout_ms=60)
        self.assertEqual(
            (late.code, late.outcome.value), ("upstream_timeout", "unknown")
        )
        self.set_faults()
        answer = self.send()
        self.assertEqual(answer.body, b"vm r-2 body")
        self.assertEqual(self.connections.idle_counts(), {VM: 1})

    def test_answer_of_another_request_is_dropped(self) -> None:
        """An answer with the id of another request must not reach the caller."""
        self.upstream.answer_headers = {"Jayshunt-Request-Id": "r-other"}
        error = self.send()
        self.assertEqual(error.code, "answer_crossed")

    def test_idle_connections_stay_within_the_limit(self) -> None:
        """Unbounded idle connections would exceed an instance's connection limit."""
        self.connections = UpstreamConnections(SystemClock(), lambda: 0)
        self.send()
        self.assertEqual(self.connections.idle_counts(), {VM: 0})
