"""Define the records of which VM of a zone serves which pool."""

from dataclasses import dataclass, field
from enum import Enum

from jayshunt.ids import EntryId, Epoch, PoolName, RackName, VmId, ZoneName
from jayshunt.maintenance.models import WaveProgress


class VmKind(Enum):
    """Name the kinds of software that the platform runs on a VM."""

    UPSTREAM = "upstream"
    WORKER = "worker"


class AssignmentState(Enum):
    """Name the states of a VM that moves between pools or reboots.

    A LEAVING VM gets no new work. A DRAINED VM has no work left, which all registered
    entries acknowledged. A VM in MAINTENANCE reboots or is on probation.
    """

    SERVING = "serving"
    LEAVING = "leaving"
    DRAINED = "drained"
    MAINTENANCE = "maintenance"


@dataclass(frozen=True)
class Assignment:
    """Assign one VM to exactly one pool.

    `epoch` is the epoch of the record at which this assignment last changed, and
    `changed_s` the wall time of that change. `next_pool` is set while the VM
    moves, and `wave` while it is down for a maintenance wave; `done_waves` names
    the waves that it has completed. `reason` is the reason of the last change.
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
    """Contain all assignments of one zone; each change increments `epoch`.

    `fence` is the fencing epoch: each new controller increments it once, and a
    controller that reads a higher one than its own has been replaced.
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
    """Identify an entry that may act as broker in its zone.

    `incarnation` is higher for a later process of the same entry. `registered_s` is
    the wall time of the registration, or 0 if the record was not read from the store.
    """

    entry: EntryId
    incarnation: int
    peer_address: str
    registered_s: float


@dataclass(frozen=True)
class Acknowledgement:
    """Acknowledge to a controller that an entry applied a record's epoch.

    `in_flight` counts the requests that the entry still has on VMs that are not
    serving, whether as their broker or as the entry that sent them. `failing`
    names the VMs that its brokers ejected. `demand` is the mean demand of the last
    minutes, in slots, of each pool of which it is broker.
    """

    entry: EntryId
    incarnation: int
    epoch: Epoch
    in_flight: dict[VmId, int] = field(default_factory=dict)
    failing: tuple[VmId, ...] = ()
    demand: dict[PoolName, float] = field(default_factory=dict)


@dataclass(frozen=True)
class ZoneDemand:
    """Contain each pool's mean demand of the last minutes, in slots.

    `complete` is False if an entry of the zone did not answer; the demand that its
    brokers measure may then be missing here.
    """

    slots: dict[PoolName, float] = field(default_factory=dict)
    complete: bool = False
