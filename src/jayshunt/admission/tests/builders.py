"""Build brokers, instances and requests for tests."""

import itertools

from jayshunt.admission.broker import Broker
from jayshunt.admission.messages import (
    PermitGranted,
    PermitReply,
    PermitRequest,
    PermitResult,
    SendOutcome,
)
from jayshunt.clock import ManualClock
from jayshunt.ids import ClassName, EntryId, Epoch, PoolName, RackName, RequestId, VmId
from jayshunt.pools.models import Assignment, AssignmentState

_NUMBERS = itertools.count(1)
POOL = PoolName("desk")
WARM_RUN_MS = 100.0


def instances(*names: str) -> tuple[Assignment, ...]:
    """Return serving assignments of VMs with the given names."""
    return tuple(
        Assignment(
            VmId(name),
            POOL,
            AssignmentState.SERVING,
            Epoch(1),
            f"{name}:80",
            RackName("rack"),
        )
        for name in names
    )


def request(
    work_class: str = "quotes", remaining_ms: float = 1000.0, **fields
) -> PermitRequest:
    """Return a request with a unique id."""
    return PermitRequest(
        RequestId(f"request-{next(_NUMBERS)}"),
        ClassName(work_class),
        POOL,
        EntryId("entry-1"),
        remaining_ms,
        **fields,
    )


def result(
    granted: PermitGranted,
    outcome: SendOutcome = SendOutcome.ANSWERED,
    duration_ms: float = WARM_RUN_MS,
    work_class: str = "quotes",
) -> PermitResult:
    """Return a result that releases a permit."""
    return PermitResult(
        granted.permit, granted.vm, ClassName(work_class), outcome, duration_ms
    )


class RequestRecorder:
    """Submit requests to a broker and record its replies."""

    def __init__(self, broker: Broker) -> None:
        """Create a recorder for a broker."""
        self.broker = broker
        self.replies: dict[RequestId, PermitReply] = {}
        self.order: list[RequestId] = []

    def ask(self, *args, **fields) -> PermitRequest:
        """Build and submit a request."""
        asked = request(*args, **fields)
        self.submit(asked)
        return asked

    def submit(self, asked: PermitRequest):
        """Submit a given request and return its waiter if it is queued."""

        def on_reply(reply: PermitReply) -> None:
            self.replies[asked.request] = reply
            self.order.append(asked.request)

        return self.broker.submit(asked, on_reply)

    def reply(self, asked: PermitRequest) -> PermitReply | None:
        """Return the reply to a request, or None while it is queued."""
        return self.replies.get(asked.request)


def broker_with(
    clock: ManualClock, *names: str, slots: int = 2, classes: tuple[str, ...] = ()
) -> Broker:
    """Return a broker with instances; the given classes have run times of 100 ms."""
    broker = Broker(POOL, EntryId("entry-1"), clock, lambda: slots)
    broker.set_instances(instances(*names))
    for name in classes:
        broker.run_times.adopt(ClassName(name), WARM_RUN_MS)
    return broker
