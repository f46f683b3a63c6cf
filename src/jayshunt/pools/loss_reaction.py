"""React to the loss of a rack with the plan that was prepared for it."""

import logging
import math
from collections.abc import Callable

from jayshunt.config.models import ConfigDocument
from jayshunt.ids import PoolName, VmId
from jayshunt.inventory.models import ListedState, VmList
from jayshunt.pools.loss_plans import (
    FailureDomain,
    LossPlan,
    PlacedVm,
    prepare_loss_plans,
)
from jayshunt.pools.models import AssignmentRecord, AssignmentState, VmKind
from jayshunt.pools.mover import Mover

_LOGGER = logging.getLogger(__name__)


class LossReaction:
    """Prepare a plan for each rack of the zone, and apply it when the rack is lost.

    A pool needs the share `min_available_ratio` of its VMs in the zone; VMs of
    spare pools are the buffer. The plans are kept up to date at each step in which
    no rack is lost, so that the reaction only has to look one up.
    """

    def __init__(
        self,
        mover: Mover,
        read_config: Callable[[], ConfigDocument],
        list_vms: Callable[[], VmList],
        failing: Callable[[], dict[VmId, str]],
    ) -> None:
        """Start without plans."""
        self._mover = mover
        self._read_config = read_config
        self._list_vms = list_vms
        self._failing = failing
        self._prepared_for: tuple | None = None
        self.plans: dict[VmKind, dict[FailureDomain, LossPlan]] = {}
        self.lost: set[FailureDomain] = set()

    def step(self, record: AssignmentRecord) -> None:
        """Move VMs for each newly lost rack; update the plans if no rack is lost."""
        lost = self._lost_racks(record)
        # A rack counts as handled once all its moves have begun. Moves that a budget
        # or an error of the store prevented are tried again at the next step.
        self.lost = {
            domain
            for domain in lost
            if domain in self.lost or self._apply_plan(record, domain)
        }
        if not lost:
            self._prepare(record)

    def _apply_plan(self, record: AssignmentRecord, domain: FailureDomain) -> bool:
        begun = []
        for plans in self.plans.values():
            plan = plans.get(domain, LossPlan((), {}))
            for vm, pool in plan.moves:
                reason = f"rack {domain.rack} is lost"
                begun.append(self._mover.move(record, vm, pool, reason))
            if plan.uncovered:
                _LOGGER.warning(
                    "pools: the loss of rack %s leaves too few VMs: %s",
                    domain.rack,
                    dict(plan.uncovered),
                )
        return all(begun)

    def _prepare(self, record: AssignmentRecord) -> None:
        config = self._read_config()
        state = (record.epoch, id(config))
        if state == self._prepared_for:
            return
        self._prepared_for = state
        for kind in VmKind:
            serving = [
                a
                for a in record.assignments.values()
                if a.kind is kind and a.state is AssignmentState.SERVING
            ]
            placed = [
                PlacedVm(
                    a.vm,
                    None if _is_spare(config, a.pool) else a.pool,
                    record.zone,
                    a.rack,
                )
                for a in serving
            ]
            self.plans[kind] = prepare_loss_plans(placed, _needs(config, placed))

    def _lost_racks(self, record: AssignmentRecord) -> set[FailureDomain]:
        """Return the racks without any VM that is listed as live and not failing."""
        listed, failing = self._list_vms().vms, self._failing()
        racks: dict[FailureDomain, list[bool]] = {}
        for vm, assignment in record.assignments.items():
            item = listed.get(vm)
            is_live = item is not None and item.state is ListedState.LIVE
            # A VM in a maintenance wave is down on purpose, which is no sign that
            # its rack is lost.
            if assignment.wave:
                continue
            domain = FailureDomain(record.zone, assignment.rack)
            racks.setdefault(domain, []).append(is_live and vm not in failing)
        return {domain for domain, alive in racks.items() if not any(alive)}


def _is_spare(config: ConfigDocument, pool: PoolName) -> bool:
    configured = config.pools.get(pool)
    return configured is not None and configured.spare


def _needs(config: ConfigDocument, placed: list[PlacedVm]) -> dict[PoolName, int]:
    counts: dict[PoolName, int] = {}
    for vm in placed:
        if vm.pool is not None:
            counts[vm.pool] = counts.get(vm.pool, 0) + 1
    return {
        pool: math.ceil(config.pools[pool].min_available_ratio * count - 1e-9)
        for pool, count in counts.items()
        if pool in config.pools
    }
