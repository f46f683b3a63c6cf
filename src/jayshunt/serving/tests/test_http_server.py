"""Test the HTTP server over real connections."""

import json
import socket
import threading
import unittest

from jayshunt.routing.messages import CallerAnswer
from jayshunt.serving.limits import ServerLimits
from jayshunt.serving.listener import drop_new_connections
from jayshunt.serving.tests.builders import (
    BlockingRouter,
    FakeRouter,
    connect,
    exchange,
    get,
    post,
    read_all,
    read_answer,
    start_server,
)

CLOSE = "Connection: close"


class ServerCase(unittest.TestCase):
    """Start servers and stop them after the test."""

    def start(self, router, **limits):
        """Start a server with the given limits."""
        values = {"drain_grace_s": 0.0, "drain_timeout_s": 2.0, **limits}
        server = start_server(router, ServerLimits(**values))
        self.addCleanup(server.stop)
        return server

    def assert_problem(self, received: bytes, code: str) -> None:
        """Check that the only answer is a problem that ends the connection."""
        head, _, body = received.partition(b"\r\n\r\n")
        self.assertIn(b"application/problem+json", head, received)
        self.assertIn(b"connection: close", head.lower())
        problem = json.loads(body)
        self.assertEqual((problem["code"], problem["outcome"]), (code, "not_run"))


class InvalidInputTest(ServerCase):
    """Guard against callers who send invalid, slow or oversized requests."""

    def test_smuggled_request_never_runs(self):
        """A request hidden behind an ambiguous head must not reach an upstream."""
        router = FakeRouter()
        server = self.start(router)
        hidden = get("/v1/classes/quotes/hidden")
        start = b"POST /v1/classes/quotes/a HTTP/1.1\r\nHost: x\r\n"
        for fields in (
            b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"Content-Length: 0\r\nContent-Length: 9\r\n\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
            b"A: b\nContent-Length: 4\r\n\r\n",
        ):
            with self.subTest(fields):
                self.assert_problem(
                    exchange(server, start + fields + hidden), "bad_request"
                )
        self.assertEqual(router.requests, [])

    def test_bare_line_ends_are_refused_at_once(self):
        """A head that ends with LF LF must not occupy a thread until its deadline."""
        server = self.start(FakeRouter(), read_timeout_s=60.0)
        received = exchange(server, b"GET / HTTP/1.1\nHost: x\n\n")
        self.assert_problem(received, "bad_request")

    def test_slow_head_ends_at_the_deadline_of_the_whole_head(self):
        """A caller who sends a byte at a time must not extend its deadline."""
        server = self.start(FakeRouter(), read_timeout_s=0.15)
        with connect(server) as connection:
            connection.settimeout(0.02)
            received = b""
            while not received:
                connection.sendall(b"G")
                try:
                    received = connection.recv(65_536)
                except TimeoutError:
                    continue
        self.assert_problem(received, "request_timeout")

    def test_slow_body_is_refused(self):
        """An incomplete body must not occupy a thread forever."""
        router = FakeRouter()
        server = self.start(router, read_timeout_s=0.1)
        received = exchange(server, post(b"splitter")[:-3])
        self.assert_problem(received, "request_timeout")
        self.assertEqual(router.requests, [])

    def test_oversized_parts_are_refused(self):
        """Large heads and bodies must not exhaust the memory."""
        server = self.start(FakeRouter(), max_body_bytes=10)
        chunked = b"POST /v1/classes/a/b HTTP/1.1\r\nHost: x\r\n"
        chunked += b"Transfer-Encoding: chunked\r\n\r\n"
        cases = {
            "target_too_long": b"GET /" + b"a" * 17_000,
            "head_too_large": get(lines=["A: " + "b" * 17_000]),
            "body_too_large": post(b"x" * 11),
        }
        for code, data in cases.items():
            with self.subTest(code):
                self.assert_problem(exchange(server, data), code)
        data = chunked + b"8\r\n12345678\r\n8\r\n"
        self.assert_problem(exchange(server, data), "body_too_large")

    def test_bodies_of_all_callers_are_bounded(self):
        """Many bodies below their own limit must not exhaust the memory."""
        router = BlockingRouter()
        server = self.start(router, max_body_bytes=100, max_held_body_bytes=150)
        with connect(server) as first:
            first.sendall(post(b"x" * 100))
            router.entered.wait(5)
            refused = exchange(server, post(b"y" * 100))
            self.assert_problem(refused, "bodies_exhaust_memory")
            router.released.set()
            read_answer(first)
            first.sendall(post(b"z" * 100, CLOSE))
            self.assertIn(b"200 OK", read_all(first))

    def test_connections_are_limited_for_each_client(self):
        """One client must not use up the connections of the others."""
        server = self.start(FakeRouter(), max_connections_per_client=1)
        with connect(server) as first:
            first.sendall(get())
            read_answer(first)
            refused = exchange(server)
            self.assert_problem(refused, "too_many_connections_of_client")
            first.sendall(get())
            self.assertIn(b"200 OK", read_answer(first)[0])


