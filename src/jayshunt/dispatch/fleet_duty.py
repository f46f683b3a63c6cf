"""Move VMs between pools and take them through waves of planned stops."""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from jayshunt.clock import Clock
from jayshunt.dispatch.const import MACHINES_IDLE_POLL_S, MACHINES_POLL_S
from jayshunt.dispatch.errors import TermOver
from jayshunt.dispatch.evacuation import Evacuation, EvacuationReason
from jayshunt.dispatch.fleet import WorkerView, is_unheard
from jayshunt.dispatch.models import Bounds, FleetConfig
from jayshunt.dispatch.order_budget import DEFAULT_PER_S, OrderBudget
from jayshunt.dispatch.recent_orders import RecentOrders
from jayshunt.dispatch.sizing import PoolSizer
from jayshunt.dispatch.vms import DutyRefusal, Vm, VmState
from jayshunt.dispatch.wave_book import WaveBook, WaveState
from jayshunt.dispatch.waves import choose_next
from jayshunt.errors import JayshuntError
from jayshunt.ids import PoolName, VmId, WorkerId
from jayshunt.platform.machine_calls import MachineCalls
from jayshunt.platform.store import PlatformStore
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable

_LOGGER = logging.getLogger(__name__)

ROUND_S = 0.15
WAVES_POLL_S = 2.0
NEEDS_LOG_S = 1.0
CALL_RETRY_S = 0.3
# One order takes about 5 ms; this many in flight use the rate of a large fleet.
MAX_CALLS_AT_ONCE = 12
# Added to the time for which two holders must not give orders for one VM.
TURN_MARGIN_S = 0.5


