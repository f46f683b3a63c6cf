"""Test tasks that wait for HTTP answers, timers and signals on one thread."""

import socket
import threading
import time
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from jayshunt.errors import JayshuntError, Outcome
from jayshunt.http_client import HttpCall
from jayshunt.task_loop import Signal, Sleep, TaskLoop, Wait
from jayshunt.tasks import RESTART_DELAY_S
from jayshunt.tests.builders import WAIT_S, run_in_loop

HOST = "127.0.0.1"
CALLS = 60
LIMIT_S = 4.5


class BarrierHandler(BaseHTTPRequestHandler):
    """Answer each request with its body once all of them have arrived."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        """Answer one request."""
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.server.all_arrived.wait(WAIT_S)
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_) -> None:
        """Suppress the request log."""


class BarrierServer(ThreadingHTTPServer):
    """Server that takes CALLS connections at the same moment."""

    daemon_threads = True
    request_queue_size = CALLS

    def __init__(self) -> None:
        """Listen on a free port; no request has arrived."""
        super().__init__((HOST, 0), BarrierHandler)
        self.all_arrived = threading.Barrier(CALLS)


def post(port: int, body: bytes = b"x", timeout_s: float = 5.0) -> HttpCall:
    """Return a call to a port of this machine."""
    return HttpCall("POST", f"http://{HOST}:{port}/", timeout_s, "test", body=body)


def echo(port: int, body: bytes):
    """Send a body and return the one of the answer."""
    answer = yield post(port, body)
    return answer.body


class HttpCallTest(unittest.TestCase):
    """Test calls that are in flight together, and how they fail."""

    def test_many_calls_wait_at_the_same_time(self) -> None:
        """Calls that waited for each other would delay the leases of all workers.

        The server answers none before all are in flight.
        """
        server = BarrierServer()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        port = server.server_address[1]
        bodies: list[bytes] = []

        def collect():
            tasks = [echo(port, str(number).encode()) for number in range(CALLS)]
            done = Signal()
            for task in tasks:
                loop.spawn(lambda task=task: note(task, done))
            while len(bodies) < CALLS:
                yield Wait(done, WAIT_S)
                done.clear()

        def note(task, done: Signal):
            bodies.append((yield from task))
            done.set()

        loop = TaskLoop("calls")
        loop.start()
        self.addCleanup(loop.stop)
        begun_s = time.monotonic()
        run_in_loop(collect())
        self.assertLess(time.monotonic() - begun_s, LIMIT_S)
        self.assertEqual({str(n).encode() for n in range(CALLS)}, set(bodies))

    def test_refused_connection_means_not_run(self) -> None:
        """Only then may an order be given to another worker at once."""
        with socket.create_server((HOST, 0)) as listener:
            port = listener.getsockname()[1]
        with self.assertRaises(JayshuntError) as caught:
            run_in_loop(echo(port, b"x"))
        self.assertIs(Outcome.NOT_RUN, caught.exception.outcome)

    def test_silent_peer_means_unknown_after_the_timeout(self) -> None:
        """The order may have arrived, so it must not count as not run."""
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)

        def call():
            yield post(listener.getsockname()[1], timeout_s=0.2)

        begun_s = time.monotonic()
        with self.assertRaises(JayshuntError) as caught:
            run_in_loop(call())
        self.assertIs(Outcome.UNKNOWN, caught.exception.outcome)
        self.assertLess(time.monotonic() - begun_s, 2.0)

    def test_broken_reused_connection_is_not_sent_again(self) -> None:
        """A second copy that is refused would hide that the first copy ran."""
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)
        port = listener.getsockname()[1]
        copies: list[bytes] = []

        def serve() -> None:
            connection, _ = listener.accept()
            copies.append(connection.recv(65536))
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            copies.append(connection.recv(65536))
            connection.close()

        def call_twice():
            yield post(port, b"1")
            yield post(port, b"2", timeout_s=1.0)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        with self.assertRaises(JayshuntError) as caught:
            run_in_loop(call_twice())
        thread.join(WAIT_S)
        self.assertIs(Outcome.UNKNOWN, caught.exception.outcome)
        self.assertEqual(2, len(copies))


class TaskTest(unittest.TestCase):
    """Test signals, restarts and the end of a loop."""

    def setUp(self) -> None:
        """Start a loop."""
        self.loop = TaskLoop("test")
        self.loop.start()
        self.addCleanup(self.loop.stop)

    def test_signal_ends_a_wait_early(self) -> None:
        """A wait for stored ends must not last until its timeout."""
        signal, ended = Signal(), threading.Event()

        def wait():
            yield Wait(signal, WAIT_S)
            ended.set()

        self.loop.spawn(wait)
        self.assertFalse(ended.wait(0.1))
        signal.set()
        self.assertTrue(ended.wait(WAIT_S / 2))

    def test_signal_that_was_set_before_ends_the_wait(self) -> None:
        """Otherwise an event between check and wait would be missed."""
        signal, ended = Signal(), threading.Event()
        signal.set()

        def wait():
            yield Wait(signal, WAIT_S)
            ended.set()

        self.loop.spawn(wait)
        self.assertTrue(ended.wait(WAIT_S / 2))

    def test_task_that_failed_starts_again_and_leaves_others_alone(self) -> None:
        """One malformed answer must not end the session of this or another worker."""
        calls: list[int] = []
        recovered, other_goes_on = threading.Event(), threading.Event()

        def fail_once():
            calls.append(1)
            yield Sleep(0.0)
            if len(calls) == 1:
                raise RuntimeError("unexpected")
            recovered.set()

        def other():
            yield Sleep(0.5)
            other_goes_on.set()

        with self.assertLogs("jayshunt.task_loop", "ERROR"):
            self.loop.spawn(other)
            self.loop.spawn(fail_once, restarts=True)
            self.assertTrue(recovered.wait(WAIT_S))
        self.assertTrue(other_goes_on.wait(WAIT_S))

    def test_error_of_the_loop_itself_is_survived_without_spinning(self) -> None:
        """A loop that ends leaves all workers without a lease; one that spins, too."""
        rounds: list[float] = []
        original, recovered = self.loop._run_once, threading.Event()

        def fail_twice() -> None:
            rounds.append(time.monotonic())
            if len(rounds) <= 2:
                raise RuntimeError("unexpected")
            recovered.set()
            original()

        with self.assertLogs("jayshunt.task_loop", "ERROR"):
            self.loop._run_once = fail_twice
            self.loop._wake_up()
            self.assertTrue(recovered.wait(WAIT_S))
        self.assertGreaterEqual(rounds[2] - rounds[0], 2 * RESTART_DELAY_S)

    def test_stopped_loop_resumes_no_task(self) -> None:
        """A dispatcher that lost its term must send no more orders."""
        resumed = threading.Event()

        def task():
            yield Sleep(0.2)
            resumed.set()

        self.loop.spawn(task)
        self.loop.stop()
        self.assertFalse(resumed.wait(0.5))


if __name__ == "__main__":
    unittest.main()
