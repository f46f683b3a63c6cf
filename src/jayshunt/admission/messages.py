"""Define the messages between a serving entry and a broker."""

from dataclasses import dataclass
from enum import Enum

from jayshunt.ids import ClassName, EntryId, PermitId, PoolName, RequestId, VmId


@dataclass(frozen=True)
class PermitRequest:
    """Request one slot of a pool.

    `remaining_ms` is the time until the request's deadline, relative because the
    entries share no clock. `excluded` lists instances that already failed this
    request, `attempt` counts from 0, and `spilled` marks a request from another
    zone. Once admitted, a request waits for up to `patience_ms`, even past its
    deadline: a late answer is worth more to its caller than a late refusal.
    """

    request: RequestId
    work_class: ClassName
    pool: PoolName
    entry: EntryId
    remaining_ms: float
    excluded: tuple[VmId, ...] = ()
    attempt: int = 0
    spilled: bool = False
    patience_ms: float = 0.0

    @property
    def wait_limit_ms(self) -> float:
        """Return the maximum wait for a slot, which lasts at least to the deadline."""
        return max(self.remaining_ms, self.patience_ms)


@dataclass(frozen=True)
class PermitGranted:
    """Permit one request on one instance until the permit is released.

    The broker counts the slot as used for `ttl_ms` if no release arrives.
    `expected_ms` is the learned run time of the class on the instance.
    """

    permit: PermitId
    vm: VmId
    address: str
    ttl_ms: float
    waited_ms: float
    expected_ms: float = 0.0


@dataclass(frozen=True)
class PermitRefused:
    """Refuse a request, of which nothing ran, with the reason."""

    code: str
    retry_after_s: float
    detail: str


@dataclass(frozen=True)
class PermitQueued:
    """Report that a request is queued; a grant or a refusal follows.

    `expected_wait_ms` is always 0: brokers send no estimate.
    """

    expected_wait_ms: float


PermitReply = PermitGranted | PermitRefused | PermitQueued


class SendOutcome(Enum):
    """Represent how the work under a permit ended.

    Every outcome but TIMED_OUT frees the slot at once. `FAILURES` in `broker` lists
    those that count against the instance. NOT_SENT means that nothing was sent.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    NOT_SENT = "not_sent"
    CONNECT_FAILED = "connect_failed"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class PermitResult:
    """Release a permit, with the outcome from which the broker learns.

    `closing` is True if the instance announced that it closes the connection, as a
    leaving instance does; its health is then checked at once. The broker does not use
    `duration_ms`: it measures run times from the grant to the release.
    """

    permit: PermitId
    vm: VmId
    work_class: ClassName
    outcome: SendOutcome
    duration_ms: float
    closing: bool = False


@dataclass(frozen=True)
class HeldPermit:
    """Describe a permit that is not released yet.

    Entries also report it to a new broker at a takeover.
    """

    permit: PermitId
    vm: VmId
    work_class: ClassName
    ttl_ms: float


@dataclass(frozen=True)
class LearnedClass:
    """Report to a new broker what its predecessor learned about a class."""

    work_class: ClassName
    run_ms: float
    usual_slots: float


@dataclass(frozen=True)
class RecoveredPermits:
    """Hold what one entry reports to a new broker at a takeover."""

    held: tuple[HeldPermit, ...] = ()
    learned: tuple[LearnedClass, ...] = ()


def unused_result(granted: PermitGranted, work_class: ClassName) -> PermitResult:
    """Return the result of a permit under which nothing was sent."""
    return PermitResult(
        granted.permit, granted.vm, work_class, SendOutcome.NOT_SENT, 0.0
    )
