"""Test the platform's clients and API over loopback against scripted servers."""

import json
import socket
import struct
import threading
import time
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from jayshunt import http_client
from jayshunt.dispatch.entry import Accepted
from jayshunt.dispatch.errors import AcceptUnknown, JobRefused
from jayshunt.dispatch.models import Address, JobState, OrderRefusal, TaskKey
from jayshunt.dispatch.store_models import Put
from jayshunt.dispatch.tests.builders import build_config, build_queue
from jayshunt.dispatch.vms import DutyRefusal
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import EntryId, JobId, PoolName, Revision, VmId, WorkerId
from jayshunt.platform.front_api import FrontApi
from jayshunt.platform.machine_calls import VmServiceClient
from jayshunt.platform.store import HistoryGone, LeaseGone, PlatformStore
from jayshunt.platform.worker_calls import WorkerClient
from jayshunt.serving.http_server import HttpServer
from jayshunt.serving.limits import ServerLimits
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable
from jayshunt.tests.builders import run_in_loop

HOST = "127.0.0.1"
JOB = "5c0e7a21d94b36f8"
MALFORMED_BODIES = (b"[", b"\xff", b"7", b"[]", b"{}", b"[" * 200_000)


class ScriptedServer(ThreadingHTTPServer):
    """HTTP server that answers each request with the next scripted status and body.

    Status 0 closes the connection without a response. A body of bytes is sent as it is.
    """

    daemon_threads = True

    def __init__(self) -> None:
        """Start the server on a free port."""
        super().__init__((HOST, 0), _Handler)
        self.answers: list[tuple[int, object]] = []
        self.requests: list[tuple[str, str, dict, dict]] = []
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self) -> Address:
        """Return the address of the server."""
        return Address(HOST, self.server_address[1])


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def _serve(self) -> None:
        length = int(self.headers.get("Content-Length", 0))
        body = json.loads(self.rfile.read(length) or b"{}")
        server: ScriptedServer = self.server
        server.requests.append((self.command, self.path, body, dict(self.headers)))
        status, answer = server.answers.pop(0)
        if status == 0:
            self.close_connection = True
            return
        data = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = do_DELETE = _serve

    def log_message(self, *_) -> None:
        """Suppress the request log."""


class StoreTest(unittest.TestCase):
    """Test which effect of a call each response of the store implies."""

    def setUp(self) -> None:
        """Start a scripted store."""
        self.server = ScriptedServer()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.store = PlatformStore(self.server.address)

    def test_transaction_on_the_wire(self) -> None:
        """Without the revision conditions two entries could accept the same job."""
        self.server.answers = [(200, {"rev": 5})]
        result = self.store.transact({"k": Revision(0)}, (Put("k", b"v"),))
        self.assertEqual(5, result.revision)
        _, path, body, _ = self.server.requests[0]
        self.assertEqual("/kv-txn", path)
        self.assertEqual([{"key": "k", "rev": 0}], body["expectRev"])
        self.assertEqual([{"key": "k", "value": "dg=="}], body["puts"])

    def test_busy_store_did_nothing(self) -> None:
        """429 and 503 must map to an error that certainly had no effect.

        Only such an error allows the entry to tell a caller that its job was not
        accepted.
        """
        for status in (429, 503):
            self.server.answers = [(status, {})]
            with self.assertRaises(StoreUnavailable):
                self.store.transact({})

    def test_lost_answer_is_unknown(self) -> None:
        """A write without a response may have taken effect."""
        self.server.answers = [(0, None)]
        with self.assertRaises(StoreOutcomeUnknown):
            self.store.transact({})

    def test_server_error_of_a_write_is_unknown(self) -> None:
        """A 500, 502 or 504 may follow a write that was carried out.

        An entry that takes it for "not run" tells the caller that its job never runs.
        """
        for status in (500, 502, 504):
            self.server.answers = [(status, {})]
            with self.assertRaises(StoreOutcomeUnknown):
                self.store.transact({})

    def test_malformed_answer_is_an_outage(self) -> None:
        """Another exception would end the loop that made the call."""
        for body in MALFORMED_BODIES:
            self.server.answers = [(200, body)] * 4
            with self.assertRaises(StoreOutcomeUnknown):
                self.store.transact({})
            with self.assertRaises(StoreUnavailable):
                self.store.list("a")
            with self.assertRaises(StoreUnavailable):
                self.store.watch("a", Revision(1), 0.1)
            with self.assertRaises(StoreUnavailable):
                self.store.get("a")

    def test_failure_counts_from_the_sending_of_the_call(self) -> None:
        """Counted from its timeout, a holder without the store is replaced 1.2 s later.

        A lost answer beside calls that succeed is no failure of that length.
        """
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)
        silent = PlatformStore(Address(HOST, listener.getsockname()[1]))
        with self.assertRaises(StoreUnavailable):
            silent.get("a")
        self.assertGreater(silent.failing_for_s(), 0.9)
        self.assertEqual(0.0, silent.reachable_for_s())
        silent._failing_since_s = None
        silent._last_success_s = time.monotonic()
        silent._record_failure(time.monotonic() - 1.2)
        self.assertLess(silent.failing_for_s(), 0.9)

    def test_pages_are_joined(self) -> None:
        """A new dispatcher that reads only the first page would lose jobs."""
        item = {"key": "a", "value": "dg==", "rev": 1, "createRev": 1, "lease": 0}
        self.server.answers = [
            (200, {"items": [item], "hasMore": True, "storeRevision": 7}),
            (200, {"items": [{**item, "key": "b"}], "storeRevision": 9}),
        ]
        items, revision = self.store.list("")
        self.assertEqual(["a", "b"], [item.key for item in items])
        self.assertEqual(7, revision, "changes after the first page are watched")

    def test_lost_history_and_ended_lease(self) -> None:
        """Discarded history and an ended lease must not look like an outage."""
        self.server.answers = [(410, {}), (404, {})]
        with self.assertRaises(HistoryGone):
            self.store.watch("a", Revision(1), 0.1)
        with self.assertRaises(LeaseGone):
            self.store.renew_lease("5")


