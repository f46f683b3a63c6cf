"""Convert admission messages to and from their protobuf messages."""

from jayshunt.admission.messages import (
    HeldPermit,
    LearnedClass,
    PermitGranted,
    PermitQueued,
    PermitRefused,
    PermitReply,
    PermitRequest,
    PermitResult,
    RecoveredPermits,
    SendOutcome,
)
from jayshunt.ids import ClassName, EntryId, PermitId, PoolName, RequestId, VmId
from jayshunt.peers.protocol import peer_pb2


def acquire_message(call: int, request: PermitRequest) -> peer_pb2.AcquireRequest:
    """Return the protobuf message of a request; `call` identifies it on a stream."""
    return peer_pb2.AcquireRequest(
        request=request.request,
        work_class=request.work_class,
        pool=request.pool,
        entry=request.entry,
        remaining_ms=request.remaining_ms,
        excluded=request.excluded,
        attempt=request.attempt,
        spilled=request.spilled,
        call=call,
        patience_ms=request.patience_ms,
    )


def read_acquire(message: peer_pb2.AcquireRequest) -> PermitRequest:
    """Return the request in a protobuf message."""
    return PermitRequest(
        RequestId(message.request),
        ClassName(message.work_class),
        PoolName(message.pool),
        EntryId(message.entry),
        message.remaining_ms,
        tuple(VmId(vm) for vm in message.excluded),
        message.attempt,
        message.spilled,
        message.patience_ms,
    )


def reply_message(call: int, reply: PermitReply) -> peer_pb2.AcquireReply:
    """Return the protobuf message of a reply."""
    match reply:
        case PermitGranted():
            granted = peer_pb2.PermitGrantedMessage(
                permit=reply.permit,
                vm=reply.vm,
                address=reply.address,
                ttl_ms=reply.ttl_ms,
                waited_ms=reply.waited_ms,
                expected_ms=reply.expected_ms,
            )
            return peer_pb2.AcquireReply(call=call, granted=granted)
        case PermitRefused():
            refused = peer_pb2.PermitRefusedMessage(
                code=reply.code, retry_after_s=reply.retry_after_s, detail=reply.detail
            )
            return peer_pb2.AcquireReply(call=call, refused=refused)
    queued = peer_pb2.QueuedMessage(expected_wait_ms=reply.expected_wait_ms)
    return peer_pb2.AcquireReply(call=call, queued=queued)


def read_reply(message: peer_pb2.AcquireReply) -> PermitReply:
    """Return the reply in a protobuf message."""
    match message.WhichOneof("reply"):
        case "granted":
            granted = message.granted
            return PermitGranted(
                PermitId(granted.permit),
                VmId(granted.vm),
                granted.address,
                granted.ttl_ms,
                granted.waited_ms,
                granted.expected_ms,
            )
        case "queued":
            return PermitQueued(message.queued.expected_wait_ms)
    refused = message.refused
    return PermitRefused(refused.code, refused.retry_after_s, refused.detail)


def result_message(result: PermitResult) -> peer_pb2.PermitResultMessage:
    """Return the protobuf message of a result."""
    return peer_pb2.PermitResultMessage(
        permit=result.permit,
        vm=result.vm,
        work_class=result.work_class,
        outcome=result.outcome.value,
        duration_ms=result.duration_ms,
        closing=result.closing,
    )


def read_result(message: peer_pb2.PermitResultMessage) -> PermitResult:
    """Return the result in a message; an unknown outcome counts as not sent."""
    known = {outcome.value for outcome in SendOutcome}
    outcome = message.outcome if message.outcome in known else "not_sent"
    return PermitResult(
        PermitId(message.permit),
        VmId(message.vm),
        ClassName(message.work_class),
        SendOutcome(outcome),
        message.duration_ms,
        message.closing,
    )


def recovered_message(recovered: RecoveredPermits) -> peer_pb2.RecoverReply:
    """Return the protobuf message of an entry's report to a new broker."""
    return peer_pb2.RecoverReply(
        held=[
            peer_pb2.HeldPermitMessage(
                permit=h.permit, vm=h.vm, work_class=h.work_class, ttl_ms=h.ttl_ms
            )
            for h in recovered.held
        ],
        run_times=[
            peer_pb2.RunTimeMessage(
                work_class=item.work_class,
                run_ms=item.run_ms,
                usual_slots=item.usual_slots,
            )
            for item in recovered.learned
        ],
    )


def read_recovered(message: peer_pb2.RecoverReply) -> RecoveredPermits:
    """Return an entry's report to a new broker in a protobuf message."""
    return RecoveredPermits(
        tuple(
            HeldPermit(
                PermitId(h.permit), VmId(h.vm), ClassName(h.work_class), h.ttl_ms
            )
            for h in message.held
        ),
        tuple(
            LearnedClass(ClassName(item.work_class), item.run_ms, item.usual_slots)
            for item in message.run_times
        ),
    )
