"""Run entries with lowered limits, and watch the memory and descriptors they use."""

import contextlib
import http.client
import json
import logging
import os
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, replace
from enum import Enum
from pathlib import Path

from jayshunt_soak.const import HOST, PUBLIC_POOL, QUEUE_HOST
from jayshunt_soak.platform import formats
from jayshunt_soak.platform.machines import MachinesStandIn
from jayshunt_soak.platform.store import PlatformStoreStandIn
from jayshunt_soak.testbed import ROOT, free_ports

_LOGGER = logging.getLogger(__name__)

# The platform counts megabytes of memory in units of 2^20 bytes.
MB = 1024 * 1024
# The figures of the users' sites.
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 262_144
SITE_MAX_FDS = 4_100
# Descriptors that the platform reserves for files; sockets and pipes share the rest.
FILE_FDS = 200
SAMPLE_INTERVAL_S = 0.02
# A process that passes its memory by this factor has failed, and the crowd ends.
STOP_FACTOR = 2
KILL_FACTOR = 4
# These only detect a hang.
START_TIMEOUT_S = 30.0
CALL_TIMEOUT_S = 10.0
ANSWER_TIMEOUT_S = 20.0
RETRY_S = 0.2
LISTEN_STATE = "0A"


class Port(Enum):
    """List the ports of an entry, in the order in which they are assigned."""

    FRONT = 0
    READY = 1
    PEER = 2


@dataclass(frozen=True)
class EntryLimits:
    """Define the limits in the settings of an entry."""

    memory_mb: int
    max_fds: int = SITE_MAX_FDS


@dataclass(frozen=True)
class Usage:
    """Represent what a process used at most.

    `held_bytes` is its resident memory and what its sockets received and it did not
    read yet, which the platform counts together.
    """

    resident_bytes: int = 0
    held_bytes: int = 0
    unread_bytes: int = 0
    threads: int = 0
    descriptors: int = 0
    sockets: int = 0

    def merge(self, other: "Usage") -> "Usage":
        """Return the higher value of each field."""
        pairs = {name: max(value, getattr(other, name)) for name, value in self.items()}
        return Usage(**pairs)

    def items(self):
        """Return the names and values of the fields."""
        return vars(self).items()

    def __str__(self) -> str:
        """Return the figures, memory in MB."""
        return (
            f"{self.held_bytes / MB:.0f} MB held, {self.resident_bytes / MB:.0f} MB"
            f" resident, {self.unread_bytes / MB:.0f} MB unread, {self.threads} threads"
            f", {self.descriptors} descriptors, {self.sockets} sockets or pipes"
        )


