"""Progress of one request over its attempts, and the errors that end it."""

from dataclasses import dataclass, field

from jayshunt.admission.messages import SendOutcome
from jayshunt.config.models import WorkClass
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import VmId
from jayshunt.routing.messages import CallerAnswer, CallerRequest


@dataclass
class Progress:
    """Track the state of one caller's request over its attempts.

    `sent` counts the attempts. `failure` is the error of the first failed attempt.
    `fallback` is an answer with a fault status, returned if no other attempt gives
    a better one. The request may wait for a slot until `wait_until_s`. `claimed` is
    True once its idempotency key was claimed, `may_have_run` once an attempt failed
    without being certainly not run, or was answered with a fault status.
    """

    request: CallerRequest
    work_class: WorkClass
    deadline_s: float
    wait_until_s: float
    excluded: tuple[VmId, ...] = ()
    sent: int = 0
    claimed: bool = False
    may_have_run: bool = False
    failure: JayshuntError | None = None
    fallback: CallerAnswer | None = None
    failure_details: list[str] = field(default_factory=list)

    def final_error(self) -> JayshuntError:
        """Return the first failure, with the outcome and details of all attempts."""
        first = self.failure
        return JayshuntError(
            first.code,
            step=first.step,
            peer=first.peer,
            outcome=Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN,
            retry_after_s=first.retry_after_s,
            detail="; ".join(self.failure_details),
        )


def deadline_passed(vm: VmId) -> JayshuntError:
    """Return the error of a request whose deadline passed before it was sent."""
    return JayshuntError(
        "deadline_passed",
        step="routing.send",
        peer=vm,
        retry_after_s=0.5,
        detail="the deadline passed before the request was sent",
    )


def outcome_of(error: JayshuntError) -> SendOutcome:
    """Return the outcome reported to the broker for a failed send."""
    if error.outcome is Outcome.NOT_RUN:
        return SendOutcome.CONNECT_FAILED
    if error.code == "upstream_timeout":
        return SendOutcome.TIMED_OUT
    return SendOutcome.FAILED