class AnswerTest(ServerCase):
    """Guard against requests and answers that are altered when passed on."""

    def test_repeated_headers_and_percent_encoding_are_kept(self):
        """Joined cookies and decoded paths would break applications."""
        cookies = (("set-cookie", "a=1"), ("set-cookie", "b=2"))
        router = FakeRouter(lambda _: CallerAnswer(200, cookies, b"ok"))
        server = self.start(router)
        received = exchange(server, get("/v1/classes/q/a%2Fb?c=%20", [CLOSE]))
        self.assertEqual(received.count(b"set-cookie: "), 2)
        self.assertEqual(router.requests[0].target, "/a%2Fb?c=%20")

    def test_answers_without_body_keep_the_connection_usable(self):
        """A caller would read a body after HEAD, 204 or 304 as the next answer."""
        length = (("content-length", "5"),)
        answers = [
            CallerAnswer(200, length, b""),
            CallerAnswer(204, (), b""),
            CallerAnswer(304, (), b""),
            CallerAnswer(200, (), b"last"),
        ]
        server = self.start(FakeRouter(lambda _: answers.pop(0)))
        head = get().replace(b"GET", b"HEAD", 1)
        received = exchange(server, head, get(), get(), get(lines=[CLOSE]))
        parts = received.split(b"\r\n\r\n")
        self.assertEqual(len(parts), 5)
        self.assertIn(b"content-length: 5", parts[0].lower())
        self.assertNotIn(b"content-length", parts[1].lower())
        self.assertEqual(parts[4], b"last")

    def test_reads_chunked_body_with_trailers(self):
        """A body without a Content-Length must arrive whole."""
        router = FakeRouter()
        server = self.start(router)
        head = b"POST /v1/classes/q/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        exchange(server, head, b"3\r\nspl\r", b"\n5;a=b\r\nitter\r\n0\r\nT: 1\r\n\r\n")
        self.assertEqual(router.requests[0].body, b"splitter")

    def test_headers_of_the_connection_are_not_forwarded(self):
        """A header named by Connection belongs to this connection only."""
        router = FakeRouter()
        server = self.start(router)
        lines = ["Connection: close, Secret", "Secret: 1", "Kept: 2"]
        exchange(server, get(lines=lines))
        names = {name for name, _ in router.requests[0].headers}
        self.assertIn("Kept", names)
        self.assertNotIn("Secret", names)


class StopAndDisconnectTest(ServerCase):
    """Guard against requests cut off by a stop or left without their caller."""

    def test_stop_answers_what_was_read(self):
        """A planned stop must not cut off a request in flight."""
        router = BlockingRouter()
        server = start_server(router)
        with connect(server) as connection:
            connection.sendall(post(b"splitter"))
            router.entered.wait(5)
            server.begin_stop()
            router.released.set()
            received = read_all(connection)
        server.stop()
        self.assertIn(b"answer to splitter", received)
        self.assertIn(b"Connection: close", received)

    def test_stop_answers_requests_that_were_received_behind_another(self):
        """`Connection: close` dropped pipelined requests that had been read."""
        router = BlockingRouter()
        server = start_server(router)
        with connect(server) as connection:
            connection.sendall(b"".join(post(f"part {n}".encode()) for n in range(3)))
            router.entered.wait(5)
            server.begin_stop()
            router.released.set()
            received = read_all(connection)
        server.stop()
        self.assertEqual(3, received.count(b"answer to part"))
        self.assertEqual(1, received.count(b"Connection: close"))

    def test_stop_takes_connections_that_wait_to_be_accepted(self):
        """A connection in the accept queue must not be reset by the stop."""
        server = start_server(FakeRouter())
        server.shutdown()
        with connect(server) as connection:
            connection.sendall(get())
            server.stop()
            self.assertIn(b"200 OK", read_all(connection))

    def test_no_connection_is_made_once_the_port_is_about_to_close(self):
        """A connection established just before the close is reset with its request."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = listener.getsockname()
            with socket.create_connection(address) as before:
                drop_new_connections(listener)
                before.sendall(b"x")
                with self.assertRaises(TimeoutError):
                    socket.create_connection(address, timeout=0.1)
                accepted, _ = listener.accept()
                with accepted:
                    self.assertEqual(accepted.recv(1), b"x")

    def test_stop_waits_for_the_first_request_of_a_new_connection(self):
        """Closing a connection that was just made would race with its first request."""
        router = FakeRouter()
        server = start_server(router)
        with connect(server) as connection:
            stopper = threading.Thread(target=server.stop)
            stopper.start()
            while server.socket.fileno() >= 0:
                stopper.join(0.001)
            connection.sendall(get())
            received = read_all(connection)
            stopper.join()
        self.assertIn(b"200 OK", received)

    def test_stop_closes_idle_connections(self):
        """An idle connection must not delay the stop until its timeout."""
        server = start_server(FakeRouter())
        with connect(server) as connection:
            connection.sendall(get())
            read_answer(connection)
            server.stop()
            self.assertEqual(read_all(connection), b"")

    def test_disconnected_caller_cancels_its_request(self):
        """A request whose caller disconnected must not keep a slot from others."""
        router = BlockingRouter()
        server = self.start(router)
        with connect(server) as connection:
            connection.sendall(get())
            router.entered.wait(5)
        self.assertTrue(router.released.wait(5))
        self.assertEqual(len(router.cancelled), 1)
        self.assertEqual(router.requests, [])

    def test_caller_who_goes_does_not_cancel_another_with_the_same_id(self):
        """Callers choose the ids; one must not cancel the request of another."""
        router = BlockingRouter()
        server = self.start(router)
        request = get(lines=["Jayshunt-Request-Id: same", CLOSE])
        with connect(server) as staying:
            staying.sendall(request)
            router.entered.wait(5)
            router.entered.clear()
            with connect(server) as leaving:
                leaving.sendall(request)
                router.entered.wait(5)
            for _ in range(5_000):
                if server.diagnostics()["callers_gone"]:
                    break
                router.released.wait(0.001)
            else:
                self.fail("the disconnect was not noticed")
            router.released.set()
            self.assertIn(b"200 OK", read_all(staying))
        self.assertEqual(router.cancelled, [])
