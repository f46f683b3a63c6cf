"""Name the keys and limits of the maintenance slice."""

# A zone's report is written when it changes and at least this often; at 41 pools
# in 15 zones the refresh alone is 10 writes/s, a tenth of the goal.
REPORT_REFRESH_S = 60.0
# A zone with 41 pools spreads its reports over several steps, changes first; 15 zones
# that all wrote every report at once exceeded 100 writes/s.
MAX_REPORTS_PER_STEP = 10
# The members of a zone that was not heard from for this long count as down.
REPORT_STALE_S = 150.0
# A permit whose VM serves again, or never began to leave, is given back.
ORPHAN_PERMIT_S = 30.0
PROBATION_S = 30.0
# A reboot that was never seen to take the VM down counts as done after this.
REBOOT_MIN_S = 15.0
# A VM that is not back in service by then counts as a failure of its wave.
RETURN_LIMIT_S = 900.0
# Assumed time for one VM until the first ones were measured.
DEFAULT_VM_S = 300.0
MAX_WIDTH = 16
# A wave stops when this many of its VMs are down as failures at once.
STOP_FAILURES = 2
HOLD_S = 600.0
PROBE_TIMEOUT_S = 1.0


def budget_key(pool: str) -> str:
    """Return the key of a pool's permits and reports."""
    return f"budgets/{pool}"
