"""Define how entries exchange versions, and do so over gRPC."""

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
    """Tell peers of versions and fetch them."""

    def notify(self, address: str, notice: Notice, on_reply: OnNotice) -> None:
        """Send a notice without waiting; None stands for no reply."""

    def fetch(self, address: str, notice: Notice) -> bytes:
        """Return the packed version of a peer, or raise JayshuntError."""


class GrpcConfigTransport:
    """Send over the channels of this process."""

    def __init__(self, channels: PeerChannels) -> None:
        """Send over the given channels."""
        self._channels = channels

    def notify(self, address: str, notice: Notice, on_reply: OnNotice) -> None:
        """Send a notice without waiting; None stands for no reply."""
        stub = self._channels.stub(address, peer_pb2_grpc.ConfigurationStub)
        call = stub.NoticeConfig.future(to_message(notice), timeout=NOTICE_TIMEOUT_S)

        def done(ended: grpc.Future) -> None:
            failed = ended.cancelled() or ended.exception() is not None
            on_reply(None if failed else from_message(ended.result()))

        call.add_done_callback(done)

    def fetch(self, address: str, notice: Notice) -> bytes:
        """Return the packed version of a peer, or raise JayshuntError."""
        stub = self._channels.stub(address, peer_pb2_grpc.ConfigurationStub)
        try:
            reply = stub.FetchConfig(to_message(notice), timeout=FETCH_TIMEOUT_S)
        except grpc.RpcError as error:
            raise peer_error(error, "config.fetch", address) from error
        return reply.content


def to_message(notice: Notice) -> peer_pb2.ConfigNotice:
    """Return the wire form of a notice."""
    return peer_pb2.ConfigNotice(
        entry=notice.entry,
        version=notice.version,
        digest=notice.digest,
        peer_address=notice.peer_address,
    )


def from_message(message: peer_pb2.ConfigNotice) -> Notice:
    """Return a notice from its wire form."""
    return Notice(
        EntryId(message.entry),
        ConfigVersion(message.version),
        message.digest,
        message.peer_address,
    )
