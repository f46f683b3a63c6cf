"""Decide which VMs move between pools, without network or clock."""

from collections.abc import Iterable
from dataclasses import dataclass

from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.models import FleetConfig, Vm
from jayshunt.dispatch.tasks import Job
from jayshunt.ids import PoolName, VmId


@dataclass
class PoolSizer:
    """Own what was learned of the pools' demand."""

    def decide(
        self,
        config: FleetConfig,
        jobs: Iterable[Job],
        vms: dict[VmId, Vm],
        views: dict[VmId, WorkerView],
        being_emptied: set[VmId],
        in_waves: set[VmId],
        now_s: float,
    ) -> list[tuple[VmId, PoolName]]:
        """Return the moves to begin now."""
        return []
