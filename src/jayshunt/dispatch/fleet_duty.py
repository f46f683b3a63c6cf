"""Decide which VMs move between pools and which of a wave are taken next."""

import logging
import threading
from collections.abc import Callable

from jayshunt.clock import Clock
from jayshunt.dispatch.const import (
    HELD_START_S,
    LATE_CALL_S,
    MACHINES_IDLE_POLL_S,
    MACHINES_POLL_S,
    VM_LIST_JOIN_LAG_S,
    VM_LIST_LAG_S,
)
from jayshunt.dispatch.errors import TermEnded
from jayshunt.dispatch.evacuation import EvacuationReason, PlannedStops
from jayshunt.dispatch.fleet import WorkerEnd, WorkerView
from jayshunt.dispatch.models import Bounds, FleetConfig
from jayshunt.dispatch.order_budget import DEFAULT_PER_S
from jayshunt.dispatch.recent_orders import RecentOrders
from jayshunt.dispatch.sizing import PoolSizer
from jayshunt.dispatch.vm_departures import VmDepartures
from jayshunt.dispatch.vm_inventory import Views, VmInventory
from jayshunt.dispatch.wave_book import WaveBook, WaveState
from jayshunt.dispatch.waves import choose_next
from jayshunt.errors import JayshuntError
from jayshunt.forecast.forecaster import DemandForecaster
from jayshunt.platform.machine_calls import VmServiceClient
from jayshunt.platform.store import PlatformStore

_LOGGER = logging.getLogger(__name__)

ROUND_S = 0.15
WAVES_POLL_S = 2.0
NEEDS_LOG_S = 1.0
CALL_RETRY_S = 0.3
# Added to the time for which two dispatchers must not both give orders for one VM.
ORDER_BLOCK_MARGIN_S = 0.5


