"""Define VMs, answers to orders for them and waves of planned stops."""

from dataclasses import dataclass
from enum import Enum

from jayshunt.dispatch.models import Resources
from jayshunt.ids import PoolName, RackName, VmId, WorkerId, ZoneName


class VmState(Enum):
    """List the states of a VM in the platform's VM list.

    UPKEEP is the platform's word for a planned stop.
    """

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True)
class Vm:
    """Represent a VM of the platform's VM list.

    If its row can't be read, `is_readable` is False and the rest is as in the last list
    that could be read.
    """

    vm: VmId
    pool: PoolName
    state: VmState
    zone: ZoneName
    rack: RackName
    labels: frozenset[str]
    capacity: Resources
    worker: WorkerId | None = None
    is_readable: bool = True

    def runs(self, worker: WorkerId) -> bool:
        """Return whether the VM is up with this worker."""
        return self.state is VmState.UP and self.worker == worker


class DutyRefusal(Enum):
    """List the reasons for which the platform refuses an order for a VM."""

    FENCED = "fenced"
    BUSY = "busy"
    NOT_OF_WAVE = "not of that wave"
    OTHER = "refused"


@dataclass(frozen=True)
class DutyAnswer:
    """Represent the answer to an order for a VM; `refusal` is None on success."""

    refusal: DutyRefusal | None


@dataclass(frozen=True)
class Wave:
    """Represent a wave of planned stops: VMs due for upkeep, `max_down` at a time.

    `deadline_s` is as the operator declared it; it is only logged.
    """

    number: int
    vms: tuple[VmId, ...]
    deadline_s: float
    max_down: int = 1
