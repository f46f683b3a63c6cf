"""Test that callers cannot make a server hold more than its limits."""

import select
import socket
import threading
import time
import unittest
from unittest import mock

from jayshunt.clock import ManualClock
from jayshunt.errors import JayshuntError
from jayshunt.serving import worker_pool
from jayshunt.serving.const import KEPT_THREADS, MIN_OCCUPIED_S
from jayshunt.serving.limits import RequestCharge, RequestMemory
from jayshunt.serving.pressure_log import PressureLog
from jayshunt.serving.tests.builders import (
    WAIT_S,
    BlockingRouter,
    FakeRouter,
    connect,
    exchange,
    get,
    post,
    read_all,
    read_answer,
)
from jayshunt.serving.tests.test_http_server import CLOSE, ServerCase
from jayshunt.serving.worker_pool import WorkerPool

CHUNKED = b"POST /v1/classes/q/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"


class CrowdTest(ServerCase):
    """Guard against clients that occupy all connections or all memory."""

    def open(self, server, *parts: bytes, count: int = 1) -> list[socket.socket]:
        """Open connections that send bytes, and wait until they may be closed."""
        opened = [connect(server) for _ in range(count)]
        for connection in opened:
            self.addCleanup(connection.close)
            for part in parts:
                connection.sendall(part)
        time.sleep(2 * MIN_OCCUPIED_S)
        return opened

    def test_idle_connections_give_way(self):
        """Idle clients must not keep a caller out."""
        server = self.start(FakeRouter(), max_connections=4)
        idle = self.open(server, count=4)
        self.assertIn(b"200 OK", exchange(server, get(lines=[CLOSE])))
        closed, _, _ = select.select(idle, [], [], WAIT_S)
        self.assertEqual(read_all(closed[0]), b"")
        self.assertGreater(server.diagnostics()["closed_for_others"]["new"], 0)

    def test_trickling_heads_give_way(self):
        """Clients that never end their head must not keep a caller out."""
        server = self.start(FakeRouter(), max_connections=4, read_timeout_s=60.0)
        self.open(server, b"GET / HT", count=4)
        self.assertIn(b"200 OK", exchange(server, get(lines=[CLOSE])))

    def test_pipelined_requests_give_way(self):
        """A client with many requests sent ahead must not keep a caller out."""
        server = self.start(FakeRouter(), max_connections=4)
        connection = self.open(server, count=4)[0]
        connection.sendall(get() * 50)
        self.assertEqual(read_all(connection).count(b"200 OK"), 1)
        self.assertIn(b"200 OK", exchange(server, get(lines=[CLOSE])))

    def test_callers_being_served_stay(self):
        """A request in progress must not be cut off for a new connection."""
        router = BlockingRouter()
        server = self.start(router, max_connections=2, overload_status=504)
        serving = self.open(server, post(b"a", CLOSE), count=2)
        refused = exchange(server, get())
        self.assert_problem(refused, "too_many_connections")
        self.assertTrue(refused.startswith(b"HTTP/1.1 504 "), refused)
        router.released.set()
        for connection in serving:
            self.assertIn(b"200 OK", read_all(connection))

    def test_slow_bodies_give_up_their_memory(self):
        """A body that never ends must not hold the memory that others need."""
        server = self.start(
            FakeRouter(),
            max_body_bytes=1_000,
            max_held_body_bytes=1_500,
            read_timeout_s=60.0,
        )
        slow = self.open(server, post(b"x" * 1_000)[:-1])[0]
        received = exchange(server, post(b"y" * 1_000, CLOSE))
        self.assertIn(b"200 OK", received)
        with self.assertRaises((ConnectionError, AssertionError)):
            self.assertIn(b"200 OK", read_all(slow))
        self.assertEqual(server.diagnostics()["held_body_bytes"], 0)

    def test_long_heads_count_as_memory(self):
        """Heads that never end must not hold memory without limit."""
        server = self.start(FakeRouter(), max_held_body_bytes=100)
        received = exchange(server, get(lines=["A: " + "b" * 9_000, CLOSE]))
        self.assert_problem(received, "bodies_exhaust_memory")

    def test_announced_body_is_refused_before_it_is_sent(self):
        """A body over the limit must not be read first."""
        server = self.start(FakeRouter(), max_body_bytes=10)
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n"
        self.assert_problem(exchange(server, head), "body_too_large")

    def test_tiny_chunks_are_joined(self):
        """The framing of tiny chunks must neither be kept nor grow without limit."""
        router = FakeRouter()
        server = self.start(router, max_body_bytes=1_000, max_held_body_bytes=1_000)
        head = CHUNKED + b"Connection: close\r\n\r\n"
        exchange(server, head + b"1\r\nz\r\n" * 500 + b"0\r\n\r\n")
        self.assertEqual(router.requests[0].body, b"z" * 500)
        padded = b"1;" + b"p" * 100 + b"\r\nz\r\n"
        received = exchange(server, head + padded * 100)
        self.assert_problem(received, "body_too_large")

    def test_receive_buffers_are_small(self):
        """Bytes that a caller sends ahead must not pile up in the kernel."""
        server = self.start(FakeRouter(), socket_buffer_bytes=8_192)
        with connect(server) as connection:
            connection.sendall(get())
            read_answer(connection)
            accepted = next(iter(server._connections._open))
            size = accepted.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        self.assertLessEqual(size, 2 * 8_192)


