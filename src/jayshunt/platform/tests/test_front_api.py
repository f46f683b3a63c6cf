"""Test the HTTP API for callers over loopback."""

import json
import unittest

from jayshunt import http_client
from jayshunt.clock import ManualClock
from jayshunt.dispatch.entry import Accepted
from jayshunt.dispatch.errors import AcceptUnknown, JobIdTaken, JobRefused
from jayshunt.dispatch.models import JobState
from jayshunt.dispatch.tests.builders import build_config, build_queue
from jayshunt.platform.front_api import FrontApi
from jayshunt.platform.tests.scripted_server import HOST
from jayshunt.serving.http_server import HttpServer
from jayshunt.serving.limits import ServerLimits
from jayshunt.workspaces.const import NO_WORKSPACE
from jayshunt.workspaces.tests.builders import (
    RIVER,
    RIVER_KEY,
    STRICT,
    build_authenticator,
    build_keyed_config,
)

JOB = "5c0e7a21d94b36f8"


class FakeEntry:
    """Fake job entry that answers from its attributes."""

    def __init__(self) -> None:
        """Start by accepting every job."""
        self.error: Exception | None = None
        self.job_state: JobState | None = JobState.RUNNING
        self.callers: list = []
        self.timeouts_s: list[float] = []
        self.is_unknown = False

    def submit(self, spec, queue, timeout_s) -> Accepted:
        """Accept the job, or raise `error` if it is set."""
        if self.error is not None:
            raise self.error
        self.callers.append(spec.workspace)
        return Accepted(True)

    def state(self, job, caller, timeout_s):
        """Return the state of the job, or None if it is unknown."""
        self.callers.append(caller)
        return self.job_state

    def cancel(self, job, caller, timeout_s) -> bool:
        """Return whether the job is known."""
        self.callers.append(caller)
        return self.job_state is not None

    def waiting(self, queue, timeout_s) -> int:
        """Return a fixed count."""
        self.timeouts_s.append(timeout_s)
        return 12

    def is_outcome_unknown(self, job) -> bool:
        """Return whether an earlier submission may have been accepted."""
        return self.is_unknown


class FrontTest(unittest.TestCase):
    """Test the HTTP API for callers."""

    def setUp(self) -> None:
        """Serve a fake entry on a free port."""
        self.entry = FakeEntry()
        self.config = build_config()
        self.observed: list = []
        self.headers: dict[str, str] = {}
        self.authenticator = build_authenticator(ManualClock())
        api = FrontApi(
            self.entry,
            lambda: self.config,
            lambda *answer: self.observed.append(answer),
            self.authenticator,
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
            headers={"Host": build_queue().host, **self.headers},
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

    def test_unexpected_error_is_answered(self) -> None:
        """The connection was closed instead, and the request got no answer."""
        self.entry.error = KeyError("state")
        with self.assertLogs("jayshunt.platform.front_api", "ERROR"):
            self.assertEqual(504, self.submit().status)

    def test_call_of_a_stopping_entry_ends_before_its_connection(self) -> None:
        """A second call on a connection waited for a dispatcher until it was cut."""
        self.assertEqual(200, self.call("GET", "/quotes/").status)
        self.server.begin_stop()
        self.assertEqual(200, self.call("GET", "/quotes/").status)
        usual_s, stopping_s = self.entry.timeouts_s
        self.assertGreater(usual_s, 2.0)
        self.assertLess(stopping_s, 0.8)

    def test_refusal_for_lack_of_memory_is_no_final_refusal(self) -> None:
        """An earlier submission of the job may have been accepted at another entry."""
        body = json.dumps({"steps": [{"image": "x" * 199}] * 64}).encode()
        memory = self.server._memory
        memory._held = memory._max_bytes - len(body) - 1_000
        answer = self.call("POST", f"/quotes/{JOB}", body)
        self.assertEqual(504, answer.status)
        self.assertEqual([], self.entry.callers)

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

    def test_calls_without_a_valid_key(self) -> None:
        """Each call must be refused before its body is read and its job looked up."""
        self.config = build_keyed_config(1, river=RIVER_KEY)
        for value in (None, "Token ", f"Bearer {RIVER_KEY}", "Token other"):
            self.headers = {} if value is None else {"Authorization": value}
            for method, path, body in (
                ("POST", f"/quotes/{JOB}", b"["),
                ("POST", "/quotes/odd", b"{}"),
                ("GET", f"/quotes/{JOB}", None),
                ("GET", "/quotes/", None),
                ("DELETE", f"/quotes/{JOB}", None),
            ):
                answer = self.call(method, path, body)
                self.assertEqual(401, answer.status, (value, method))
                self.assertEqual("Token", answer.headers["www-authenticate"])
        self.assertEqual(404, self.call("GET", "/other/").status)
        self.assertEqual([], self.entry.callers)

    def test_jobs_belong_to_the_workspace_of_the_key(self) -> None:
        """Without the workspace, any key would show any job."""
        self.headers = {"Authorization": f"Token {RIVER_KEY}"}
        for is_public, workspace in ((False, RIVER), (True, NO_WORKSPACE)):
            self.config = build_keyed_config(1, is_public, river=RIVER_KEY)
            self.entry.callers.clear()
            self.assertEqual(200, self.submit().status)
            self.assertEqual(200, self.call("GET", f"/quotes/{JOB}").status)
            self.assertEqual(200, self.call("DELETE", f"/quotes/{JOB}").status)
            self.assertEqual([workspace] * 3, self.entry.callers)
        self.entry.error = JobIdTaken()
        self.assertEqual(409, self.submit().status)

    def test_unconfirmed_configuration(self) -> None:
        """A 503 tells the caller that its job never runs, which must be true."""
        self.authenticator._policy = build_authenticator(ManualClock(), STRICT)._policy
        self.config = build_keyed_config(1, river=RIVER_KEY)
        self.headers = {"Authorization": f"Token {RIVER_KEY}"}
        self.assertEqual(503, self.call("GET", f"/quotes/{JOB}").status)
        self.assertEqual(503, self.submit().status)
        self.entry.is_unknown = True
        self.assertEqual(504, self.submit().status)
        self.assertEqual([], self.entry.callers)


if __name__ == "__main__":
    unittest.main()
