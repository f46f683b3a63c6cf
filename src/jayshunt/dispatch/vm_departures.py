"""Empty VMs that are to move or due for upkeep, and order the platform to take them."""

import logging
from collections.abc import Set
from concurrent.futures import ThreadPoolExecutor

from jayshunt.clock import Clock
from jayshunt.dispatch.const import VM_LIST_LAG_S
from jayshunt.dispatch.evacuation import Evacuation, EvacuationReason
from jayshunt.dispatch.fleet import WorkerView, has_not_answered
from jayshunt.dispatch.order_budget import OrderBudget
from jayshunt.dispatch.recent_orders import RecentOrders
from jayshunt.dispatch.run_reports import StopOrder
from jayshunt.dispatch.vm_inventory import VmInventory
from jayshunt.dispatch.vms import DutyAnswer, DutyRefusal, VmState
from jayshunt.dispatch.wave_book import WaveBook
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import VmId, WorkerId
from jayshunt.platform.machine_calls import VmServiceClient
from jayshunt.platform.store import PlatformStore

_LOGGER = logging.getLogger(__name__)

# One order takes about 5 ms, so this many calls in parallel are more than enough for
# the order rate of a large fleet.
MAX_CALLS_AT_ONCE = 12
# A VM whose order was refused is chosen again after this time, so that others get their
# turn meanwhile.
REFUSED_PAUSE_S = 3.0

Leaving = list[tuple[Evacuation, WorkerView | None]]


