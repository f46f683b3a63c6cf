"""Send requests at given times and record the answers."""

import io
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import pycurl

from jayshunt_measure.serving_shapes import Arrival
from jayshunt_measure.testbed import EntryHandle

# A caller that cannot connect to an entry tries another one.
CALLER_ATTEMPTS = 3
# Time added to the target of a request before its caller gives up.
GRACE_S = 3.0
MAX_WAIT_S = 0.005


@dataclass
class Sent:
    """Represent one request and its answer; times are monotonic."""

    request: str
    arrival: Arrival
    started_s: float
    entries: list[str] = field(default_factory=list)
    latency_ms: float = 0.0
    status: int = 0
    outcome: str = ""
    code: str = ""
    is_correct: bool = False
    broken_by: str = ""
    cancelled: bool = False

    @property
    def met(self) -> bool:
        """Return whether the correct answer was received within the target."""
        in_time = self.latency_ms <= self.arrival.target_ms
        return self.status == 200 and self.is_correct and in_time


@dataclass
class Transfer:
    """Represent one request in flight."""

    sent: Sent
    entry: EntryHandle
    handle: pycurl.Curl
    body: io.BytesIO


class Callers:
    """Send the requests of one case from one thread, each at its arrival time."""

    def __init__(
        self, prefix: str, list_entries: Callable[[], list[EntryHandle]], seed: int
    ) -> None:
        """Initialize; `list_entries` returns the entries currently in rotation."""
        self._prefix = prefix
        self._list_entries = list_entries
        self._rng = random.Random(seed)
        self._multi = pycurl.CurlMulti()
        self._running: dict[pycurl.Curl, Transfer] = {}
        self._idle_handles: list[pycurl.Curl] = []
        self._cancel_count = 0
        self.killed: set[str] = set()
        self.done: list[Sent] = []
        self.start_s = 0.0

    def cancel_in_flight(self, count: int) -> None:
        """Cancel at most `count` requests that are in flight."""
        self._cancel_count = count

    def run(self, arrivals: list[Arrival]) -> list[Sent]:
        """Send every request and return them after the last answer or the timeout."""
        self.start_s = time.monotonic()
        position = 0
        last_s = self.start_s + (arrivals[-1].at_s if arrivals else 0) + GRACE_S
        while position < len(arrivals) or self._running:
            now_s = time.monotonic()
            while position < len(arrivals):
                arrival = arrivals[position]
                if self.start_s + arrival.at_s > now_s:
                    break
                self._send(Sent(f"{self._prefix}-{arrival.number}", arrival, now_s))
                position += 1
            if now_s > last_s:
                break
            self._step(arrivals, position)
        for transfer in list(self._running.values()):
            self._end(transfer, "no answer")
        self._multi.close()
        return self.done

    def _step(self, arrivals: list[Arrival], position: int) -> None:
        self._multi.perform()
        _, succeeded, failed = self._multi.info_read()
        for handle in succeeded:
            self._end(self._running[handle], "")
        for handle, _, text in failed:
            self._end(self._running[handle], text or "failed")
        while self._cancel_count and self._running:
            self._cancel_count -= 1
            transfer = next(iter(self._running.values()))
            transfer.sent.cancelled = True
            self._end(transfer, "cancelled")
        self._cancel_count = 0
        wait_s = MAX_WAIT_S
        if position < len(arrivals):
            due_s = self.start_s + arrivals[position].at_s
            wait_s = min(wait_s, due_s - time.monotonic())
        if wait_s > 0:
            self._multi.select(wait_s)

    def _send(self, sent: Sent) -> None:
        entry = self._rng.choice(self._list_entries())
        sent.entries.append(entry.name)
        arrival = sent.arrival
        body = io.BytesIO()
        handle = self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        handle.reset()
        url = f"http://{entry.callers}/v1/classes/{arrival.work_class}/work"
        handle.setopt(pycurl.URL, url)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.TIMEOUT_MS, arrival.target_ms + int(GRACE_S * 1000))
        handle.setopt(pycurl.POSTFIELDS, f"body-{sent.request}")
        handle.setopt(pycurl.WRITEFUNCTION, body.write)
        handle.setopt(
            pycurl.HTTPHEADER,
            [
                f"Jayshunt-Request-Id: {sent.request}",
                f"Jayshunt-Repeat: {'never' if arrival.marked else 'safe'}",
                f"Standin-Work-Ms: {arrival.run_ms:.1f}",
                "Content-Type: text/plain",
                "Expect:",
            ],
        )
        self._running[handle] = Transfer(sent, entry, handle, body)
        self._multi.add_handle(handle)

    def _end(self, transfer: Transfer, error: str) -> None:
        sent, handle = transfer.sent, transfer.handle
        del self._running[handle]
        self._multi.remove_handle(handle)
        sent.latency_ms = (time.monotonic() - sent.started_s) * 1000
        if error:
            not_connected = handle.getinfo(pycurl.REQUEST_SIZE) == 0
            handle.close()
            self._end_broken(sent, transfer.entry, error, not_connected)
            return
        sent.status = handle.getinfo(pycurl.RESPONSE_CODE)
        self._idle_handles.append(handle)
        _read_answer(sent, transfer.body.getvalue())
        self.done.append(sent)

    def _end_broken(
        self, sent: Sent, entry: EntryHandle, error: str, not_connected: bool
    ) -> None:
        if sent.cancelled:
            self.done.append(sent)
            return
        may_retry = not_connected or not sent.arrival.marked
        if may_retry and len(sent.entries) < CALLER_ATTEMPTS:
            if entry.name in self.killed or not_connected:
                self._send(sent)
                return
        sent.broken_by = "kill" if entry.name in self.killed else error
        self.done.append(sent)


def _read_answer(sent: Sent, body: bytes) -> None:
    if sent.status == 200:
        sent.outcome = "ran"
        expected = f" {sent.request} body-{sent.request}".encode()
        sent.is_correct = body.endswith(expected)
        return
    try:
        problem = json.loads(body)
        sent.outcome = problem.get("outcome", "ran")
        sent.code = problem.get("code", f"status {sent.status}")
    except ValueError:
        sent.outcome, sent.code = "ran", f"status {sent.status}"
