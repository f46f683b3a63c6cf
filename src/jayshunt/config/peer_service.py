"""Serve configuration calls from other entries."""

import grpc

from jayshunt.config.coordinator import ConfigCoordinator
from jayshunt.config.gossip import ConfigGossip
from jayshunt.config.transport import from_message, to_message
from jayshunt.peers.protocol import peer_pb2, peer_pb2_grpc


class ConfigurationServicer(peer_pb2_grpc.ConfigurationServicer):
    """Delegate gRPC calls to the coordinator and the gossip of this entry."""

    def __init__(self, coordinator: ConfigCoordinator, config_gossip: ConfigGossip):
        """Initialize with the handlers of the calls."""
        self._coordinator = coordinator
        self._config_gossip = config_gossip

    def add_to(self, server: grpc.Server) -> None:
        """Register the service with a gRPC server."""
        peer_pb2_grpc.add_ConfigurationServicer_to_server(self, server)

    def NoticeConfig(self, request: peer_pb2.ConfigNotice, context):
        """Process a notice and return the version in force here."""
        return to_message(self._config_gossip.handle_notice(from_message(request)))

    def FetchConfig(self, request: peer_pb2.ConfigNotice, context):
        """Return the packed content of the version in force here."""
        version, content = self._coordinator.pack_current()
        return peer_pb2.ConfigContent(version=version, content=content)
