"""Exchange assignment records and acknowledgements between entries."""

import logging
from collections.abc import Callable, Iterable

import grpc

from jayshunt.errors import JayshuntError
from jayshunt.ids import EntryId, Epoch, PoolName, VmId, ZoneName
from jayshunt.peers.channels import PeerChannels
from jayshunt.peers.protocol.peer_pb2 import (
    AssignmentsAcknowledged,
    AssignmentsContent,
    PoolDemandMessage,
    VmInFlight,
)
from jayshunt.peers.protocol.peer_pb2_grpc import AssignmentsServicer, AssignmentsStub
from jayshunt.pools.const import ACKNOWLEDGE_TIMEOUT_S
from jayshunt.pools.models import (
    Acknowledgement,
    AssignmentRecord,
    AssignmentState,
    EntryRegistration,
)
from jayshunt.pools.record import pack_record, unpack_record

_LOGGER = logging.getLogger(__name__)


class AssignmentsService(AssignmentsServicer):
    """Apply a record that a controller sent and acknowledge its epoch.

    `apply(record)` adopts a record with a higher epoch and returns the record in
    force; `in_flight(vm)` counts the requests of this entry on a VM. `failing()`
    returns the VMs that its brokers ejected, `demand()` the demand of its pools.
    """

    def __init__(
        self,
        zone: ZoneName,
        own: EntryRegistration,
        apply: Callable[[AssignmentRecord], AssignmentRecord],
        in_flight: Callable[[VmId], int],
        failing: Callable[[], tuple[VmId, ...]] = tuple,
        demand: Callable[[], dict[PoolName, float]] = dict,
    ) -> None:
        """Create the service of an entry."""
        self._zone = zone
        self._own = own
        self._apply = apply
        self._in_flight = in_flight
        self._failing = failing
        self._demand = demand

    def acknowledge(self, record: AssignmentRecord) -> Acknowledgement:
        """Apply a record and count the requests that are still in flight.

        The requests are counted after the record is in force: a slot on a leaving
        VM was then either granted before, and is counted, or is refused.
        """
        applied = self._apply(record)
        counts = {
            vm: self._in_flight(vm)
            for vm, assignment in applied.assignments.items()
            if assignment.state is not AssignmentState.SERVING
        }
        in_flight = {vm: count for vm, count in counts.items() if count}
        own = self._own
        return Acknowledgement(
            own.entry,
            own.incarnation,
            applied.epoch,
            in_flight,
            self._failing(),
            self._demand(),
        )

    def ApplyAssignments(
        self, request: AssignmentsContent, context: grpc.ServicerContext
    ) -> AssignmentsAcknowledged:
        """Handle the call of a controller: apply its record and acknowledge it."""
        if request.zone != self._zone:
            context.abort(
                grpc.StatusCode.INVALID_ARGUMENT, f"this entry is in {self._zone}"
            )
        try:
            record = unpack_record(self._zone, request.content)
        except (JayshuntError, KeyError, ValueError) as error:
            context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
        ack = self.acknowledge(record)
        return AssignmentsAcknowledged(
            entry=ack.entry,
            incarnation=ack.incarnation,
            epoch=ack.epoch,
            in_flight=[
                VmInFlight(vm=vm, requests=count) for vm, count in ack.in_flight.items()
            ],
            failing=ack.failing,
            demand=[
                PoolDemandMessage(pool=pool, usual_slots=slots)
                for pool, slots in ack.demand.items()
            ],
        )


class RecordPusher:
    """Send a record to entries concurrently and collect their answers."""

    def __init__(self, channels: PeerChannels, service: AssignmentsService) -> None:
        """Create a pusher; `service` acknowledges for this entry without a call."""
        self._channels = channels
        self._service = service

    def push(
        self,
        own: EntryRegistration,
        entries: Iterable[EntryRegistration],
        record: AssignmentRecord,
    ) -> dict[EntryId, Acknowledgement]:
        """Send the record to the entries and return their acknowledgements.

        Only those that arrive within ACKNOWLEDGE_TIMEOUT_S are returned, and that of
        this entry.
        """
        content = AssignmentsContent(
            zone=record.zone,
            epoch=record.epoch,
            content=pack_record(record),
            controller=own.entry,
        )
        calls = {
            entry.entry: AssignmentsStub(
                self._channels.channel(entry.peer_address)
            ).ApplyAssignments.future(content, timeout=ACKNOWLEDGE_TIMEOUT_S)
            for entry in entries
            if entry.entry != own.entry
        }
        acknowledged = {own.entry: self._service.acknowledge(record)}
        for entry, call in calls.items():
            try:
                acknowledged[entry] = _acknowledgement(call.result())
            except grpc.RpcError as error:
                _LOGGER.info("pools: %s did not acknowledge: %s", entry, error.code())
        return acknowledged


def _acknowledgement(reply: AssignmentsAcknowledged) -> Acknowledgement:
    return Acknowledgement(
        EntryId(reply.entry),
        reply.incarnation,
        Epoch(reply.epoch),
        {VmId(item.vm): item.requests for item in reply.in_flight},
        tuple(VmId(vm) for vm in reply.failing),
        {PoolName(item.pool): item.usual_slots for item in reply.demand},
    )
