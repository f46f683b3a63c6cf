"""Keep one gRPC channel to each peer."""

import threading
import time
from typing import TypeVar

import grpc

from jayshunt.errors import JayshuntError, Outcome
from jayshunt.peers.const import (
    KEEPALIVE_TIME_MS,
    KEEPALIVE_TIMEOUT_MS,
    MAX_MESSAGE_BYTES,
    RECONNECT_BACKOFF_MS,
    RETIRED_GRACE_S,
)
from jayshunt.peers.tls import KeyReader, channel_credentials
from jayshunt.settings.models import TlsFiles

CHANNEL_OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", KEEPALIVE_TIME_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.initial_reconnect_backoff_ms", 100),
    # The minimum is also the timeout of one connection attempt; its default of 20 s
    # would delay the reconnection to a peer after a partition.
    ("grpc.min_reconnect_backoff_ms", RECONNECT_BACKOFF_MS),
    ("grpc.max_reconnect_backoff_ms", RECONNECT_BACKOFF_MS),
    # Bandwidth probing sends a ping for each message, and peers exchange small ones.
    ("grpc.http2.bdp_probe", 0),
    # Without this, channels to one address share a connection, and a new channel would
    # not replace a connection that no longer delivers anything.
    ("grpc.use_local_subchannel_pool", 1),
)

Stub = TypeVar("Stub")


class PeerChannels:
    """Manage the gRPC channels of this process, one for each peer address."""

    def __init__(self, tls: TlsFiles | None) -> None:
        """Create the manager; without `tls`, channels are not authenticated."""
        self._reader = None if tls is None else KeyReader(tls)
        self._lock = threading.Lock()
        self._channels: dict[str, grpc.Channel] = {}
        self._stubs: dict[tuple[str, type], object] = {}
        self._retired: list[tuple[float, grpc.Channel]] = []

    @property
    def authenticated(self) -> bool:
        """Return whether channels use mutual TLS."""
        return self._reader is not None

    def addresses(self) -> list[str]:
        """Return the addresses that have a channel."""
        with self._lock:
            return sorted(self._channels)

    def channel(self, peer_address: str) -> grpc.Channel:
        """Return the channel to a peer; it connects on the first call."""
        with self._lock:
            return self._channel(peer_address)

    def stub(self, peer_address: str, stub_class: type[Stub]) -> Stub:
        """Return a cached stub on the channel to a peer."""
        with self._lock:
            key = (peer_address, stub_class)
            if key not in self._stubs:
                self._stubs[key] = stub_class(self._channel(peer_address))
            return self._stubs[key]

    def reconnect(self, peer_address: str) -> None:
        """Retire the channel to a peer, so that the next call opens a new one.

        The retired channel stays open for RETIRED_GRACE_S so that its calls in
        flight can finish; it is closed at a later reconnect or at the stop, which
        also ends streams that are still open on it.
        """
        self._close_retired(RETIRED_GRACE_S)
        with self._lock:
            channel = self._remove(peer_address)
            if channel is not None:
                self._retired.append((time.monotonic(), channel))

    def refresh_keys(self) -> bool:
        """Reload replaced key files and reconnect; return whether the keys changed."""
        if self._reader is None or not self._reader.refresh():
            return False
        with self._lock:
            addresses = list(self._channels)
        for address in addresses:
            self.reconnect(address)
        return True

    def forget(self, peer_address: str) -> None:
        """Close the channel to a peer at once; the next call opens a new one."""
        with self._lock:
            channel = self._remove(peer_address)
        if channel is not None:
            channel.close()

    def stop(self) -> None:
        """Close every channel."""
        self._close_retired(0.0)
        with self._lock:
            channels, self._channels = self._channels, {}
            self._stubs = {}
        for channel in channels.values():
            channel.close()

    def _channel(self, peer_address: str) -> grpc.Channel:
        channel = self._channels.get(peer_address)
        if channel is None:
            channel = self._open(peer_address)
            self._channels[peer_address] = channel
        return channel

    def _remove(self, peer_address: str) -> grpc.Channel | None:
        for key in [key for key in self._stubs if key[0] == peer_address]:
            del self._stubs[key]
        return self._channels.pop(peer_address, None)

    def _close_retired(self, grace_s: float) -> None:
        with self._lock:
            cutoff_s = time.monotonic() - grace_s
            expired = [c for since_s, c in self._retired if since_s <= cutoff_s]
            self._retired = [r for r in self._retired if r[0] > cutoff_s]
        for channel in expired:
            channel.close()

    def _open(self, peer_address: str) -> grpc.Channel:
        target = f"ipv4:{peer_address}"
        if peer_address.startswith("["):
            target = f"ipv6:{peer_address}"
        if self._reader is None:
            return grpc.insecure_channel(target, CHANNEL_OPTIONS)
        return grpc.secure_channel(
            target, channel_credentials(self._reader.keys), CHANNEL_OPTIONS
        )


def peer_error(
    error: grpc.RpcError, step: str, peer: str, outcome: Outcome = Outcome.UNKNOWN
) -> JayshuntError:
    """Return the error for a failed call between entries.

    A call may have reached the peer even if it failed with UNAVAILABLE, so the
    outcome is UNKNOWN unless the caller knows that the call runs no work.
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
