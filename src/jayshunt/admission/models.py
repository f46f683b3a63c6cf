"""Define the snapshot of a broker for diagnostics."""

from dataclasses import dataclass

from jayshunt.admission.instances import InstanceState
from jayshunt.ids import ClassName, VmId


@dataclass(frozen=True)
class BrokerSnapshot:
    """Hold a copy of one broker's state.

    Demand is in slots. The keys of `refusals` are pairs of a class and a code.
    """

    granting: bool
    waiting: int
    slots: int
    slots_usable: int
    run_ms: dict[ClassName, float]
    usual_slots: dict[ClassName, float]
    recent_slots: dict[ClassName, float]
    refusals: dict[tuple[str, str], int]
    instances: dict[VmId, InstanceState]
