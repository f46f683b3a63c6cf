"""Describe the state of the inventory for dumps."""

from jayshunt.inventory.poller import InventoryPoller


def describe(poller: InventoryPoller, now_s: float) -> dict:
    """Return the age and size of the last list; `now_s` is wall time in seconds.

    Before the first list, the age is the whole time since 1970.
    """
    current = poller.current
    return {
        "age_s": round(now_s - current.as_of_s, 3),
        "vms": len(current.vms),
        "entry_addresses": list(current.entries),
        "last_error": poller.last_error,
    }
