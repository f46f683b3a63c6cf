"""Describe what others may read of a broker."""

from dataclasses import dataclass

from jayshunt.admission.instances import InstanceState
from jayshunt.ids import ClassName, VmId


@dataclass(frozen=True)
class BrokerSnapshot:
    """Hold the state of one broker at one moment; demand is in slots."""

    granting: bool
    waiting: int
    slots: int
    slots_usable: int
    run_ms: dict[ClassName, float]
    usual_slots: dict[ClassName, float]
    recent_slots: dict[ClassName, float]
    refusals: dict[tuple[str, str], int]
    instances: dict[VmId, InstanceState]
