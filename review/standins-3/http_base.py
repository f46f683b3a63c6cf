"""Serve small HTTP/1.1 APIs on loopback, one thread a connection."""

import json
import socket
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Drop(Exception):
    """End the connection without an answer."""


class Call:
    """Represent one request."""

    def __init__(self, method, path, query, headers, body):
        """Keep the parts of the request; `query` has one value a name."""
        self.method, self.path, self.query = method, path, query
        self.headers, self.body = headers, body

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body or b"{}")


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignore connections that the other side closed."""


class Api:
    """Serve `answer(call) -> (status, fields)` at one loopback port."""

    def __init__(self, port=0):
        """Bind the port, 0 for a free one; `start` begins to serve."""
        api = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_):
                """Write no log."""

            def _handle(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                url = urlsplit(self.path)
                query = {k: v[-1] for k, v in parse_qs(url.query).items()}
                call = Call(self.command, url.path, query, self.headers, body)
                try:
                    status, fields = api.answer_or_disturb(call)
                except Drop:
                    self.close_connection = True
                    linger = b"\1\0\0\0\0\0\0\0"
                    self.connection.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
                    return
                data = b"" if fields is None else json.dumps(fields).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = do_DELETE = _handle

        self.disturb = lambda call: None
        self._server = _Server(("127.0.0.1", port), Handler)
        self.port = self._server.server_address[1]
        self.address = f"127.0.0.1:{self.port}"

    def answer(self, call):
        """Return the status and the fields of the answer; raise Drop for none."""
        raise NotImplementedError

    def answer_or_disturb(self, call):
        """Answer a call, unless `disturb` says that it or its answer is lost.

        `disturb` returns None, "lost" (the call has no effect), "unanswered" (it has
        one), or the seconds after which an unanswered call is carried out.
        """
        disturbance = self.disturb(call)
        if disturbance is None:
            return self.answer(call)
        if disturbance == "unanswered":
            self.answer(call)
        elif disturbance != "lost":
            threading.Timer(disturbance, self._carry_out, (call,)).start()
        raise Drop

    def _carry_out(self, call):
        try:
            self.answer(call)
        except Drop:
            pass

    def start(self):
        """Serve in the background."""
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        """Stop serving and close the port."""
        self._server.shutdown()
        self._server.server_close()
