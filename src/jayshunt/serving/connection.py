"""Serve the requests of one caller's connection sequentially."""

import io
import logging
import math
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from urllib.parse import unquote_to_bytes

from jayshunt.clock import Clock
from jayshunt.errors import JayshuntError
from jayshunt.serving.cancellation import Cancellation
from jayshunt.serving.const import (
    LINGER_S,
    RECEIVED_FACTOR,
    TEXT_FACTOR,
    VALUE_BYTES,
)
from jayshunt.serving.head import RequestHead, parse_head
from jayshunt.serving.limits import (
    RequestCharge,
    RequestMemory,
    ServerLimits,
    SizeLimits,
)
from jayshunt.serving.problems import problem_parts
from jayshunt.serving.stream import CallerStream, ConnectionClosed

_LOGGER = logging.getLogger(__name__)

REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus} | {
    499: "Cancelled"
}
# Refusals for lack of memory, whose status is that of the server's limits.
OVERLOAD_CODES = frozenset({"bodies_exhaust_memory"})
BODYLESS_STATUS = frozenset({204, 304})
# Answers up to this size are sent in one system call together with their head.
MAX_JOINED_ANSWER_BYTES = 64 * 1024

Headers = list[tuple[str, str]]
Application = Callable[[dict, Callable], Iterable[bytes]]


def count_values(body: bytes) -> int:
    """Return at least how many values a JSON document has, without decoding it."""
    return body.count(b",") + body.count(b"{") + body.count(b"[")


class Activity(Enum):
    """What a connection is doing.

    A connection is NEW until its first request begins, and IDLE between requests. A
    LINGERING one has sent its last answer and waits for the caller's close.
    """

    NEW = "new"
    IDLE = "idle"
    READING = "reading"
    SERVING = "serving"
    WRITING = "writing"
    LINGERING = "lingering"


@dataclass(slots=True)
class IncomingRequest:
    """One fully read request; `jayshunt.request` in the WSGI environment.

    `client` is the caller's IP address. `time_left_s` is how long the connection stayed
    open at most when the request was read, as the server was stopping.
    """

    head: RequestHead
    body: bytes
    client: str
    cancellation: Cancellation
    charge: RequestCharge | None = None
    time_left_s: float = math.inf

    def charge_decoding(self, max_values: int) -> None:
        """Charge what the body's decoded JSON may take, until `release_body`.

        A body with more than `max_values` values is not to be decoded. Raise
        JayshuntError if the memory for requests is exhausted.
        """
        values = count_values(self.body)
        if self.charge is not None and values <= max_values:
            decoded_bytes = len(self.body) * TEXT_FACTOR + values * VALUE_BYTES
            self.charge.acquire(int(decoded_bytes / RECEIVED_FACTOR))

    def release_body(self, environ: dict, kept_bytes: int = 0) -> None:
        """Drop the body; `kept_bytes` stay charged for what was decoded from it."""
        self.body = b""
        environ["wsgi.input"] = io.BytesIO()
        if self.charge is not None:
            self.charge.reduce_to(kept_bytes)


class CallerConnection:
    """One accepted connection, whose requests are read and answered in turn."""

    def __init__(
        self,
        connection: socket.socket,
        client: str,
        application: Application,
        limits: ServerLimits,
        memory: RequestMemory,
        clock: Clock,
        time_left_s: Callable[[], float],
        idle_stop_fd: int = -1,
        scheme: str = "http",
        sizes: Callable[[], SizeLimits] | None = None,
        observe_refusal: Callable[[JayshuntError], None] = lambda _: None,
        is_crowded: Callable[[], bool] = lambda: False,
    ) -> None:
        """Prepare to read the first request.

        `time_left_s` returns how long connections stay open at most, infinity unless
        the server is stopping. Then the answer to the last request that was received
        gets `Connection: close`. For `idle_stop_fd`, see CallerStream. `sizes` returns
        the limits of the next request, those of `limits` by default. `observe_refusal`
        is called for each request that is refused while it is read. While `is_crowded`
        returns true, connections with pipelined requests are closed after each answer.
        """
        self._connection = connection
        self._client = client
        self._application = application
        self._limits = limits
        self._charge = RequestCharge(memory, self)
        self._stream = CallerStream(connection, clock, self._charge, idle_stop_fd)
        self._clock = clock
        own_sizes = limits.sizes
        self._sizes = sizes or (lambda: own_sizes)
        self._observe_refusal = observe_refusal
        self._is_crowded = is_crowded
        self._time_left_s = time_left_s
        self._scheme = scheme
        self._current: Cancellation | None = None
        self.served = 0
        # Read by other threads, so that both values change at once.
        self.activity = (Activity.NEW, clock.monotonic_s())

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
                self._begin(Activity.IDLE)
        except ConnectionClosed:
            # No answer is being sent that a reset could discard, so the connection
            # is closed without waiting LINGER_S.
            linger_s = 0.0
        finally:
            self._charge.reduce_to(0)
            self._begin(Activity.LINGERING)
            self._stream.close_gracefully(linger_s)

    def _serve_one(self) -> bool:
        try:
            request = self._read()
        except JayshuntError as error:
            self._observe_refusal(error)
            self._begin(Activity.WRITING)
            self._refuse(error)
            return False
        self._begin(Activity.SERVING)
        self._current = request.cancellation
        try:
            status, headers, body = self._run(request)
        finally:
            self._current = None
            request.body = b""
            self._charge.reduce_to(0)
        # Requests that were received behind this one are answered before the close.
        is_draining = self._time_left_s() < math.inf
        is_last = is_draining and not self._stream.has_pipelined
        keep_alive = request.head.keep_alive and not is_last
        if keep_alive and self._stream.has_pipelined and self._is_crowded():
            # Other callers would wait until all requests sent ahead are answered.
            keep_alive = False
        without_body = request.head.method == "HEAD" or status in BODYLESS_STATUS
        self._begin(Activity.WRITING)
        if self._limits.are_answers_charged and len(body) > MAX_JOINED_ANSWER_BYTES:
            try:
                self._charge.acquire(len(body))
            except JayshuntError as error:
                self._observe_refusal(error)
                self._refuse(error)
                return False
        self._write(status, headers, body, keep_alive, without_body)
        self._charge.reduce_to(0)
        return keep_alive

    def _begin(self, activity: Activity) -> None:
        self.activity = (activity, self._clock.monotonic_s())

    def _refuse(self, error: JayshuntError) -> None:
        is_overload = error.code in OVERLOAD_CODES
        status, headers, body = problem_parts(
            error, self._limits.overload_status if is_overload else None
        )
        self._write(status, headers, body, keep_alive=False)

    def _read(self) -> IncomingRequest:
        timeout_s = self._limits.read_timeout_s
        self._stream.wait_for_request(self._limits.idle_timeout_s)
        self._begin(Activity.READING)
        sizes = self._sizes()
        head = parse_head(self._stream.read_head(timeout_s, sizes.max_head_bytes))
        body = self._stream.read_body(head, sizes.max_body_bytes, timeout_s)
        return IncomingRequest(
            head,
            body,
            self._client,
            Cancellation(),
            self._charge,
            self._time_left_s(),
        )

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
