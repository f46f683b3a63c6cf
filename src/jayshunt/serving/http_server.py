"""Accept connections within limits and serve each on a thread."""

import logging
import os
import socket
import ssl
import threading
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from socketserver import BaseServer

from werkzeug.serving import BaseWSGIServer

from jayshunt.clock import Clock, SystemClock
from jayshunt.errors import JayshuntError
from jayshunt.serving.cancellation import DisconnectWatcher
from jayshunt.serving.connection import REASON_PHRASES, Application, CallerConnection
from jayshunt.serving.const import (
    ACCEPT_POLL_S,
    MAX_PENDING_REFUSALS,
    REFUSAL_THREADS,
)
from jayshunt.serving.limits import BodyMemoryLimit, ConnectionLimit, ServerLimits
from jayshunt.serving.listener import drop_new_connections
from jayshunt.serving.problems import problem_parts
from jayshunt.serving.stream import CallerStream
from jayshunt.serving.tls import ReloadingTls

_LOGGER = logging.getLogger(__name__)


class HttpServer(BaseWSGIServer):
    """HTTP server that runs a WSGI application for callers, operators or peers.

    A stop takes these steps: during the drain grace period, connections are still
    accepted and each answer has `Connection: close`; then the connections left in
    the accept queue are accepted, the port is closed, and idle connections are
    closed. Requests in flight are answered within the drain timeout. `counts` holds
    the number of connections by "accepted" or the code of the refusal.
    """

    multithread = True
    request_queue_size = 512

    def __init__(
        self,
        host: str,
        port: int,
        app: Application,
        limits: ServerLimits,
        tls: ReloadingTls | None = None,
        clock: Clock | None = None,
    ) -> None:
        """Bind the address; connections are accepted after `start`."""
        super().__init__(host, port, app)
        self._limits = limits
        self._tls = tls
        self._clock = clock or SystemClock()
        self._connection_limit = ConnectionLimit(limits)
        self._body_memory = BodyMemoryLimit(limits.max_held_body_bytes)
        self._executor = ThreadPoolExecutor(limits.max_connections, "http")
        self._refusal_executor = ThreadPoolExecutor(REFUSAL_THREADS, "http-refusal")
        self._refusal_slots = threading.BoundedSemaphore(MAX_PENDING_REFUSALS)
        self._watcher = DisconnectWatcher()
        self._acceptor: threading.Thread | None = None
        self._lock = threading.Lock()
        self._open: dict[socket.socket, CallerConnection | None] = {}
        self._all_closed = threading.Condition(self._lock)
        self._stopping = threading.Event()
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

    def start(self) -> None:
        """Start accepting connections."""
        self._watcher.start()
        self._acceptor = threading.Thread(
            target=BaseServer.serve_forever, args=(self, ACCEPT_POLL_S), daemon=True
        )
        self._acceptor.start()

    def begin_stop(self) -> None:
        """Start draining: send `Connection: close` with each answer from now on."""
        self._stopping.set()

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
        if not self._wait_closed(self._limits.drain_timeout_s):
            self._shut_down_all()
        self._watcher.stop()
        self._executor.shutdown(wait=True)
        self._refusal_executor.shutdown(wait=True)
        os.close(self._idle_stop_fd)

    def get_request(self) -> tuple[socket.socket, tuple]:
        """Accept one connection."""
        connection, address = self.socket.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection, address

    def process_request(self, request: socket.socket, client_address: tuple) -> None:
        """Hand a connection to the thread pool, or refuse it if it exceeds a limit."""
        client = client_address[0]
        reason = self._connection_limit.acquire(client)
        self.counts[reason or "accepted"] += 1
        if reason is not None:
            self._refuse(request, reason)
            return
        with self._lock:
            self._open[request] = None
        self._executor.submit(self._serve, request, client)

    def diagnostics(self) -> dict:
        """Return the server's state for the dump."""
        with self._lock:
            serving = [c for c in self._open.values() if c and c.is_serving]
        return {
            "open_connections": self._connection_limit.total,
            "requests_being_served": len(serving),
            "held_body_bytes": self._body_memory.held_bytes,
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
            with self._lock:
                self._open.pop(plain, None)
                self._all_closed.notify_all()
            connection.close()
            plain.close()
            self._connection_limit.release(client)

    def _do_handshake(self, plain: socket.socket) -> ssl.SSLSocket:
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
            self._body_memory,
            self._clock,
            self._stopping.is_set,
            self._idle_stop_fd,
            "http" if connection is plain else "https",
        )
        with self._lock:
            self._open[plain] = served
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
        self._refusal_executor.submit(self._write_refusal, connection, reason)

    def _write_refusal(self, connection: socket.socket, reason: str) -> None:
        error = JayshuntError(reason, step="serving.accept", retry_after_s=1.0)
        status, headers, body = problem_parts(error)
        lines = [f"HTTP/1.1 {status} {REASON_PHRASES[status]}", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in headers]
        try:
            stream = CallerStream(connection, self._clock)
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

    def _wait_closed(self, timeout_s: float) -> bool:
        end_s = self._clock.monotonic_s() + timeout_s
        with self._lock:
            while self._open:
                left_s = end_s - self._clock.monotonic_s()
                if left_s <= 0:
                    return False
                self._all_closed.wait(left_s)
        return True

    def _shut_down_all(self) -> None:
        with self._lock:
            _LOGGER.warning(
                "serving: closed %s connections at the drain timeout",
                len(self._open),
            )
            for connection in self._open:
                _shut_down(connection, socket.SHUT_RDWR)


def _shut_down(connection: socket.socket, how: int) -> None:
    try:
        connection.shutdown(how)
    except OSError as error:
        _LOGGER.debug("serving: the connection was already closed: %s", error)
