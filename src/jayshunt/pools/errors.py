"""Define the errors of the package."""

from jayshunt.errors import JayshuntError


class Fenced(JayshuntError):
    """Report that a newer controller has replaced this one."""

    def __init__(self, zone: str, own: int, stored: int) -> None:
        """Put both fencing epochs into the detail."""
        super().__init__(
            "controller_fenced",
            step="pools.write",
            detail=f"zone {zone} has fencing epoch {stored}, this controller {own}",
        )


class NotController(JayshuntError):
    """Report that this entry is not the controller of its zone."""

    def __init__(self, zone: str) -> None:
        """Put the zone into the detail."""
        super().__init__(
            "not_controller",
            step="pools.write",
            retry_after_s=5.0,
            detail=f"this entry does not control zone {zone}",
        )
