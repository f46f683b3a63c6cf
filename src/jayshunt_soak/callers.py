"""Hand jobs in as callers do, and keep what they were told."""

import http.client
import json
import random
import socket
import threading
import time
from dataclasses import dataclass, field

from jayshunt_soak.bed import Bed
from jayshunt_soak.const import CALL_TIMEOUT_S, HOST, POOLS, QUEUE_HOST
from jayshunt_soak.platform import formats

CALLERS = 6
PAUSE_S = 0.25
ATTEMPTS = 6
CANCEL_PART = 0.06
HOPELESS_PART = 0.03


@dataclass
class Told:
    """Hold one job and what its caller was told; times are steady seconds.

    `accepted_s` and `cancelled_s` are when a success arrived. `is_refused` says that
    every answer was a refusal, so that the job must never run.
    """

    job: str
    pool: str
    steps: list[dict]
    fails: bool
    accepted_s: float | None = None
    is_refused: bool = True
    cancel_sent_s: float | None = None
    cancelled_s: float | None = None
    states: list[tuple[float, str]] = field(default_factory=list)

    @property
    def path(self) -> str:
        """Return the path of the job."""
        return formats.queue_path(self.pool) + self.job


class Caller:
    """Own a connection to one entry at a time; use it until it breaks."""

    def __init__(self, bed: Bed, rng: random.Random) -> None:
        """Start at a drawn entry."""
        self._bed = bed
        self._rng = rng
        self._connection: http.client.HTTPConnection | None = None

    def call(self, method: str, path: str, body: bytes | None = None):
        """Return status and content, None without a whole answer."""
        if self._connection is None:
            port = self._rng.choice(self._bed.entry_ports)[0]
            self._connection = http.client.HTTPConnection(
                HOST, port, timeout=CALL_TIMEOUT_S
            )
        headers = {"Host": QUEUE_HOST, "X-Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000))}
        try:
            self._connection.request(method, path, body, headers)
            answer = self._connection.getresponse()
            content = json.loads(answer.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError):
            self.change_entry()
            return None
        if answer.status in (502, 503, 504):
            self.change_entry()
        return answer.status, content

    def change_entry(self) -> None:
        """Let the next call go to another entry."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None


class Load:
    """Own the callers of a run."""

    def __init__(self, bed: Bed, seed: int) -> None:
        """Start without a job."""
        self._bed = bed
        self._seed = seed
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self.told: list[Told] = []

    def start(self) -> None:
        """Start the callers."""
        for number in range(CALLERS):
            rng = random.Random(f"{self._seed}-{number}")
            thread = threading.Thread(target=self._run, args=(rng,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """End the load; states of jobs are still asked for."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def wait_for_ends(self, timeout_s: float) -> None:
        """Ask for every accepted job until it has ended."""
        caller = Caller(self._bed, random.Random(self._seed))
        end_s = time.monotonic() + timeout_s
        left = [told for told in self.told if told.accepted_s is not None]
        while left and time.monotonic() < end_s:
            left = [told for told in left if not self._ask(caller, told)]
            time.sleep(0.1)
        caller.change_entry()

    def _run(self, rng: random.Random) -> None:
        caller = Caller(self._bed, rng)
        while not self._stopping.wait(rng.expovariate(1 / PAUSE_S)):
            told = self._hand_in(caller, rng)
            if told.accepted_s is not None and rng.random() < CANCEL_PART:
                self._cancel(caller, told)
            with self._lock:
                some = rng.choice(self.told)
            if some.accepted_s is not None:
                self._ask(caller, some)
        caller.change_entry()

    def _hand_in(self, caller: Caller, rng: random.Random) -> Told:
        told = draw_job(rng)
        with self._lock:
            self.told.append(told)
        body = formats.submission(told.steps)
        for _ in range(ATTEMPTS):
            answer = caller.call("POST", told.path, body)
            if answer is not None and answer[0] == 200:
                told.accepted_s = time.monotonic()
                told.is_refused = False
                # Some submissions arrive once more, after the job was accepted.
                if rng.random() < 0.1:
                    caller.call("POST", told.path, body)
                break
            if answer is None or answer[0] not in (429, 503, 404):
                told.is_refused = False
            elif told.is_refused and rng.random() < 0.5:
                break
            if self._stopping.wait(0.3):
                break
        return told

    def _cancel(self, caller: Caller, told: Told) -> None:
        told.cancel_sent_s = time.monotonic()
        answer = caller.call("DELETE", told.path)
        if answer is not None and answer[0] == 200:
            told.cancelled_s = time.monotonic()

    def _ask(self, caller: Caller, told: Told) -> bool:
        answer = caller.call("GET", told.path)
        if answer is None or answer[0] not in (200, 410):
            return False
        state = answer[1].get("state", "gone")
        told.states.append((time.monotonic(), state))
        return state in ("completed", "failed", "cancelled", "gone")


def draw_job(rng: random.Random) -> Told:
    """Return a job of one or two steps; a few can never be done."""
    fails = rng.random() < HOPELESS_PART
    work = {
        "ms": int(rng.uniform(100, 1500)),
        "cpu": rng.choice((500, 1000, 3000)),
        "memory_mb": 500,
        "fails": fails,
    }
    steps = [{**work, "count": rng.randrange(1, 4), "after": []}]
    if rng.random() < 0.4:
        steps.append({**work, "count": rng.randrange(1, 3), "after": [0]})
    return Told(f"{rng.getrandbits(64):016x}", rng.choice(POOLS), steps, fails)


def _connect_probe(port: int) -> bool:
    with socket.socket() as probe:
        probe.settimeout(0.2)
        return probe.connect_ex((HOST, port)) == 0


def wait_until_served(bed: Bed, timeout_s: float) -> bool:
    """Return whether every entry accepts connections within the time."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if all(_connect_probe(ports[0]) for ports in bed.entry_ports):
            return True
        time.sleep(0.05)
    return False
