"""Errors of the store client."""

from jayshunt.errors import JayshuntError, Outcome


class StoreUnavailable(JayshuntError):
    """Raised when a call failed and is taken to have had no effect.

    It covers calls that were not sent, failed reads and error responses: status 429
    or 5xx, in `PlatformStore` 503 and any unexpected status below 500. A write without
    a response raises StoreOutcomeUnknown instead, except `PlatformStore.end_lease`.
    """

    def __init__(self, step: str, peer: str, detail: str) -> None:
        """Create the error for a step of a call to a store."""
        super().__init__(
            "store_unavailable", step=step, peer=peer, retry_after_s=2.0, detail=detail
        )


class StoreOutcomeUnknown(JayshuntError):
    """Raised when a write failed but may have taken effect."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        """Create the error for a step of a call to a store."""
        super().__init__(
            "store_outcome_unknown",
            step=step,
            peer=peer,
            outcome=Outcome.UNKNOWN,
            retry_after_s=2.0,
            detail=detail,
        )


class RevisionConflict(JayshuntError):
    """Raised when another writer changed the value first."""

    def __init__(self, key: str, peer: str) -> None:
        """Create the error for a key at a store."""
        super().__init__(
            "revision_conflict",
            step="store.put",
            peer=peer,
            retry_after_s=0.0,
            detail=f"{key} was changed by another writer",
        )