class FleetDuty:
    """Own the orders for VMs of one term."""

    def __init__(
        self,
        dispatcher,
        store: PlatformStore,
        machines: MachineCalls | None,
        clock: Clock,
        config: Callable[[], FleetConfig | None],
        bounds: Bounds,
        orders_per_s: float = DEFAULT_PER_S,
    ) -> None:
        """Start without a list of VMs."""
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
        self._waves_s: float | None = None
        self._is_busy = False
        self._needs_logged_s = 0.0
        self._evacuations: dict[VmId, Evacuation] = {}
        self._turn_s = bounds.duty_handover_ms / 1000 + TURN_MARGIN_S
        self._orders: RecentOrders | None = None
        self._budget = OrderBudget(orders_per_s)
        self._callers = ThreadPoolExecutor(MAX_CALLS_AT_ONCE, "vm-orders")
        self.moves = 0

    def leaves_soon(self, view: WorkerView) -> bool:
        """Return whether a wave that is not done names the worker's VM."""
        return self.waves.names(view.worker.vm)

    def knows_all_workers(self, views: dict[WorkerId, WorkerView]) -> bool:
        """Return whether each VM that is up belongs to a worker in the views."""
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
        """Return the cores of VMs that any pool may be given: off, or not needed."""
        off = sum(
            vm.capacity.cpu_millicores
            for vm in self.vms.values()
            if vm.state is VmState.UP and self._is_spare(vm.pool)
        )
        return off / 1000 + self.sizer.surplus_cores(self.vms)

    def run(self, stop: threading.Event) -> None:
        """Follow waves and demand until stopped."""
        if self._machines is None:
            return
        while not stop.is_set():
            if self._dispatcher.term_valid():
                try:
                    self._round()
                except TermOver as error:
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
            self._orders = RecentOrders.read(self._store, now_s, self._turn_s)
        interval_s = MACHINES_POLL_S if self._is_busy else MACHINES_IDLE_POLL_S
        if self._listed_s is None or now_s - self._listed_s >= interval_s:
            vms = self._machines.list()
            self._listed_s = now_s
            with self._dispatcher.lock:
                self.vms = {vm.vm: vm for vm in vms}
                self._forget_gone()
            self._dispatcher.planner.wake()
        if self._waves_s is None or now_s - self._waves_s >= WAVES_POLL_S:
            self.waves.read(self._store)
            self._waves_s = now_s

    def is_present(self, view: WorkerView) -> bool:
        """Return whether a worker may still run something, as far as is known.

        The list of workers keeps entries of VMs that left for some seconds, and the
        list of VMs may be behind the list of workers. A life is over for certain
        only if an earlier holder ordered its VM away and the VM shows that.
        """
        if self._orders is None or not self._orders.has_ended(view.worker.worker):
            return True
        known = self.vms.get(view.worker.vm) if view.worker.vm else None
        if known is None:
            return True
        return known.state is VmState.UP and known.worker == view.worker.worker

    def _forget_gone(self) -> None:
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
                self._orders.held(now_s),
            )
            for vm in chosen:
                reason = EvacuationReason.upkeep(state.wave.number)
                self._begin(vm, reason, views.get(vm), now_s)

    def _begin(
        self,
        vm: VmId,
        reason: EvacuationReason,
        view: WorkerView | None,
        now_s: float,
    ) -> None:
        self._evacuations[vm] = Evacuation(vm, reason, now_s)
        if view is not None:
            view.duty = reason
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
            # An entry that stayed in the list must not hide the present worker.
            if vm is not None and (known is None or is_unheard(known)):
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
                self._orders.held(now_s),
            )
            self._log_needs(now_s)
            for vm, pool in moves:
                self._begin(vm, EvacuationReason.move(pool), views.get(vm), now_s)

    def _log_needs(self, now_s: float) -> None:
        """Log what pools have and need, once a second at most."""
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
        leaving: list[tuple[Evacuation, WorkerView | None]] = []
        for evacuation in list(self._evacuations.values()):
            with self._dispatcher.lock:
                view = self._views_by_vm().get(evacuation.vm)
                if view is not None:
                    view.duty = evacuation.reason
                    stops = evacuation.next_stops(view, self._dispatcher.tracker, now_s)
                else:
                    stops = []
                is_empty = self._is_surely_empty(evacuation.vm, view, now_s)
            self._dispatcher.send_stops(stops)
            is_free = self._orders.may_order(evacuation.vm, now_s)
            if is_empty and is_free and self._may_go(evacuation, leaving):
                leaving.append((evacuation, view))
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
            self._callers.submit(self._go, evacuation, view, now_s)
            for evacuation, view in leaving
        ]
        errors = [call.exception() for call in calls]
        for error in errors:
            if error is not None:
                raise error

    def _worker_on(self, vm: VmId, view: WorkerView | None) -> WorkerId | None:
        """Return the worker that an order for a VM ends.

        One whose lease was over without an answer has no view any more, and is
        listed again when it comes back.
        """
        return self.vms[vm].worker if view is None else view.worker.worker

    def _is_surely_empty(self, vm: VmId, view: WorkerView | None, now_s: float) -> bool:
        """Return whether an order for a VM ends no run.

        At the start of a term a worker that has not answered yet may run anything.
        """
        if self._is_spare(self.vms[vm].pool) and is_unheard(view):
            return True
        if view is None:
            return self._dispatcher.planner.knows_all_runs
        return view.is_surely_empty(now_s)

    def _may_go(
        self,
        evacuation: Evacuation,
        leaving: list[tuple[Evacuation, WorkerView | None]],
    ) -> bool:
        """Hold an upkeep back while as many VMs of its wave are down as may be."""
        if evacuation.reason.wave is None:
            return True
        state = self.waves.states[evacuation.reason.wave]
        down = [
            vm
            for vm in state.wave.vms
            if vm in self.vms and self.vms[vm].state is VmState.UPKEEP
        ]
        wave = evacuation.reason.wave
        going = sum(other.reason.wave == wave for other, _ in leaving)
        return len(down) + going < state.wave.max_down

    def _go(
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
        self._settle(evacuation, view, answer.refusal)

    def _settle(
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
                # It is down or leaves; the next list tells which.
                self._evacuations.pop(vm, None)
                return
            if view is not None:
                view.duty = None
            self._evacuations.pop(vm, None)
            if refusal is DutyRefusal.NOT_OF_WAVE:
                self.waves.mark_done(reason.wave, vm)

    def _is_spare(self, pool: PoolName) -> bool:
        config = self._config()
        return config is not None and any(
            p.pool == pool and p.is_spare for p in config.pools
        )
