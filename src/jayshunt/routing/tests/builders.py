"""Build routers with fake permits and connections."""

import random

from jayshunt.admission.messages import (
    PermitGranted,
    PermitRefused,
    PermitRequest,
    PermitResult,
)
from jayshunt.clock import ManualClock
from jayshunt.config.models import ConfigDocument, ConfigSnapshot
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import (
    ClassName,
    EntryId,
    IdempotencyKey,
    PermitId,
    RequestId,
    VmId,
)
from jayshunt.routing.connections import UpstreamAnswer
from jayshunt.routing.messages import CallerAnswer, CallerRequest
from jayshunt.routing.router import Router

CONFIG = ConfigSnapshot(
    document=ConfigDocument.model_validate(
        {
            "pools": {"desk": {}},
            "classes": {
                "quotes": {"pool": "desk", "target_ms": 1000},
                "nightly": {"pool": "desk", "kind": "job", "max_wait_s": 60},
            },
        }
    )
)
ANSWER = CallerAnswer(200, (), b"whole")


def caller_request(repeatable: bool = True, key: str | None = None) -> CallerRequest:
    """Return a request of class quotes."""
    return CallerRequest(
        RequestId("r-1"),
        ClassName("quotes"),
        "POST",
        "/rate",
        (),
        b"body",
        repeatable,
        IdempotencyKey(key) if key else None,
    )


def failure(outcome: Outcome, code: str = "upstream_failed") -> JayshuntError:
    """Return the failure of one send."""
    return JayshuntError(code, step="routing.send", peer="vm", outcome=outcome)


class FakePermits:
    """Grant a new instance for each request, and refuse from a given number on."""

    def __init__(self, refuse_from: int = 99) -> None:
        """Create a source that grants the first `refuse_from` requests."""
        self.requests: list[PermitRequest] = []
        self.results: list[PermitResult] = []
        self._refuse_from = refuse_from
        self.on_grant = lambda: None

    def acquire(self, request: PermitRequest) -> PermitGranted | PermitRefused:
        """Grant a permit on the next instance, or refuse."""
        number = len(self.requests)
        self.requests.append(request)
        if number >= self._refuse_from:
            return PermitRefused("overloaded", 0.5, "full")
        self.on_grant()
        name = f"vm-{number}"
        return PermitGranted(PermitId(f"p-{number}"), VmId(name), name, 2000, 0, 20)

    def release(self, result: PermitResult) -> None:
        """Record a result."""
        self.results.append(result)

    def cancel(self, request: RequestId) -> bool:
        """Return False: no request waits here."""
        return False


class FakeConnections:
    """Return or raise the given outcomes in order, one for each send."""

    def __init__(self, *outcomes: CallerAnswer | JayshuntError) -> None:
        """Create fake connections with the outcomes of the sends."""
        self._outcomes = list(outcomes)
        self.sent: list[tuple[str, float]] = []
        self.events: list[str] = []

    def send(self, vm, _address, _request, timeout_ms: float) -> UpstreamAnswer:
        """Return or raise the next outcome."""
        self.sent.append((vm, timeout_ms))
        self.events.append("send")
        outcome = self._outcomes.pop(0)
        if isinstance(outcome, JayshuntError):
            raise outcome
        return UpstreamAnswer(outcome, False)


def router_with(
    permits: FakePermits, connections: FakeConnections, clock=None, claims=None
) -> Router:
    """Return a router that uses the given fakes."""
    return Router(
        EntryId("entry-1"),
        clock or ManualClock(),
        lambda: CONFIG,
        permits,
        connections,
        random.Random(1),
        claims,
    )
