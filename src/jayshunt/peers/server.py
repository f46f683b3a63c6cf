"""Serve the gRPC calls of other entries."""

import ipaddress
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import grpc

from jayshunt.errors import JayshuntError
from jayshunt.peers.const import (
    KEEPALIVE_TIME_MS,
    KEEPALIVE_TIMEOUT_MS,
    MAX_CONCURRENT_CALLS,
    MAX_MESSAGE_BYTES,
    STOP_GRACE_S,
)
from jayshunt.peers.tls import KeyReader, server_credentials
from jayshunt.settings.models import TlsFiles

_LOGGER = logging.getLogger(__name__)

SERVER_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", KEEPALIVE_TIME_MS),
    ("grpc.keepalive_timeout_ms", KEEPALIVE_TIMEOUT_MS),
    ("grpc.http2.min_ping_interval_without_data_ms", KEEPALIVE_TIME_MS // 2),
)


class PeerServer:
    """Run one gRPC server with the services of all packages.

    Each package passes a function that adds its servicer, for example
    `lambda server: add_JobsServicer_to_server(servicer, server)`.
    """

    def __init__(self, address: str, tls: TlsFiles | None) -> None:
        """Create the server; `address` is IP:PORT."""
        self._executor = ThreadPoolExecutor(MAX_CONCURRENT_CALLS, "peer")
        self._server = grpc.server(self._executor, options=SERVER_OPTIONS)
        if tls is None:
            _check_loopback(address)
            self.port = self._server.add_insecure_port(address)
        else:
            credentials = server_credentials(KeyReader(tls))
            self.port = self._server.add_secure_port(address, credentials)

    def add(self, add_service: Callable[[grpc.Server], None]) -> None:
        """Add a service; only before the start."""
        add_service(self._server)

    def start(self) -> None:
        """Start serving."""
        self._server.start()

    def stop(self) -> None:
        """Stop; calls in flight have STOP_GRACE_S to finish."""
        self._server.stop(STOP_GRACE_S).wait()
        self._executor.shutdown(wait=False)


def _check_loopback(address: str) -> None:
    """Raise JayshuntError unless the address is on the loopback interface.

    Without TLS, anyone on the network could act as a peer.
    """
    host = address.rpartition(":")[0].strip("[]")
    if not ipaddress.ip_address(host).is_loopback:
        raise JayshuntError(
            "peers_unauthenticated",
            step="peers.listen",
            peer=address,
            detail=f"tls.peers is needed to listen on {address}",
        )
