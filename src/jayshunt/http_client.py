"""Send HTTP requests with curl, by default with one handle per thread."""

import contextlib
import io
import threading
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import pycurl

from jayshunt.errors import JayshuntError, Outcome

CONNECT_TIMEOUT_MS = 500
# An answer slower than this has stalled: even the slowest links carry far more,
# 5 Mbit/s.
MIN_BYTES_PER_S = 1_000
MAX_ANSWER_BYTES = 16 * 1024 * 1024

# With these curl errors no connection was made in curl's last attempt; an earlier one
# may have sent the request.
NOT_SENT_ERRORS = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_RESOLVE_PROXY,
        pycurl.E_URL_MALFORMAT,
        pycurl.E_UNSUPPORTED_PROTOCOL,
    }
)

_LOCAL = threading.local()


@dataclass(frozen=True)
class HttpAnswer:
    """Complete HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class HttpCall:
    """Request to send; it fails if there is no complete response in `timeout_s`.

    A response with a body over `max_answer_bytes` fails with `answer_too_large`. `step`
    names the call in errors.
    """

    method: str
    url: str
    timeout_s: float
    step: str
    body: bytes | None = None
    headers: dict[str, str] | None = None
    max_answer_bytes: int = MAX_ANSWER_BYTES


class Transfer:
    """One call on a curl handle, whose response is read when curl has finished it."""

    def __init__(self, handle: pycurl.Curl, call: HttpCall) -> None:
        """Set the options of the call on the handle."""
        self._handle = handle
        self._call = call
        self._response_body = io.BytesIO()
        self._header_lines: list[bytes] = []
        self._status = 0
        self._sent_bytes = 0
        handle.reset()
        handle.setopt(pycurl.URL, call.url)
        handle.setopt(pycurl.CUSTOMREQUEST, call.method)
        # The default lists every library of the build, about 100 bytes per request.
        handle.setopt(pycurl.USERAGENT, "jayshunt")
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        handle.setopt(pycurl.TIMEOUT_MS, max(1, int(call.timeout_s * 1000)))
        handle.setopt(pycurl.MAXFILESIZE, call.max_answer_bytes)
        handle.setopt(pycurl.WRITEFUNCTION, self._response_body.write)
        handle.setopt(pycurl.HEADERFUNCTION, self._header_lines.append)
        sent = [f"{name}: {value}" for name, value in (call.headers or {}).items()]
        if call.body is not None:
            _send_once(handle, call.body)
        handle.setopt(pycurl.HTTPHEADER, [*sent, "Expect:"])
        if call.method == "HEAD":
            handle.setopt(pycurl.NOBODY, 1)

    def read_info(self) -> None:
        """Read from the handle what `answer` and `error` need, before its next use."""
        self._status = self._handle.getinfo(pycurl.RESPONSE_CODE)
        self._sent_bytes = self._handle.getinfo(pycurl.REQUEST_SIZE)

    def answer(self) -> HttpAnswer:
        """Return the complete response."""
        headers = parse_headers(self._header_lines)
        return HttpAnswer(self._status, headers, self._response_body.getvalue())

    def error(self, number: int, text: str) -> JayshuntError:
        """Return the error for a curl error number and its text.

        `peer_unreachable` with outcome NOT_RUN means that no connection could be made,
        `no_answer` with UNKNOWN that the request may have reached the peer.
        """
        # curl retries a request on its own when a reused connection breaks, so that a
        # failed connect may follow a request that was sent.
        is_not_run = number in NOT_SENT_ERRORS and self._sent_bytes == 0
        code = "peer_unreachable" if is_not_run else "no_answer"
        if number == pycurl.E_FILESIZE_EXCEEDED:
            code = "answer_too_large"
        return JayshuntError(
            code,
            step=self._call.step,
            peer=self._call.url.split("/")[2],
            outcome=Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN,
            retry_after_s=1.0,
            detail=text,
        )


def request(
    method: str,
    url: str,
    *,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float,
    step: str,
    stop: threading.Event | None = None,
    authority_file: Path | None = None,
    handle: pycurl.Curl | None = None,
    stall_s: int | None = None,
    max_answer_bytes: int = MAX_ANSWER_BYTES,
) -> HttpAnswer:
    """Send one request and return the complete response.

    Raise JayshuntError `peer_unreachable` with outcome NOT_RUN if no connection could
    be made, and `no_answer` with UNKNOWN if the request may have reached the peer but
    no complete response came within `timeout_s` seconds, or `answer_too_large` if its
    body has over `max_answer_bytes`. A request in flight is
    aborted within a second after `stop` is set and raises likewise. `handle` replaces
    the one of the calling thread, so that many threads can share few connections,
    each used by one thread at a time. With `stall_s`, a request that transfers less
    than MIN_BYTES_PER_S for that many seconds is aborted before its timeout.
    """
    handle = handle or _thread_handle()
    call = HttpCall(method, url, timeout_s, step, body, headers, max_answer_bytes)
    transfer = Transfer(handle, call)
    if stall_s is not None:
        handle.setopt(pycurl.LOW_SPEED_LIMIT, MIN_BYTES_PER_S)
        handle.setopt(pycurl.LOW_SPEED_TIME, stall_s)
    if stop is not None:
        handle.setopt(pycurl.NOPROGRESS, 0)
        handle.setopt(pycurl.XFERINFOFUNCTION, lambda *_: int(stop.is_set()))
    if authority_file is not None:
        handle.setopt(pycurl.CAINFO, str(authority_file))
    try:
        handle.perform()
    except pycurl.error as error:
        transfer.read_info()
        raise transfer.error(error.args[0], str(error.args[1])) from error
    transfer.read_info()
    return transfer.answer()


def _send_once(handle: pycurl.Curl, body: bytes) -> None:
    """Provide the body so that curl can read it only once.

    curl retries a request on its own when a reused connection breaks without an
    answer. A refusal of the second copy would mean that nothing ran, while the
    first may still be carried out. As the body cannot be read again, curl fails
    instead of retrying.
    """
    handle.setopt(pycurl.POST, 1)
    handle.setopt(pycurl.POSTFIELDSIZE, len(body))
    handle.setopt(pycurl.READFUNCTION, io.BytesIO(body).read)


def parse_headers(header_lines: list[bytes]) -> dict[str, str]:
    """Return the headers of the last header block, which follows any 1xx responses.

    Of a repeated name the last value is kept.
    """
    headers: dict[str, str] = {}
    for line in header_lines:
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            headers = {}
            continue
        name, colon, value = text.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return headers


def new_handle() -> pycurl.Curl:
    """Return a handle with its own connections."""
    return pycurl.Curl()


class HandlePool:
    """Handles that threads take in turn, so that idle threads keep no connections.

    The handle that was used last is taken first. A curl handle has a connection and
    two descriptors of its own.
    """

    def __init__(self, max_idle: int) -> None:
        """Start without handles; at most `max_idle` are kept for later calls."""
        self._max_idle = max_idle
        self._idle: deque[pycurl.Curl] = deque()

    @contextlib.contextmanager
    def lend(self) -> Iterator[pycurl.Curl]:
        """Lend a handle for one call."""
        try:
            handle = self._idle.pop()
        except IndexError:
            handle = new_handle()
        try:
            yield handle
        finally:
            # The handle would keep the request and the response of its last call.
            handle.reset()
            if len(self._idle) < self._max_idle:
                self._idle.append(handle)
            else:
                handle.close()


def _thread_handle() -> pycurl.Curl:
    handle = getattr(_LOCAL, "handle", None)
    if handle is None:
        handle = new_handle()
        _LOCAL.handle = handle
    return handle
