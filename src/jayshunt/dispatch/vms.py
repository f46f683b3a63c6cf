"""Define VMs, orders for them and waves of planned stops."""

from dataclasses import dataclass
from enum import Enum

from jayshunt.dispatch.models import Resources
from jayshunt.ids import PoolName, RackName, VmId, WorkerId, ZoneName


class VmState(Enum):
    """Name the state of a VM in the platform's list."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True)
class Vm:
    """Hold one VM of the platform's list."""

    vm: VmId
    pool: PoolName
    state: VmState
    zone: ZoneName
    rack: RackName
    labels: frozenset[str]
    capacity: Resources
    worker: WorkerId | None = None


class DutyRefusal(Enum):
    """Name why the platform refused an order for a VM."""

    FENCED = "fenced"
    BUSY = "busy"
    NOT_OF_WAVE = "not of that wave"
    OTHER = "refused"


@dataclass(frozen=True)
class DutyAnswer:
    """Hold the answer to an order for a VM."""

    refusal: DutyRefusal | None


@dataclass(frozen=True)
class Wave:
    """Hold a wave of planned stops: VMs due for upkeep, `max_down` at once."""

    number: int
    vms: tuple[VmId, ...]
    deadline_s: float
    max_down: int = 1
