"""Send heartbeats to the monitors, over one stream each."""

import logging
import threading
from collections.abc import Iterable, Iterator

import grpc

from jayshunt.clock import Clock
from jayshunt.membership.const import (
    HEARTBEAT_INTERVAL_S,
    MONITOR_COUNT,
    RECONNECT_INTERVAL_S,
    STREAM_RETRY_S,
)
from jayshunt.membership.models import Member
from jayshunt.membership.node import MemberNode
from jayshunt.membership.wire import heartbeat_to_message
from jayshunt.peers.channels import PeerChannels
from jayshunt.peers.protocol import peer_pb2, peer_pb2_grpc
from jayshunt.tasks import TaskGroup

_LOGGER = logging.getLogger(__name__)

# Streams to the previous and to the new monitors overlap while monitors change.
MAX_STREAMS = 8 * MONITOR_COUNT


class HeartbeatStreams:
    """Maintain one heartbeat stream to each monitor."""

    def __init__(self, node: MemberNode, channels: PeerChannels, clock: Clock) -> None:
        """Start without streams."""
        self._node = node
        self._channels = channels
        self._clock = clock
        self._tasks = TaskGroup("heartbeat", MAX_STREAMS)
        self._lock = threading.Lock()
        self._streams: dict[str, _Stream] = {}

    def set_monitors(self, monitors: Iterable[Member]) -> None:
        """Open streams to new monitors and end those to all others."""
        addresses = {member.peer_address for member in monitors}
        with self._lock:
            removed = [self._streams.pop(a) for a in set(self._streams) - addresses]
            added = [
                _Stream(address, self._node, self._channels, self._clock)
                for address in addresses - set(self._streams)
            ]
            self._streams.update({stream.address: stream for stream in added})
        for stream in removed:
            stream.stop()
        for stream in added:
            self._tasks.start(stream.run)

    def reconnect(self, address: str) -> None:
        """Reconnect to a monitor that receives no heartbeats of this process."""
        with self._lock:
            stream = self._streams.get(address)
        if stream is not None:
            stream.reconnect()

    def stop(self) -> None:
        """Stop every stream."""
        self.set_monitors(())
        self._tasks.stop()


class _Stream:
    """Send heartbeats to one address until stopped.

    Answers are not awaited: a thread that waits for answers in gRPC wakes ten times
    a second, and a monitor that receives no heartbeats sends a probe instead.
    """

    def __init__(
        self, address: str, node: MemberNode, channels: PeerChannels, clock: Clock
    ) -> None:
        """Create a stream to one address."""
        self.address = address
        self._node = node
        self._channels = channels
        self._clock = clock
        self._stopped = threading.Event()
        self._call: grpc.Call | None = None
        self._opened_s = 0.0

    def run(self, _stop: threading.Event) -> None:
        """Keep the stream open, with retries, until stopped."""
        while not self._stopped.is_set():
            finished = threading.Event()
            stub = self._channels.stub(self.address, peer_pb2_grpc.MembershipStub)
            self._opened_s = self._clock.monotonic_s()
            try:
                self._call = stub.Heartbeat(self._messages(finished))
                self._call.add_done_callback(lambda _, f=finished: f.set())
                finished.wait()
            except (grpc.RpcError, ValueError) as error:
                # gRPC raises ValueError if the channel is closed during the call.
                _LOGGER.debug("membership: heartbeats to %s: %s", self.address, error)
            finally:
                finished.set()
            self._clock.wait(self._stopped, STREAM_RETRY_S)

    def reconnect(self) -> None:
        """Reopen the stream on a new connection unless it was opened recently."""
        if self._clock.monotonic_s() - self._opened_s < RECONNECT_INTERVAL_S:
            return
        _LOGGER.info(
            "membership: %s receives no heartbeats, reconnecting", self.address
        )
        self._channels.reconnect(self.address)
        self._cancel_call()

    def stop(self) -> None:
        """Stop the stream."""
        self._stopped.set()
        self._cancel_call()

    def _cancel_call(self) -> None:
        if self._call is not None:
            self._call.cancel()

    def _messages(
        self, finished: threading.Event
    ) -> Iterator[peer_pb2.HeartbeatMessage]:
        while not finished.is_set():
            yield heartbeat_to_message(self._node.heartbeat())
            if self._clock.wait(self._stopped, HEARTBEAT_INTERVAL_S):
                return
