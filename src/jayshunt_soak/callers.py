"""Submit jobs as callers do, and record the answers they receive."""

import http.client
import json
import random
import socket
import threading
import time
from dataclasses import dataclass, field

from jayshunt_soak.const import (
    CALL_TIMEOUT_S,
    HOST,
    KINDS,
    POOLS,
    PUBLIC_POOL,
    QUEUE_HOST,
    WORKSPACES,
)
from jayshunt_soak.platform import formats
from jayshunt_soak.testbed import Testbed

CALLERS = 6
MEAN_PAUSE_S = 0.25
MAX_SUBMISSIONS = 6
CANCEL_RATIO = 0.06
FAILING_RATIO = 0.03
# One job in this many has a task that crashes its workers.
JOBS_PER_DEADLY_JOB = 40
# How long after its start such a task crashes its worker; at 0, before the worker
# answers.
CRASH_AFTER_MS = (0, 10)
LABEL_RATIO = 0.2
LIMIT_RATIO = 0.4
MAX_LASTING_JOBS = 4
LASTING_PAUSE_S = (0.2, 1.2)
CANCEL_TIMEOUT_S = 10.0


@dataclass
class SubmittedJob:
    """Record one job and the answers to its caller; times are monotonic seconds.

    `accepted_s` and `cancelled_s` are the times at which the caller received the
    success of its submission and of its cancellation. `is_refused` means that every
    answer was a refusal, so that the job must never run. `is_key_refused` means that
    an entry refused the key, which is always in force. `states` lists the states that
    were read, each with its time.
    """

    job_id: str
    pool: str
    steps: list[dict]
    fails: bool
    is_deadly: bool = False
    accepted_s: float | None = None
    is_refused: bool = True
    is_key_refused: bool = False
    cancel_sent_s: float | None = None
    cancelled_s: float | None = None
    states: list[tuple[float, str]] = field(default_factory=list)

    @property
    def lasts(self) -> bool:
        """Return whether the tasks run until the job is cancelled."""
        return any(step.get("lasts") for step in self.steps)

    @property
    def path(self) -> str:
        """Return the request path of the job."""
        return formats.queue_path(self.pool) + self.job_id

    @property
    def workspace(self) -> str:
        """Return the workspace of the caller."""
        return WORKSPACES[int(self.job_id, 16) % len(WORKSPACES)]

    @property
    def key(self) -> str:
        """Return the key that the caller sends; on a public queue, no known one."""
        if self.pool == PUBLIC_POOL:
            return "unknown"
        return formats.stable_key(self.workspace)


