"""Define the store keys, intervals and limits of the package."""

# A zone's report is written when it changes and at least this often. At 41 pools
# in 15 zones the refresh alone is 10 writes/s, a tenth of the limit of 100 writes/s.
REPORT_REFRESH_S = 60.0
# A zone with 41 pools spreads its reports over several steps and writes changed ones
# first. Without this limit, 15 zones that wrote every report at once exceeded
# 100 writes/s.
MAX_REPORTS_PER_STEP = 10
# All members of a zone count as down if the zone's last report is older than this.
REPORT_STALE_S = 150.0
# A permit of at least this age is released if its VM serves again or never began
# to leave.
ORPHAN_PERMIT_S = 30.0
# A VM serves again after it has passed all health checks for this long.
PROBATION_S = 30.0
# A reboot counts as done after this time if no health check failed meanwhile.
REBOOT_MIN_S = 15.0
# A VM that is in maintenance for longer than this counts as a failure of its wave.
RETURN_LIMIT_S = 900.0
# Assumed maintenance time of one VM until the first ones have been measured.
DEFAULT_VM_MAINTENANCE_S = 300.0
# Largest number of VMs that a wave takes down at once.
MAX_WIDTH = 16
# A wave stops for HOLD_S when this many of its VMs are failed at the same time.
STOP_FAILURES = 2
HOLD_S = 600.0
PROBE_TIMEOUT_S = 1.0


def budget_key(pool: str) -> str:
    """Return the key of a pool's permits and reports."""
    return f"budgets/{pool}"