class FleetDuty:
    """Read the VMs and waves of one term, and choose the VMs to empty.

    `departures` empties the chosen VMs and gives the orders for them.
    """

    def __init__(
        self,
        dispatcher,
        store: PlatformStore,
        machines: VmServiceClient | None,
        clock: Clock,
        config: Callable[[], FleetConfig | None],
        bounds: Bounds,
        orders_per_s: float = DEFAULT_PER_S,
        forecaster: DemandForecaster | None = None,
    ) -> None:
        """Start without a VM list; nothing is ordered if `machines` is None.

        `orders_per_s` is the rate of VM orders that the platform accepts. `forecaster`
        foresees demand; None if only present demand counts.
        """
        self._dispatcher = dispatcher
        self._store = store
        self._machines = machines
        self._clock = clock
        self._config = config
        self.inventory = VmInventory(config)
        self.waves = WaveBook()
        self.departures = VmDepartures(
            dispatcher,
            store,
            machines,
            clock,
            self.inventory,
            self.waves,
            orders_per_s,
        )
        self.sizer = PoolSizer(
            dispatcher.planner.run_times.predict_ms, forecaster=forecaster
        )
        self._has_counted_past = False
        self._waves_read_s: float | None = None
        self._needs_logged_s = 0.0
        self._order_block_s = bounds.duty_handover_ms / 1000 + ORDER_BLOCK_MARGIN_S

    def leaves_soon(self, view: WorkerView) -> bool:
        """Return whether the worker's VM is due for upkeep in an unfinished wave."""
        return self.waves.includes(view.worker.vm)

    def knows_all_workers(self, views: Views) -> bool:
        """Return whether the worker of each VM that is up has a view."""
        return self._machines is None or self.inventory.knows_all_workers(views)

    def fetchable_cores(self) -> float:
        """Return the cores of VMs that any pool can get: spare or surplus ones."""
        surplus = self.sizer.surplus_cores(self.inventory.vms)
        return self.inventory.spare_cores() + surplus

    def is_on_known_vm(self, view: WorkerView) -> bool:
        """Return whether a worker's VM is in the VM list, as far as that was read.

        Another program may list workers that do not exist.
        """
        return not self.inventory.vms or view.worker.vm in self.inventory.vms

    def may_have_runs(self, view: WorkerView) -> bool:
        """Return whether a worker may still run something, as far as is known.

        The worker list keeps workers of VMs that left for some seconds, and the VM
        list may lag behind the worker list. A worker has certainly ended only if the
        dispatcher of an earlier term recorded an order that ends it and the VM list
        shows that the VM is no longer up with this worker.
        """
        orders = self.departures.recent_orders
        if orders is None or not orders.ends_worker(view.worker.worker):
            return True
        known = self.inventory.vms.get(view.worker.vm) if view.worker.vm else None
        return known is None or known.runs(view.worker.worker)

    def _is_vm_list_due(self, now_s: float) -> bool:
        """Return whether to read the VM list, more often while something changes.

        It is also read as soon as it tells the end of runs that the last term stored.
        """
        listed_s = self.inventory.listed_s
        if listed_s is None:
            return True
        if listed_s < self._dispatcher.vm_list_counts_from_s <= now_s:
            return True
        with self._dispatcher.lock:
            is_busy = (
                bool(self.departures.being_emptied())
                or self.inventory.is_changing()
                or self.waves.names_unlisted(self.inventory)
                or bool(self._dispatcher.tracker.silent_workers())
            )
        return now_s - listed_s >= (
            MACHINES_POLL_S if is_busy else MACHINES_IDLE_POLL_S
        )

    def _end_gone_workers(self) -> None:
        """End the runs of silent workers that the VM list shows to be gone.

        The term must have been in force when the list was requested: a successor would
        see the same and start their tasks elsewhere.
        """
        dispatcher, listed_s = self._dispatcher, self.inventory.listed_s
        with dispatcher.lock:
            if dispatcher.term_confirmed_s() < listed_s:
                return
            for view in dispatcher.tracker.silent_workers():
                if self._is_shown_gone(view, listed_s):
                    self._end_runs(view, listed_s)

    def _is_shown_gone(self, view: WorkerView, listed_s: float) -> bool:
        """Return whether the VM list of `listed_s` shows that a worker is gone.

        The list may be older than the worker, and its runs may be those of the previous
        dispatcher, which may have sent calls until its end.
        """
        worker, counts_from_s = view.worker, view.first_seen_s
        if worker.worker not in self.inventory.named:
            counts_from_s += VM_LIST_JOIN_LAG_S
        if view.last_answer_s is None:
            last_call_s = self._dispatcher.predecessor_end_s + LATE_CALL_S
            counts_from_s = max(counts_from_s, last_call_s + VM_LIST_LAG_S)
        is_recent = listed_s >= counts_from_s
        return is_recent and self.inventory.shows_gone(worker.worker, worker.vm)

    def _end_runs(self, view: WorkerView, listed_s: float) -> None:
        """End the runs of a worker that is gone, but for starts that may be late.

        A start that was answered ran on a worker that was up. One without an answer may
        reach the next life of the worker later.
        """
        tracker, now_s = self._dispatcher.tracker, self._clock.monotonic_s()
        may_return = self.inventory.may_return(view.worker.vm)
        late_s = HELD_START_S if may_return else LATE_CALL_S
        over = []
        for task in view.tasks.values():
            taken_s = task.acked_s
            if taken_s is None and task.is_open:
                taken_s = (task.sent_s or task.ordered_s) + late_s
            if not task.is_open or listed_s >= taken_s + VM_LIST_LAG_S:
                over.append(task)
        if len(over) == len(view.tasks):
            tracker.remove_gone(view, now_s)
        elif over:
            tracker.end_runs(view, over, WorkerEnd.VM_GONE, now_s)
        if over or view.is_ended:
            self._dispatcher.planner.wake()

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
                except JayshuntError as error:
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
        config = self._config()
        if config is None or not self._dispatcher.worker_list_read:
            return
        if now_s < self.departures.recent_orders.unknown_until_s:
            return
        for state in self.waves.open_states(self.inventory):
            self._plan_wave(state, now_s)
        self._plan_moves(config, now_s)
        self.departures.advance(now_s)
        self.waves.write(self._store, self._dispatcher.term_condition)

    def _read(self, now_s: float) -> None:
        departures, inventory = self.departures, self.inventory
        if departures.recent_orders is None:
            departures.recent_orders = RecentOrders.read(
                self._store, now_s, self._order_block_s
            )
        if self._is_vm_list_due(now_s):
            vms = self._machines.list()
            with self._dispatcher.lock:
                inventory.apply_list(vms, now_s, self._machines.is_complete)
                departures.drop_gone_vms()
            self._dispatcher.planner.wake()
        self._end_gone_workers()
        if self._waves_read_s is None or now_s - self._waves_read_s >= WAVES_POLL_S:
            self.waves.read(self._store, self._clock.monotonic_s)
            self._waves_read_s = now_s

    def _plan_wave(self, state: WaveState, now_s: float) -> None:
        with self._dispatcher.lock:
            tracker = self._dispatcher.tracker
            views = self.inventory.views_by_vm(tracker.workers)
            being_emptied = self.departures.being_emptied()
            stops = PlannedStops(tracker, now_s)
            for vm in being_emptied & views.keys():
                stops.add(views[vm])
            chosen = choose_next(
                state.wave,
                state.done,
                self.inventory.vms,
                views,
                being_emptied,
                self.inventory.spare_pools(),
                self.departures.not_to_choose(now_s),
                stops,
            )
            for vm in chosen:
                reason = EvacuationReason.upkeep(state.wave.number)
                self.departures.begin(vm, reason, views.get(vm), now_s)

    def _plan_moves(self, config: FleetConfig, now_s: float) -> None:
        with self._dispatcher.lock:
            tracker = self._dispatcher.tracker
            if not self._has_counted_past:
                # The jobs of earlier terms hold the pattern of past demand.
                self._has_counted_past = True
                for job in tracker.jobs.values():
                    self.sizer.count_arrival(job, now_s)
            views = self.inventory.views_by_vm(tracker.workers)
            moves = self.sizer.decide(
                config,
                [tracker.jobs[job] for job in tracker.active],
                self.inventory.vms,
                views,
                self.departures.being_emptied(),
                now_s,
                self.departures.available_orders(now_s),
                self.departures.not_to_choose(now_s),
                self._dispatcher.planner.demand_gate(now_s),
            )
            self._log_needs(now_s)
            for vm, pool in moves:
                reason = EvacuationReason.move(pool)
                self.departures.begin(vm, reason, views.get(vm), now_s)

    def _log_needs(self, now_s: float) -> None:
        """Log the present and needed VMs of each pool, at most once a second."""
        if now_s - self._needs_logged_s < NEEDS_LOG_S:
            return
        self._needs_logged_s = now_s
        needs = self.sizer.needs.values()
        spare = self.inventory.spare_pools()
        _LOGGER.info(
            "dispatch: pool sizes",
            extra={
                **{need.pool: f"{need.present}/{need.needed}" for need in needs},
                "off": sum(vm.pool in spare for vm in self.inventory.vms.values()),
                "being_emptied": len(self.departures.being_emptied()),
            },
        )
