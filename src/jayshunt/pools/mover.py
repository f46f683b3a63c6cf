"""Begin moves of VMs between pools, with a permit for each."""

import logging
from collections.abc import Callable
from typing import Protocol

from jayshunt.clock import Clock
from jayshunt.ids import PoolName, VmId, ZoneName
from jayshunt.maintenance.models import Permit, PermitDenied
from jayshunt.pools import transitions
from jayshunt.pools.models import AssignmentRecord

_LOGGER = logging.getLogger(__name__)

RequestPermit = Callable[[PoolName, ZoneName, VmId, str], Permit | PermitDenied]


class RecordWriter(Protocol):
    """Change the zone's record; implemented by the zone controller."""

    def write(
        self, transition: Callable[[AssignmentRecord], AssignmentRecord]
    ) -> AssignmentRecord:
        """Apply a transition and return the resulting record."""


class Mover:
    """Move a VM to another pool if its current pool's budget grants a permit."""

    def __init__(
        self,
        zone: ZoneName,
        writer: RecordWriter,
        request_permit: RequestPermit,
        clock: Clock,
    ) -> None:
        """Create a mover without any denied move."""
        self._zone = zone
        self._writer = writer
        self._request_permit = request_permit
        self._clock = clock
        self.denied: dict[VmId, PermitDenied] = {}

    def move(
        self, record: AssignmentRecord, vm: VmId, pool: PoolName, reason: str
    ) -> bool:
        """Begin one move; return whether the VM is now moving to the pool."""
        current = record.assignments.get(vm)
        if current is None or current.pool == pool:
            return False
        answer = self._request_permit(current.pool, self._zone, vm, f"move: {reason}")
        if isinstance(answer, PermitDenied):
            self.denied[vm] = answer
            _LOGGER.info("pools: no move of %s to %s: %s", vm, pool, answer.reason)
            return False
        self.denied.pop(vm, None)
        now_s = self._clock.now_s()

        def leave(newest: AssignmentRecord) -> AssignmentRecord:
            assignment = newest.assignments.get(vm)
            if assignment is None or assignment.pool != answer.pool:
                return newest
            return transitions.begin_leaving(newest, vm, now_s, reason, pool)

        newest = self._writer.write(leave).assignments.get(vm)
        _LOGGER.info(
            "pools: %s moves from %s to %s: %s", vm, current.pool, pool, reason
        )
        return newest is not None and newest.next_pool == pool
