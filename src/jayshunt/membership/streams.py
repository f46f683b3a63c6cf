"""Send heartbeats to the monitors, one stream each."""

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

# While monitors change, streams to the old and to the new ones overlap.
MAX_STREAMS = 8 * MONITOR_COUNT


class HeartbeatStreams:
    """Keep one stream to each monitor."""

    def __init__(self, node: MemberNode, channels: PeerChannels, clock: Clock) -> None:
        """Start without streams."""
        self._node = node
        self._channels = channels
        self._clock = clock
        self._tasks = TaskGroup("heartbeat", MAX_STREAMS)
        self._lock = threading.Lock()
        self._streams: dict[str, _Stream] = {}

    def set_monitors(self, monitors: Iterable[Member]) -> None:
        """Send to exactly these monitors."""
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
        """Use a new connection to a monitor that does not hear this process."""
        with self._lock:
            stream = self._streams.get(address)
        if stream is not None:
            stream.reconnect()

    def stop(self) -> None:
        """End every stream."""
        self.set_monitors(())
        self._tasks.stop()


class _Stream:
    """Send heartbeats to one address until it is ended.

    Answers are not awaited. A thread that waits for answers in gRPC wakes ten times
    a second, and a monitor that hears nothing says so with a probe.
    """

    def __init__(
        self, address: str, node: MemberNode, channels: PeerChannels, clock: Clock
    ) -> None:
        """Send to one address."""
        self.address = address
        self._node = node
        self._channels = channels
        self._clock = clock
        self._stopped = threading.Event()
        self._call: grpc.Call | None = None
        self._opened_s = 0.0

    def run(self, _stop: threading.Event) -> None:
        """Open the stream again and again until it is ended."""
        while not self._stopped.is_set():
            finished = threading.Event()
            stub = self._channels.stub(self.address, peer_pb2_grpc.MembershipStub)
            self._opened_s = self._clock.monotonic_s()
            try:
                self._call = stub.Heartbeat(self._messages(finished))
                self._call.add_done_callback(lambda _, f=finished: f.set())
                finished.wait()
            except (grpc.RpcError, ValueError) as error:
                # A channel that is closed meanwhile raises ValueError.
                _LOGGER.debug("membership: heartbeats to %s: %s", self.address, error)
            finally:
                finished.set()
            self._clock.wait(self._stopped, STREAM_RETRY_S)

    def reconnect(self) -> None:
        """Open the stream on a new connection unless that was just done."""
        if self._clock.monotonic_s() - self._opened_s < RECONNECT_INTERVAL_S:
            return
        _LOGGER.info("membership: %s hears nothing, reconnecting", self.address)
        self._channels.reconnect(self.address)
        self._cancel_call()

    def stop(self) -> None:
        """End the stream."""
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
