"""Serve requests for permits from other entries over gRPC."""

import logging
import queue
import threading
from collections.abc import Callable, Iterator

import grpc

from jayshunt.admission.backlog import Waiter
from jayshunt.admission.broker import Broker
from jayshunt.admission.const import NOT_BROKER
from jayshunt.admission.messages import (
    PermitQueued,
    PermitRefused,
    PermitReply,
    RecoveredPermits,
)
from jayshunt.admission.outbox import take_batch
from jayshunt.admission.wire import (
    read_acquire,
    read_result,
    recovered_message,
    reply_message,
)
from jayshunt.ids import EntryId, PoolName, ZoneName
from jayshunt.peers.protocol import peer_pb2, peer_pb2_grpc

_LOGGER = logging.getLogger(__name__)

FindBroker = Callable[[PoolName], Broker | None]


class AdmissionServicer(peer_pb2_grpc.AdmissionServicer):
    """Pass requests from other entries to the brokers of this entry."""

    def __init__(
        self,
        find_broker: FindBroker,
        recover: Callable[[PoolName, EntryId, ZoneName], RecoveredPermits],
    ) -> None:
        """Create a servicer from two functions of the broker directory."""
        self._find_broker = find_broker
        self._recover = recover

    def add_to(self, server: grpc.Server) -> None:
        """Register this servicer with the peer server."""
        peer_pb2_grpc.add_AdmissionServicer_to_server(self, server)

    def Permits(self, requests, context) -> Iterator[peer_pb2.PermitsFromBroker]:
        """Serve the stream of one entry until it ends."""
        session = PermitSession(self._find_broker)
        context.add_callback(session.end)
        threading.Thread(
            target=session.read, args=(requests,), name="permit-session", daemon=True
        ).start()
        return session.replies()

    def RecoverPermits(self, request, context) -> peer_pb2.RecoverReply:
        """Hand a pool over to a new broker."""
        recovered = self._recover(
            PoolName(request.pool), EntryId(request.broker), ZoneName(request.zone)
        )
        return recovered_message(recovered)


class PermitSession:
    """Track the requests of one entry that are queued at local brokers."""

    def __init__(self, find_broker: FindBroker) -> None:
        """Create a session without requests."""
        self._find_broker = find_broker
        self._lock = threading.Lock()
        self._waiting: dict[int, tuple[Broker, Waiter]] = {}
        self._outbox: queue.SimpleQueue = queue.SimpleQueue()

    def read(self, messages: Iterator[peer_pb2.PermitsFromEntry]) -> None:
        """Process the entry's messages until its stream ends."""
        try:
            for message in messages:
                for release in message.release:
                    self._release(release)
                for request in message.acquire:
                    self._acquire(request)
                for cancel in message.cancel:
                    self._cancel(cancel.call)
        except grpc.RpcError:
            _LOGGER.debug("admission: an entry's stream ended")
        except Exception:
            _LOGGER.exception("admission: processing an entry's stream failed")
        finally:
            self.end()

    def replies(self) -> Iterator[peer_pb2.PermitsFromBroker]:
        """Yield replies, several in one batch under load, until the session ends."""
        while True:
            items = take_batch(self._outbox)
            if None in items:
                return
            yield peer_pb2.PermitsFromBroker(replies=items)

    def end(self) -> None:
        """Cancel the queued requests; granted permits stay until they expire."""
        with self._lock:
            waiting, self._waiting = self._waiting, {}
        for broker, waiter in waiting.values():
            broker.cancel(waiter)
        self._outbox.put(None)

    def _acquire(self, message: peer_pb2.AcquireRequest) -> None:
        request, call = read_acquire(message), message.call
        broker = self._find_broker(request.pool)
        if broker is None:
            refused = PermitRefused(NOT_BROKER, 0.1, "another entry is the broker")
            self._outbox.put(reply_message(call, refused))
            return

        def on_reply(reply: PermitReply) -> None:
            with self._lock:
                self._waiting.pop(call, None)
            self._outbox.put(reply_message(call, reply))

        waiter = broker.submit(request, on_reply)
        if waiter is None:
            return
        with self._lock:
            if waiter.waiting:
                self._waiting[call] = (broker, waiter)
        self._outbox.put(reply_message(call, PermitQueued(0.0)))

    def _cancel(self, call: int) -> None:
        with self._lock:
            waiting = self._waiting.pop(call, None)
        if waiting is not None:
            broker, waiter = waiting
            if broker.cancel(waiter):
                cancelled = PermitRefused("cancelled", 0.0, "the entry gave it up")
                self._outbox.put(reply_message(call, cancelled))

    def _release(self, message: peer_pb2.ReleaseRequest) -> None:
        broker = self._find_broker(PoolName(message.pool))
        if broker is None:
            return
        for result in message.results:
            broker.release(read_result(result))
