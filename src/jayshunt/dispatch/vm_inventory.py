"""Keep the platform's list of VMs, with what was ordered since it was read."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import replace

from jayshunt.dispatch.const import VM_LIST_JOIN_LAG_S, VM_LIST_LAG_S
from jayshunt.dispatch.evacuation import EvacuationReason
from jayshunt.dispatch.fleet import WorkerView, has_not_answered
from jayshunt.dispatch.models import FleetConfig
from jayshunt.dispatch.vms import Vm, VmState
from jayshunt.ids import PoolName, VmId, WorkerId

_LOGGER = logging.getLogger(__name__)

Views = dict[WorkerId, WorkerView]


class VmInventory:
    """VMs by id; the caller holds the dispatcher's lock around changes."""

    def __init__(self, config: Callable[[], FleetConfig | None]) -> None:
        """Start without a list; `config` tells which pools are spare.

        `named` are the workers that some list showed on a VM.
        """
        self._config = config
        self.vms: dict[VmId, Vm] = {}
        self.listed_s: float | None = None
        self.named: set[WorkerId] = set()
        self._last_named_s: dict[VmId, float] = {}
        self._before_s = 0.0
        self._recent_vms: set[VmId] = set()
        self._recent_workers: set[WorkerId | None] = set()
        self._is_whole = False
        self._are_whole = False

    def apply_list(
        self, vms: Iterable[Vm], now_s: float, is_complete: bool = True
    ) -> None:
        """Replace the VMs by those of a list that was requested at `now_s`.

        A VM keeps the largest size that it had, as its worker may shrink for a while.
        `is_complete` is False if the list may have further VMs.
        """
        before, self.vms = self.vms, {vm.vm: self._at_full_size(vm) for vm in vms}
        if self.listed_s is not None:
            self._log_changes(before)
            self._before_s = self.listed_s
        self.listed_s = now_s
        self._last_named_s.update(dict.fromkeys(self.vms, now_s))
        self._record_recent(before, is_complete)

    def shows_gone(self, worker: WorkerId, vm: VmId | None) -> bool:
        """Return whether the last two lists show that a worker had ended.

        `vm` is where the worker ran, None if it is unknown. The platform names the
        worker of each VM that is up. One list does not suffice: a VM that leaves while
        its pages are read may hide another one.
        """
        if worker in self._recent_workers:
            return False
        known = None if vm is None else self.vms.get(vm)
        if known is None:
            return self._are_whole and vm not in self._recent_vms
        is_unnamed = known.state is VmState.UP and known.worker is None
        return known.is_readable and not (
            is_unnamed and known.pool not in self.spare_pools()
        )

    def shows_absent(self, vm: VmId, known_s: float) -> bool:
        """Return whether the last two lists show that there is no VM of a name.

        The name was in use at `known_s`, in monotonic seconds. A list that was
        requested before or shortly after may be older than the VM, also if the name was
        listed earlier: the VM may have left and come back.
        """
        if not self._are_whole or vm in self._recent_vms:
            return False
        counts_from_s = known_s + VM_LIST_JOIN_LAG_S
        named_s = self._last_named_s.get(vm)
        if named_s is not None and named_s >= known_s:
            counts_from_s = named_s + VM_LIST_LAG_S
        return self._before_s >= counts_from_s

    def may_return(self, vm: VmId | None) -> bool:
        """Return whether the last worker of a VM may start again under its id."""
        known = None if vm is None else self.vms.get(vm)
        return known is not None and known.worker is None

    def _record_recent(self, before: dict[VmId, Vm], is_whole: bool) -> None:
        """Record what this list and the one before show."""
        lists = (before, self.vms)
        self._recent_vms = {name for vms in lists for name in vms}
        self._recent_workers = {vm.worker for vms in lists for vm in vms.values()}
        self.named |= {vm.worker for vm in self.vms.values() if vm.worker}
        is_whole = bool(self.vms) and is_whole
        is_whole &= all(vm.is_readable for vm in self.vms.values())
        self._are_whole, self._is_whole = self._is_whole and is_whole, is_whole

    def _log_changes(self, before: dict[VmId, Vm]) -> None:
        """Log the VMs that were lost, left or came back since the list before."""
        for name in before.keys() | self.vms.keys():
            old, new = before.get(name), self.vms.get(name)
            if old is None or (new is not None and new.state is old.state):
                continue
            _LOGGER.info(
                "dispatch: a VM changed its state",
                extra={
                    "vm": name,
                    "pool": old.pool,
                    "worker": old.worker,
                    "before": old.state.value,
                    "state": "gone" if new is None else new.state.value,
                },
            )

    def _at_full_size(self, vm: Vm) -> Vm:
        known = self.vms.get(vm.vm)
        if known is None or vm.capacity.can_fit(known.capacity):
            return vm
        return replace(vm, capacity=known.capacity)

    def record_order(self, vm: VmId, reason: EvacuationReason) -> None:
        """Record an order that the platform accepted; it ended the VM's worker."""
        known = self.vms[vm]
        self.vms[vm] = replace(
            known,
            pool=known.pool if reason.pool is None else reason.pool,
            state=VmState.MOVING if reason.wave is None else VmState.UPKEEP,
            worker=None,
        )

    def spare_pools(self) -> set[PoolName]:
        """Return the pools whose VMs are off."""
        config = self._config()
        return {p.pool for p in config.pools if p.is_spare} if config else set()

    def knows_all_workers(self, views: Views) -> bool:
        """Return whether the worker of each VM that is up has a view.

        VMs of spare pools are not considered.
        """
        if self.listed_s is None:
            return False
        spare = self.spare_pools()
        return all(
            vm.worker in views
            for vm in self.vms.values()
            if vm.state is VmState.UP and vm.worker is not None and vm.pool not in spare
        )

    def spare_cores(self) -> float:
        """Return the cores of VMs that are off and can be fetched."""
        spare = self.spare_pools()
        millicores = sum(
            vm.capacity.cpu_millicores
            for vm in self.vms.values()
            if vm.state is VmState.UP and vm.pool in spare
        )
        return millicores / 1000

    def is_changing(self) -> bool:
        """Return whether any VM is moving or in upkeep."""
        return any(
            vm.state in (VmState.MOVING, VmState.UPKEEP) for vm in self.vms.values()
        )

    def views_by_vm(self, views: Views) -> dict[VmId, WorkerView]:
        """Return the view of the worker on each VM that has one.

        A worker whose VM was ordered away counts as gone until it answers again.
        """
        found: dict[VmId, WorkerView] = {}
        present = {
            worker: view
            for worker, view in views.items()
            if view.ordered_away_s is None
        }
        for vm in self.vms.values():
            if vm.worker is not None and vm.worker in present:
                found[vm.vm] = present[vm.worker]
        for view in present.values():
            vm = view.worker.vm
            known = found.get(vm)
            # A stale entry of the worker list must not hide the VM's current worker.
            if vm is not None and (known is None or has_not_answered(known)):
                found[vm] = view
        return found
