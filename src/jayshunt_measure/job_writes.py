"""Compare the cost of storing jobs in shard documents and in a key per job."""

import json
import random
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from typing import Annotated

import typer

from jayshunt.clock import SystemClock
from jayshunt.config.models import ConfigDocument, ConfigSnapshot
from jayshunt.errors import JayshuntError
from jayshunt.ids import ClassName, Epoch, JobId, TeamName, WorkerId, ZoneName
from jayshunt.jobs import transitions
from jayshunt.jobs.const import SHARDS_PER_ZONE, shard_key
from jayshunt.jobs.intake import JobIntake
from jayshunt.jobs.models import Job, JobRequest, JobState, job_content
from jayshunt.jobs.shards import JobChange, ZoneJobs
from jayshunt.store.call_limiter import CallShare
from jayshunt.store.client import ABSENT, StoreClient
from jayshunt.store.documents import DocumentStore
from jayshunt.store.group_commit import GroupCommitter
from jayshunt_standins.store import StoreStandIn

ZONE = ZoneName("north")
MAX_CALLERS = 64
STEP_S = 0.1
CONFIG = ConfigSnapshot(
    document=ConfigDocument.model_validate(
        {
            "pools": {"yard": {}},
            "teams": {"crew": {"quota_cores": 1_000}},
            "classes": {"plans": {"pool": "yard", "kind": "job", "max_wait_s": 60}},
        }
    )
)
REQUEST = JobRequest(ClassName("plans"), TeamName("crew"), "rebuild plan 17")


@dataclass(frozen=True)
class StorageCost:
    """Hold the results of one storage form at one job rate."""

    form: str
    jobs_per_s: float
    accepted_per_s: float
    refused: int
    store_writes_per_s: float
    store_calls_per_s: float
    written_bytes_per_s: float
    accept_p50_ms: float
    accept_p99_ms: float


class CountingStore(StoreStandIn):
    """Count the bytes of written values."""

    written_bytes = 0

    def _apply(self, key, value, lease) -> None:
        self.written_bytes += len(value or "")
        super()._apply(key, value, lease)


class DocumentForm:
    """Store jobs in shard documents; each step places and finishes jobs."""

    def __init__(self, client: StoreClient) -> None:
        """Connect the intake and the scheduler's writes as an entry does."""
        clock, rng = SystemClock(), random.Random(1)
        documents = DocumentStore(client, clock, rng)
        commits = GroupCommitter(documents, clock, lambda: True)
        self._jobs = ZoneJobs(ZONE, documents, commits, clock)
        self._intake = JobIntake(
            ZONE, documents, commits, lambda: CONFIG, clock, rng, lambda *_: None
        )
        self._epoch = self._jobs.take_over()

    def accept(self) -> None:
        """Accept one job."""
        self._intake.submit(REQUEST)

    def step(self) -> None:
        """Place waiting jobs and finish jobs that were placed before."""
        self._jobs.refresh(range(SHARDS_PER_ZONE))
        changes = [JobChange(job, _next_state(job)) for job in self._jobs.open_jobs()]
        self._jobs.write(changes, self._epoch)


class KeyForm:
    """Store each job under a separate key, with three writes per job."""

    def __init__(self, client: StoreClient) -> None:
        """Start without open jobs; writes go directly to the client."""
        self._client = client
        self._lock = threading.Lock()
        self._open: list[tuple[Job, int]] = []
        self._rng = random.Random(1)

    def accept(self) -> None:
        """Accept one job."""
        job_id = JobId(f"{ZONE}.0.{self._rng.getrandbits(64):x}")
        job = Job(job_id, REQUEST, JobState.WAITING, time.time())
        revision = self._client.put(_key(job), _value(job), ABSENT)
        with self._lock:
            self._open.append((job, revision))

    def step(self) -> None:
        """Place waiting jobs and finish jobs that were placed before."""
        with self._lock:
            taken, self._open = self._open, []
        for job, revision in taken:
            changed = _next_state(job)
            try:
                revision = self._client.put(_key(job), _value(changed), revision)
            except JayshuntError:
                changed = job
            if not changed.is_final:
                with self._lock:
                    self._open.append((changed, revision))


def job_writes(
    rates: Annotated[str, typer.Option(help="Jobs per second.")] = "10,50,100,200",
    seconds: Annotated[int, typer.Option(min=1)] = 5,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Accept, place and end jobs at each rate, as documents and as keys."""
    rows = [
        _measure(form, float(rate), seconds)
        for rate in rates.split(",")
        for form in ("documents", "keys")
    ]
    names = list(asdict(rows[0]))
    typer.echo("  ".join(names))
    for row in rows:
        cells = [v if isinstance(v, str) else f"{v:.1f}" for v in asdict(row).values()]
        typer.echo("  ".join(c.rjust(len(n)) for c, n in zip(cells, names)))
    if as_json:
        typer.echo(json.dumps({"rows": [asdict(row) for row in rows]}))


def _measure(form: str, rate: float, seconds: int) -> StorageCost:
    store = CountingStore().start()
    client = StoreClient(store.url, SystemClock(), random.Random(2))
    client.set_share(CallShare(1, 1, True))
    storage = DocumentForm(client) if form == "documents" else KeyForm(client)
    stop = threading.Event()
    scheduler = threading.Thread(target=_step, args=(storage, stop))
    scheduler.start()
    before = (store.writes, store.calls, store.written_bytes)
    started_s = time.monotonic()
    with ThreadPoolExecutor(MAX_CALLERS) as callers:
        futures = []
        for number in range(int(rate * seconds)):
            delay_s = started_s + number / rate - time.monotonic()
            if delay_s > 0:
                time.sleep(delay_s)
            futures.append(callers.submit(_measure_accept, storage.accept))
        durations_s = [future.result() for future in futures]
    elapsed_s = time.monotonic() - started_s
    after = (store.writes, store.calls, store.written_bytes)
    stop.set()
    scheduler.join()
    store.stop()
    writes, calls, written = (b - a for a, b in zip(before, after))
    accepted = sorted(s for s in durations_s if s is not None) or [0.0]
    return StorageCost(
        form,
        rate,
        len(accepted) / elapsed_s,
        sum(1 for s in durations_s if s is None),
        writes / elapsed_s,
        calls / elapsed_s,
        written / elapsed_s,
        accepted[len(accepted) // 2] * 1000,
        accepted[int(len(accepted) * 0.99)] * 1000,
    )


def _measure_accept(accept: Callable[[], None]) -> float | None:
    started_s = time.monotonic()
    try:
        accept()
    except JayshuntError:
        return None
    return time.monotonic() - started_s


def _step(storage: DocumentForm | KeyForm, stop: threading.Event) -> None:
    while not stop.wait(STEP_S):
        try:
            storage.step()
        except JayshuntError:
            continue


def _next_state(job: Job) -> Job:
    if job.state is JobState.WAITING:
        return transitions.place(job, WorkerId("w1"), "b1", Epoch(1), "fits")
    return transitions.end(job, JobState.FINISHED, "exit status 0")


def _key(job: Job) -> str:
    return f"{shard_key(ZONE, 0)}/{job.job}"


def _value(job: Job) -> str:
    return json.dumps(job_content(job))
