"""Test retries, outcomes and the order of claim and send."""

import unittest
from dataclasses import replace

from jayshunt.admission.const import EJECT_CONSECUTIVE
from jayshunt.admission.messages import SendOutcome
from jayshunt.clock import ManualClock
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.routing.const import RETRY_BUDGET_START, USE_WITHIN_MS
from jayshunt.routing.messages import CallerAnswer
from jayshunt.routing.tests.builders import (
    ANSWER,
    FakeConnections,
    FakePermits,
    caller_request,
    failure,
    router_with,
)

NOT_RUN = Outcome.NOT_RUN
UNKNOWN = Outcome.UNKNOWN


class RetryTest(unittest.TestCase):
    """Test which requests are retried and which outcome is reported."""

    def send(self, connections, request, permits=None, **fields):
        """Send one request and return the answer or the error."""
        self.permits = permits or FakePermits()
        router = router_with(self.permits, connections, **fields)
        try:
            return router.send(request)
        except JayshuntError as error:
            return error

    def test_unrepeatable_request_is_sent_once(self) -> None:
        """A retry after an unknown outcome could run the request twice."""
        connections = FakeConnections(failure(UNKNOWN), ANSWER)
        error = self.send(connections, caller_request(repeatable=False))
        self.assertEqual(error.outcome, UNKNOWN)
        self.assertEqual(len(connections.sent), 1)

    def test_unrepeatable_request_is_retried_if_not_sent(self) -> None:
        """A request of which nothing was sent must be retried, not failed."""
        connections = FakeConnections(failure(NOT_RUN), ANSWER)
        answer = self.send(connections, caller_request(repeatable=False))
        self.assertEqual(answer, ANSWER)

    def test_repeatable_request_goes_to_another_instance(self) -> None:
        """A retry on the instance that failed would probably fail again."""
        connections = FakeConnections(failure(UNKNOWN), ANSWER)
        self.assertEqual(self.send(connections, caller_request()), ANSWER)
        self.assertEqual(self.permits.requests[1].excluded, ("vm-0",))
        self.assertEqual(self.permits.requests[1].attempt, 1)

    def test_refusal_after_a_sent_attempt_has_an_unknown_outcome(self) -> None:
        """A refused retry must not hide that the first attempt may have run."""
        connections = FakeConnections(failure(UNKNOWN))
        permits = FakePermits(refuse_from=1)
        error = self.send(connections, caller_request(), permits)
        self.assertEqual(error.outcome, UNKNOWN)

    def test_one_unknown_attempt_makes_the_outcome_unknown(self) -> None:
        """A refused connection at the last attempt must not hide an earlier run."""
        connections = FakeConnections(
            failure(UNKNOWN), failure(NOT_RUN), failure(NOT_RUN)
        )
        error = self.send(connections, caller_request())
        self.assertEqual(error.outcome, UNKNOWN)

    def test_fault_answer_is_returned_if_no_retry_helps(self) -> None:
        """The caller must get the upstream's own answer, not an error of the router."""
        fault = CallerAnswer(500, (), b"broken")
        connections = FakeConnections(fault, fault, fault)
        self.assertEqual(self.send(connections, caller_request()), fault)

    def test_fault_answer_is_returned_if_the_retry_is_refused(self) -> None:
        """The error of a refused retry must not replace the upstream's answer."""
        fault = CallerAnswer(503, (), b"broken")
        permits = FakePermits(refuse_from=1)
        answer = self.send(FakeConnections(fault), caller_request(), permits)
        self.assertEqual(answer, fault)

    def test_caller_timeout_is_not_exceeded(self) -> None:
        """An attempt must not outlast the caller's own timeout: the caller has left."""
        connections = FakeConnections(ANSWER, ANSWER)
        request = caller_request(repeatable=False)
        self.send(connections, replace(request, timeout_ms=300.0))
        self.send(connections, request)
        self.assertAlmostEqual(connections.sent[0][1], 300, places=3)
        self.assertGreater(connections.sent[1][1], 1000)

    def test_fresh_entry_retries_until_an_instance_is_ejected(self) -> None:
        """An entry with an empty budget would return an instance's faults to callers.

        A new entry has sent too few requests to fill it before the ejection.
        """
        fault = CallerAnswer(500, (), b"broken")
        connections = FakeConnections(*[fault, ANSWER] * EJECT_CONSECUTIVE)
        router = router_with(FakePermits(), connections)
        for _ in range(EJECT_CONSECUTIVE):
            self.assertEqual(router.send(caller_request()), ANSWER)

    def test_budget_bounds_retries(self) -> None:
        """Unbounded retries would multiply the load of a failing pool."""
        permits = FakePermits()
        connections = FakeConnections(*[failure(NOT_RUN)] * 400)
        router = router_with(permits, connections)
        for _ in range(100):
            with self.assertRaises(JayshuntError):
                router.send(caller_request())
        retries = len(connections.sent) - 100
        self.assertLessEqual(retries, 0.1 * 100 + RETRY_BUDGET_START)

    def test_silent_attempt_leaves_time_for_another(self) -> None:
        """One silent connection must not use up all of a repeatable request's time."""
        connections = FakeConnections(failure(UNKNOWN, "upstream_timeout"), ANSWER)
        self.send(connections, caller_request())
        self.assertLessEqual(connections.sent[0][1], 500)
        self.assertEqual(self.permits.results[0].outcome, SendOutcome.TIMED_OUT)

    def test_permit_that_waited_too_long_is_not_used(self) -> None:
        """A new broker may have granted the slot again while this entry was paused."""
        clock = ManualClock()
        permits = FakePermits()
        pauses = [USE_WITHIN_MS / 1000 + 0.1]
        permits.on_grant = lambda: clock.advance(pauses.pop() if pauses else 0)
        connections = FakeConnections(ANSWER)
        self.send(connections, caller_request(), permits, clock=clock)
        self.assertEqual(connections.sent[0][0], "vm-1")
        self.assertEqual(permits.results[0].outcome, SendOutcome.NOT_SENT)

    def test_every_permit_is_given_back(self) -> None:
        """A permit that is not released blocks its slot until it expires."""
        connections = FakeConnections(failure(UNKNOWN), failure(NOT_RUN), ANSWER)
        self.send(connections, caller_request())
        self.assertEqual(len(self.permits.results), len(self.permits.requests))


