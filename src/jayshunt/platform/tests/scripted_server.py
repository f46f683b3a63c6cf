"""Serve scripted HTTP answers over loopback."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from jayshunt.dispatch.models import Address

HOST = "127.0.0.1"
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