class WorkerTest(unittest.TestCase):
    """Test the orders to a worker and the lists of runs on the wire."""

    def setUp(self) -> None:
        """Start a scripted worker."""
        self.server = ScriptedServer()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.calls = WorkerClient(WorkerId("i-1"), self.server.address, 7)

    def test_poll_runs_reads_both_lists(self) -> None:
        """A misread row of running or ended runs would start a task twice."""
        self.server.answers = [
            (
                200,
                {
                    "clockMs": 9,
                    "born": 3,
                    "running": [["a.0.1.2", 4, "", 50, 12]],
                    "ended": [[1, "a.0.1.3", 2, "failed", "s"]],
                },
            )
        ]
        answer = run_in_loop(self.calls.poll_runs(5, 800, 100, 1.0))
        self.assertEqual(TaskKey(JobId("a"), 0, 1, 2), answer.running[0].task)
        self.assertEqual(("s", 1), (answer.ended[0].checkpoint, answer.ended[0].number))
        _, _, body, headers = self.server.requests[0]
        self.assertEqual(
            (7, 5, 800), tuple(body[k] for k in ("fencingToken", "seenUpto", "untilMs"))
        )
        self.assertEqual("i-1", headers["X-Expect-Instance"])

    def test_refusals_are_told_apart(self) -> None:
        """Each refusal needs its own reason, as the dispatcher reacts differently."""
        self.server.answers = [
            (409, {"reason": "fence"}),
            (421, {}),
            (503, {}),
            (409, {"reason": "old", "clockMs": 4}),
        ]
        task = TaskKey(JobId("a"), 0, 0, 0)
        found = [run_in_loop(self.calls.stop(task, 1, 1.0)).refusal for _ in range(4)]
        self.assertEqual(
            [
                OrderRefusal.FENCED,
                OrderRefusal.OTHER_INCARNATION,
                OrderRefusal.UNHEALTHY,
                OrderRefusal.SUPERSEDED,
            ],
            found,
        )

    def test_malformed_report_has_an_unknown_outcome(self) -> None:
        """A report without the malformed row would show that its run has ended."""
        task = TaskKey(JobId("a"), 0, 0, 0)
        reports = [
            *MALFORMED_BODIES,
            {"clockMs": 9, "running": [["a.0.1", 4, "", 50]]},
            {"clockMs": 9, "running": [["a.0.1.2", None, "", 50]]},
            {"clockMs": 9, "ended": [[1, "a.0.1.3", 2, "odd", ""]]},
        ]
        for report in reports:
            self.server.answers = [(200, report)]
            with self.assertRaises(JayshuntError) as caught:
                run_in_loop(self.calls.poll_runs(0, 800, 0, 1.0))
            self.assertIs(Outcome.UNKNOWN, caught.exception.outcome)
        self.server.answers = [(200, b"["), (409, [1])]
        self.assertIsNone(run_in_loop(self.calls.stop(task, 1, 1.0)).refusal)
        self.assertIs(
            OrderRefusal.OTHER, run_in_loop(self.calls.stop(task, 1, 1.0)).refusal
        )


