"""Serve the requests of one caller's connection sequentially."""

import io
import logging
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import unquote_to_bytes

from jayshunt.clock import Clock
from jayshunt.errors import JayshuntError
from jayshunt.serving.cancellation import Cancellation
from jayshunt.serving.const import LINGER_S
from jayshunt.serving.head import RequestHead, parse_head
from jayshunt.serving.limits import BodyCharge, BodyMemoryLimit, ServerLimits
from jayshunt.serving.problems import problem_parts
from jayshunt.serving.stream import CallerStream, ConnectionClosed

_LOGGER = logging.getLogger(__name__)

REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus} | {
    499: "Cancelled"
}
BODYLESS_STATUS = frozenset({204, 304})
# Answers up to this size are sent in one system call together with their head.
MAX_JOINED_ANSWER_BYTES = 64 * 1024

Headers = list[tuple[str, str]]
Application = Callable[[dict, Callable], Iterable[bytes]]


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """One fully read request; `jayshunt.request` in the WSGI environment.

    `client` is the caller's IP address.
    """

    head: RequestHead
    body: bytes
    client: str
    cancellation: Cancellation


class CallerConnection:
    """One accepted connection, whose requests are read and answered in turn."""

    def __init__(
        self,
        connection: socket.socket,
        client: str,
        application: Application,
        limits: ServerLimits,
        body_memory: BodyMemoryLimit,
        clock: Clock,
        is_draining: Callable[[], bool],
        idle_stop_fd: int = -1,
        scheme: str = "http",
    ) -> None:
        """Prepare to read the first request.

        While `is_draining` returns true, answers get `Connection: close`. For
        `idle_stop_fd`, see CallerStream.
        """
        self._connection = connection
        self._client = client
        self._application = application
        self._limits = limits
        self._stream = CallerStream(connection, clock, idle_stop_fd)
        self._charge = BodyCharge(body_memory)
        self._is_draining = is_draining
        self._scheme = scheme
        self._current: Cancellation | None = None
        self.served = 0

    @property
    def is_serving(self) -> bool:
        """Return whether a request has been read and is being processed."""
        return self._current is not None

    def cancel_current(self) -> None:
        """Cancel the request being served, if there is one."""
        current = self._current
        if current is not None:
            current.cancel()

    def serve(self) -> None:
        """Serve requests until the connection ends."""
        linger_s = LINGER_S
        try:
            while self._serve_one():
                self.served += 1
        except ConnectionClosed:
            # No answer is being sent that a reset could discard, so the connection
            # is closed without waiting LINGER_S.
            linger_s = 0.0
        finally:
            self._charge.release()
            self._stream.close_gracefully(linger_s)

    def _serve_one(self) -> bool:
        try:
            request = self._read()
        except JayshuntError as error:
            _LOGGER.info("serving: refused a request of %s: %s", self._client, error)
            status, headers, body = problem_parts(error)
            self._write(status, headers, body, keep_alive=False)
            return False
        self._current = request.cancellation
        try:
            status, headers, body = self._run(request)
        finally:
            self._current = None
            self._charge.release()
        keep_alive = request.head.keep_alive and not self._is_draining()
        without_body = request.head.method == "HEAD" or status in BODYLESS_STATUS
        self._write(status, headers, body, keep_alive, without_body)
        return keep_alive

    def _read(self) -> IncomingRequest:
        limits = self._limits
        head = parse_head(
            self._stream.read_head(limits.idle_timeout_s, limits.read_timeout_s)
        )
        body = self._stream.read_body(
            head, limits.max_body_bytes, limits.read_timeout_s, self._charge
        )
        return IncomingRequest(head, body, self._client, Cancellation())

    def _run(self, request: IncomingRequest) -> tuple[int, Headers, bytes]:
        started: list = []

        def start_response(status: str, headers: Headers, *_: object) -> None:
            started[:] = [int(status.split(" ", 1)[0]), headers]

        result = self._application(
            wsgi_environment(request, self._scheme), start_response
        )
        body = b"".join(result)
        if hasattr(result, "close"):
            result.close()
        return started[0], started[1], body

    def _write(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        keep_alive: bool,
        without_body: bool = False,
    ) -> None:
        lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Unknown')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if not without_body and not any(
            n.lower() == "content-length" for n, _ in headers
        ):
            lines.append(f"Content-Length: {len(body)}")
        if not keep_alive:
            lines.append("Connection: close")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1", "replace")
        timeout_s = self._limits.write_timeout_s
        if without_body:
            self._stream.write(head, timeout_s)
        elif len(body) <= MAX_JOINED_ANSWER_BYTES:
            self._stream.write(head + body, timeout_s)
        else:
            self._stream.write(head, timeout_s)
            self._stream.write(body, timeout_s)


def wsgi_environment(request: IncomingRequest, scheme: str) -> dict:
    """Return the WSGI environment of a request, for werkzeug's `Request`.

    `RAW_URI` is the target as sent; `PATH_INFO` is decoded as WSGI requires.
    """
    path, _, query = request.head.target.partition("?")
    environ = {
        "REQUEST_METHOD": request.head.method,
        "SCRIPT_NAME": "",
        "PATH_INFO": unquote_to_bytes(path).decode("latin-1"),
        "QUERY_STRING": query,
        "RAW_URI": request.head.target,
        "REMOTE_ADDR": request.client,
        "SERVER_NAME": "jayshunt",
        "SERVER_PORT": "0",
        "SERVER_PROTOCOL": "HTTP/1.1",
        "wsgi.version": (1, 0),
        "wsgi.url_scheme": scheme,
        "wsgi.input": io.BytesIO(request.body),
        "wsgi.input_terminated": True,
        "jayshunt.request": request,
    }
    for name, value in request.head.headers:
        key = name.upper().replace("-", "_")
        if key not in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            key = f"HTTP_{key}"
        environ[key] = f"{environ[key]},{value}" if key in environ else value
    environ["CONTENT_LENGTH"] = str(len(request.body))
    return environ
