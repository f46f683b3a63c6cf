"""Test the operator client, its exit codes and the status text."""

import json
import unittest
from unittest.mock import patch

from jayshunt.cli.const import EXIT_CODE_HELP, ExitCode
from jayshunt.cli.main import exit_code_of
from jayshunt.cli.operator_client import OperatorClient
from jayshunt.cli.status_text import status_lines
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.http_client import HttpAnswer

ACCEPTED = HttpAnswer(200, {}, b'{"version": 7}')


def failure(code: str, outcome: Outcome) -> JayshuntError:
    """Return an error as the HTTP client raises it."""
    return JayshuntError(code, step="test", outcome=outcome)


class OperatorClientTest(unittest.TestCase):
    """Test that no change is made twice or reported with a wrong outcome."""

    def call(self, method: str, *answers) -> dict:
        """Call with two entries and record the tried addresses in `self.tried`."""
        client = OperatorClient(["10.0.0.1:1", "10.0.0.2:1"], "token", "amma")
        with patch(
            "jayshunt.cli.operator_client.http_client.request", side_effect=answers
        ) as request:
            try:
                result = client.call(method, "config", {})
            finally:
                self.tried = [call.args[1].split("/")[2] for call in request.mock_calls]
        return result

    def test_change_tries_next_entry_only_if_the_first_did_not_get_it(self):
        """A change whose answer was lost must not be sent to another entry."""
        unreachable = failure("peer_unreachable", Outcome.NOT_RUN)
        self.assertEqual(self.call("PUT", unreachable, ACCEPTED), {"version": 7})
        self.assertEqual(self.tried, ["10.0.0.1:1", "10.0.0.2:1"])
        with self.assertRaises(JayshuntError) as caught:
            self.call("PUT", failure("no_answer", Outcome.UNKNOWN), ACCEPTED)
        self.assertEqual(self.tried, ["10.0.0.1:1"])
        self.assertIs(exit_code_of(caught.exception), ExitCode.UNKNOWN)

    def test_read_tries_next_entry_after_a_lost_answer(self):
        """A read must go to the next entry if one does not answer."""
        lost = failure("no_answer", Outcome.UNKNOWN)
        self.assertEqual(self.call("GET", lost, ACCEPTED), {"version": 7})

    def test_refusal_of_an_entry_is_final(self):
        """A refused change must not be sent to further entries."""
        problem = {
            "code": "config_conflict",
            "step": "config.merge",
            "peer": "",
            "outcome": "not_run",
            "retry_after_s": None,
            "detail": "classes.a: kofi changed it",
        }
        refusal = HttpAnswer(409, {}, json.dumps(problem).encode())
        with self.assertRaises(JayshuntError) as caught:
            self.call("PUT", refusal, ACCEPTED)
        self.assertEqual(self.tried, ["10.0.0.1:1"])
        self.assertIs(exit_code_of(caught.exception), ExitCode.CONFLICT)

    def test_answer_of_another_service_is_unknown(self):
        """An answer that is not from an entry must not be reported as a refusal."""
        with self.assertRaises(JayshuntError) as caught:
            self.call("PUT", HttpAnswer(200, {}, b"<html>"), ACCEPTED)
        self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)

    def test_each_exit_code_is_documented(self):
        """Every exit code must have a help text, as operators' scripts rely on it."""
        self.assertEqual(set(EXIT_CODE_HELP), set(ExitCode))


class StatusTextTest(unittest.TestCase):
    """Test that the status text makes problems visible."""

    def test_problems_are_in_capitals(self):
        """Missed targets, unresponsive entries and version skew must stand out."""
        process = {
            "entry": "north-0",
            "zone": "north",
            "program_version": "1",
            "config_version": 2,
            "store": "down",
            "ready": False,
            "draining": False,
            "is_controller": True,
        }
        quotes = {
            "work_class": "quotes",
            "target_ms": 800,
            "p99_ms": 900.0,
            "met": 1,
            "requests": 2,
            "is_met": False,
            "reason": "of 2: 1 overloaded",
        }
        status = {
            "config_version": 3,
            "store": "up",
            "processes": [process],
            "missing": {"south-0": "no answer"},
            "classes": [quotes],
            "job_classes": [],
            "pools": [],
            "waves": [],
            "planned_stops": {},
        }
        text = "\n".join(status_lines(status))
        for part in (
            "NO ANSWER from south-0",
            "MISSED, of 2: 1 overloaded",
            "NOT READY, OTHER CONFIGURATION, STORE DOWN, zone controller",
        ):
            self.assertIn(part, text)
