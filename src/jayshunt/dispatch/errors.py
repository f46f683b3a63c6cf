"""Define the errors of the dispatch."""

from jayshunt.errors import JayshuntError, Outcome


class TermEnded(Exception):
    """Report that another entry dispatches now, or that the term ran out."""


class NoDispatcher(JayshuntError):
    """Report that no entry dispatches at the moment or that it cannot be reached."""

    def __init__(self, step: str, peer: str = "", detail: str = "") -> None:
        """Keep step and peer."""
        super().__init__(
            "no_dispatcher",
            step=step,
            peer=peer,
            retry_after_s=1.0,
            detail=detail or "no entry dispatches jobs at the moment",
        )


class JobRefused(JayshuntError):
    """Report that a job was certainly not accepted."""

    def __init__(self, code: str, retry_after_s: float, detail: str) -> None:
        """Keep the reason and when to come back."""
        super().__init__(
            code, step="intake.accept", retry_after_s=retry_after_s, detail=detail
        )


class AcceptUnknown(JayshuntError):
    """Report that a job may have been accepted."""

    def __init__(self, detail: str) -> None:
        """Keep the reason."""
        super().__init__(
            "accept_unknown",
            step="intake.accept",
            outcome=Outcome.UNKNOWN,
            retry_after_s=1.0,
            detail=detail,
        )
