"""Report waves, permits and denied permits with their reasons."""

from dataclasses import asdict

from jayshunt.maintenance.models import WaveStatus
from jayshunt.maintenance.runner import MaintenanceRunner


def describe(runner: MaintenanceRunner) -> dict:
    """Return the waves of the zone and the permits of its pools.

    The permits are as of the zone's last report to each budget.
    """
    return {
        "waves": [wave_row(status) for status in runner.statuses],
        "denied": {
            vm: {"pool": denied.pool, "code": denied.code, "reason": denied.reason}
            for vm, denied in runner.denied.items()
        },
        "permits": {
            pool: {vm: asdict(permit) for vm, permit in budget.permits.items()}
            for pool, budget in runner.budgets.items()
            if budget.permits
        },
    }


def wave_row(status: WaveStatus) -> dict:
    """Return the fields of one wave for an entry's status and diagnostics dump."""
    return {**asdict(status), "state": status.state.value}
