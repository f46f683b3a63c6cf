"""Move VMs between pools and carry out waves of planned stops."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from jayshunt.clock import Clock
from jayshunt.dispatch.const import MACHINES_IDLE_POLL_S, MACHINES_POLL_S
from jayshunt.dispatch.errors import TermEnded
from jayshunt.dispatch.evacuation import Evacuation, EvacuationReason
from jayshunt.dispatch.fleet import WorkerView, has_not_answered
from jayshunt.dispatch.models import Bounds, FleetConfig
from jayshunt.dispatch.order_budget import DEFAULT_PER_S, OrderBudget
from jayshunt.dispatch.recent_orders import RecentOrders
from jayshunt.dispatch.run_tracker import StopOrder
from jayshunt.dispatch.sizing import PoolSizer
from jayshunt.dispatch.vms import DutyRefusal, Vm, VmState
from jayshunt.dispatch.wave_book import WaveBook, WaveState
from jayshunt.dispatch.waves import choose_next
from jayshunt.errors import JayshuntError
from jayshunt.ids import PoolName, VmId, WorkerId
from jayshunt.platform.machine_calls import VmServiceClient
from jayshunt.platform.store import PlatformStore
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable

_LOGGER = logging.getLogger(__name__)

ROUND_S = 0.15
WAVES_POLL_S = 2.0
NEEDS_LOG_S = 1.0
CALL_RETRY_S = 0.3
# One order takes about 5 ms, so this many calls in parallel are more than enough for
# the order rate of a large fleet.
MAX_CALLS_AT_ONCE = 12
# Added to the time for which two dispatchers must not both give orders for one VM.
ORDER_BLOCK_MARGIN_S = 0.5


class FleetDuty:
    """Order moves and upkeep of VMs on behalf of the dispatcher of one term."""

    def __init__(
        self,
        dispatcher,
        store: PlatformStore,
        machines: VmServiceClient | None,
        clock: Clock,
        config: Callable[[], FleetConfig | None],
        bounds: Bounds,
        orders_per_s: float = DEFAULT_PER_S,
    ) -> None:
        """Start without a VM list; nothing is ordered if `machines` is None.

        `orders_per_s` is the rate of VM orders that the platform accepts.
        """
        self._dispatcher = dispatcher
        self._store = store
        self._machines = machines
        self._clock = clock
        self._config = config
        self._bounds = bounds
        self.vms: dict[VmId, Vm] = {}
        self.waves = WaveBook()
        self.sizer = PoolSizer(dispatcher.planner.run_times.predict_ms)
        self._listed_s: float | None = None
        self._waves_read_s: float | None = None
        self._is_busy = False
        self._needs_logged_s = 0.0
        self._evacuations: dict[VmId, Evacuation] = {}
        self._order_block_s = bounds.duty_handover_ms / 1000 + ORDER_BLOCK_MARGIN_S
        self._orders: RecentOrders | None = None
        self._budget = OrderBudget(orders_per_s)
        self._callers = ThreadPoolExecutor(MAX_CALLS_AT_ONCE, "vm-orders")
        self.moves = 0

    def leaves_soon(self, view: WorkerView) -> bool:
        """Return whether the worker's VM is due for upkeep in an unfinished wave."""
        return self.waves.includes(view.worker.vm)

    def knows_all_workers(self, views: dict[WorkerId, WorkerView]) -> bool:
        """Return whether the worker of each VM that is up has a view.

        VMs of spare pools are not considered.
        """
        if self._machines is None:
            return True
        if self._listed_s is None:
            return False
        return all(
            vm.worker in views
            for vm in self.vms.values()
            if vm.state is VmState.UP
            and vm.worker is not None
            and not self._is_spare(vm.pool)
        )

    def fetchable_cores(self) -> float:
        """Return the cores of VMs that any pool can get: spare or surplus ones."""
        off = sum(
            vm.capacity.cpu_millicores
            for vm in self.vms.values()
            if vm.state is VmState.UP and self._is_spare(vm.pool)
        )
        return off / 1000 + self.sizer.surplus_cores(self.vms)

    def run(self, stop: threading.Event) -> None:
        """Carry out waves and adapt pools to demand until stopped."""
        if self._machines is None:
            return
        while not stop.is_set():
            if self._dispatcher.term_valid():
                try:
                    self._round()
                except TermEnded as error:
                    self._dispatcher.report_deposed(str(error))
                except (StoreUnavailable, StoreOutcomeUnknown, JayshuntError) as error:
                    _LOGGER.info(
                        "dispatch: the duty for VMs waits", extra={"reason": str(error)}
                    )
                    self._clock.wait(stop, CALL_RETRY_S)
            self._clock.wait(stop, ROUND_S)

    def _round(self) -> None:
        now_s = self._clock.monotonic_s()
        self._read(now_s)
        if not self._dispatcher.ready.is_set():
            return
        if self._config() is None or not self._dispatcher.worker_list_read:
            return
        self._plan_waves(now_s)
        self._plan_moves(now_s)
        self._evacuate(now_s)
        self.waves.write(self._store, self._dispatcher.term_condition)

    def _read(self, now_s: float) -> None:
        if self._orders is None:
            self._orders = RecentOrders.read(self._store, now_s, self._order_block_s)
        interval_s = MACHINES_POLL_S if self._is_busy else MACHINES_IDLE_POLL_S
        if self._listed_s is None or now_s - self._listed_s >= interval_s:
            vms = self._machines.list()
            self._listed_s = now_s
            with self._dispatcher.lock:
                self.vms = {vm.vm: vm for vm in vms}
                self._drop_gone_vms()
            self._dispatcher.planner.wake()
        if self._waves_read_s is None or now_s - self._waves_read_s >= WAVES_POLL_S:
            self.waves.read(self._store)
            self._waves_read_s = now_s

    def may_have_runs(self, view: WorkerView) -> bool:
        """Return whether a worker may still run something, as far as is known.

        The worker list keeps workers of VMs that left for some seconds, and the VM
        list may lag behind the worker list. A worker has certainly ended only if the
        dispatcher of an earlier term recorded an order that ends it and the VM list
        shows that the VM is no longer up with this worker.
        """
        if self._orders is None or not self._orders.ends_worker(view.worker.worker):
            return True
        known = self.vms.get(view.worker.vm) if view.worker.vm else None
        if known is None:
            return True
        return known.state is VmState.UP and known.worker == view.worker.worker

    def _drop_gone_vms(self) -> None:
        for vm in [vm for vm in self._evacuations if vm not in self.vms]:
            self._evacuations.pop(vm)

    # --- waves ---

    def _plan_waves(self, now_s: float) -> None:
        for state in self.waves.open_states(set(self.vms)):
            self._begin_evacuations(state, now_s)

    def _begin_evacuations(self, state: WaveState, now_s: float) -> None:
        with self._dispatcher.lock:
            views = self._views_by_vm()
            chosen = choose_next(
                state.wave,
                state.done,
                self.vms,
                views,
                set(self._evacuations),
                {p.pool for p in self._config().pools if p.is_spare},
                self._orders.blocked(now_s),
            )
            for vm in chosen:
                reason = EvacuationReason.upkeep(state.wave.number)
                self._begin_evacuation(vm, reason, views.get(vm), now_s)

    def _begin_evacuation(
        self,
        vm: VmId,
        reason: EvacuationReason,
        view: WorkerView | None,
        now_s: float,
    ) -> None:
        self._evacuations[vm] = Evacuation(vm, reason, now_s)
        if view is not None:
            view.evacuation_reason = reason
        _LOGGER.info(
            "dispatch: a VM is being emptied",
            extra={
                "vm": vm,
                "reason": str(reason),
                "pool": self.vms[vm].pool,
                "tasks": 0 if view is None else len(view.tasks),
            },
        )

    def _views_by_vm(self) -> dict[VmId, WorkerView]:
        views: dict[VmId, WorkerView] = {}
        workers = self._dispatcher.tracker.workers
        for vm in self.vms.values():
            if vm.worker is not None and vm.worker in workers:
                views[vm.vm] = workers[vm.worker]
        for view in workers.values():
            vm = view.worker.vm
            known = views.get(vm)
            # A stale entry of the worker list must not hide the VM's current worker.
            if vm is not None and (known is None or has_not_answered(known)):
                views[vm] = view
        return views

    # --- moves ---

    def _plan_moves(self, now_s: float) -> None:
        config = self._config()
        with self._dispatcher.lock:
            views = self._views_by_vm()
            moves = self.sizer.decide(
                config,
                [
                    self._dispatcher.tracker.jobs[job]
                    for job in self._dispatcher.tracker.active
                ],
                self.vms,
                views,
                set(self._evacuations),
                now_s,
                self._budget.available(now_s),
                self._orders.blocked(now_s),
            )
            self._log_needs(now_s)
            for vm, pool in moves:
                self._begin_evacuation(
                    vm, EvacuationReason.move(pool), views.get(vm), now_s
                )

    def _log_needs(self, now_s: float) -> None:
        """Log the present and needed VMs of each pool, at most once a second."""
        if now_s - self._needs_logged_s < NEEDS_LOG_S:
            return
        self._needs_logged_s = now_s
        needs = self.sizer.needs.values()
        _LOGGER.info(
            "dispatch: pool sizes",
            extra={
                **{need.pool: f"{need.present}/{need.needed}" for need in needs},
                "off": sum(self._is_spare(vm.pool) for vm in self.vms.values()),
                "being_emptied": len(self._evacuations),
            },
        )

    # --- evacuations ---

    def _evacuate(self, now_s: float) -> None:
        self._is_busy = bool(self._evacuations) or any(
            vm.state in (VmState.MOVING, VmState.UPKEEP) for vm in self.vms.values()
        )
        leaving, stops = self._advance_evacuations(now_s)
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
        self._orders.write(self._store, condition, ordered, now_s)
        calls = [
            self._callers.submit(self._send_order, evacuation, view, now_s)
            for evacuation, view in leaving
        ]
        errors = [call.exception() for call in calls]
        for error in errors:
            if error is not None:
                raise error

    def _advance_evacuations(
        self, now_s: float
    ) -> tuple[list[tuple[Evacuation, WorkerView | None]], list[StopOrder]]:
        """Return the VMs that may leave now, and the runs to stop on the others."""
        leaving: list[tuple[Evacuation, WorkerView | None]] = []
        stops: list[StopOrder] = []
        with self._dispatcher.lock:
            views = self._views_by_vm()
            for evacuation in list(self._evacuations.values()):
                view = views.get(evacuation.vm)
                if view is not None:
                    view.evacuation_reason = evacuation.reason
                    stops += evacuation.next_stops(
                        view, self._dispatcher.tracker, now_s
                    )
                if (
                    self._runs_nothing(evacuation.vm, view, now_s)
                    and self._orders.may_order(evacuation.vm, now_s)
                    and self._is_within_max_down(evacuation, leaving)
                ):
                    leaving.append((evacuation, view))
        return leaving, stops

    def _worker_on(self, vm: VmId, view: WorkerView | None) -> WorkerId | None:
        """Return the worker that an order for a VM ends.

        A worker has no view once its lease expired without an answer, but it may
        return to the worker list. The worker in the VM list is then used.
        """
        return self.vms[vm].worker if view is None else view.worker.worker

    def _runs_nothing(self, vm: VmId, view: WorkerView | None, now_s: float) -> bool:
        """Return whether an order for a VM certainly ends no run.

        At the start of a term, a worker that has not answered yet may have runs of
        earlier terms.
        """
        if self._is_spare(self.vms[vm].pool) and has_not_answered(view):
            return True
        if view is None:
            return self._dispatcher.planner.knows_all_runs
        return view.is_confirmed_empty(now_s)

    def _is_within_max_down(
        self,
        evacuation: Evacuation,
        leaving: list[tuple[Evacuation, WorkerView | None]],
    ) -> bool:
        """Return whether the `max_down` of a wave permits one more VM in upkeep."""
        if evacuation.reason.wave is None:
            return True
        state = self.waves.states[evacuation.reason.wave]
        down = [
            vm
            for vm in state.wave.vms
            if vm in self.vms and self.vms[vm].state is VmState.UPKEEP
        ]
        wave = evacuation.reason.wave
        in_this_batch = sum(other.reason.wave == wave for other, _ in leaving)
        return len(down) + in_this_batch < state.wave.max_down

    def _send_order(
        self, evacuation: Evacuation, view: WorkerView | None, now_s: float
    ) -> None:
        vm, reason = evacuation.vm, evacuation.reason
        if not self._dispatcher.term_valid():
            return
        token = self._dispatcher.token
        if reason.wave is not None:
            answer = self._machines.upkeep(vm, reason.wave, token)
        else:
            answer = self._machines.move(vm, reason.pool, token)
        _LOGGER.info(
            "dispatch: ordered for a VM",
            extra={
                "vm": vm,
                "order": str(reason),
                "token": token,
                "refusal": answer.refusal.value if answer.refusal else None,
                "emptied_in_ms": round((now_s - evacuation.begun_s) * 1000),
            },
        )
        self._apply_answer(evacuation, view, answer.refusal)

    def _apply_answer(
        self,
        evacuation: Evacuation,
        view: WorkerView | None,
        refusal: DutyRefusal | None,
    ) -> None:
        vm, reason = evacuation.vm, evacuation.reason
        with self._dispatcher.lock:
            if refusal is None:
                self._evacuations.pop(vm, None)
                known = self.vms[vm]
                state = VmState.MOVING if reason.wave is None else VmState.UPKEEP
                pool = known.pool if reason.pool is None else reason.pool
                self.vms[vm] = Vm(
                    vm,
                    pool,
                    state,
                    known.zone,
                    known.rack,
                    known.labels,
                    known.capacity,
                    None,
                )
                if view is not None:
                    self._dispatcher.tracker.remove_worker(
                        view, self._clock.monotonic_s(), f"its VM left: {reason}"
                    )
                if reason.wave is not None:
                    self.waves.mark_done(reason.wave, vm)
                else:
                    self.moves += 1
                return
            if refusal is DutyRefusal.FENCED:
                self._dispatcher.report_deposed(
                    "the platform refused the fencing token"
                )
                return
            if refusal is DutyRefusal.BUSY and reason.wave is not None:
                # The VM is already down or leaving; the next VM list shows which.
                _LOGGER.info("dispatch: a VM is busy", extra={"vm": vm})
            if view is not None:
                view.evacuation_reason = None
            self._evacuations.pop(vm, None)
            if refusal is DutyRefusal.NOT_OF_WAVE:
                self.waves.mark_done(reason.wave, vm)

    def _is_spare(self, pool: PoolName) -> bool:
        config = self._config()
        return config is not None and any(
            p.pool == pool and p.is_spare for p in config.pools
        )
