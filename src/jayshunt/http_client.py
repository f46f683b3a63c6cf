"""Send HTTP requests with curl, by default with one handle per thread."""

import io
import threading
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
) -> HttpAnswer:
    """Send one request and return the complete response.

    Raise JayshuntError `peer_unreachable` with outcome NOT_RUN if no connection could
    be made, and `no_answer` with UNKNOWN if the request may have reached the peer but
    no complete response came within `timeout_s` seconds. A request in flight is
    aborted within a second after `stop` is set and raises likewise. `handle` replaces
    the one of the calling thread, so that many threads can share few connections,
    each used by one thread at a time. With `stall_s`, a request that transfers less
    than MIN_BYTES_PER_S for that many seconds is aborted before its timeout.
    """
    handle = handle or _thread_handle()
    handle.reset()
    response_body = io.BytesIO()
    header_lines: list[bytes] = []
    handle.setopt(pycurl.URL, url)
    handle.setopt(pycurl.CUSTOMREQUEST, method)
    # The default lists every library of the build, about 100 bytes in each request.
    handle.setopt(pycurl.USERAGENT, "jayshunt")
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
    handle.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000)))
    handle.setopt(pycurl.MAXFILESIZE, MAX_ANSWER_BYTES)
    handle.setopt(pycurl.WRITEFUNCTION, response_body.write)
    handle.setopt(pycurl.HEADERFUNCTION, header_lines.append)
    if stall_s is not None:
        handle.setopt(pycurl.LOW_SPEED_LIMIT, MIN_BYTES_PER_S)
        handle.setopt(pycurl.LOW_SPEED_TIME, stall_s)
    if stop is not None:
        handle.setopt(pycurl.NOPROGRESS, 0)
        handle.setopt(pycurl.XFERINFOFUNCTION, lambda *_: int(stop.is_set()))
    sent = [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body is not None:
        _send_once(handle, body)
    handle.setopt(pycurl.HTTPHEADER, [*sent, "Expect:"])
    if authority_file is not None:
        handle.setopt(pycurl.CAINFO, str(authority_file))
    if method == "HEAD":
        handle.setopt(pycurl.NOBODY, 1)
    try:
        handle.perform()
    except pycurl.error as error:
        number, text = error.args[0], str(error.args[1])
        # curl retries a request on its own when a reused connection breaks, so that a
        # failed connect may follow a request that was sent.
        is_sent = handle.getinfo(pycurl.REQUEST_SIZE) > 0
        is_not_run = number in NOT_SENT_ERRORS and not is_sent
        outcome = Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN
        raise JayshuntError(
            "peer_unreachable" if outcome is Outcome.NOT_RUN else "no_answer",
            step=step,
            peer=url.split("/")[2],
            outcome=outcome,
            retry_after_s=1.0,
            detail=text,
        ) from error
    status = handle.getinfo(pycurl.RESPONSE_CODE)
    return HttpAnswer(status, parse_headers(header_lines), response_body.getvalue())


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


def _thread_handle() -> pycurl.Curl:
    handle = getattr(_LOCAL, "handle", None)
    if handle is None:
        handle = new_handle()
        _LOCAL.handle = handle
    return handle
