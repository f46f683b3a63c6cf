"""Accept connections within limits and serve each on a thread."""

import logging
import math
import os
import socket
import ssl
import threading
from collections import Counter
from collections.abc import Callable
from functools import partial
from socketserver import BaseServer

from werkzeug.serving import BaseWSGIServer

from jayshunt.clock import Clock, SystemClock
from jayshunt.errors import JayshuntError
from jayshunt.serving.cancellation import DisconnectWatcher
from jayshunt.serving.connection import (
    REASON_PHRASES,
    Activity,
    Application,
    CallerConnection,
)
from jayshunt.serving.connection_table import ConnectionTable
from jayshunt.serving.const import (
    ACCEPT_POLL_S,
    CLOSE_WAIT_S,
    MAX_ACCEPT_QUEUE,
    MAX_PENDING_REFUSALS,
)
from jayshunt.serving.limits import (
    ConnectionLimit,
    RequestCharge,
    RequestMemory,
    ServerLimits,
    SizeLimits,
)
from jayshunt.serving.listener import drop_new_connections
from jayshunt.serving.pressure_log import PressureLog
from jayshunt.serving.problems import problem_parts
from jayshunt.serving.stream import CallerStream
from jayshunt.serving.tls import ReloadingTls
from jayshunt.serving.worker_pool import WorkerPool

_LOGGER = logging.getLogger(__name__)


