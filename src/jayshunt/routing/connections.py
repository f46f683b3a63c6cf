"""Keep connections to upstream instances."""

import io
import threading
from dataclasses import dataclass

import pycurl

from jayshunt.clock import Clock
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import VmId
from jayshunt.routing.const import (
    CONNECT_TIMEOUT_MS,
    HOP_BY_HOP,
    IDLE_LIMIT_S,
    MAX_IDLE_PER_INSTANCE,
)
from jayshunt.routing.messages import CallerAnswer, CallerRequest


@dataclass
class Connection:
    """Hold one curl handle, which owns at most one TCP connection."""

    handle: pycurl.Curl
    idle_since_s: float


class UpstreamConnections:
    """Send requests over pooled connections.

    A connection on which anything failed is closed, so that a late answer never
    reaches another request. A request that must not be repeated always gets a
    new connection: libcurl sends a request again by itself if a reused
    connection closes before the first byte of the answer.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without connections."""
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: dict[VmId, list[Connection]] = {}

    def send(
        self, vm: VmId, address: str, request: CallerRequest, timeout_ms: float
    ) -> CallerAnswer:
        """Send one request to an instance and return the whole answer."""
        connection = self._take(vm) if request.repeatable else self._new()
        lines: list[bytes] = []
        sink = io.BytesIO()
        handle = connection.handle
        _prepare(handle, address, request, timeout_ms, lines, sink)
        try:
            handle.perform()
        except pycurl.error as error:
            sent = handle.getinfo(pycurl.REQUEST_SIZE) > 0
            handle.close()
            raise _send_error(error, vm, sent) from error
        status = handle.getinfo(pycurl.RESPONSE_CODE)
        headers = _answer_headers(lines)
        closing = any(n == "connection" and "close" in v for n, v in headers)
        if closing:
            handle.close()
        else:
            self._give_back(vm, connection)
        kept = tuple((n, v) for n, v in headers if n not in HOP_BY_HOP)
        return CallerAnswer(status, kept, sink.getvalue())

    def stop(self) -> None:
        """Close every idle connection."""
        with self._lock:
            idle, self._idle = self._idle, {}
        for connections in idle.values():
            for connection in connections:
                connection.handle.close()

    def _new(self) -> Connection:
        return Connection(pycurl.Curl(), self._clock.monotonic_s())

    def _take(self, vm: VmId) -> Connection:
        oldest_s = self._clock.monotonic_s() - IDLE_LIMIT_S
        expired: list[Connection] = []
        with self._lock:
            idle = self._idle.get(vm, [])
            while idle:
                connection = idle.pop()
                if connection.idle_since_s >= oldest_s:
                    return connection
                expired.append(connection)
        for connection in expired:
            connection.handle.close()
        return self._new()

    def _give_back(self, vm: VmId, connection: Connection) -> None:
        connection.idle_since_s = self._clock.monotonic_s()
        with self._lock:
            idle = self._idle.setdefault(vm, [])
            if len(idle) < MAX_IDLE_PER_INSTANCE:
                idle.append(connection)
                return
        connection.handle.close()


def _prepare(
    handle: pycurl.Curl,
    address: str,
    request: CallerRequest,
    timeout_ms: float,
    lines: list[bytes],
    sink: io.BytesIO,
) -> None:
    handle.reset()
    handle.setopt(pycurl.URL, f"http://{address}{request.target}")
    handle.setopt(pycurl.CUSTOMREQUEST, request.method)
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.MAXCONNECTS, 1)
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    handle.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_ms)))
    handle.setopt(pycurl.TCP_NODELAY, 1)
    handle.setopt(pycurl.PATH_AS_IS, 1)
    handle.setopt(pycurl.HTTP_CONTENT_DECODING, 0)
    handle.setopt(pycurl.WRITEFUNCTION, sink.write)
    handle.setopt(pycurl.HEADERFUNCTION, lines.append)
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        handle.setopt(pycurl.POSTFIELDS, request.body)
    if request.method == "HEAD":
        handle.setopt(pycurl.NOBODY, 1)
    if not request.repeatable:
        handle.setopt(pycurl.FRESH_CONNECT, 1)
    headers = [f"{n}: {v}" for n, v in request.headers if n.lower() not in HOP_BY_HOP]
    headers.append(f"Jayshunt-Request-Id: {request.request}")
    names = {n.lower() for n, _ in request.headers}
    defaults = [f"{n}:" for n in ("Accept", "User-Agent") if n.lower() not in names]
    if "content-type" not in names:
        defaults.append("Content-Type:")
    handle.setopt(pycurl.HTTPHEADER, [*headers, *defaults, "Expect:"])


def _answer_headers(lines: list[bytes]) -> tuple[tuple[str, str], ...]:
    headers: list[tuple[str, str]] = []
    for line in lines:
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            headers = []
            continue
        name, colon, value = text.partition(":")
        if colon:
            headers.append((name.strip().lower(), value.strip()))
    return tuple(headers)


def _send_error(error: pycurl.error, vm: VmId, sent: bool) -> JayshuntError:
    number, text = error.args[0], str(error.args[1])
    timed_out = number == pycurl.E_OPERATION_TIMEDOUT
    return JayshuntError(
        "upstream_timeout" if timed_out else "upstream_failed",
        step="routing.send",
        peer=vm,
        outcome=Outcome.UNKNOWN if sent else Outcome.NOT_RUN,
        retry_after_s=1.0,
        detail=text,
    )
