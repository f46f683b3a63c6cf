"""Send heartbeats to the monitors, one stream each."""

import logging
import threading
from collections.abc import Iterable, Iterator

import grpc

from jayshunt.clock import Clock
from jayshunt.membership.const import (
    HEARTBEAT_INTERVAL_S,
    MONITORS,
    STREAM_RETRY_S,
    STREAM_SILENT_S,
)
from jayshunt.membership.models import Member
from jayshunt.membership.node import MemberNode
from jayshunt.membership.wire import heartbeat_from_message, heartbeat_to_message
from jayshunt.peers.channels import PeerChannels
from jayshunt.peers.protocol import peer_pb2, peer_pb2_grpc
from jayshunt.tasks import TaskGroup

_LOGGER = logging.getLogger(__name__)

# While monitors change, streams to the old and to the new ones overlap.
MAX_STREAMS = 8 * MONITORS


class HeartbeatStreams:
    """Keep one stream to each monitor."""

    def __init__(self, node: MemberNode, channels: PeerChannels, clock: Clock) -> None:
        """Start without streams."""
        self._node = node
        self._channels = channels
        self._clock = clock
        self._tasks = TaskGroup("heartbeat", MAX_STREAMS)
        self._streams: dict[str, threading.Event] = {}

    def follow(self, monitors: Iterable[Member]) -> None:
        """Send to exactly these monitors."""
        addresses = {member.peer_address for member in monitors}
        for address in set(self._streams) - addresses:
            self._streams.pop(address).set()
        for address in addresses - set(self._streams):
            ended = threading.Event()
            self._streams[address] = ended
            self._tasks.start(lambda _, a=address, e=ended: self._send(a, e))

    def stop(self) -> None:
        """End every stream."""
        self.follow(())
        self._tasks.stop()

    def _send(self, address: str, ended: threading.Event) -> None:
        while not ended.is_set():
            stream = _Stream(self._node, self._clock, ended)
            stub = self._channels.stub(address, peer_pb2_grpc.MembershipStub)
            try:
                stream.run(stub)
            except grpc.RpcError as error:
                if ended.is_set():
                    return
                _LOGGER.debug("membership: heartbeats to %s: %s", address, error)
            if stream.was_silent:
                _LOGGER.info("membership: %s is silent, reconnecting", address)
                self._channels.renew(address)
            self._clock.wait(ended, STREAM_RETRY_S)


class _Stream:
    """Send heartbeats over one call until it ends or gets no answers."""

    def __init__(self, node: MemberNode, clock: Clock, ended: threading.Event) -> None:
        """Start as if an answer just came."""
        self._node = node
        self._clock = clock
        self._ended = ended
        self._answered_s = clock.monotonic_s()
        self._call: grpc.Call | None = None
        self._finished = threading.Event()
        self.was_silent = False

    def run(self, stub: peer_pb2_grpc.MembershipStub) -> None:
        """Read answers until the call ends."""
        try:
            self._call = stub.Heartbeat(self._messages())
            for answer in self._call:
                self._answered_s = self._clock.monotonic_s()
                self._node.receive_heartbeat(heartbeat_from_message(answer))
        finally:
            self._finished.set()

    def _messages(self) -> Iterator[peer_pb2.HeartbeatMessage]:
        while not self._finished.is_set():
            yield heartbeat_to_message(self._node.heartbeat())
            if self._clock.wait(self._ended, HEARTBEAT_INTERVAL_S):
                self._cancel()
                return
            if self._clock.monotonic_s() - self._answered_s > STREAM_SILENT_S:
                self.was_silent = True
                self._cancel()
                return

    def _cancel(self) -> None:
        if self._call is not None:
            self._call.cancel()
