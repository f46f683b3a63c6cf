"""Send membership calls over gRPC."""

import logging

import grpc

from jayshunt.ids import EntryId
from jayshunt.membership.const import CALL_TIMEOUT_S, PROBE_TIMEOUT_S
from jayshunt.membership.messages import Exchange
from jayshunt.membership.transport import OnExchange, OnProbe
from jayshunt.membership.wire import exchange_from_message, exchange_to_message
from jayshunt.peers.channels import PeerChannels
from jayshunt.peers.protocol import peer_pb2, peer_pb2_grpc

_LOGGER = logging.getLogger(__name__)


class GrpcTransport:
    """Send calls asynchronously; replies are handled on a gRPC thread."""

    def __init__(self, own: EntryId, channels: PeerChannels) -> None:
        """Create a transport that uses the channels of this process."""
        self._own = own
        self._channels = channels

    def exchange(self, address: str, message: Exchange, on_reply: OnExchange) -> None:
        """Send an exchange and pass the reply, or None, to `on_reply`."""
        stub = self._channels.stub(address, peer_pb2_grpc.MembershipStub)
        call = stub.Exchange.future(
            exchange_to_message(message), timeout=CALL_TIMEOUT_S
        )

        def handle_done(call_future: grpc.Future) -> None:
            reply = _result(call_future, "exchange", address)
            on_reply(None if reply is None else exchange_from_message(reply))

        call.add_done_callback(handle_done)

    def probe(self, address: str, entry: EntryId, on_reply: OnProbe) -> None:
        """Ask a peer for the seconds since a member's last heartbeat.

        `on_reply` gets None if the call fails or the peer received no heartbeat.
        """
        stub = self._channels.stub(address, peer_pb2_grpc.MembershipStub)
        request = peer_pb2.ProbeRequest(entry=entry, asker=self._own)
        call = stub.Probe.future(request, timeout=PROBE_TIMEOUT_S)

        def handle_done(call_future: grpc.Future) -> None:
            reply = _result(call_future, "probe", address)
            has_heartbeat = reply is not None and reply.heard
            on_reply(reply.silent_ms / 1000 if has_heartbeat else None)

        call.add_done_callback(handle_done)


def _result(call_future: grpc.Future, step: str, address: str):
    if call_future.cancelled():
        return None
    error = call_future.exception()
    if error is None:
        return call_future.result()
    _LOGGER.debug("membership: %s with %s failed: %s", step, address, error)
    return None
