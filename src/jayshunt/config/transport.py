"""Define the transport of configuration versions and implement it over gRPC."""

from collections.abc import Callable
from typing import Protocol

import grpc

from jayshunt.config.const import FETCH_TIMEOUT_S, NOTICE_TIMEOUT_S
from jayshunt.config.messages import Notice
from jayshunt.ids import ConfigVersion, EntryId
from jayshunt.peers.channels import PeerChannels, peer_error
from jayshunt.peers.protocol import peer_pb2, peer_pb2_grpc

OnNotice = Callable[[Notice | None], None]


class ConfigTransport(Protocol):
    """Interface for sending notices and fetching versions."""

    def notify(self, address: str, notice: Notice, on_reply: OnNotice) -> None:
        """Send a notice asynchronously; `on_reply` receives None if it failed."""

    def fetch(self, address: str, notice: Notice) -> bytes:
        """Return the packed version in force on a peer, or raise JayshuntError."""


class GrpcConfigTransport:
    """Send notices and fetch versions over gRPC."""

    def __init__(self, channels: PeerChannels) -> None:
        """Initialize with the channels of this process."""
        self._channels = channels

    def notify(self, address: str, notice: Notice, on_reply: OnNotice) -> None:
        """Send a notice asynchronously; `on_reply` receives None if it failed."""
        stub = self._channels.stub(address, peer_pb2_grpc.ConfigurationStub)
        call = stub.NoticeConfig.future(to_message(notice), timeout=NOTICE_TIMEOUT_S)

        def on_done(future: grpc.Future) -> None:
            failed = future.cancelled() or future.exception() is not None
            on_reply(None if failed else from_message(future.result()))

        call.add_done_callback(on_done)

    def fetch(self, address: str, notice: Notice) -> bytes:
        """Return the packed version in force on a peer, or raise JayshuntError."""
        stub = self._channels.stub(address, peer_pb2_grpc.ConfigurationStub)
        try:
            reply = stub.FetchConfig(to_message(notice), timeout=FETCH_TIMEOUT_S)
        except grpc.RpcError as error:
            raise peer_error(error, "config.fetch", address) from error
        return reply.content


def to_message(notice: Notice) -> peer_pb2.ConfigNotice:
    """Convert a notice to its protobuf message."""
    return peer_pb2.ConfigNotice(
        entry=notice.entry,
        version=notice.version,
        digest=notice.digest,
        peer_address=notice.peer_address,
    )


def from_message(message: peer_pb2.ConfigNotice) -> Notice:
    """Convert a protobuf message to a notice."""
    return Notice(
        EntryId(message.entry),
        ConfigVersion(message.version),
        message.digest,
        message.peer_address,
    )
