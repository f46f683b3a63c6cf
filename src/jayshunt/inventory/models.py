"""Define the platform's list of VMs."""

from dataclasses import dataclass, field
from enum import Enum

from jayshunt.ids import PoolName, RackName, VmId, ZoneName
from jayshunt.pools.models import VmKind


class ListedState(Enum):
    """State of a VM in the platform's list.

    LEAVING: the platform takes the VM out of service, for example to reboot it.
    """

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class ListedVm:
    """One VM as listed by the platform.

    `address` is the HOST:PORT of the VM's service. `initial_pool` is the pool of a VM
    that has no assignment yet.
    """

    vm: VmId
    address: str
    zone: ZoneName
    rack: RackName
    kind: VmKind
    state: ListedState
    cpu_cores: float = 0.0
    memory_bytes: int = 0
    accelerators: int = 0
    initial_pool: PoolName = PoolName("")


@dataclass(frozen=True)
class VmList:
    """The list of VMs as of `as_of_s`, wall time in seconds.

    `entries` are the peer addresses of the listed entry VMs.
    """

    as_of_s: float = 0.0
    vms: dict[VmId, ListedVm] = field(default_factory=dict)
    entries: tuple[str, ...] = ()
