"""Serve a stand-in over HTTP on loopback."""

import json
import socket
import struct
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit

LOOPBACK = "127.0.0.1"
RESET_LINGER = struct.pack("ii", 1, 0)


class Call:
    """Provide one request to a stand-in, read from its connection."""

    def __init__(self, handler: BaseHTTPRequestHandler) -> None:
        """Read the request, including its body, from its connection."""
        split = urlsplit(handler.path)
        self.method = handler.command
        self.path = split.path
        self.query = dict(parse_qsl(split.query))
        self.headers = handler.headers
        length = int(handler.headers.get("Content-Length") or 0)
        self.body = handler.rfile.read(length) if length else b""
        self.connection = handler.connection

    def json(self) -> dict:
        """Return the body as JSON."""
        return json.loads(self.body or b"{}")


class Reply:
    """Describe the answer of a stand-in."""

    def __init__(
        self,
        status: int = 200,
        content: object = None,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Encode `content` as JSON, unless a raw `body` is given."""
        self.status = status
        self.body = body if body is not None else json.dumps(content).encode()
        self.headers = headers or {}


class OpenConnections:
    """Track and limit the open connections of a stand-in.

    `peak` is the most connections that were open at once, `refused` counts those over
    the limit.
    """

    def __init__(self) -> None:
        """Start without connections and without a limit."""
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self.limit: int | None = None
        self.peak = 0
        self.refused = 0

    def add(self, connection: socket.socket) -> bool:
        """Add a connection; return False if it is over the limit."""
        with self._lock:
            self._open.add(connection)
            self.peak = max(self.peak, len(self._open))
            is_within = self.limit is None or len(self._open) <= self.limit
            self.refused += not is_within
            return is_within

    def remove(self, connection: socket.socket) -> None:
        """Remove a connection that ended."""
        with self._lock:
            self._open.discard(connection)

    def current(self) -> frozenset[socket.socket]:
        """Return the open connections."""
        with self._lock:
            return frozenset(self._open)

    def reset_all(self) -> None:
        """Reset every connection."""
        for connection in self.current():
            reset(connection)


def reset(connection: socket.socket) -> None:
    """Make the handler's close of a connection send a TCP reset; wake the handler."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        # Wake a handler that is blocked in a read.
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        return


class DropConnection(Exception):
    """Signal that the connection is to be closed without an answer."""


class StandInServer:
    """Serve each connection in a thread of its own; accept new ones until stopped."""

    def __init__(self, port: int = 0) -> None:
        """Listen on a loopback port; 0 selects a free one."""
        outer = self

        class Handler(BaseHTTPRequestHandler):
            """Pass each call to the stand-in."""

            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def handle(self) -> None:
                """Serve the connection, or reset it if it is over the limit."""
                if outer.connections.add(self.connection):
                    super().handle()
                else:
                    reset(self.connection)

            def finish(self) -> None:
                """Remove the connection from the open ones."""
                outer.connections.remove(self.connection)
                super().finish()

            def __getattr__(self, name: str):
                """Return `_serve` for each `do_*` attribute, to accept every method."""
                if name.startswith("do_"):
                    return self._serve
                raise AttributeError(name)

            def _serve(self) -> None:
                try:
                    outer.serve(self, Call(self))
                except (DropConnection, ConnectionError):
                    self.close_connection = True

            def log_message(self, *_args: object) -> None:
                """Write no access log."""

        class Server(ThreadingHTTPServer):
            """Serve in daemon threads, which end with the process."""

            daemon_threads = True
            request_queue_size = 512

            def handle_error(self, *_args: object) -> None:
                """Print no traceback; resets by callers are expected."""

        self.connections = OpenConnections()
        self._make_server = lambda port: Server((LOOPBACK, port), Handler)
        self._server = self._make_server(port)
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """Return the address of the stand-in as IP:PORT."""
        return f"{LOOPBACK}:{self._server.server_address[1]}"

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.address}"

    def start(self) -> "StandInServer":
        """Start serving in a thread."""
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        )
        self._thread.start()
        return self

    def power_off(self) -> None:
        """Reset every connection and refuse new ones, as a rebooting VM does."""
        self.stop()
        self.connections.reset_all()

    def power_on(self) -> None:
        """Serve again at the same address."""
        self._server = self._make_server(self._server.server_address[1])
        self.start()

    def stop(self) -> None:
        """Stop accepting connections and close the port; open connections stay open."""
        self._server.shutdown()
        self._server.server_close()
        if self._thread:
            self._thread.join()

    def serve(self, handler: BaseHTTPRequestHandler, call: Call) -> None:
        """Answer one call over its connection; subclasses may inject faults here."""
        self.send(handler, self.answer(call))

    def answer(self, call: Call) -> Reply:
        """Return the answer to one call; subclasses override this."""
        return Reply(404, {"error": f"unknown path {call.path}"})

    def send(self, handler: BaseHTTPRequestHandler, reply: Reply) -> None:
        """Write one answer."""
        handler.send_response(reply.status)
        for name, value in reply.headers.items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(reply.body)))
        handler.end_headers()
        if handler.command != "HEAD":
            handler.wfile.write(reply.body)