class UsageMonitor:
    """Sample the usage of a process until it ends.

    `exceeded` is set once the process holds `STOP_FACTOR` times its memory; the process
    is killed at `KILL_FACTOR` times, so that it does not exhaust the machine.
    """

    def __init__(
        self, process: subprocess.Popen, ports: list[int], limits: EntryLimits
    ) -> None:
        """Start sampling in a thread."""
        self._process = process
        self._ports = {f"{port:04X}" for port in ports}
        self._memory_bytes = limits.memory_mb * MB
        self._stopping = threading.Event()
        self.exceeded = threading.Event()
        self._lock = threading.Lock()
        self.peak = Usage()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End the sampling."""
        self._stopping.set()
        self._thread.join()

    def update(self) -> None:
        """Take a sample; a process that has ended keeps its last ones."""
        # The files of a process that has ended are gone.
        with self._lock, contextlib.suppress(OSError, KeyError):
            usage, peak_bytes = self._sample()
            peak = self.peak.merge(usage)
            self.peak = replace(
                peak,
                resident_bytes=max(peak.resident_bytes, peak_bytes),
                held_bytes=max(peak.held_bytes, peak_bytes),
            )

    def _run(self) -> None:
        while not self._stopping.wait(SAMPLE_INTERVAL_S):
            self.update()
            if self.peak.held_bytes > STOP_FACTOR * self._memory_bytes:
                self.exceeded.set()
            if self.peak.held_bytes > KILL_FACTOR * self._memory_bytes:
                self._process.kill()
                return

    def _sample(self) -> tuple[Usage, int]:
        """Return the usage, and the peak of the resident memory since the start."""
        folder = Path(f"/proc/{self._process.pid}")
        lines = (folder / "status").read_text().splitlines()
        status = dict(line.split(":\t", 1) for line in lines if ":\t" in line)
        resident_bytes = _read_kb(status["VmRSS"])
        unread_bytes = self._count_unread()
        targets = [_read_link(entry.path) for entry in os.scandir(folder / "fd")]
        sockets = [t for t in targets if t.startswith(("socket:", "pipe:"))]
        usage = Usage(
            resident_bytes,
            resident_bytes + unread_bytes,
            unread_bytes,
            int(status["Threads"]),
            len(targets),
            len(sockets),
        )
        return usage, _read_kb(status["VmHWM"])

    def _count_unread(self) -> int:
        """Return the bytes that wait in connections to the ports of the process."""
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if state != LISTEN_STATE and local.rpartition(":")[2] in self._ports:
                total += int(queues.rpartition(":")[2], 16)
        return total


class EntryProcess:
    """Run one entry as a process of its own, without a restart."""

    def __init__(
        self,
        name: str,
        folder: Path,
        limits: EntryLimits,
        store: str,
        machines: str,
        stdout: int | None = None,
    ) -> None:
        """Assign ports and start the process; logs go to a file, unless to `stdout`."""
        self.limits = limits
        self.ports = free_ports(len(Port))
        settings = folder / f"{name}.toml"
        settings.write_text(
            formats.entry_settings(
                name,
                self.ports,
                store,
                machines,
                {"memoryMb": limits.memory_mb, "maxFds": limits.max_fds},
            )
        )
        with (folder / f"{name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / "deploy" / "platform_entry.py")],
                env={**os.environ, "JAYSHUNT_CONFIG": str(settings)},
                stdout=log if stdout is None else stdout,
                stderr=log,
                cwd=ROOT,
            )
        self.monitor = UsageMonitor(self.process, self.ports, limits)

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.poll() is None

    def port(self, port: Port) -> int:
        """Return the number of a port."""
        return self.ports[port.value]

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        port: Port = Port.FRONT,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes] | None:
        """Return the status and body of an answer, None without a complete one."""
        connection = http.client.HTTPConnection(
            HOST, self.port(port), timeout=CALL_TIMEOUT_S
        )
        try:
            sent = {"Host": QUEUE_HOST, **(headers or {})}
            connection.request(method, path, body, sent)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def call_until(
        self,
        statuses: set[int],
        method: str,
        path: str,
        body: bytes | None = None,
        port: Port = Port.FRONT,
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> int | None:
        """Repeat a call as a caller does; return the last status, None without any."""
        end_s = time.monotonic() + timeout_s
        status = None
        while self.is_running and time.monotonic() < end_s:
            answer = self.call(method, path, body, port)
            status = None if answer is None else answer[0]
            if status in statuses:
                return status
            time.sleep(RETRY_S)
        return status

    def stop(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()
        self.monitor.stop()


class CrowdTestbed:
    """Run the platform's stand-ins and the entries of one test."""

    def __init__(self, folder: Path) -> None:
        """Start the stand-ins with a configuration, and no entry."""
        self.folder = folder
        self.store = PlatformStoreStandIn(0)
        self.machines = MachinesStandIn([], self.store)
        self.entries: list[EntryProcess] = []
        for server in (self.store, self.machines):
            server.start()
        document = json.loads(formats.config(1))
        document["limits"] = {
            "maxHeaderBytes": MAX_HEADER_BYTES,
            "maxBodyBytes": MAX_BODY_BYTES,
        }
        self.store.put(formats.CONFIG_KEY, json.dumps(document).encode())

    def __enter__(self) -> "CrowdTestbed":
        """Return the testbed."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kill the entries and stop the stand-ins."""
        for entry in self.entries:
            entry.stop()
        for server in (self.store, self.machines):
            server.stop()

    def start_entry(
        self, limits: EntryLimits, stdout: int | None = None
    ) -> EntryProcess:
        """Start one more entry, without waiting for it."""
        entry = EntryProcess(
            f"entry-{len(self.entries)}",
            self.folder,
            limits,
            self.store.address,
            self.machines.address,
            stdout,
        )
        self.entries.append(entry)
        return entry


def wait_until_dispatching(entry: EntryProcess) -> bool:
    """Return whether the entry serves callers and dispatches within the time-out."""
    path = formats.queue_path(PUBLIC_POOL)
    return entry.call_until({200}, "GET", path, timeout_s=START_TIMEOUT_S) == 200


def _read_kb(text: str) -> int:
    return int(text.split()[0]) * 1024


def _read_link(path: str) -> str:
    """Return the target of a link, an empty text if it is gone."""
    try:
        return os.readlink(path)
    except FileNotFoundError:
        return ""