class Caller:
    """Send calls to a random entry over one connection, replaced once it fails."""

    def __init__(self, testbed: Testbed, rng: random.Random) -> None:
        """Start without a connection; `rng` chooses the entries."""
        self._testbed = testbed
        self._rng = rng
        self._connection: http.client.HTTPConnection | None = None

    def call_for(self, job: SubmittedJob, method: str, body: bytes | None = None):
        """Make a call of the job's own caller; see `call`."""
        answer = self.call(method, job.path, body, job.key)
        if answer is not None and answer[0] == 401:
            job.is_key_refused = True
        return answer

    def call(self, method: str, path: str, body: bytes | None, key: str):
        """Return the status and content, or None without a complete answer.

        After a failed connection or an answer 502, 503 or 504 the next call chooses
        an entry anew.
        """
        if self._connection is None:
            port = self._rng.choice(self._testbed.entry_ports)[0]
            self._connection = http.client.HTTPConnection(
                HOST, port, timeout=CALL_TIMEOUT_S
            )
        headers = {"Host": QUEUE_HOST, "X-Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000))}
        headers["Authorization"] = f"Token {key}"
        try:
            self._connection.request(method, path, body, headers)
            answer = self._connection.getresponse()
            content = json.loads(answer.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError):
            self.disconnect()
            return None
        if answer.status in (502, 503, 504):
            self.disconnect()
        return answer.status, content

    def disconnect(self) -> None:
        """Close the connection; the next call connects to a random entry."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None


class Load:
    """Run the callers and collect the jobs that they submit."""

    def __init__(self, testbed: Testbed, seed: int) -> None:
        """Create the load; no caller runs yet."""
        self._testbed = testbed
        self._seed = seed
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._threads: list[threading.Thread] = []
        self.jobs: list[SubmittedJob] = []

    def start(self) -> None:
        """Start the callers."""
        for number in range(CALLERS + 1):
            run = self._run if number < CALLERS else self._run_lasting
            rng = random.Random(f"{self._seed}-{number}")
            thread = threading.Thread(target=run, args=(rng,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """End the load; `wait_until_ended` still reads the states of jobs."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def wait_until_ended(self, timeout_s: float) -> None:
        """Poll every accepted job until it has ended or the time is up."""
        caller = Caller(self._testbed, random.Random(self._seed))
        end_s = time.monotonic() + timeout_s
        pending = [job for job in self.jobs if job.accepted_s is not None]
        while pending and time.monotonic() < end_s:
            pending = [job for job in pending if not self._poll_state(caller, job)]
            time.sleep(0.1)
        caller.disconnect()

    def _run(self, rng: random.Random) -> None:
        caller = Caller(self._testbed, rng)
        while not self._stopping.wait(rng.expovariate(1 / MEAN_PAUSE_S)):
            job = self._submit(caller, rng, draw_job(rng))
            if job.accepted_s is not None and rng.random() < CANCEL_RATIO:
                self._cancel(caller, job)
            with self._lock:
                sampled = rng.choice(self.jobs)
            if sampled.accepted_s is not None:
                self._poll_state(caller, sampled)
        caller.disconnect()

    def _run_lasting(self, rng: random.Random) -> None:
        """Submit jobs that last, and cancel the oldest of more than a few."""
        caller = Caller(self._testbed, rng)
        while not self._stopping.wait(rng.uniform(*LASTING_PAUSE_S)):
            self._submit(caller, rng, draw_lasting_job(rng))
            lasting = self._lasting_jobs()
            if len(lasting) > MAX_LASTING_JOBS:
                self._cancel(caller, lasting[0])
        caller.disconnect()

    def _lasting_jobs(self) -> list[SubmittedJob]:
        """Return the jobs that last until they are cancelled, the oldest first."""
        return [
            job
            for job in list(self.jobs)
            if job.lasts and job.cancelled_s is None and not job.is_refused
        ]

    def cancel_lasting_jobs(self) -> None:
        """Cancel the jobs that last, until all have been or the time is up."""
        caller = Caller(self._testbed, random.Random(self._seed))
        end_s = time.monotonic() + CANCEL_TIMEOUT_S
        while (lasting := self._lasting_jobs()) and time.monotonic() < end_s:
            for job in lasting:
                self._cancel(caller, job)
            time.sleep(0.1)
        caller.disconnect()

    def _submit(
        self, caller: Caller, rng: random.Random, job: SubmittedJob
    ) -> SubmittedJob:
        with self._lock:
            self.jobs.append(job)
        body = formats.submission(job.steps)
        for _ in range(MAX_SUBMISSIONS):
            answer = caller.call_for(job, "POST", body)
            if answer is not None and answer[0] == 200:
                job.accepted_s = time.monotonic()
                job.is_refused = False
                # Submit some jobs once more after they were accepted.
                if rng.random() < 0.1:
                    caller.call_for(job, "POST", body)
                break
            if answer is None or answer[0] not in (429, 503, 404):
                job.is_refused = False
            elif job.is_refused and rng.random() < 0.5:
                break
            if self._stopping.wait(0.3):
                break
        return job

    def _cancel(self, caller: Caller, job: SubmittedJob) -> None:
        if job.cancel_sent_s is None:
            # A cancellation without an answer may have been carried out.
            job.cancel_sent_s = time.monotonic()
        answer = caller.call_for(job, "DELETE")
        is_unknown = job.accepted_s is None and answer is not None and answer[0] == 410
        if is_unknown or answer is not None and answer[0] == 200:
            job.cancelled_s = time.monotonic()

    def _poll_state(self, caller: Caller, job: SubmittedJob) -> bool:
        answer = caller.call_for(job, "GET")
        if answer is None or answer[0] not in (200, 410):
            return False
        state = answer[1].get("state", "gone")
        job.states.append((time.monotonic(), state))
        return state in ("completed", "failed", "cancelled", "gone")


def draw_job(rng: random.Random) -> SubmittedJob:
    """Return a random job of one or two steps.

    The tasks of a few always fail, and the first task of a few crashes its workers.
    """
    fails = rng.random() < FAILING_RATIO
    work = {
        "ms": int(rng.uniform(100, 1500)),
        "cpu": rng.choice((500, 1000, 3000)),
        "memory_mb": 500,
        "fails": fails,
    }
    steps = [{**work, "count": rng.randrange(1, 4), "after": []}]
    if rng.random() < 0.4:
        steps.append({**work, "count": rng.randrange(1, 3), "after": [0]})
    job_id, pool = f"{rng.getrandbits(64):016x}", rng.choice(POOLS)
    # Drawn from the id, so that a seed draws the same jobs as before.
    is_deadly = not fails and int(job_id, 16) % JOBS_PER_DEADLY_JOB == 0
    crash_after_ms = None
    if is_deadly:
        number = int(job_id, 16) // JOBS_PER_DEADLY_JOB
        crash_after_ms = CRASH_AFTER_MS[number % len(CRASH_AFTER_MS)]
    for step in steps:
        step |= {"crash_after_ms": crash_after_ms, "lasts": False}
    _draw_limits(job_id, steps)
    return SubmittedJob(job_id, pool, steps, fails, is_deadly)


def _draw_limits(job_id: str, steps: list[dict]) -> None:
    """Let steps require a label, or limit their tasks on one worker.

    Drawn from the job's id, so that a seed draws the same jobs as before.
    """
    rng = random.Random(f"{job_id}-limits")
    for step in steps:
        if rng.random() < LABEL_RATIO:
            step["required_label"] = rng.choice(KINDS)
        if rng.random() < LIMIT_RATIO:
            step["max_per_worker"] = rng.choice((1, 2))


def draw_lasting_job(rng: random.Random) -> SubmittedJob:
    """Return a job of one step that lasts, with a limit of its tasks on one worker."""
    step = {
        "ms": 1_000,
        "cpu": rng.choice((200, 600)),
        "memory_mb": 200,
        "fails": False,
        "crash_after_ms": None,
        "lasts": True,
        "count": rng.randrange(2, 6),
        "after": [],
        "max_per_worker": rng.choice((1, 2)),
        "max_unavailable": rng.choice((1, 2)),
    }
    if rng.random() < LABEL_RATIO:
        step["required_label"] = rng.choice(KINDS)
    job_id = f"{rng.getrandbits(64):016x}"
    return SubmittedJob(job_id, rng.choice(POOLS), [step], fails=False)


def _accepts_connections(port: int) -> bool:
    with socket.socket() as probe:
        probe.settimeout(0.2)
        return probe.connect_ex((HOST, port)) == 0


def wait_until_listening(testbed: Testbed, timeout_s: float) -> bool:
    """Return whether every entry accepts connections within the timeout."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        if all(_accepts_connections(ports[0]) for ports in testbed.entry_ports):
            return True
        time.sleep(0.05)
    return False