class HttpServer(BaseWSGIServer):
    """HTTP server that runs a WSGI application for callers, operators or peers.

    A stop takes these steps: during the drain grace period, connections are still
    accepted and each answer has `Connection: close` unless further requests have been
    received; then the connections left in the accept queue are accepted, the port is
    closed, and idle connections are closed. Requests in flight are answered within the
    drain timeout. `counts` holds the number of connections by "accepted" or the code of
    the refusal.

    While there are almost as many connections as allowed, each new one closes the one
    that has been without a request for longest, or that has been sending or receiving
    for longest. Only if all others are being served is the new one refused. In the
    same way, the slowest sender gives up its memory for other requests.
    """

    multithread = True

    def __init__(
        self,
        host: str,
        port: int,
        app: Application,
        limits: ServerLimits,
        tls: ReloadingTls | None = None,
        clock: Clock | None = None,
        sizes: Callable[[], SizeLimits] | None = None,
        name: str = "http",
    ) -> None:
        """Bind the address; connections are accepted after `start`.

        `sizes` returns the limits of a request where these change. `name` is that of
        the server in logs and the dump.
        """
        self._limits = limits
        self.request_queue_size = min(MAX_ACCEPT_QUEUE, limits.max_connections)
        super().__init__(host, port, app)
        self.name = name
        self._sizes = sizes
        self._tls = tls
        self._clock = clock or SystemClock()
        self._connection_limit = ConnectionLimit(limits)
        self._connections = ConnectionTable(self._clock)
        self._memory = RequestMemory(
            limits.max_held_body_bytes,
            self._connections.close_slowest,
            limits.reserved_bytes,
        )
        self._workers = WorkerPool(name)
        self._refusal_workers = WorkerPool(f"{name}-refusal")
        self._refusal_slots = threading.BoundedSemaphore(MAX_PENDING_REFUSALS)
        self._pressure = PressureLog(name, self._clock)
        self._watcher = DisconnectWatcher()
        self._acceptor: threading.Thread | None = None
        self._stopping = threading.Event()
        self._drain_end_s = math.inf
        self._idle_stop_fd = os.eventfd(0)
        self.counts: Counter[str] = Counter()

    @property
    def draining(self) -> bool:
        """Return whether the server has begun to stop."""
        return self._stopping.is_set()

    @property
    def open_connections(self) -> int:
        """Return the number of connections that are open."""
        return self._connection_limit.total

    def server_bind(self) -> None:
        """Bind the address; accepted connections inherit the sizes of the buffers."""
        size = self._limits.socket_buffer_bytes
        if size is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
        super().server_bind()

    def start(self) -> None:
        """Start accepting connections."""
        self._watcher.start()
        self._acceptor = threading.Thread(
            target=BaseServer.serve_forever, args=(self, ACCEPT_POLL_S), daemon=True
        )
        self._acceptor.start()

    def begin_stop(self) -> None:
        """Start draining: send `Connection: close` with last answers from now on."""
        if self._stopping.is_set():
            return
        limits = self._limits
        drain_s = limits.drain_grace_s + limits.drain_timeout_s
        self._drain_end_s = self._clock.monotonic_s() + drain_s
        self._stopping.set()

    def time_left_s(self) -> float:
        """Return how long connections stay open at most, infinity unless stopping."""
        return self._drain_end_s - self._clock.monotonic_s()

    def stop(self) -> None:
        """Answer the requests of accepted connections, then close all of them."""
        self.begin_stop()
        self._clock.wait(threading.Event(), self._limits.drain_grace_s)
        self.shutdown()
        drop_new_connections(self.socket)
        self._accept_pending()
        self.server_close()
        # The descriptor stays readable, so that a connection that becomes idle later
        # is closed as well.
        os.eventfd_write(self._idle_stop_fd, 1)
        if not self._connections.wait_closed(self._limits.drain_timeout_s):
            _LOGGER.warning(
                "serving: closed %s connections at the drain timeout",
                self._connections.close_all(),
            )
        self._watcher.stop()
        self._workers.stop()
        self._refusal_workers.stop()
        os.close(self._idle_stop_fd)

    def get_request(self) -> tuple[socket.socket, tuple]:
        """Accept one connection."""
        connection, address = self.socket.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection, address

    def process_request(self, request: socket.socket, client_address: tuple) -> None:
        """Hand a connection to a thread, or refuse it if it exceeds a limit."""
        client = client_address[0]
        wait_s = 0.0
        if self._connection_limit.is_crowded() and self._connections.close_idlest():
            self._pressure.record("closed_for_new_connection", client)
            wait_s = CLOSE_WAIT_S
        reason = self._connection_limit.acquire(client, wait_s)
        self.counts[reason or "accepted"] += 1
        if reason is not None:
            self._pressure.record(reason, client)
            self._refuse(request, reason)
            return
        self._connections.add(request)
        try:
            self._workers.submit(partial(self._serve, request, client))
        except RuntimeError:
            _LOGGER.exception("serving: failed to start a thread")
            self._end(request, request, client)

    def diagnostics(self) -> dict:
        """Return the server's state for the dump."""
        return {
            "open_connections": self._connection_limit.total,
            "max_connections": self._limits.max_connections,
            "requests_being_served": self._connections.count(Activity.SERVING),
            "threads": self._workers.thread_count,
            "held_body_bytes": self._memory.held_bytes,
            "peak_held_body_bytes": self._memory.peak_bytes,
            "max_held_body_bytes": self._limits.max_held_body_bytes,
            "refused": dict(self._pressure.counts),
            "closed_for_others": dict(self._connections.closed_counts),
            "callers_gone": self._watcher.disconnect_count,
            "draining": self.draining,
            "connections": dict(self.counts),
            "tls_reloads": self._tls.reloads if self._tls else None,
            "tls_error": self._tls.last_error if self._tls else "",
        }

    def _serve(self, plain: socket.socket, client: str) -> None:
        connection = plain
        try:
            if self._tls is not None:
                connection = self._do_handshake(plain)
            self._serve_requests(plain, connection, client)
        except (OSError, ValueError) as error:
            _LOGGER.debug("serving: connection of %s ended: %s", client, error)
        except Exception:
            _LOGGER.exception("serving: unexpected error on a connection")
        finally:
            self._end(plain, connection, client)

    def _end(
        self, plain: socket.socket, connection: socket.socket, client: str
    ) -> None:
        self._connections.remove(plain)
        connection.close()
        plain.close()
        self._connection_limit.release(client)

    def _do_handshake(self, plain: socket.socket) -> ssl.SSLSocket:
        self._connections.begin_handshake(plain)
        plain.settimeout(self._limits.read_timeout_s)
        # `wrap_socket` detaches the socket that it is given. With a duplicate, a
        # shutdown of `plain` still wakes a thread that is blocked in TLS.
        return self._tls.context().wrap_socket(plain.dup(), server_side=True)

    def _serve_requests(
        self, plain: socket.socket, connection: socket.socket, client: str
    ) -> None:
        served = CallerConnection(
            connection,
            client,
            self.app,
            self._limits,
            self._memory,
            self._clock,
            self.time_left_s,
            self._idle_stop_fd,
            "http" if connection is plain else "https",
            self._sizes,
            lambda error: self._pressure.record(error.code, client, str(error)),
            self._connection_limit.is_crowded,
        )
        self._connections.set_served(plain, served)
        self._watcher.add(connection, served.cancel_current)
        try:
            served.serve()
        finally:
            self._watcher.remove(connection)

    def _refuse(self, connection: socket.socket, reason: str) -> None:
        if self._tls is not None or not self._refusal_slots.acquire(blocking=False):
            # Over TLS the refusal would first need a handshake, which costs more
            # than the limit saves.
            connection.close()
            return
        self._refusal_workers.submit(partial(self._write_refusal, connection, reason))

    def _write_refusal(self, connection: socket.socket, reason: str) -> None:
        error = JayshuntError(reason, step="serving.accept", retry_after_s=1.0)
        status, headers, body = problem_parts(error, self._limits.overload_status)
        lines = [f"HTTP/1.1 {status} {REASON_PHRASES[status]}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers]
        try:
            stream = CallerStream(connection, self._clock, RequestCharge(self._memory))
            stream.write("\r\n".join([*lines, "", ""]).encode() + body, 1.0)
            stream.close_gracefully()
        except OSError as problem:
            _LOGGER.debug("serving: failed to send a refusal: %s", problem)
        finally:
            connection.close()
            self._refusal_slots.release()

    def _accept_pending(self) -> None:
        self.socket.setblocking(False)
        while True:
            try:
                connection, address = self.get_request()
            except OSError:
                return
            connection.setblocking(True)
            self.process_request(connection, address)
