"""Choose instances and create permits for their slots."""

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
    """Grant slots of the least loaded instances; call with the broker's lock held."""

    def __init__(
        self,
        entry: EntryId,
        instances: PoolInstances,
        run_times: RunTimes,
        permits: PermitTable,
        slots: Callable[[], int],
    ) -> None:
        """Use the broker's state; `slots` returns the slots per instance."""
        self._instances = instances
        self._run_times = run_times
        self._permits = permits
        self._slots_per_instance = slots
        # The random part keeps permit ids unique across restarts of the entry.
        self._prefix = f"{entry}-{uuid.uuid4().hex[:8]}"
        self._numbers = itertools.count(1)

    def choose_instance(
        self, request: PermitRequest, now_s: float
    ) -> InstanceState | None:
        """Return the least loaded instance with a free slot, or None.

        An instance that already failed the request is chosen only if no other has
        a free slot. The load is weighted by the slowness of the instance.
        """
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
        """Take a slot of an instance and return its permit.

        An upstream may keep working on a request after its caller's deadline, so a
        permit that is not released expires only several run times later.
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
