"""Serve a WSGI application with one pooled thread for each connection."""

import logging
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

_LOGGER = logging.getLogger(__name__)

REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Content-Type: application/problem+json\r\n"
    b"Connection: close\r\nRetry-After: 1\r\nContent-Length: 64\r\n\r\n"
    b'{"code":"too_many_connections","outcome":"not_run","status":503}'
)


class ConnectionHandler(WSGIRequestHandler):
    """Serve the requests of one connection, one after another."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_request(self, *_args: object) -> None:
        """Leave access records to the application."""

    def handle_one_request(self) -> None:
        """Serve one request; close the connection while the server drains."""
        super().handle_one_request()
        if self.server.draining:
            self.close_connection = True


class HttpServer(BaseWSGIServer):
    """Accept connections up to a limit and serve each on its own thread."""

    multithread = True
    request_queue_size = 256

    def __init__(
        self,
        host: str,
        port: int,
        app,
        max_connections: int,
        read_timeout_s: float,
        ssl_context=None,
    ) -> None:
        """Bind the address; `serve_forever` runs on a thread of its own."""
        super().__init__(host, port, app, ConnectionHandler, ssl_context=ssl_context)
        self._read_timeout_s = read_timeout_s
        self._free = threading.BoundedSemaphore(max_connections)
        self._executor = ThreadPoolExecutor(max_connections, "http")
        self._acceptor: threading.Thread | None = None
        self._open: set[socket.socket] = set()
        self.draining = False

    def start(self) -> None:
        """Start to accept connections."""
        self._acceptor = threading.Thread(
            target=super().serve_forever, args=(0.1,), daemon=True
        )
        self._acceptor.start()

    def stop(self) -> None:
        """Stop accepting and let the requests in flight end."""
        self.draining = True
        self.shutdown()
        self.server_close()
        for connection in list(self._open):
            try:
                # Wakes a thread that waits for the next request; a request that
                # was read is still answered.
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                continue
        self._executor.shutdown(wait=True)

    def process_request(self, request, client_address) -> None:
        """Hand a connection to the pool, or refuse it at the limit."""
        if not self._free.acquire(blocking=False):
            request.sendall(REFUSAL)
            self.shutdown_request(request)
            return
        self._open.add(request)
        self._executor.submit(self._serve_connection, request, client_address)

    def _serve_connection(self, request, client_address) -> None:
        try:
            request.settimeout(self._read_timeout_s)
            self.finish_request(request, client_address)
        except (OSError, ValueError) as error:
            _LOGGER.debug("serving: connection of %s ended: %s", client_address, error)
        finally:
            self._open.discard(request)
            self.shutdown_request(request)
            self._free.release()