class WorkerPoolTest(unittest.TestCase):
    """Guard against threads that stay after a crowd has left."""

    def test_threads_end_after_a_crowd(self):
        """Idle threads must end, and a later job must still run."""
        with mock.patch.object(worker_pool, "THREAD_IDLE_S", 0.05):
            pool = WorkerPool("test")
            barrier = threading.Barrier(9)
            for _ in range(8):
                pool.submit(lambda: barrier.wait(WAIT_S))
            self.assertEqual(pool.thread_count, 8)
            barrier.wait(WAIT_S)
            end_s = time.monotonic() + WAIT_S
            while pool.thread_count > KEPT_THREADS and time.monotonic() < end_s:
                time.sleep(0.01)
            time.sleep(0.2)
            self.assertEqual(pool.thread_count, KEPT_THREADS)
            ran = threading.Event()
            pool.submit(ran.set)
            self.assertTrue(ran.wait(WAIT_S))
            pool.stop()

    def test_idle_thread_is_used_again(self):
        """Each connection must not cost a new thread."""
        pool = WorkerPool("test")
        for _ in range(20):
            ran = threading.Event()
            pool.submit(ran.set)
            self.assertTrue(ran.wait(WAIT_S))
            while not pool._idle:
                time.sleep(0.001)
        self.assertEqual(pool.thread_count, 1)
        pool.stop()


class PressureTest(unittest.TestCase):
    """Guard against wrong counts of held memory and refusals."""

    def test_memory_is_granted_once_it_is_released(self):
        """A request must not be refused while a closed connection gives up memory."""
        memory = RequestMemory(100, lambda owner: True)
        self.assertTrue(memory.acquire(80))
        threading.Timer(0.05, memory.release, (80,)).start()
        self.assertTrue(memory.acquire(50))
        self.assertFalse(RequestMemory(100).acquire(101))

    def test_large_requests_leave_memory_to_small_ones(self):
        """A crowd of large bodies must not have small submissions refused."""
        memory = RequestMemory(1_000_000, reserved_bytes=100_000)
        charges = [RequestCharge(memory) for _ in range(20)]
        with self.assertRaises(JayshuntError):
            for charge in charges:
                charge.acquire(100_000)
        RequestCharge(memory).acquire(10_000)

    def test_refusals_are_logged_together(self):
        """A crowd must not fill the log."""
        clock = ManualClock()
        log = PressureLog("front", clock)
        with self.assertLogs("jayshunt.serving.pressure_log") as logged:
            for _ in range(50):
                log.record("body_too_large", "10.0.0.1", "x" * 9_999)
            clock.advance(1.0)
            log.record("body_too_large", "10.0.0.1")
        self.assertEqual(len(logged.records), 2)
        self.assertEqual(logged.records[1].counts, {"body_too_large": 50})
        self.assertLessEqual(len(logged.records[0].latest_detail), 200)


if __name__ == "__main__":
    unittest.main()
