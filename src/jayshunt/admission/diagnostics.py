"""Describe the state of admission and explain why a broker refuses requests."""

from jayshunt.admission.broker import Broker
from jayshunt.admission.directory import BrokerDirectory
from jayshunt.ids import PoolName, VmId


def describe_admission(directory: BrokerDirectory) -> dict:
    """Return the state of every broker of this entry for the diagnostic dump."""
    return {
        "brokers": {
            pool: describe_broker(broker)
            for pool, broker in directory.brokers().items()
        },
        "held_permits": [
            {
                "permit": own.held.permit,
                "vm": own.held.vm,
                "class": own.held.work_class,
                "pool": own.pool,
                "zone": own.zone,
                "broker": own.broker.entry,
            }
            for own in directory.permits.all()
        ],
    }


def describe_broker(broker: Broker) -> dict:
    """Return demand, slots, instances and refusals of one pool."""
    state = broker.snapshot()
    return {
        "granting": state.granting,
        "waiting": state.waiting,
        "slots": state.slots,
        "slots_usable": state.slots_usable,
        "classes": {
            name: {
                "run_ms": round(run_ms, 1),
                "usual_slots": round(state.usual_slots.get(name, 0.0), 2),
                "recent_slots": round(state.recent_slots.get(name, 0.0), 2),
            }
            for name, run_ms in sorted(state.run_ms.items())
        },
        "refusals": {f"{name} {code}": n for (name, code), n in state.refusals.items()},
        "instances": {
            vm: {
                "in_use": i.in_use,
                "stuck": i.stuck_slots,
                "leaving": i.leaving,
                "ejected": i.ejected_until_s is not None,
                "slow_start": i.ramp_from_s is not None,
                "reason": i.reason,
            }
            for vm, i in state.instances.items()
        },
        "explanation": explain_broker(broker),
    }


def explain_broker(broker: Broker) -> list[str]:
    """Return sentences that explain why requests of the pool are refused."""
    state = broker.snapshot()
    lines = []
    demand = sum(state.recent_slots.values())
    if demand > state.slots_usable:
        lines.append(
            f"demand is {demand:.1f} slots, {state.slots_usable} of"
            f" {state.slots} slots take work"
        )
        for name, recent in sorted(state.recent_slots.items()):
            usual = state.usual_slots.get(name, 0.0)
            if recent > 1.5 * usual:
                lines.append(
                    f"class {name} bursts: {recent:.1f} slots, usual {usual:.1f}"
                )
    for vm, instance in sorted(state.instances.items()):
        if instance.leaving:
            lines.append(f"instance {vm} is leaving")
        if instance.ejected_until_s is not None:
            lines.append(f"instance {vm} is ejected: {instance.reason}")
        if instance.stuck_slots:
            lines.append(
                f"instance {vm} holds {instance.stuck_slots} slots without an answer"
            )
    if not state.instances:
        lines.append("no instance is assigned to the pool in this zone")
    return lines


def ejected_instances(directory: BrokerDirectory) -> tuple[VmId, ...]:
    """Return the instances that are ejected by this entry's brokers."""
    return tuple(
        vm
        for broker in directory.brokers().values()
        for vm, instance in broker.snapshot().instances.items()
        if instance.ejected_until_s is not None
    )


def pool_demand(directory: BrokerDirectory) -> dict[PoolName, float]:
    """Return the mean demand in slots over the last minutes, per pool with a broker."""
    return {
        pool: sum(broker.snapshot().usual_slots.values())
        for pool, broker in directory.brokers().items()
    }
