"""Parse the head of a request strictly.

A head that another HTTP implementation could frame differently is refused, so
that no caller can hide a second request inside the first (request smuggling).
"""

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from jayshunt.errors import JayshuntError
from jayshunt.serving.const import MAX_HEADER_COUNT, REFUSED_METHODS

_TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]"
_REQUEST_LINE = re.compile(rf"({_TOKEN}{{1,32}}) ([\x21-\x7e]+) HTTP/([0-9])\.([0-9])")
_FIELD = re.compile(rf"({_TOKEN}+):[ \t]*(.*?)[ \t]*")
_FORBIDDEN = re.compile(r"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!\n)|(?<!\r)\n")
_ABSOLUTE = re.compile(r"https?://[^/?#@]+(?=[/?]|$)", re.IGNORECASE)
_LENGTH = re.compile(r"[0-9]{1,15}")
_BARE_LINE_END = re.compile(rb"(?<!\r)\n")


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Validated request line and header fields.

    `target` is the path and query exactly as the caller sent them. A request
    without `content_length` that is not `chunked` has no body. `headers` keeps the
    order and spelling of the names as sent, with repeated names apart; `fields` maps
    each name in lower case to its values.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    content_length: int | None
    chunked: bool
    keep_alive: bool
    expects_continue: bool
    fields: Mapping[str, Sequence[str]]

    def values(self, name: str) -> Sequence[str]:
        """Return the values of a field; `name` is in lower case."""
        return self.fields.get(name, ())


def has_bare_line_end(data: bytes | bytearray) -> bool:
    """Return whether a line ends with LF but no CR, which some servers accept."""
    return _BARE_LINE_END.search(data) is not None


def parse_head(data: bytes) -> RequestHead:
    """Return the validated head; `data` ends before the empty line.

    Raise JayshuntError with the reason if any part of the head is invalid.
    """
    text = data.decode("latin-1")
    if _FORBIDDEN.search(text):
        raise _bad_request("the head holds a control character or a bare CR or LF")
    first, *lines = text.split("\r\n")
    method, target, minor = _parse_request_line(first)
    if len(lines) > MAX_HEADER_COUNT:
        raise request_error(
            "head_too_large", f"more than {MAX_HEADER_COUNT} header fields"
        )
    headers = tuple(_parse_field(n, line) for n, line in enumerate(lines, start=1))
    fields: dict[str, list[str]] = {}
    for name, value in headers:
        fields.setdefault(name.lower(), []).append(value)
    _check_host(fields, minor)
    length, chunked = _parse_framing(fields, minor)
    options = {
        option.strip().lower()
        for value in fields.get("connection", ())
        for option in value.split(",")
    }
    keep_alive = "close" not in options and (minor == 1 or "keep-alive" in options)
    return RequestHead(
        method,
        target,
        headers,
        length,
        chunked,
        keep_alive,
        _expects_continue(fields),
        fields,
    )


def request_error(code: str, detail: str) -> JayshuntError:
    """Return the error for a request whose head or body is refused while it is read.

    The step is "serving.head" in both cases.
    """
    return JayshuntError(code, step="serving.head", detail=detail)


def _parse_request_line(line: str) -> tuple[str, str, int]:
    match = _REQUEST_LINE.fullmatch(line)
    if match is None:
        raise _bad_request("the request line is not METHOD TARGET HTTP/1.1")
    method, target, major, minor = match.groups()
    if major != "1" or minor not in "01":
        raise request_error("version_not_supported", f"HTTP/{major}.{minor}")
    if method in REFUSED_METHODS:
        raise request_error("method_not_allowed", method)
    absolute = _ABSOLUTE.match(target)
    if absolute:
        target = target[absolute.end() :]
        target = target if target.startswith("/") else f"/{target}"
    if not target.startswith("/") or "#" in target:
        raise _bad_request("the request target must be a path, without a fragment")
    return method, target, int(minor)


def _parse_field(number: int, line: str) -> tuple[str, str]:
    match = _FIELD.fullmatch(line)
    if match is None:
        reason = "line folding" if line[:1] in " \t" else "not NAME: VALUE"
        # The line is not quoted, as it may hold a caller's key.
        raise _bad_request(f"header field {number} is invalid: {reason}")
    return match.group(1), match.group(2)


def _check_host(fields: dict[str, list[str]], minor: int) -> None:
    hosts = fields.get("host", ())
    if len(hosts) > 1 or (minor == 1 and not hosts):
        raise _bad_request("exactly one Host header is needed")


def _parse_framing(fields: dict[str, list[str]], minor: int) -> tuple[int | None, bool]:
    lengths, codings = fields.get("content-length"), fields.get("transfer-encoding")
    if lengths and codings:
        raise _bad_request("Content-Length and Transfer-Encoding exclude each other")
    if codings:
        if minor == 0 or len(codings) > 1 or codings[0].lower() != "chunked":
            raise request_error(
                "coding_not_supported", "only Transfer-Encoding: chunked is accepted"
            )
        return None, True
    if not lengths:
        return None, False
    if len(lengths) > 1 or not _LENGTH.fullmatch(lengths[0]):
        raise _bad_request("Content-Length must be one whole number")
    return int(lengths[0]), False


def _expects_continue(fields: dict[str, list[str]]) -> bool:
    expected = fields.get("expect")
    if not expected:
        return False
    if [value.lower() for value in expected] != ["100-continue"]:
        raise request_error(
            "expectation_failed", "only Expect: 100-continue is accepted"
        )
    return True


def _bad_request(detail: str) -> JayshuntError:
    return request_error("bad_request", detail)
