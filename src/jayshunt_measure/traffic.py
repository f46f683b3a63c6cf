"""Count the bytes of this process's TCP connections."""

import os
import socket
import struct
import threading
from dataclasses import dataclass

# Offsets in the kernel's struct tcp_info: acknowledged and received bytes (64 bit
# each), then sent and received segments (32 bit each).
BYTES_OFFSET = 120
SEGMENTS_OFFSET = 136
TCP_INFO_BYTES = 256
# IP and TCP headers per segment, with the TCP timestamp option.
HEADER_BYTES = 52
# Each sample reads all descriptors. A shorter interval would distort the CPU time.
SAMPLE_INTERVAL_S = 5.0


@dataclass(frozen=True)
class Traffic:
    """Hold the number of bytes and segments that were sent and received."""

    sent_bytes: int = 0
    received_bytes: int = 0
    segments: int = 0

    def __add__(self, other: "Traffic") -> "Traffic":
        """Return the sum of both."""
        return Traffic(
            self.sent_bytes + other.sent_bytes,
            self.received_bytes + other.received_bytes,
            self.segments + other.segments,
        )

    @property
    def payload_bytes(self) -> int:
        """Return the bytes of TCP payload, including TLS and HTTP/2 framing."""
        return self.sent_bytes + self.received_bytes

    @property
    def wire_bytes(self) -> int:
        """Return the payload plus the IP and TCP headers of all segments."""
        return self.payload_bytes + HEADER_BYTES * self.segments


class TrafficCounter:
    """Sum the kernel's byte counters of all open and closed TCP connections.

    The traffic of a connection since its last sample is lost when it closes.
    """

    def __init__(self) -> None:
        """Create a counter without connections."""
        self._last: dict[int, tuple[str, Traffic]] = {}
        self._closed: dict[str, Traffic] = {}
        self._lock = threading.Lock()

    def start(self) -> "TrafficCounter":
        """Start a thread that takes samples until the process ends."""
        threading.Thread(target=self._run, daemon=True).start()
        return self

    def by_remote(self) -> dict[str, Traffic]:
        """Return the traffic so far by remote address."""
        self.sample()
        with self._lock:
            totals = dict(self._closed)
            for remote, traffic in self._last.values():
                totals[remote] = totals.get(remote, Traffic()) + traffic
            return totals

    def sample(self) -> None:
        """Read the counters of the open connections."""
        found: dict[int, tuple[str, Traffic]] = {}
        for name in os.listdir("/proc/self/fd"):
            try:
                link = os.readlink(f"/proc/self/fd/{name}")
                if link.startswith("socket:["):
                    found[int(link[8:-1])] = _read_counters(int(name))
            except OSError:
                continue
        with self._lock:
            for inode in set(self._last) - set(found):
                remote, traffic = self._last.pop(inode)
                self._closed[remote] = self._closed.get(remote, Traffic()) + traffic
            self._last.update(found)

    def _run(self) -> None:
        pause = threading.Event()
        while True:
            self.sample()
            pause.wait(SAMPLE_INTERVAL_S)


def _read_counters(descriptor: int) -> tuple[str, Traffic]:
    duplicate = socket.socket(fileno=os.dup(descriptor))
    try:
        if duplicate.type != socket.SOCK_STREAM or duplicate.family == socket.AF_UNIX:
            return "", Traffic()
        host, port = duplicate.getpeername()[:2]
        info = duplicate.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    finally:
        duplicate.close()
    if len(info) < SEGMENTS_OFFSET + 8:
        return "", Traffic()
    acked, received = struct.unpack_from("=QQ", info, BYTES_OFFSET)
    segments_out, segments_in = struct.unpack_from("=II", info, SEGMENTS_OFFSET)
    return f"{host.removeprefix('::ffff:')}:{port}", Traffic(
        acked, received, segments_out + segments_in
    )
