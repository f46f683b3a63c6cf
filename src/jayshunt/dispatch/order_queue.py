"""Queue the orders for one worker, without network or clock."""

from collections.abc import Callable

from jayshunt.dispatch.messages import PaceTask, StartTask
from jayshunt.dispatch.models import TaskKey
from jayshunt.dispatch.run_reports import StopOrder

Order = StartTask | StopOrder | PaceTask
RunKey = tuple[TaskKey, int]

# The planner places no more tasks on a worker with as many starts that are not sent.
# A gang is placed as a whole.
MAX_QUEUED_STARTS = 64


def run_key(order: Order) -> RunKey:
    """Return the task and the run that an order is for."""
    task = order.task.key if isinstance(order, StartTask) else order.task
    return (task, order.run)


class OrderQueue:
    """Give out the orders for one worker: stops first, then paces, then starts.

    Several orders may be in flight, but only one for each task, as calls may overtake
    each other: a stop its own start. Each run has at most one order of a kind in the
    queue, which bounds it by the runs on the worker.

    A start may have to wait until it is stored. It is held until then, or until its
    time is over, and delays no other order::

        queue.add_start(item, hold_until_s=now_s + 0.6)
        queue.release_held(is_stored, now_s)
    """

    def __init__(self) -> None:
        """Start without orders."""
        self._stops: dict[RunKey, StopOrder] = {}
        self._paces: dict[RunKey, PaceTask] = {}
        self._starts: dict[RunKey, StartTask] = {}
        self._held: dict[RunKey, tuple[StartTask, float]] = {}
        self._in_flight: set[TaskKey] = set()

    def __len__(self) -> int:
        """Return how many orders can be sent as far as their tasks allow it."""
        return len(self._stops) + len(self._paces) + len(self._starts)

    @property
    def queued_starts(self) -> int:
        """Return how many starts are not sent yet."""
        return len(self._starts) + len(self._held)

    @property
    def held_until_s(self) -> float | None:
        """Return until when the first held start waits, None without one."""
        return next((until_s for _, until_s in self._held.values()), None)

    def add_start(self, item: StartTask, hold_until_s: float | None = None) -> None:
        """Add a start, held until a monotonic time unless that is None."""
        if hold_until_s is None:
            self._starts[run_key(item)] = item
        else:
            self._held[run_key(item)] = (item, hold_until_s)

    def add_pace(self, item: PaceTask) -> None:
        """Add a change of pace, in place of an earlier one for the run."""
        self._paces[run_key(item)] = item

    def add_stop(self, order: StopOrder) -> StartTask | None:
        """Add a stop; if the start of the run is still here, drop and return that."""
        key = run_key(order)
        self._paces.pop(key, None)
        start = self._starts.pop(key, None)
        if start is None and key in self._held:
            start, _ = self._held.pop(key)
        if start is None:
            self._stops[key] = order
        return start

    def release_held(
        self, is_stored: Callable[[StartTask], bool], now_s: float
    ) -> None:
        """Let the held starts go that are stored or waited for long enough."""
        for key, (item, until_s) in list(self._held.items()):
            if now_s >= until_s or is_stored(item):
                del self._held[key]
                self._starts[key] = item

    def take(self) -> Order | None:
        """Take the next order whose task has none in flight, None without one."""
        for orders in (self._stops, self._paces, self._starts):
            # At most one order is passed over for each one in flight.
            for key in orders:
                if key[0] not in self._in_flight:
                    self._in_flight.add(key[0])
                    return orders.pop(key)
        return None

    def finish(self, order: Order) -> None:
        """Record that an order is no longer in flight."""
        self._in_flight.discard(run_key(order)[0])

    def has_stop(self, key: RunKey) -> bool:
        """Return whether a stop of a run is queued."""
        return key in self._stops
