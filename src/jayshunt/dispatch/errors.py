"""Define the errors of job dispatching."""

from jayshunt.errors import JayshuntError, Outcome


class TermEnded(Exception):
    """Report that this entry's term expired or was replaced by another entry's."""


class NoDispatcher(JayshuntError):
    """Report that no entry holds the term or that its holder did not serve a call."""

    def __init__(self, step: str, peer: str = "", detail: str = "") -> None:
        """Set the failed step and the peer that was called, if any."""
        super().__init__(
            "no_dispatcher",
            step=step,
            peer=peer,
            retry_after_s=1.0,
            detail=detail or "no entry dispatches jobs at the moment",
        )


class JobRefused(JayshuntError):
    """Report that a job was not accepted and will not run."""

    def __init__(self, code: str, retry_after_s: float, detail: str) -> None:
        """Set the error code, the time until a retry and the detail for the caller."""
        super().__init__(
            code, step="intake.accept", retry_after_s=retry_after_s, detail=detail
        )


class JobWithdrawn(JobRefused):
    """Report that a job was cancelled before it was accepted, so that it never runs."""

    def __init__(self) -> None:
        """Set the time after which the id may be used again."""
        super().__init__("job_withdrawn", 60.0, "the job was cancelled before")


class JobIdTaken(JayshuntError):
    """Report that another submitter's job has the id; the submitted job never runs."""

    def __init__(self) -> None:
        """Set the detail, which does not tell whose job it is."""
        super().__init__(
            "id_taken", step="intake.accept", detail="the id belongs to another job"
        )


class AcceptUnknown(JayshuntError):
    """Report that a job may have been accepted, as a write's outcome is unknown."""

    def __init__(self, detail: str) -> None:
        """Set the detail for the caller."""
        super().__init__(
            "accept_unknown",
            step="intake.accept",
            outcome=Outcome.UNKNOWN,
            retry_after_s=1.0,
            detail=detail,
        )
