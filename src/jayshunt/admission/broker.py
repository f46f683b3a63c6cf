"""Grant the slots of one pool's instances in one zone."""

import itertools
import threading
from collections.abc import Callable

from jayshunt.admission.const import (
    DEFAULT_RUN_MS,
    LEARNING_RATE,
    PERMIT_TTL_FACTOR,
    QUEUE_LIMIT,
)
from jayshunt.admission.messages import (
    HeldPermit,
    PermitGranted,
    PermitRefused,
    PermitRequest,
    PermitResult,
    SendOutcome,
)
from jayshunt.clock import Clock
from jayshunt.ids import ClassName, EntryId, PermitId, PoolName, VmId
from jayshunt.pools.models import Assignment


class Broker:
    """Count slots in use per instance and refuse what cannot end in time."""

    def __init__(
        self,
        pool: PoolName,
        entry: EntryId,
        clock: Clock,
        list_instances: Callable[[], tuple[Assignment, ...]],
        slots_per_instance: Callable[[], int],
    ) -> None:
        """Start with no permit granted."""
        self._pool = pool
        self._entry = entry
        self._clock = clock
        self._list_instances = list_instances
        self._slots = slots_per_instance
        self._changed = threading.Condition()
        self._held: dict[PermitId, HeldPermit] = {}
        self._in_use: dict[VmId, int] = {}
        self._waiting = 0
        self._run_ms: dict[ClassName, float] = {}
        self._numbers = itertools.count(1)

    def acquire(self, request: PermitRequest) -> PermitGranted | PermitRefused:
        """Return a permit, or a refusal as soon as the deadline is out of reach."""
        arrived_s = self._clock.monotonic_s()
        run_ms = self._run_ms.get(request.work_class, DEFAULT_RUN_MS)
        latest_s = arrived_s + (request.remaining_ms - run_ms) / 1000
        with self._changed:
            refusal = self._refuse_early(request, run_ms)
            if refusal:
                return refusal
            self._waiting += 1
            try:
                return self._wait_for_slot(request, arrived_s, latest_s)
            finally:
                self._waiting -= 1

    def release(self, result: PermitResult) -> None:
        """Give a slot back and learn from the outcome."""
        with self._changed:
            held = self._held.pop(result.permit, None)
            if held is None:
                return
            self._in_use[held.vm] -= 1
            if result.outcome is SendOutcome.ANSWERED:
                before = self._run_ms.get(held.work_class, result.duration_ms)
                change = LEARNING_RATE * (result.duration_ms - before)
                self._run_ms[held.work_class] = before + change
            self._changed.notify()

    def held_permits(self) -> tuple[HeldPermit, ...]:
        """Return the permits that are not released."""
        with self._changed:
            return tuple(self._held.values())

    def in_flight(self, vm: VmId) -> int:
        """Return the number of slots in use on an instance."""
        with self._changed:
            return self._in_use.get(vm, 0)

    def _refuse_early(
        self, request: PermitRequest, run_ms: float
    ) -> PermitRefused | None:
        instances = self._list_instances()
        if not instances:
            return PermitRefused("no_instance", 1.0, f"{self._pool} has no instance")
        slots = self._slots() * len(instances)
        wait_ms = max(0, sum(self._in_use.values()) + self._waiting + 1 - slots)
        wait_ms = wait_ms * run_ms / slots
        if self._waiting >= QUEUE_LIMIT or wait_ms + run_ms > request.remaining_ms:
            return PermitRefused(
                "overloaded",
                max(0.1, wait_ms / 1000),
                f"{request.work_class} would end after its target",
            )
        return None

    def _wait_for_slot(
        self, request: PermitRequest, arrived_s: float, latest_s: float
    ) -> PermitGranted | PermitRefused:
        while True:
            instance = self._least_used(request.excluded)
            now_s = self._clock.monotonic_s()
            if instance is not None:
                return self._grant(request, instance, (now_s - arrived_s) * 1000)
            if now_s >= latest_s:
                return PermitRefused("overloaded", 0.5, "no slot came free in time")
            self._changed.wait(latest_s - now_s)

    def _least_used(self, excluded: tuple[VmId, ...]) -> Assignment | None:
        free = [
            a
            for a in self._list_instances()
            if a.vm not in excluded and self._in_use.get(a.vm, 0) < self._slots()
        ]
        return min(free, key=lambda a: self._in_use.get(a.vm, 0), default=None)

    def _grant(
        self, request: PermitRequest, instance: Assignment, waited_ms: float
    ) -> PermitGranted:
        permit = PermitId(f"{self._entry}-{next(self._numbers)}")
        ttl_ms = PERMIT_TTL_FACTOR * request.remaining_ms
        self._held[permit] = HeldPermit(permit, instance.vm, request.work_class, ttl_ms)
        self._in_use[instance.vm] = self._in_use.get(instance.vm, 0) + 1
        return PermitGranted(permit, instance.vm, instance.address, ttl_ms, waited_ms)
