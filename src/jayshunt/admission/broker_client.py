"""Request permits from the brokers of another entry over one stream."""

import itertools
import logging
import queue
import threading
from collections.abc import Iterator

import grpc

from jayshunt.admission.const import (
    PEER_DOWN_S,
    QUEUED_SILENCE_LIMIT_S,
    REPLY_LIMIT_MS,
    REPLY_LIMIT_RATIO,
    REPLY_MINIMUM_MS,
    STREAM_SILENCE_LIMIT_S,
)
from jayshunt.admission.messages import (
    PermitGranted,
    PermitQueued,
    PermitRefused,
    PermitReply,
    PermitResult,
    unused_result,
)
from jayshunt.admission.outbox import take_batch
from jayshunt.admission.pending import PendingCall
from jayshunt.admission.wire import acquire_message, read_reply, result_message
from jayshunt.clock import Clock
from jayshunt.ids import PoolName, ZoneName
from jayshunt.peers.channels import PeerChannels
from jayshunt.peers.protocol import peer_pb2, peer_pb2_grpc

_LOGGER = logging.getLogger(__name__)

DEADLINE_PASSED = PermitRefused("deadline_passed", 0.5, "no slot came free in time")


class BrokerClient:
    """Manage the stream to one peer, which is opened at the first request."""

    def __init__(
        self, peer: str, zone: ZoneName, clock: Clock, channels: PeerChannels
    ) -> None:
        """Create a client without a stream; `peer` is IP:PORT."""
        self._peer = peer
        self._zone = zone
        self._clock = clock
        self._channels = channels
        self._lock = threading.Lock()
        self._call_ids = itertools.count(1)
        self._calls: dict[int, PendingCall] = {}
        self._outbox: queue.SimpleQueue | None = None
        self._stream: grpc.Call | None = None
        self._silent_since_s: float | None = None
        self._down_until_s = 0.0

    def is_down(self) -> bool:
        """Return whether the stream failed recently or a request got no reply in time.

        This check has effects: after QUEUED_SILENCE_LIMIT_S without a reply it aborts
        the queued calls, after STREAM_SILENCE_LIMIT_S it closes the stream.
        """
        since_s = self._silent_since_s
        if since_s is None:
            return self._clock.monotonic_s() < self._down_until_s
        if self._clock.monotonic_s() - since_s > STREAM_SILENCE_LIMIT_S:
            # The next request opens a new stream, which shows whether the peer
            # itself or only the connection is silent.
            self._close(self._outbox)
            return False
        if self._clock.monotonic_s() - since_s > QUEUED_SILENCE_LIMIT_S:
            self._abort_all_calls()
        return True

    def acquire(self, call: PendingCall) -> None:
        """Block until the call is decided.

        The decision is None if the broker does not reply or the stream ends, so
        that the caller asks another broker.
        """
        call_id = self._send_call(call)
        remaining_ms = call.request.remaining_ms
        limit_ms = min(REPLY_LIMIT_MS, REPLY_LIMIT_RATIO * remaining_ms)
        if not call.wait_reply(max(REPLY_MINIMUM_MS, limit_ms) / 1000):
            self._silent_since_s = self._clock.monotonic_s()
            call.decide(None)
        elif not call.wait_decision(call.request.wait_limit_ms / 1000):
            call.decide(DEADLINE_PASSED)
        with self._lock:
            if call_id in self._calls and self._outbox is not None:
                pool = call.request.pool
                self._outbox.put(peer_pb2.CancelRequest(pool=pool, call=call_id))

    def release(self, pool: PoolName, results: list[PermitResult]) -> None:
        """Release permits; nothing is sent if the stream has ended."""
        outbox = self._outbox
        if outbox is not None:
            outbox.put(
                peer_pb2.ReleaseRequest(
                    pool=pool, results=[result_message(r) for r in results]
                )
            )

    def reconnect(self) -> None:
        """Reset the backoff, so that the next call is sent at once.

        Without an open stream, also close the channel to the peer, so that the next
        call opens a new connection.
        """
        self._down_until_s = 0.0
        if self._outbox is None:
            self._channels.forget(self._peer)

    def abort_calls(self, pool: PoolName, zone: ZoneName) -> None:
        """Abort the calls for a pool of a zone whose broker was replaced."""
        if zone != self._zone:
            return
        with self._lock:
            calls = [c for c in self._calls.values() if c.request.pool == pool]
        for call in calls:
            call.decide(None)

    def _abort_all_calls(self) -> None:
        """Abort the calls queued at a silent peer, so that they ask other brokers."""
        with self._lock:
            calls = list(self._calls.values())
        for call in calls:
            call.decide(None)

    def stop(self) -> None:
        """Close the stream and abort its calls."""
        self._close(self._outbox)

    def _send_call(self, call: PendingCall) -> int:
        with self._lock:
            if self._outbox is None:
                self._open()
            call_id = next(self._call_ids)
            self._calls[call_id] = call
            self._outbox.put(acquire_message(call_id, call.request))
            return call_id

    def _open(self) -> None:
        outbox: queue.SimpleQueue = queue.SimpleQueue()
        stub = peer_pb2_grpc.AdmissionStub(self._channels.channel(self._peer))
        stream = stub.Permits(_batches(outbox))
        self._outbox, self._stream = outbox, stream
        threading.Thread(
            target=self._read, args=(stream, outbox), name="permits", daemon=True
        ).start()

    def _read(self, stream: grpc.Call, outbox: queue.SimpleQueue) -> None:
        try:
            for message in stream:
                self._silent_since_s = None
                for reply in message.replies:
                    self._handle_reply(reply.call, read_reply(reply))
        except grpc.RpcError as error:
            _LOGGER.info("admission: stream to %s ended: %s", self._peer, error.code())
            self._down_until_s = self._clock.monotonic_s() + PEER_DOWN_S
        finally:
            self._close(outbox)

    def _handle_reply(self, call_id: int, reply: PermitReply) -> None:
        with self._lock:
            if isinstance(reply, PermitQueued):
                call = self._calls.get(call_id)
                if call is not None:
                    call.mark_queued()
                return
            call = self._calls.pop(call_id, None)
        if call is None or call.decide(reply):
            return
        if isinstance(reply, PermitGranted):
            self.release(
                call.request.pool, [unused_result(reply, call.request.work_class)]
            )

    def _close(self, outbox: queue.SimpleQueue | None) -> None:
        with self._lock:
            if outbox is None or self._outbox is not outbox:
                return
            calls, self._calls = self._calls, {}
            stream, self._stream, self._outbox = self._stream, None, None
            self._silent_since_s = None
        outbox.put(None)
        if stream is not None:
            stream.cancel()
        for call in calls.values():
            call.decide(None)


def _batches(outbox: queue.SimpleQueue) -> Iterator[peer_pb2.PermitsFromEntry]:
    """Yield the messages of the outbox, several in one batch under load."""
    while True:
        batch = peer_pb2.PermitsFromEntry()
        for item in take_batch(outbox):
            match item:
                case None:
                    return
                case peer_pb2.AcquireRequest():
                    batch.acquire.append(item)
                case peer_pb2.ReleaseRequest():
                    batch.release.append(item)
                case peer_pb2.CancelRequest():
                    batch.cancel.append(item)
        yield batch
