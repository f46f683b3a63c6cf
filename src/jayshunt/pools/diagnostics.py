"""Report whether this entry controls the zone, and why moves wait."""

from dataclasses import asdict

from jayshunt.pools.capacity_control import CapacityControl
from jayshunt.pools.controller import ZoneController
from jayshunt.pools.models import AssignmentState


def describe(controller: ZoneController, capacity: CapacityControl) -> dict:
    """Return a summary of the zone's record, with each VM that does not serve."""
    record = controller.record
    return {
        "epoch": record.epoch,
        "fence": record.fence,
        "is_controller": controller.holds_lease,
        "may_broker": controller.may_broker,
        "moves": {
            vm: {
                "pool": a.pool,
                "next_pool": a.next_pool,
                "state": a.state.value,
                "reason": a.reason,
                "waits_for": controller.drain_blockers.get(vm, ""),
            }
            for vm, a in record.assignments.items()
            if a.state is not AssignmentState.SERVING
        },
        "ejected": controller.ejected_vms(),
        "demand_slots": controller.demand().slots,
        "plan": capacity.plan.reasons,
        "waves": {name: asdict(wave) for name, wave in record.waves.items()},
    }
