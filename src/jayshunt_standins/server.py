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
    """Hold one request to a stand-in."""

    def __init__(self, handler: BaseHTTPRequestHandler) -> None:
        """Read the request from its connection."""
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
    """Hold the answer of a stand-in."""

    def __init__(
        self,
        status: int = 200,
        content: object = None,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Take a JSON content or a raw body."""
        self.status = status
        self.body = body if body is not None else json.dumps(content).encode()
        self.headers = headers or {}


class OpenConnections:
    """Count and limit the connections of a stand-in."""

    def __init__(self) -> None:
        """Start with none; there is no limit."""
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self.limit: int | None = None
        self.peak = 0
        self.refused = 0

    def add(self, connection: socket.socket) -> bool:
        """Count a connection; return False if it is over the limit."""
        with self._lock:
            self._open.add(connection)
            self.peak = max(self.peak, len(self._open))
            is_within = self.limit is None or len(self._open) <= self.limit
            self.refused += not is_within
            return is_within

    def remove(self, connection: socket.socket) -> None:
        """Forget a connection that ends."""
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
    """End a connection with a reset; its handler sees an error."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
        # Wakes a handler that waits to read.
        connection.shutdown(socket.SHUT_RD)
    except OSError:
        return


class DropConnection(Exception):
    """Close the connection without an answer."""


class StandInServer:
    """Answer calls on a thread each, until it is stopped."""

    def __init__(self, port: int = 0) -> None:
        """Listen on loopback; port 0 takes a free one."""
        outer = self

        class Handler(BaseHTTPRequestHandler):
            """Pass each call to the stand-in."""

            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def handle(self) -> None:
                """Serve the connection, or reset it over the limit."""
                if outer.connections.add(self.connection):
                    super().handle()
                else:
                    reset(self.connection)

            def finish(self) -> None:
                """Forget the connection."""
                outer.connections.remove(self.connection)
                super().finish()

            def __getattr__(self, name: str):
                """Accept every HTTP method."""
                if name.startswith("do_"):
                    return self._serve
                raise AttributeError(name)

            def _serve(self) -> None:
                try:
                    outer.serve(self, Call(self))
                except (DropConnection, ConnectionError):
                    self.close_connection = True

            def log_message(self, *_args: object) -> None:
                """Keep the output free of access lines."""

        class Server(ThreadingHTTPServer):
            """Reuse the address and end threads with the process."""

            daemon_threads = True
            request_queue_size = 512

            def handle_error(self, *_args: object) -> None:
                """Keep the output free of connections that callers reset."""

        self.connections = OpenConnections()
        self._make_server = lambda port: Server((LOOPBACK, port), Handler)
        self._server = self._make_server(port)
        self._thread: threading.Thread | None = None

    @property
    def address(self) -> str:
        """Return IP and port."""
        return f"{LOOPBACK}:{self._server.server_address[1]}"

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.address}"

    def start(self) -> "StandInServer":
        """Start to answer."""
        self._thread = threading.Thread(
            target=self._server.serve_forever, args=(0.05,), daemon=True
        )
        self._thread.start()
        return self

    def power_off(self) -> None:
        """Reset every connection and refuse new ones, as a VM that reboots."""
        self.stop()
        self.connections.reset_all()

    def power_on(self) -> None:
        """Serve again at the same address."""
        self._server = self._make_server(self._server.server_address[1])
        self.start()

    def stop(self) -> None:
        """Stop to answer and close the port."""
        self._server.shutdown()
        self._server.server_close()
        if self._thread:
            self._thread.join()

    def serve(self, handler: BaseHTTPRequestHandler, call: Call) -> None:
        """Answer one call over its connection."""
        self.send(handler, self.answer(call))

    def answer(self, call: Call) -> Reply:
        """Return the answer to one call; each stand-in provides its own."""
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
