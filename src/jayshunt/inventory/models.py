"""Describe the platform's list of VMs."""

from dataclasses import dataclass, field
from enum import Enum

from jayshunt.ids import PoolName, RackName, VmId, ZoneName
from jayshunt.pools.models import VmKind


class ListedState(Enum):
    """Say what the platform's list tells of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class ListedVm:
    """Describe one VM as the platform listed it.

    `initial_pool` is the pool for a VM that no assignment record names yet.
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
    """Hold the list as of a wall time in seconds.

    `entries` are the peers' addresses of entry VMs that the platform lists.
    """

    as_of_s: float = 0.0
    vms: dict[VmId, ListedVm] = field(default_factory=dict)
    entries: tuple[str, ...] = ()
