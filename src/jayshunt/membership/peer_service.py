"""Answer membership calls of other entries."""

import grpc

from jayshunt.membership.service import MembershipService
from jayshunt.peers.protocol import peer_pb2, peer_pb2_grpc


class MembershipServicer(peer_pb2_grpc.MembershipServicer):
    """Pass calls of other entries to the membership service."""

    def __init__(self, service: MembershipService) -> None:
        """Serve one membership."""
        self._service = service

    def add_to(self, server: grpc.Server) -> None:
        """Register with a server."""
        peer_pb2_grpc.add_MembershipServicer_to_server(self, server)

    def Exchange(self, request: peer_pb2.ExchangeMessage, context):
        """Merge what a peer knows and return what this entry knows."""
        return self._service.answer_exchange(request)
