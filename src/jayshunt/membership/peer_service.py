"""Serve the membership calls of other entries over gRPC."""

from collections.abc import Iterator

import grpc

from jayshunt.ids import EntryId
from jayshunt.membership.service import MembershipService
from jayshunt.membership.wire import (
    exchange_from_message,
    exchange_to_message,
    heartbeat_from_message,
)
from jayshunt.peers.protocol import peer_pb2, peer_pb2_grpc


class MembershipServicer(peer_pb2_grpc.MembershipServicer):
    """Pass calls of other entries to the membership service."""

    def __init__(self, service: MembershipService) -> None:
        """Create a servicer for a membership service."""
        self._service = service

    def add_to(self, server: grpc.Server) -> None:
        """Register this servicer with a gRPC server."""
        peer_pb2_grpc.add_MembershipServicer_to_server(self, server)

    def Heartbeat(self, request_iterator: Iterator[peer_pb2.HeartbeatMessage], context):
        """Receive the heartbeat stream of one member."""
        try:
            self._service.receive_heartbeats(
                map(heartbeat_from_message, request_iterator)
            )
        except grpc.RpcError:
            # The sender ended its stream.
            pass
        return iter(())

    def Exchange(self, request: peer_pb2.ExchangeMessage, context):
        """Merge a peer's records and return those that it lacks."""
        reply = self._service.answer_exchange(exchange_from_message(request))
        return exchange_to_message(reply)

    def Probe(self, request: peer_pb2.ProbeRequest, context):
        """Return the time since a member's last heartbeat."""
        heartbeat_age_s = self._service.answer_probe(
            EntryId(request.entry), EntryId(request.asker)
        )
        if heartbeat_age_s is None:
            return peer_pb2.ProbeReply(heard=False)
        return peer_pb2.ProbeReply(
            heard=True, silent_ms=max(0, int(heartbeat_age_s * 1000))
        )
