"""Define the messages between a serving entry and a broker."""

from dataclasses import dataclass
from enum import Enum

from jayshunt.ids import ClassName, EntryId, PermitId, PoolName, RequestId, VmId


@dataclass(frozen=True)
class PermitRequest:
    """Ask for one slot of a pool.

    `remaining_ms` is the time until the request's deadline; no clock is shared
    between entries. `excluded` names instances that already failed this request.
    """

    request: RequestId
    work_class: ClassName
    pool: PoolName
    entry: EntryId
    remaining_ms: float
    excluded: tuple[VmId, ...] = ()


@dataclass(frozen=True)
class PermitGranted:
    """Allow one request on one instance until the permit is released.

    The broker counts the slot as used for `ttl_ms` if no release arrives.
    """

    permit: PermitId
    vm: VmId
    address: str
    ttl_ms: float
    waited_ms: float


@dataclass(frozen=True)
class PermitRefused:
    """Refuse a request before anything ran, with the reason."""

    code: str
    retry_after_s: float
    detail: str


class SendOutcome(Enum):
    """Say how the work under a permit ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    NOT_SENT = "not_sent"
    CANCELLED = "cancelled"


@dataclass(frozen=True)
class PermitResult:
    """Give a permit back with what the broker learns from."""

    permit: PermitId
    vm: VmId
    work_class: ClassName
    outcome: SendOutcome
    duration_ms: float
    leaving: bool = False


@dataclass(frozen=True)
class HeldPermit:
    """Tell a new broker of a permit that its predecessor granted."""

    permit: PermitId
    vm: VmId
    work_class: ClassName
    ttl_ms: float
