"""Name the keys and limits of the pools slice."""

CONTROL_INTERVAL_S = 1.0
CONTROLLER_LEASE_S = 5.0
# An entry whose VM is gone from the platform's list is removed after this time
# without an answer; a list that drops a VM by mistake costs only a delay.
QUIET_PERIOD_S = 10.0
# The list may drop a VM for a short time, so its assignment is kept this long.
ABSENT_LIMIT_S = 60.0
# A VM in maintenance may be missing from the list for as long as a slow reboot.
REBOOT_ABSENT_LIMIT_S = 1800.0
ACKNOWLEDGE_TIMEOUT_S = 1.0
REGISTRATION_CHECK_S = 5.0
# Entries that missed a change get the record again after this time.
PUSH_INTERVAL_S = 5.0
# A move drains, reboots and passes 30 s of probation before the VM serves.
MOVE_TIME_S = 60.0
PLAN_INTERVAL_S = 5.0
# A VM that is given up and needed again costs two moves.
RELEASE_AFTER_S = 10 * MOVE_TIME_S
# Requests queue for bursts within seconds above this part of a pool's slots.
TARGET_UTILIZATION = 0.8
MAX_RECORD_BYTES = 4 * 1024 * 1024


def assignments_key(zone: str) -> str:
    """Return the key of a zone's assignment record."""
    return f"zones/{zone}/assignments"


def controller_key(zone: str) -> str:
    """Return the key that holds the zone's controller lease."""
    return f"zones/{zone}/controller"


def entries_prefix(zone: str) -> str:
    """Return the prefix of the zone's registered entries."""
    return f"zones/{zone}/entries/"
