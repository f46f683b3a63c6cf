"""Define the errors of the store's client."""

from jayshunt.errors import JayshuntError, Outcome


class StoreUnavailable(JayshuntError):
    """Report that a call certainly had no effect."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        """Keep step and peer."""
        super().__init__(
            "store_unavailable", step=step, peer=peer, retry_after_s=2.0, detail=detail
        )


class StoreOutcomeUnknown(JayshuntError):
    """Report that a write may have taken effect."""

    def __init__(self, step: str, peer: str, detail: str) -> None:
        """Keep step and peer."""
        super().__init__(
            "store_outcome_unknown",
            step=step,
            peer=peer,
            outcome=Outcome.UNKNOWN,
            retry_after_s=2.0,
            detail=detail,
        )


class RevisionConflict(JayshuntError):
    """Report that another writer changed the value first."""

    def __init__(self, key: str, peer: str) -> None:
        """Keep the key."""
        super().__init__(
            "revision_conflict",
            step="store.put",
            peer=peer,
            retry_after_s=0.0,
            detail=f"{key} was changed by another writer",
        )
