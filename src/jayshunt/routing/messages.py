"""Define the requests that serving passes to the router, and their answers."""

from dataclasses import dataclass

from jayshunt.ids import ClassName, IdempotencyKey, RequestId


@dataclass(frozen=True)
class CallerRequest:
    """Represent one complete request of a caller.

    `repeatable` is False for a request that must run at most once. `timeout_ms` is
    the caller's own limit, which can only shorten the class's latency target.
    `target` is the path and query of the HTTP request.
    """

    request: RequestId
    work_class: ClassName
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool
    key: IdempotencyKey | None = None
    timeout_ms: float | None = None


@dataclass(frozen=True)
class CallerAnswer:
    """Represent one complete answer of an upstream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
