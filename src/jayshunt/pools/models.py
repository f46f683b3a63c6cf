"""Describe which VM of a zone serves which pool."""

from dataclasses import dataclass, field
from enum import Enum

from jayshunt.ids import Epoch, PoolName, RackName, VmId, ZoneName


class VmKind(Enum):
    """Say what the platform runs on a VM."""

    UPSTREAM = "upstream"
    WORKER = "worker"


class AssignmentState(Enum):
    """Name the steps of a VM between two pools or through a reboot."""

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINED = "drained"
    MAINTENANCE = "maintenance"


@dataclass(frozen=True)
class Assignment:
    """Assign one VM to the one pool that it belongs to.

    `epoch` is the epoch of the record at which this assignment last changed.
    `next_pool` is set while the VM moves; `reason` says why it last changed.
    """

    vm: VmId
    pool: PoolName
    state: AssignmentState
    epoch: Epoch
    address: str
    rack: RackName
    kind: VmKind = VmKind.UPSTREAM
    next_pool: PoolName | None = None
    reason: str = ""


@dataclass(frozen=True)
class AssignmentRecord:
    """Hold all assignments of one zone; `epoch` rises with each change."""

    zone: ZoneName
    epoch: Epoch = Epoch(0)
    assignments: dict[VmId, Assignment] = field(default_factory=dict)

    def serving(self, pool: PoolName, kind: VmKind) -> tuple[Assignment, ...]:
        """Return the assignments that take new work for a pool."""
        return tuple(
            a
            for a in self.assignments.values()
            if a.pool == pool and a.kind is kind and a.state is AssignmentState.SERVING
        )
