"""Rank the candidates for broker and collect held permits at a takeover."""

import logging
import socket
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import grpc

from jayshunt.admission.const import (
    CONNECT_PROBE_TIMEOUT_S,
    PEER_THREADS,
    RANKINGS_KEPT,
    RECOVER_TIMEOUT_S,
)
from jayshunt.admission.messages import HeldPermit, RecoveredPermits
from jayshunt.admission.wire import read_recovered
from jayshunt.ids import EntryId, PoolName, ZoneName
from jayshunt.membership.models import Member, MembershipView, MemberState
from jayshunt.membership.ranking import rank_members
from jayshunt.peers.channels import PeerChannels
from jayshunt.peers.protocol import peer_pb2, peer_pb2_grpc

_LOGGER = logging.getLogger(__name__)


class BrokerCandidates:
    """Rank a zone's entries as brokers of each pool and collect held permits."""

    def __init__(
        self,
        entry: EntryId,
        zone: ZoneName,
        read_view: Callable[[], MembershipView],
        channels: PeerChannels,
        is_ended: Callable[[str], bool] | None = None,
    ) -> None:
        """Create the thread pools.

        `is_ended` returns whether the process at a peer address has ended.
        """
        self._entry = entry
        self._zone = zone
        self._read_view = read_view
        self._channels = channels
        self._is_ended = is_ended or connection_refused
        self._rankings: dict[tuple[int, ZoneName, PoolName], list[Member]] = {}
        self._executor = ThreadPoolExecutor(PEER_THREADS, "recover")
        # A separate pool, so that calls to unreachable zones do not block other
        # takeovers.
        self._other_zones_executor = ThreadPoolExecutor(
            PEER_THREADS, "recover-elsewhere"
        )

    def candidates(self, zone: ZoneName, pool: PoolName) -> list[Member]:
        """Return a zone's live entries in the order in which they become broker."""
        view = self._read_view()
        key = (view.version, zone, pool)
        members = self._rankings.get(key)
        if members is None:
            members = rank_members(f"broker|{zone}|{pool}", view.alive(zone))
            if len(self._rankings) > RANKINGS_KEPT:
                self._rankings = {}
            self._rankings[key] = members
        return members

    def is_first_candidate(self, pool: PoolName) -> bool:
        """Return whether every entry ranked before this one is suspect or has ended.

        A refused connection proves that the process has ended, because nothing
        listens on its port. A paused process still accepts connections.
        """
        for member in self.candidates(self._zone, pool):
            if member.entry == self._entry:
                return True
            if member.state is MemberState.SUSPECT:
                continue
            if not self._is_ended(member.peer_address):
                return False
        return False

    def collect(self, pool: PoolName) -> tuple[list[RecoveredPermits], list[EntryId]]:
        """Return the answers of the zone's entries, and the entries without one."""
        view = self._read_view()
        peers = [
            member
            for member in view.members
            if member.zone == self._zone
            and member.entry != self._entry
            and member.state is not MemberState.LOST
        ]
        answers = list(self._executor.map(lambda m: self._ask(m, pool), peers))
        recovered = [answer for answer in answers if answer is not None]
        missing = [m.entry for m, a in zip(peers, answers, strict=True) if a is None]
        if missing:
            _LOGGER.warning(
                "admission: pool %s taken over without an answer from %s",
                pool,
                ", ".join(missing),
            )
        return recovered, missing

    def collect_from_other_zones(self, pool: PoolName) -> list[HeldPermit]:
        """Return permits that other zones' entries hold on this zone's instances."""
        others = [m for m in self._read_view().alive() if m.zone != self._zone]
        answers = self._other_zones_executor.map(lambda m: self._ask(m, pool), others)
        return [item for answer in answers if answer for item in answer.held]

    def stop(self) -> None:
        """Shut down the thread pools without waiting."""
        self._executor.shutdown(wait=False, cancel_futures=True)
        self._other_zones_executor.shutdown(wait=False, cancel_futures=True)

    def _ask(self, member: Member, pool: PoolName) -> RecoveredPermits | None:
        stub = peer_pb2_grpc.AdmissionStub(self._channels.channel(member.peer_address))
        request = peer_pb2.RecoverRequest(
            pool=pool, broker=self._entry, zone=self._zone
        )
        try:
            return read_recovered(
                stub.RecoverPermits(request, timeout=RECOVER_TIMEOUT_S)
            )
        except grpc.RpcError as error:
            _LOGGER.info("admission: %s did not answer: %s", member.entry, error.code())
            return None


def connection_refused(address: str) -> bool:
    """Return whether a connection to an address is refused, so nothing listens."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection(
            (host.strip("[]"), int(port)), CONNECT_PROBE_TIMEOUT_S
        ).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
