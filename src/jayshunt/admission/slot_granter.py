"""Choose an instance and grant one of its slots."""

import itertools
import uuid
from collections.abc import Callable

from jayshunt.admission.backlog import Waiter
from jayshunt.admission.const import PERMIT_TTL_MINIMUM_MS, STUCK_RUN_FACTOR
from jayshunt.admission.instances import InstanceState, PoolInstances
from jayshunt.admission.messages import HeldPermit, PermitGranted, PermitRequest
from jayshunt.admission.permit_table import PermitTable
from jayshunt.admission.run_times import RunTimes
from jayshunt.ids import EntryId, PermitId


class SlotGranter:
    """Grant slots of the least loaded instances; the broker holds its lock."""

    def __init__(
        self,
        entry: EntryId,
        instances: PoolInstances,
        run_times: RunTimes,
        permits: PermitTable,
        slots: Callable[[], int],
    ) -> None:
        """Take the broker's state."""
        self._instances = instances
        self._run_times = run_times
        self._permits = permits
        self._slots_per_instance = slots
        # Ids stay unique across restarts of the entry.
        self._prefix = f"{entry}-{uuid.uuid4().hex[:8]}"
        self._numbers = itertools.count(1)

    def choose_instance(
        self, request: PermitRequest, now_s: float
    ) -> InstanceState | None:
        """Return the least loaded instance, one that did not fail the request."""
        slots = self._slots_per_instance()
        best, best_load = None, (True, 0.0)
        for vm, state in self._instances.states.items():
            limit = state.slot_limit(slots, now_s) - state.blocked_slots
            if state.in_use >= limit:
                continue
            load = (state.in_use + 1) / limit * self._run_times.slowness(vm)
            key = (vm in request.excluded, load)
            if best is None or key < best_load:
                best, best_load = state, key
        return best

    def grant(
        self, waiter: Waiter, instance: InstanceState, now_s: float
    ) -> PermitGranted:
        """Count a slot as used and return its permit.

        An upstream may go on with a request after its caller's deadline, so the
        slot stays counted for several run times if it is not given back.
        """
        vm = instance.assignment.vm
        permit = PermitId(f"{self._prefix}-{next(self._numbers)}")
        remaining_ms = max(0.0, waiter.deadline_s - now_s) * 1000
        expected_ms = waiter.run_ms * self._run_times.slowness(vm)
        ttl_ms = remaining_ms + max(remaining_ms, STUCK_RUN_FACTOR * expected_ms)
        ttl_ms = max(ttl_ms, PERMIT_TTL_MINIMUM_MS)
        held = HeldPermit(permit, vm, waiter.request.work_class, ttl_ms)
        self._permits.add(held, waiter.run_ms, now_s)
        return PermitGranted(
            permit,
            vm,
            instance.assignment.address,
            ttl_ms,
            (now_s - waiter.arrived_s) * 1000,
            expected_ms,
        )
