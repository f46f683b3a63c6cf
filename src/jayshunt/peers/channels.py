"""Keep one channel to each peer."""

import threading

import grpc

from jayshunt.errors import JayshuntError, Outcome
from jayshunt.peers.const import (
    KEEPALIVE_TIME_MS,
    KEEPALIVE_TIMEOUT_MS,
    MAX_MESSAGE_BYTES,
    RECONNECT_LIMIT_MS,
)
from jayshunt.peers.tls import channel_credentials
from jayshunt.settings.models import TlsFiles

CHANNEL_OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", KEEPALIVE_TIME_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_LIMIT_MS),
)


class PeerChannels:
    """Own the gRPC channels of this process, one for each peer address."""

    def __init__(self, tls: TlsFiles | None) -> None:
        """Start without channels."""
        self._tls = tls
        self._lock = threading.Lock()
        self._channels: dict[str, grpc.Channel] = {}

    def channel(self, peer_address: str) -> grpc.Channel:
        """Return the channel to a peer; it connects at its first call."""
        with self._lock:
            channel = self._channels.get(peer_address)
            if channel is None:
                channel = self._open(peer_address)
                self._channels[peer_address] = channel
            return channel

    def forget(self, peer_address: str) -> None:
        """Close the channel to a peer that is lost."""
        with self._lock:
            channel = self._channels.pop(peer_address, None)
        if channel is not None:
            channel.close()

    def stop(self) -> None:
        """Close every channel."""
        with self._lock:
            channels, self._channels = self._channels, {}
        for channel in channels.values():
            channel.close()

    def _open(self, peer_address: str) -> grpc.Channel:
        target = f"ipv4:{peer_address}"
        if self._tls is None:
            return grpc.insecure_channel(target, CHANNEL_OPTIONS)
        return grpc.secure_channel(
            target, channel_credentials(self._tls), CHANNEL_OPTIONS
        )


def peer_error(
    error: grpc.RpcError, step: str, peer: str, outcome: Outcome = Outcome.UNKNOWN
) -> JayshuntError:
    """Return the error of a failed call between entries.

    A call may have reached the peer even if it ended as UNAVAILABLE, so the
    outcome is UNKNOWN unless the caller knows that the call runs nothing.
    """
    not_reached = error.code() is grpc.StatusCode.UNAVAILABLE
    return JayshuntError(
        "peer_unreachable" if not_reached else "peer_failed",
        step=step,
        peer=peer,
        outcome=outcome,
        retry_after_s=1.0,
        detail=error.details() or str(error.code()),
    )
