"""Know the other entries and publish a view of them."""

import logging
import random
import threading
from collections.abc import Callable, Iterable

import grpc

from jayshunt.clock import Clock
from jayshunt.membership.const import (
    CALL_TIMEOUT_S,
    EXCHANGE_INTERVAL_S,
    JOIN_INTERVAL_S,
)
from jayshunt.membership.models import Member, MembershipView, MemberState
from jayshunt.membership.table import MemberTable
from jayshunt.membership.wire import from_messages, to_message
from jayshunt.peers.channels import PeerChannels
from jayshunt.peers.protocol import peer_pb2, peer_pb2_grpc

_LOGGER = logging.getLogger(__name__)


class MembershipService:
    """Own the membership view of this entry."""

    def __init__(
        self,
        own: Member,
        seeds: Iterable[str],
        channels: PeerChannels,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start knowing only itself."""
        self._table = MemberTable(own)
        self._seeds = [seed for seed in seeds if seed != own.peer_address]
        self._channels = channels
        self._clock = clock
        self._rng = rng
        self._lock = threading.RLock()
        self._view = MembershipView(1, self._table.members())
        self._listeners: list[Callable[[MembershipView], None]] = []

    def view(self) -> MembershipView:
        """Return the newest view."""
        return self._view

    def add_listener(self, listener: Callable[[MembershipView], None]) -> None:
        """Call a listener with each new view."""
        self._listeners.append(listener)

    def merge(self, news: Iterable[Member]) -> None:
        """Take news and publish a new view if it changed anything."""
        with self._lock:
            if not self._table.merge(news):
                return
            self._view = MembershipView(self._view.version + 1, self._table.members())
            view = self._view
        for listener in self._listeners:
            listener(view)

    def answer_exchange(
        self, message: peer_pb2.ExchangeMessage
    ) -> peer_pb2.ExchangeMessage:
        """Merge what a peer knows and return what this entry knows."""
        self.merge(from_messages(message.members))
        return self._message()

    def run(self, stop: threading.Event) -> None:
        """Exchange with one random peer per interval until stopped."""
        while not stop.is_set():
            others = self._table.others(MemberState.ALIVE, MemberState.SUSPECT)
            addresses = [m.peer_address for m in others] or self._seeds
            if addresses:
                self._exchange(self._rng.choice(addresses))
            joined = len(others) >= len(self._seeds)
            self._clock.wait(stop, EXCHANGE_INTERVAL_S if joined else JOIN_INTERVAL_S)

    def _exchange(self, address: str) -> None:
        stub = peer_pb2_grpc.MembershipStub(self._channels.channel(address))
        try:
            reply = stub.Exchange(self._message(), timeout=CALL_TIMEOUT_S)
        except grpc.RpcError as error:
            _LOGGER.info("membership: no exchange with %s: %s", address, error.code())
            return
        self.merge(from_messages(reply.members))

    def _message(self) -> peer_pb2.ExchangeMessage:
        with self._lock:
            members = [to_message(member) for member in self._table.members()]
        return peer_pb2.ExchangeMessage(
            entry=self._table.own.entry, members=members, complete=True
        )