class VmServiceTest(unittest.TestCase):
    """Test the list of VMs and the orders on the wire."""

    def test_malformed_list_is_refused_as_a_whole(self) -> None:
        """A VM that is missing from the list would count as gone."""
        server = ScriptedServer()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        calls = VmServiceClient(server.address, EntryId("entry-1"))
        vm = {"machine": "m-1", "pool": "desk", "state": "up"}
        server.answers = [
            *((200, body) for body in MALFORMED_BODIES),
            (200, {"machines": [vm, {**vm, "capacity": {"cpu": "x"}}]}),
        ]
        for _ in range(len(server.answers)):
            with self.assertRaises(JayshuntError):
                calls.list()
        server.answers = [(409, b"["), (409, {"reason": ["fence"]})]
        for _ in range(2):
            answer = calls.move(VmId("m-1"), PoolName("desk"), 7)
            self.assertIs(DutyRefusal.OTHER, answer.refusal)


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


class BrokenConnectionTest(unittest.TestCase):
    """Test a reused connection that breaks after a request was sent."""

    def test_refused_reconnect_after_a_send_is_unknown(self) -> None:
        """curl resends a request by itself on a reused connection that broke.

        The first copy may have run, so the refused reconnect must not be reported
        as "not run".
        """
        listener = socket.create_server((HOST, 0))
        port = listener.getsockname()[1]
        reset = struct.pack("ii", 1, 0)

        def serve() -> None:
            connection, _ = listener.accept()
            connection.recv(65536)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            connection.recv(65536)
            listener.close()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
            connection.close()

        thread = threading.Thread(target=serve)
        thread.start()
        url = f"http://{HOST}:{port}/"
        http_client.request("POST", url, body=b"1", timeout_s=2.0, step="test")
        with self.assertRaises(JayshuntError) as caught:
            http_client.request("POST", url, body=b"2", timeout_s=2.0, step="test")
        thread.join()
        self.assertIs(Outcome.UNKNOWN, caught.exception.outcome)

    def test_refusal_of_a_second_copy_is_not_taken_for_the_first(self) -> None:
        """A 503 for a copy that curl resent must not hide that the first copy ran.

        The store executed a write late and closed the connection, curl sent the
        write again, and the 503 for the copy told the caller that nothing had run
        (soak seed 3114).
        """
        listener = socket.create_server((HOST, 0))
        port = listener.getsockname()[1]
        copies: list[bytes] = []

        def serve() -> None:
            connection, _ = listener.accept()
            connection.recv(65536)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            copies.append(connection.recv(65536))
            connection.close()
            listener.settimeout(0.5)
            try:
                connection, _ = listener.accept()
            except TimeoutError:
                return
            copies.append(connection.recv(65536))
            connection.sendall(b"HTTP/1.1 503 -\r\nContent-Length: 0\r\n\r\n")
            connection.close()

        thread = threading.Thread(target=serve)
        thread.start()
        url = f"http://{HOST}:{port}/"
        http_client.request("POST", url, body=b"1", timeout_s=2.0, step="test")
        with self.assertRaises(JayshuntError) as caught:
            http_client.request("POST", url, body=b"2", timeout_s=2.0, step="test")
        thread.join()
        listener.close()
        self.assertIs(Outcome.UNKNOWN, caught.exception.outcome)
        self.assertIn(b"2", copies[0])


if __name__ == "__main__":
    unittest.main()
