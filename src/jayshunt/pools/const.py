"""Define the store keys, intervals and limits of the package."""

CONTROL_INTERVAL_S = 1.0
CONTROLLER_LEASE_S = 5.0
# The registration of an entry whose VM is missing from the platform's list is
# removed after this time without an answer. If the list omitted the VM by mistake, the
# entry registers again at its next check, so the mistake costs only a delay.
QUIET_PERIOD_S = 10.0
# The platform's list may omit a VM for a short time, so the VM's assignment is
# kept for this long.
ABSENT_LIMIT_S = 60.0
# A VM in maintenance may be missing from the list while it reboots slowly.
REBOOT_ABSENT_LIMIT_S = 1800.0
ACKNOWLEDGE_TIMEOUT_S = 1.0
REGISTRATION_CHECK_S = 5.0
# The controller sends the record again at this interval, for entries that missed
# a change.
PUSH_INTERVAL_S = 5.0
# A move takes a drain, a reboot and 30 s of probation until the VM serves.
MOVE_TIME_S = 60.0
PLAN_INTERVAL_S = 5.0
# A surplus VM stays in its pool for this long, because a VM that is given up and
# needed again costs two moves.
RELEASE_AFTER_S = 10 * MOVE_TIME_S
# Above this share of a pool's slots, bursts that last for seconds make requests
# queue.
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