class VmDepartures:
    """Track the VMs that are being emptied and send the orders for empty ones.

    An order is sent only for a VM whose worker certainly runs nothing, within the rate
    of the platform and the `max_down` of its wave, and after it was stored.
    """

    def __init__(
        self,
        dispatcher,
        store: PlatformStore,
        machines: VmServiceClient | None,
        clock: Clock,
        inventory: VmInventory,
        waves: WaveBook,
        orders_per_s: float,
    ) -> None:
        """Start with no VM to empty; `recent_orders` is set before `advance`."""
        self._dispatcher = dispatcher
        self._store = store
        self._machines = machines
        self._clock = clock
        self._inventory = inventory
        self._waves = waves
        self._evacuations: dict[VmId, Evacuation] = {}
        self._refused_s: dict[VmId, float] = {}
        self._maybe_down_s: dict[VmId, float] = {}
        self._budget = OrderBudget(orders_per_s)
        self._callers = ThreadPoolExecutor(MAX_CALLS_AT_ONCE, "vm-orders")
        self.recent_orders: RecentOrders | None = None
        self.moves = 0

    def being_emptied(self) -> set[VmId]:
        """Return the VMs that are being emptied."""
        return set(self._evacuations)

    def not_to_choose(self, now_s: float) -> set[VmId]:
        """Return the VMs that were ordered too recently or whose order was refused."""
        refused = {
            vm for vm, at_s in self._refused_s.items() if now_s - at_s < REFUSED_PAUSE_S
        }
        return refused | self.recent_orders.blocked(now_s)

    def available_orders(self, now_s: float) -> int:
        """Return how many orders the platform's rate allows now."""
        return self._budget.available(now_s)

    def begin(
        self,
        vm: VmId,
        reason: EvacuationReason,
        view: WorkerView | None,
        now_s: float,
    ) -> None:
        """Begin to empty a VM."""
        self._evacuations[vm] = Evacuation(vm, reason, now_s)
        if view is not None:
            view.evacuation_reason = reason
        _LOGGER.info(
            "dispatch: a VM is being emptied",
            extra={
                "vm": vm,
                "reason": str(reason),
                "pool": self._inventory.vms[vm].pool,
                "tasks": 0 if view is None else len(view.tasks),
            },
        )

    def drop_gone_vms(self) -> None:
        """Forget the VMs that left the platform's list, whose workers may be used."""
        views = self._inventory.views_by_vm(self._dispatcher.tracker.workers)
        for vm in self._evacuations.keys() - self._inventory.vms.keys():
            evacuation = self._evacuations.pop(vm)
            if vm in views:
                views[vm].evacuation_reason = None
            _LOGGER.info(
                "dispatch: a VM that was being emptied left the list",
                extra={"vm": vm, "reason": str(evacuation.reason)},
            )
        for vm in self._refused_s.keys() - self._inventory.vms.keys():
            del self._refused_s[vm]
        for vm, ordered_s in list(self._maybe_down_s.items()):
            if self._inventory.listed_s >= ordered_s + VM_LIST_LAG_S:
                del self._maybe_down_s[vm]

    def advance(self, now_s: float) -> None:
        """Stop what is to be stopped, and order the VMs that are empty.

        Raise JayshuntError if the platform or the store did not answer, and TermEnded
        if the term's key changed.
        """
        leaving, stops = self._find_leaving(now_s)
        self._dispatcher.send_stops(stops)
        leaving = leaving[: self._budget.available(now_s)]
        if not leaving:
            return
        self._budget.take(len(leaving))
        ordered = {
            evacuation.vm: self._worker_on(evacuation.vm, view)
            for evacuation, view in leaving
        }
        condition = self._dispatcher.term_condition
        self.recent_orders.write(self._store, condition, ordered, now_s)
        calls = [
            self._callers.submit(self._send_order, evacuation, view, now_s)
            for evacuation, view in leaving
        ]
        errors = [call.exception() for call in calls]
        for error in errors:
            if error is not None:
                raise error

    def _find_leaving(self, now_s: float) -> tuple[Leaving, list[StopOrder]]:
        """Return the VMs that may leave now, and the runs to stop on the others."""
        leaving: Leaving = []
        stops: list[StopOrder] = []
        with self._dispatcher.lock:
            tracker = self._dispatcher.tracker
            views = self._inventory.views_by_vm(tracker.workers)
            spare = self._inventory.spare_pools()
            blocked = self.recent_orders.blocked(now_s)
            down = self._find_down(blocked)
            for evacuation in self._evacuations.values():
                vm, wave = evacuation.vm, evacuation.reason.wave
                view = views.get(vm)
                if view is not None:
                    view.evacuation_reason = evacuation.reason
                    stops += evacuation.next_stops(view, tracker, now_s)
                is_off = self._inventory.vms[vm].pool in spare
                if vm in blocked or not self._runs_nothing(is_off, view, now_s):
                    continue
                if wave is not None:
                    declared = self._waves.states[wave].wave
                    others = down.intersection(declared.vms) - {vm}
                    if len(others) >= declared.max_down:
                        continue
                    down.add(vm)
                leaving.append((evacuation, view))
            self._use_blocked_again(views, now_s)
        return leaving, stops

    def _use_blocked_again(self, views: dict[VmId, WorkerView], now_s: float) -> None:
        """Use the VMs again on which no run may be stopped.

        They take new starts meanwhile, and may be chosen once more later.
        """
        for vm, evacuation in list(self._evacuations.items()):
            if not evacuation.is_blocked(now_s):
                continue
            del self._evacuations[vm]
            if vm in views:
                views[vm].evacuation_reason = None
            _LOGGER.info(
                "dispatch: a VM is used again, its runs may not be stopped",
                extra={
                    "vm": vm,
                    "reason": str(evacuation.reason),
                    "pool": self._inventory.vms[vm].pool,
                    "after_ms": round((now_s - evacuation.begun_s) * 1000),
                },
            )

    def _find_down(self, blocked: Set[VmId]) -> set[VmId]:
        """Return the VMs that are in upkeep or may be.

        A VM for which upkeep was ordered may be until a list shows its state after the
        call, also if the order got no answer. So may those in `blocked`, which an
        earlier dispatcher ordered.
        """
        vms = self._inventory.vms.values()
        listed = {vm.vm for vm in vms if vm.state is VmState.UPKEEP}
        return listed | self._maybe_down_s.keys() | blocked

    def _worker_on(self, vm: VmId, view: WorkerView | None) -> WorkerId | None:
        """Return the worker that an order for a VM ends.

        A worker has no view once its lease expired without an answer, but it may
        return to the worker list. The worker in the VM list is then used.
        """
        return self._inventory.vms[vm].worker if view is None else view.worker.worker

    def _runs_nothing(
        self, is_off: bool, view: WorkerView | None, now_s: float
    ) -> bool:
        """Return whether an order for a VM certainly ends no run.

        `is_off` tells that the VM is in a spare pool. At the start of a term, a worker
        that has not answered yet may have runs of earlier terms.
        """
        if is_off and has_not_answered(view):
            return True
        if view is None:
            return self._dispatcher.planner.knows_all_runs
        return view.is_confirmed_empty(now_s)

    def _send_order(
        self, evacuation: Evacuation, view: WorkerView | None, now_s: float
    ) -> None:
        vm, reason = evacuation.vm, evacuation.reason
        if not self._dispatcher.term_valid():
            return
        try:
            answer = self._call(evacuation)
        except JayshuntError as error:
            if error.outcome is Outcome.UNKNOWN:
                self._record_maybe_down(evacuation)
            raise
        _LOGGER.info(
            "dispatch: ordered for a VM",
            extra={
                "vm": vm,
                "order": str(reason),
                "token": self._dispatcher.token,
                "refusal": answer.refusal.value if answer.refusal else None,
                "emptied_in_ms": round((now_s - evacuation.begun_s) * 1000),
            },
        )
        with self._dispatcher.lock:
            if answer.refusal is None:
                self._apply_accepted(evacuation, view)
            else:
                self._apply_refusal(evacuation, view, answer.refusal)

    def _call(self, evacuation: Evacuation) -> DutyAnswer:
        vm, reason, token = evacuation.vm, evacuation.reason, self._dispatcher.token
        if reason.wave is not None:
            return self._machines.upkeep(vm, reason.wave, token)
        return self._machines.move(vm, reason.pool, token)

    def _record_maybe_down(self, evacuation: Evacuation) -> None:
        """Record that an order got no answer, and may have been carried out.

        A later refusal tells nothing of it: a VM that is in upkeep is busy.
        """
        vm, reason = evacuation.vm, evacuation.reason
        with self._dispatcher.lock:
            self._maybe_down_s[vm] = self._clock.monotonic_s()
        _LOGGER.info(
            "dispatch: an order for a VM got no answer and may be carried out",
            extra={"vm": vm, "order": str(reason)},
        )

    def _apply_accepted(self, evacuation: Evacuation, view: WorkerView | None) -> None:
        """Apply an accepted order: the VM had its upkeep, or is in the pool.

        The platform also accepts an order that it carried out before, of which the
        answer was lost or which an earlier dispatcher gave. So only the worker's
        silence shows that the order ended it.
        """
        vm, reason = evacuation.vm, evacuation.reason
        self._evacuations.pop(vm, None)
        self._inventory.record_order(vm, reason)
        if view is not None:
            self._dispatcher.tracker.record_ordered_away(
                view, self._clock.monotonic_s()
            )
        if reason.wave is not None:
            self._maybe_down_s[vm] = self._clock.monotonic_s()
            self._waves.mark_done(reason.wave, vm)
        else:
            self.moves += 1

    def _apply_refusal(
        self, evacuation: Evacuation, view: WorkerView | None, refusal: DutyRefusal
    ) -> None:
        if refusal is DutyRefusal.FENCED:
            self._dispatcher.report_deposed("the platform refused the fencing token")
            return
        # A VM that is busy is down or leaving; the next VM list shows which.
        self._evacuations.pop(evacuation.vm, None)
        self._refused_s[evacuation.vm] = self._clock.monotonic_s()
        if view is not None:
            view.evacuation_reason = None
        if refusal is DutyRefusal.NOT_OF_WAVE:
            self._waves.record_not_of_wave(
                evacuation.reason.wave, evacuation.vm, self._clock.monotonic_s()
            )
