"""Test the HTTP API for callers over loopback."""

import json
import unittest

from jayshunt import http_client
from jayshunt.dispatch.entry import Accepted
from jayshunt.dispatch.errors import AcceptUnknown, JobRefused
from jayshunt.dispatch.models import JobState
from jayshunt.dispatch.tests.builders import build_config, build_queue
from jayshunt.platform.front_api import FrontApi
from jayshunt.platform.tests.scripted_server import HOST
from jayshunt.serving.http_server import HttpServer
from jayshunt.serving.limits import ServerLimits

JOB = "5c0e7a21d94b36f8"


class FakeEntry:
    """Fake job entry that answers from its attributes."""

    def __init__(self) -> None:
        """Start by accepting every job."""
        self.error: Exception | None = None
        self.job_state: JobState | None = JobState.RUNNING

    def submit(self, spec, queue, timeout_s) -> Accepted:
        """Accept the job, or raise `error` if it is set."""
        if self.error is not None:
            raise self.error
        return Accepted(True)

    def state(self, job, timeout_s):
        """Return the state of the job, or None if it is unknown."""
        return self.job_state

    def cancel(self, job, timeout_s) -> bool:
        """Return whether the job is known."""
        return self.job_state is not None

    def waiting(self, queue, timeout_s) -> int:
        """Return a fixed count."""
        return 12


class FrontTest(unittest.TestCase):
    """Test the HTTP API for callers."""

    def setUp(self) -> None:
        """Serve a fake entry on a free port."""
        self.entry = FakeEntry()
        self.config = build_config()
        self.observed: list = []
        api = FrontApi(
            self.entry,
            lambda: self.config,
            lambda *answer: self.observed.append(answer),
        )
        limits = ServerLimits(drain_grace_s=0.0, drain_timeout_s=1.0)
        self.server = HttpServer(HOST, 0, api, limits)
        self.server.start()
        self.addCleanup(self.server.stop)

    def call(self, method: str, path: str, body: bytes | None = None):
        """Send one request."""
        return http_client.request(
            method,
            f"http://{HOST}:{self.server.server_address[1]}{path}",
            body=body,
            headers={"Host": build_queue().host},
            timeout_s=2.0,
            step="test",
        )

    def submit(self):
        """Submit a small job."""
        body = json.dumps({"spec": "s", "steps": [{"count": 1}]}).encode()
        return self.call("POST", f"/quotes/{JOB}", body)

    def test_calls_and_answers(self) -> None:
        """Every outcome needs its own status, since callers read only the status."""
        self.assertEqual(200, self.submit().status)
        answer = self.call("GET", f"/quotes/{JOB}")
        self.assertEqual({"state": "running"}, json.loads(answer.body))
        self.assertEqual(200, self.call("DELETE", f"/quotes/{JOB}").status)
        answer = self.call("GET", "/quotes/")
        self.assertEqual({"waiting": 12}, json.loads(answer.body))
        self.assertEqual(404, self.call("GET", "/other/").status)
        self.entry.job_state = None
        self.assertEqual(410, self.call("GET", f"/quotes/{JOB}").status)

    def test_refusal_has_retry_after(self) -> None:
        """Without Retry-After callers would retry at once and add to the load."""
        self.entry.error = JobRefused("queue_behind", 4.0, "far behind")
        answer = self.submit()
        self.assertEqual((429, "4"), (answer.status, answer.headers["retry-after"]))

    def test_unknown_outcome_is_no_refusal(self) -> None:
        """After a 503 the job must never run; after a 504 it may."""
        self.entry.error = AcceptUnknown("no answer of the store")
        self.assertEqual(504, self.submit().status)

    def test_malformed_requests_get_an_answer(self) -> None:
        """A caller whose connection breaks would send the same request again."""
        for body in (b"[" * 200_000, b'{"steps":[{"cpu":1e999}]}', b"\xff"):
            answer = self.call("POST", f"/quotes/{JOB}", body)
            self.assertEqual(400, answer.status)
        self.assertEqual(400, self.call("POST", "/quotes/odd", b"{}").status)
        self.assertEqual(410, self.call("GET", "/quotes/" + "x" * 500).status)
        self.assertEqual(410, self.call("DELETE", "/quotes/odd").status)

    def test_no_configuration_yet(self) -> None:
        """Before the first configuration, a 404 would deny that the queue exists."""
        self.config = None
        self.assertEqual(503, self.submit().status)


if __name__ == "__main__":
    unittest.main()
