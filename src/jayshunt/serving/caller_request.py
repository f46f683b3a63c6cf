"""Build a `CallerRequest` from an HTTP request for a class."""

import re

from jayshunt.errors import JayshuntError
from jayshunt.ids import ClassName, IdempotencyKey, RequestId
from jayshunt.routing.messages import CallerRequest
from jayshunt.serving.connection import IncomingRequest
from jayshunt.serving.const import (
    CLASS_PREFIX,
    KEY_HEADER,
    MAX_ID_CHARS,
    REPEAT_HEADER,
    REPEATABLE_METHODS,
    REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
)
from jayshunt.serving.head import RequestHead

_CLASS_TARGET = re.compile(r"([^/?]*)(.*)")
_CONSUMED_HEADERS = frozenset(
    name.lower() for name in (REPEAT_HEADER, TIMEOUT_HEADER, REQUEST_ID_HEADER)
)


def read_caller_request(
    incoming: IncomingRequest, request_id: RequestId
) -> CallerRequest:
    """Return the converted request.

    Its target is what follows the class name, starting with "/", and keeps the
    caller's percent-encoding.
    """
    head = incoming.head
    name, rest = _CLASS_TARGET.fullmatch(
        head.target.removeprefix(CLASS_PREFIX)
    ).groups()
    return CallerRequest(
        request=request_id,
        work_class=ClassName(name),
        method=head.method,
        target=f"/{rest.removeprefix('/')}",
        headers=_forwarded_headers(head),
        body=incoming.body,
        repeatable=_is_repeatable(head),
        key=_key(head),
        timeout_ms=_timeout_ms(head),
    )


def read_request_id(head: RequestHead) -> RequestId | None:
    """Return the request id that the caller supplied, or None."""
    value = _single_value(head, REQUEST_ID_HEADER)
    if value is None:
        return None
    if not _is_id(value):
        raise _bad_header(REQUEST_ID_HEADER, value, _ID_RULE)
    return RequestId(value)


def _forwarded_headers(head: RequestHead) -> tuple[tuple[str, str], ...]:
    """Return the headers that are forwarded to the upstream.

    Headers named by `Connection` apply to this connection only, and the entry
    consumes those of `_CONSUMED_HEADERS` itself.
    """
    dropped = set(_CONSUMED_HEADERS)
    for value in head.values("connection"):
        dropped.update(option.strip().lower() for option in value.split(","))
    return tuple((n, v) for n, v in head.headers if n.lower() not in dropped)


def _is_repeatable(head: RequestHead) -> bool:
    value = _single_value(head, REPEAT_HEADER)
    if value is None:
        return head.method in REPEATABLE_METHODS
    if value not in ("never", "safe"):
        raise _bad_header(REPEAT_HEADER, value, "never or safe")
    return value == "safe"


def _key(head: RequestHead) -> IdempotencyKey | None:
    value = _single_value(head, KEY_HEADER)
    if value is None:
        return None
    if not _is_id(value):
        raise _bad_header(KEY_HEADER, value, _ID_RULE)
    return IdempotencyKey(value)


def _timeout_ms(head: RequestHead) -> float | None:
    value = _single_value(head, TIMEOUT_HEADER)
    if value is None:
        return None
    if not (value.isascii() and value.isdigit()) or not 1 <= int(value[:10]):
        raise _bad_header(TIMEOUT_HEADER, value, "a whole number above 0")
    return float(value[:10])


_ID_RULE = f"1 to {MAX_ID_CHARS} printable ASCII characters"


def _is_id(value: str) -> bool:
    return 1 <= len(value) <= MAX_ID_CHARS and value.isascii() and value.isprintable()


def _single_value(head: RequestHead, name: str) -> str | None:
    values = head.values(name.lower())
    if len(values) > 1:
        raise _bad_header(name, ", ".join(values), "one value")
    return values[0] if values else None


def _bad_header(name: str, value: str, allowed: str) -> JayshuntError:
    return JayshuntError(
        "bad_request",
        step="serving.headers",
        detail=f"{name}: {value[:40]!r} is not allowed; it takes {allowed}",
    )
