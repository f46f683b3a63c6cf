"""Define what the router takes from and returns to the serving slice."""

from dataclasses import dataclass

from jayshunt.ids import ClassName, IdempotencyKey, RequestId


@dataclass(frozen=True)
class CallerRequest:
    """Hold one whole request of a caller.

    `repeatable` is False for a request that must run at most once. `timeout_ms`
    shortens the class's target.
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
    """Hold one whole answer of an upstream."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