class FakeClaims:
    """Record the order of claims and results, and optionally refuse claims."""

    def __init__(self, events: list, refuse: bool = False) -> None:
        """Append events to the given list."""
        self.events = events
        self._refuse = refuse

    def begin(self, _request):
        """Record a claim, or raise an error."""
        self.events.append("begin")
        if self._refuse:
            raise JayshuntError("store_unavailable", step="claims")

    def finish(self, _request, result) -> None:
        """Record the type of the result."""
        self.events.append(type(result).__name__)


class ClaimTest(unittest.TestCase):
    """Test that claims are made before sending and finished afterwards."""

    def test_claim_comes_before_the_send(self) -> None:
        """A request sent before its claim could run again at another entry."""
        connections = FakeConnections(failure(NOT_RUN), ANSWER)
        claims = FakeClaims(connections.events)
        router_with(FakePermits(), connections, claims=claims).send(
            caller_request(False, "key")
        )
        self.assertEqual(connections.events, ["begin", "send", "send", "CallerAnswer"])

    def test_refused_claim_sends_nothing(self) -> None:
        """A request sent without a claim could run a second time."""
        connections, permits = FakeConnections(ANSWER), FakePermits()
        claims = FakeClaims(connections.events, refuse=True)
        router = router_with(permits, connections, claims=claims)
        with self.assertRaises(JayshuntError):
            router.send(caller_request(False, "key"))
        self.assertEqual(connections.events, ["begin"])
        self.assertEqual(permits.results[0].outcome, SendOutcome.NOT_SENT)

    def test_failure_is_recorded(self) -> None:
        """A claim that is never finished would block all retries of the caller."""
        connections = FakeConnections(failure(UNKNOWN))
        claims = FakeClaims(connections.events)
        router = router_with(FakePermits(), connections, claims=claims)
        with self.assertRaises(JayshuntError):
            router.send(caller_request(False, "key"))
        self.assertEqual(connections.events, ["begin", "send", "JayshuntError"])
