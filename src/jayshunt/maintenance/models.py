"""Define permits, availability reports and maintenance waves."""

from dataclasses import dataclass, field
from enum import Enum

from jayshunt.ids import Epoch, PoolName, RackName, VmId, ZoneName


@dataclass(frozen=True)
class WaveProgress:
    """Record the progress of a maintenance wave in one zone.

    `width` is the number of VMs that may be down for the wave at once; it starts
    at one VM, the canary. `streak` counts the successes since the width last
    changed. `failed` names the VMs that did not come back in time. No further VM is
    taken down before `hold_until_s` (wall time).
    """

    width: int = 1
    streak: int = 0
    succeeded: int = 0
    failed: tuple[VmId, ...] = ()
    hold_until_s: float = 0.0
    reason: str = ""


@dataclass(frozen=True)
class Permit:
    """Allow one VM of a pool to be taken down.

    `fence` is the fencing epoch of the controller that got the permit, so that
    a replaced controller cannot release a permit of its successor.
    """

    pool: PoolName
    vm: VmId
    zone: ZoneName
    fence: Epoch
    reason: str
    granted_s: float


@dataclass(frozen=True)
class PermitDenied:
    """Report that a permit was denied, and the reason.

    `code` is "not_controller", "list_stale", "budget" or the code of a store error.
    """

    pool: PoolName
    vm: VmId
    code: str
    reason: str


@dataclass(frozen=True)
class PoolMember:
    """Describe one VM of a pool for its budget."""

    vm: VmId
    zone: ZoneName
    rack: RackName
    kind: str


@dataclass(frozen=True)
class ZoneReport:
    """Report the members of a pool in one zone, and which of them are down."""

    zone: ZoneName
    fence: Epoch
    as_of_s: float
    members: dict[VmId, PoolMember] = field(default_factory=dict)
    down: dict[VmId, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Budget:
    """Contain the permits of a pool and the reports of all its zones."""

    permits: dict[VmId, Permit] = field(default_factory=dict)
    reports: dict[ZoneName, ZoneReport] = field(default_factory=dict)


class WaveState(Enum):
    """Name the states of a maintenance wave in a zone.

    CANARY lasts until the first VM succeeded. A wave is SLOWED while a VM has not come
    back in time, STOPPED during a hold after failures, and WAITING if a permit was
    denied while none of its VMs is down.
    """

    CANARY = "canary"
    RUNNING = "running"
    SLOWED = "slowed"
    STOPPED = "stopped"
    WAITING = "waiting"
    DONE = "done"


@dataclass(frozen=True)
class WaveStatus:
    """Show operators how far a wave is and why it waits.

    `forecast_s` is the wall time at which the wave is expected to end, or None if
    it cannot end under the current budgets; `remedy` names changes with which it
    would end by its date.
    """

    wave: str
    state: WaveState
    remaining: int
    down: int
    done: int
    width: int
    reason: str = ""
    forecast_s: float | None = None
    late: bool = False
    remedy: str = ""
