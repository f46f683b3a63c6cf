"""Define the errors of the pools slice."""

from jayshunt.errors import JayshuntError


class Fenced(JayshuntError):
    """Report that a newer controller replaced this one."""

    def __init__(self, zone: str, own: int, stored: int) -> None:
        """Keep both fencing epochs."""
        super().__init__(
            "controller_fenced",
            step="pools.write",
            detail=f"zone {zone} has fencing epoch {stored}, this controller {own}",
        )


class NotController(JayshuntError):
    """Report that this entry does not control its zone."""

    def __init__(self, zone: str) -> None:
        """Keep the zone."""
        super().__init__(
            "not_controller",
            step="pools.write",
            retry_after_s=5.0,
            detail=f"this entry does not control zone {zone}",
        )
