"""Send requests to upstream instances over pooled connections."""

import io
import threading
from collections.abc import Callable
from dataclasses import dataclass

import pycurl

from jayshunt.clock import Clock
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import VmId
from jayshunt.routing.const import (
    CONNECT_TIMEOUT_MS,
    HOP_BY_HOP,
    IDLE_LIMIT_INTERVAL_S,
    IDLE_LIMIT_S,
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    MAX_ANSWER_BYTES,
    REQUEST_ID_HEADER,
)
from jayshunt.routing.messages import CallerAnswer, CallerRequest

# Headers that curl adds by default; they are removed unless the caller sent them.
CURL_DEFAULTS = ("accept", "user-agent", "content-type")


@dataclass
class Connection:
    """Hold one curl handle, which has at most one TCP connection.

    `was_used` is True once a request on the connection was answered.
    """

    handle: pycurl.Curl
    idle_since_s: float = 0.0
    was_used: bool = False


@dataclass(frozen=True)
class UpstreamAnswer:
    """Hold an answer; `closing` is True if the instance closes the connection."""

    answer: CallerAnswer
    closing: bool


class UpstreamConnections:
    """Send requests over pooled connections.

    A connection is used by one request at a time and closed after any failure,
    so that a late answer never reaches another request. A request that must not
    be repeated always gets a new connection, because libcurl repeats a request by
    itself if a reused connection closes before the first byte of the answer.

    The number of connections in use is bounded by the permits held. `idle_limit`
    returns the number of idle connections that this entry may keep per instance.
    """

    def __init__(self, clock: Clock, idle_limit: Callable[[], int]) -> None:
        """Create an empty pool."""
        self._clock = clock
        self._idle_limit = idle_limit
        self._lock = threading.Lock()
        self._idle: dict[VmId, list[Connection]] = {}
        self._limit = 0
        self._limit_until_s = float("-inf")

    def send(
        self, vm: VmId, address: str, request: CallerRequest, timeout_ms: float
    ) -> UpstreamAnswer:
        """Send one request to an instance and return the complete answer.

        Raise JayshuntError, with the outcome, if no complete answer arrives or the
        answer belongs to another request.
        """
        connection = self._checkout(vm, request.repeatable)
        lines: list[bytes] = []
        sink = io.BytesIO()
        handle = connection.handle
        _prepare(handle, address, request, timeout_ms, lines, sink)
        try:
            handle.perform()
        except pycurl.error as error:
            failure = _send_error(error, vm, handle, connection.was_used)
            handle.close()
            raise failure from error
        status = handle.getinfo(pycurl.RESPONSE_CODE)
        headers = _answer_headers(lines)
        if _is_crossed(headers, request):
            handle.close()
            raise _crossed_error(vm)
        closing = any(n == "connection" and "close" in v for n, v in headers)
        if closing:
            handle.close()
        else:
            self._checkin(vm, connection)
        kept = tuple((n, v) for n, v in headers if n not in HOP_BY_HOP)
        return UpstreamAnswer(CallerAnswer(status, kept, sink.getvalue()), closing)

    def drop(self, vm: VmId) -> None:
        """Close the idle connections to a removed instance."""
        with self._lock:
            idle = self._idle.pop(vm, [])
        _close(idle)

    def close_expired(self) -> None:
        """Close connections that were idle for too long."""
        oldest_s = self._clock.monotonic_s() - IDLE_LIMIT_S
        expired: list[Connection] = []
        with self._lock:
            for vm, idle in list(self._idle.items()):
                expired += [c for c in idle if c.idle_since_s < oldest_s]
                self._idle[vm] = [c for c in idle if c.idle_since_s >= oldest_s]
                if not self._idle[vm]:
                    del self._idle[vm]
        _close(expired)

    def idle_counts(self) -> dict[VmId, int]:
        """Return the number of idle connections per instance."""
        with self._lock:
            return {vm: len(idle) for vm, idle in self._idle.items()}

    def stop(self) -> None:
        """Close every idle connection."""
        with self._lock:
            idle, self._idle = self._idle, {}
        for connections in idle.values():
            _close(connections)

    def _checkout(self, vm: VmId, repeatable: bool) -> Connection:
        if not repeatable:
            return Connection(pycurl.Curl())
        oldest_s = self._clock.monotonic_s() - IDLE_LIMIT_S
        expired: list[Connection] = []
        found = None
        with self._lock:
            idle = self._idle.get(vm, [])
            while idle and found is None:
                connection = idle.pop()
                if connection.idle_since_s >= oldest_s:
                    found = connection
                else:
                    expired.append(connection)
        _close(expired)
        return found or Connection(pycurl.Curl())

    def _checkin(self, vm: VmId, connection: Connection) -> None:
        now_s = self._clock.monotonic_s()
        connection.idle_since_s = now_s
        connection.was_used = True
        if now_s >= self._limit_until_s:
            # The limit depends on the configuration and the members, which change
            # rarely; computing it for each request took 4% of the request's cost.
            self._limit_until_s = now_s + IDLE_LIMIT_INTERVAL_S
            self._limit = self._idle_limit()
        with self._lock:
            idle = self._idle.setdefault(vm, [])
            if len(idle) < self._limit:
                idle.append(connection)
                return
        connection.handle.close()


def _close(connections: list[Connection]) -> None:
    for connection in connections:
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
    handle.setopt(pycurl.MAXFILESIZE, MAX_ANSWER_BYTES)
    handle.setopt(pycurl.TCP_NODELAY, 1)
    handle.setopt(pycurl.TCP_KEEPALIVE, 1)
    handle.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
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
    handle.setopt(pycurl.HTTPHEADER, _sent_headers(request))


def _sent_headers(request: CallerRequest) -> list[str]:
    headers = [f"Jayshunt-Request-Id: {request.request}", "Expect:"]
    names = set()
    for name, value in request.headers:
        lower = name.lower()
        names.add(lower)
        if lower not in HOP_BY_HOP:
            # A header without a value needs a semicolon, or curl leaves it out.
            headers.append(f"{name}: {value}" if value else f"{name};")
    return headers + [f"{name}:" for name in CURL_DEFAULTS if name not in names]


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


def _is_crossed(headers: tuple[tuple[str, str], ...], request: CallerRequest) -> bool:
    """Return whether the request id in an answer is that of another request."""
    return any(n == REQUEST_ID_HEADER and v != request.request for n, v in headers)


def _crossed_error(vm: VmId) -> JayshuntError:
    return JayshuntError(
        "answer_crossed",
        step="routing.send",
        peer=vm,
        outcome=Outcome.UNKNOWN,
        retry_after_s=1.0,
        detail="the answer names another request",
    )


def _send_error(
    error: pycurl.error, vm: VmId, handle: pycurl.Curl, reused: bool
) -> JayshuntError:
    """Return the error of a failed send.

    The outcome is NOT_RUN only if curl counted no byte sent and the connection was
    new; on a reused connection it is UNKNOWN.
    """
    code, text = error.args[0], str(error.args[1])
    timed_out = code == pycurl.E_OPERATION_TIMEDOUT
    nothing_sent = handle.getinfo(pycurl.REQUEST_SIZE) == 0 and not reused
    return JayshuntError(
        "upstream_timeout" if timed_out else "upstream_failed",
        step="routing.send",
        peer=vm,
        outcome=Outcome.NOT_RUN if nothing_sent else Outcome.UNKNOWN,
        retry_after_s=1.0,
        detail=text,
    )
