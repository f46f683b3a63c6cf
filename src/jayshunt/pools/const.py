"""Name the keys and limits of the pools slice."""

CONTROL_INTERVAL_S = 1.0
CONTROLLER_LEASE_S = 5.0


def assignments_key(zone: str) -> str:
    """Return the key of a zone's assignment record."""
    return f"zones/{zone}/assignments"


def controller_key(zone: str) -> str:
    """Return the key that holds the zone's controller lease."""
    return f"zones/{zone}/controller"
