"""Describe which VM of a zone serves which pool."""

from dataclasses import dataclass, field
from enum import Enum

from jayshunt.ids import EntryId, Epoch, PoolName, RackName, VmId, ZoneName
from jayshunt.maintenance.models import WaveProgress


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

    `epoch` is the epoch of the record at which this assignment last changed, and
    `changed_s` the wall time of that change. `next_pool` is set while the VM
    moves and `wave` while a planned stop takes it down; `done_waves` names the
    planned stops that reached it. `reason` says why it last changed.
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
    changed_s: float = 0.0
    wave: str = ""
    done_waves: tuple[str, ...] = ()


@dataclass(frozen=True)
class AssignmentRecord:
    """Hold all assignments of one zone; `epoch` rises with each change.

    `fence` is the fencing epoch: each new controller raises it once, and a
    controller that meets a higher one than its own has been replaced.
    """

    zone: ZoneName
    epoch: Epoch = Epoch(0)
    assignments: dict[VmId, Assignment] = field(default_factory=dict)
    fence: Epoch = Epoch(0)
    waves: dict[str, WaveProgress] = field(default_factory=dict)

    def serving(self, pool: PoolName, kind: VmKind) -> tuple[Assignment, ...]:
        """Return the assignments that take new work for a pool."""
        return tuple(
            a
            for a in self.assignments.values()
            if a.pool == pool and a.kind is kind and a.state is AssignmentState.SERVING
        )


@dataclass(frozen=True)
class EntryRegistration:
    """Name an entry that may act as broker in its zone."""

    entry: EntryId
    incarnation: int
    peer_address: str
    registered_s: float


@dataclass(frozen=True)
class Acknowledgement:
    """Tell a controller which epoch an entry applied.

    `in_flight` counts the requests that the entry still has on VMs that are not
    serving, whether as their broker or as the entry that sent them. `failing`
    names VMs that its brokers ejected. `demand` gives the mean demand of the last
    minutes for each pool of which it is broker, in slots.
    """

    entry: EntryId
    incarnation: int
    epoch: Epoch
    in_flight: dict[VmId, int] = field(default_factory=dict)
    failing: tuple[VmId, ...] = ()
    demand: dict[PoolName, float] = field(default_factory=dict)


@dataclass(frozen=True)
class ZoneDemand:
    """Hold the mean demand of the last minutes in slots for each pool.

    `complete` is False if an entry of the zone did not answer; its brokers may
    then have demand that is missing here.
    """

    slots: dict[PoolName, float] = field(default_factory=dict)
    complete: bool = False
