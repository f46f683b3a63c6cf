"""Encode and decode the dispatch's records in the store: jobs, progress and terms."""

import json
from dataclasses import asdict

from jayshunt.dispatch.crash_blame import is_suspicious
from jayshunt.dispatch.crash_models import CrashCounts, RunAtRisk
from jayshunt.dispatch.models import (
    Address,
    JobSpec,
    JobState,
    QueueConfig,
    Resources,
    StepSpec,
    TaskKey,
)
from jayshunt.dispatch.record_models import (
    STORED_HANDOFF,
    StoredCrashes,
    StoredJob,
    StoredOwner,
    StoredProgress,
    StoredStarts,
    StoredState,
    StoredStep,
    StoredTerm,
)
from jayshunt.dispatch.store_models import Term
from jayshunt.dispatch.tasks import InheritedStart, Job, Task, TaskPhase
from jayshunt.ids import (
    EntryId,
    JobId,
    LeaseId,
    PoolName,
    QueueName,
    RackName,
    Revision,
    VmId,
    WorkerId,
    WorkspaceName,
)

TERM_KEY = "jayshunt/term"
INTAKE_PREFIX = "jayshunt/in/"
ACCEPTED_PREFIX = INTAKE_PREFIX + "job/"
CANCELLED_PREFIX = INTAKE_PREFIX + "cancel/"
WITHDRAWN_PREFIX = "jayshunt/withdrawn/"
PROGRESS_PREFIX = "jayshunt/progress/"
WAVE_PREFIX = "jayshunt/wave/"
HANDOFF_KEY = "jayshunt/handoff"
ORDERED_KEY = "jayshunt/ordered"
SUSPECT_KEY = "jayshunt/suspect"
# Exists once each run of a job that stores its starts is stored. Versions before do not
# write it.
STARTS_STORED_KEY = "jayshunt/starts-stored"

# A long-running task may fail any number of times; only its last failures are kept.
MAX_FAILED_RUNS = 32
# A job is given up after fewer crashes.
MAX_RUNS_AT_RISK = 8


def accepted_key(job: JobId) -> str:
    """Return the key of an accepted job."""
    return ACCEPTED_PREFIX + job


def cancelled_key(job: JobId) -> str:
    """Return the key of a job's cancellation."""
    return CANCELLED_PREFIX + job


def withdrawn_key(job: JobId) -> str:
    """Return the key of the cancellation of a job that was not stored."""
    return WITHDRAWN_PREFIX + job


def progress_key(job: JobId) -> str:
    """Return the key of a job's progress record."""
    return PROGRESS_PREFIX + job


def encode_job(spec: JobSpec, config: QueueConfig, accepted_at_s: float) -> bytes:
    """Encode an accepted job; step fields with an empty or zero value are left out.

    The settings of its queue are included, as the queue may be removed from the
    configuration while the job waits.
    """
    steps = [
        {k: v for k, v in asdict(step).items() if v not in ("", 0, False, (), None)}
        for step in spec.steps
    ]
    fields = {"queue": spec.queue, "payload": spec.payload, "steps": steps}
    fields["accepted_at_s"] = round(accepted_at_s, 3)
    fields["pool"] = config.pool
    fields["priority"] = config.priority
    fields["max_failures"] = config.max_failures
    fields["stretch"] = config.stretch
    fields["target_latency_ms"] = config.target_latency_ms
    if spec.workspace:
        fields["workspace"] = spec.workspace
    if spec.times:
        fields["times"] = spec.times
        fields["start_at_ms"] = spec.start_at_ms
        fields["interval_ms"] = spec.interval_ms
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_job(job: JobId, value: bytes) -> tuple[JobSpec, float]:
    """Decode an accepted job and the wall-clock time in seconds of its acceptance.

    Raise ValueError if it is malformed, as all decoders here do.
    """
    fields = StoredJob.model_validate_json(value)
    spec = JobSpec(
        job=job,
        queue=QueueName(fields.queue),
        payload=fields.payload,
        steps=tuple(_step(row) for row in fields.steps),
        times=fields.times,
        start_at_ms=fields.start_at_ms,
        interval_ms=fields.interval_ms,
        workspace=WorkspaceName(fields.workspace),
    )
    return spec, fields.accepted_at_s


def stored_workspace(value: bytes) -> WorkspaceName:
    """Decode only the owner of an accepted job, an empty name if it has none."""
    return WorkspaceName(StoredOwner.model_validate_json(value).workspace)


def encode_withdrawal(caller: WorkspaceName) -> bytes:
    """Encode the cancellation of a job that was not stored, by a caller."""
    return json.dumps({"workspace": caller}).encode()


def decode_withdrawal(value: bytes) -> WorkspaceName:
    """Decode which workspace cancelled a job that was not stored."""
    return WorkspaceName(StoredOwner.model_validate_json(value).workspace)


def decode_queue(value: bytes) -> QueueConfig:
    """Decode the settings of an accepted job's queue at the time of acceptance."""
    fields = StoredJob.model_validate_json(value)
    return QueueConfig(
        queue=QueueName(fields.queue),
        host="",
        path_prefix="",
        pool=PoolName(fields.pool),
        priority=fields.priority,
        max_failures=fields.max_failures,
        stretch=fields.stretch,
        target_latency_ms=fields.target_latency_ms,
    )


def _step(row: StoredStep) -> StepSpec:
    fields = dict(row)
    fields["resources"] = Resources(**dict(row.resources))
    fields["data_rack"] = RackName(row.data_rack)
    return StepSpec(**fields)


def encode_progress(job: Job) -> bytes:
    """Encode the progress of a job that a successor of the dispatcher needs.

    Done tasks are lists of indices by occurrence and step. Failed runs, checkpoints and
    crashes of the other tasks are keyed by occurrence, step and index. Crashes include
    the runs of which it is not known whether they crashed their worker. Starts are
    those that may be going on, of a job that stores them. Pools are left out while
    there is only that of the job's acceptance. A job in a final state has only its
    state.
    """
    done: dict[str, list[int]] = {}
    failures: dict[str, tuple[int, ...]] = {}
    checkpoints: dict[str, str] = {}
    crashes: dict[str, dict] = {}
    if not job.state.is_final:
        for (occurrence, step), tasks in job.steps.items():
            ended = [t.key.index for t in tasks if t.phase is TaskPhase.DONE]
            if ended:
                done[f"{occurrence}.{step}"] = ended
            for task in tasks:
                if task.phase is TaskPhase.DONE:
                    continue
                if task.failed_runs:
                    failures[_task_name(task.key)] = task.failed_runs[-MAX_FAILED_RUNS:]
                if task.checkpoint:
                    checkpoints[_task_name(task.key)] = task.checkpoint
                if task.crashes.total or _runs_at_risk(task):
                    crashes[_task_name(task.key)] = _encode_crashes(task)
    fields: dict = {"state": job.state.value}
    if len(job.pools) > 1 and not job.state.is_final:
        fields["pools"] = sorted(job.pools)
    if done:
        fields["done"] = done
    if failures:
        fields["failures"] = failures
    if checkpoints:
        fields["checkpoints"] = checkpoints
    if crashes:
        fields["crashes"] = crashes
    starts = _encode_starts(job) if job.stores_starts else []
    if starts and not job.state.is_final:
        fields["starts"] = starts
    return json.dumps(fields, separators=(",", ":")).encode()


def apply_progress(job: Job, value: bytes) -> None:
    """Apply a stored progress record to a job that was just read."""
    fields = StoredProgress.model_validate_json(value)
    job.pools.update(PoolName(pool) for pool in fields.pools)
    for name, indices in fields.done.items():
        occurrence, step = (int(part) for part in name.split("."))
        for index in indices:
            task = job.task(TaskKey(job.spec.job, occurrence, step, index))
            if task is not None:
                job.mark_done(task)
    for name, runs in fields.failures.items():
        task = _task(job, name)
        if task is not None:
            task.failed_runs = tuple(runs)
            task.run = max(task.run, *runs)
            job.has_started = True
    for name, checkpoint in fields.checkpoints.items():
        task = _task(job, name)
        if task is not None:
            task.checkpoint = checkpoint
            job.has_started = True
    for name, row in fields.crashes.items():
        task = _task(job, name)
        if task is not None:
            _apply_crashes(task, row)
            job.has_started = True
    for row in fields.starts:
        _apply_starts(job, row)
    if fields.state.is_final:
        job.state = fields.state
    job.stored_state = fields.state


def _encode_starts(job: Job) -> list[dict]:
    """Return where the job's tasks may run, by worker, run number and step."""
    rows: dict[tuple, list[int]] = {}
    for task in job.tasks():
        start = task.inherited_start
        if task.worker is not None:
            start = InheritedStart(task.worker, task.vm, task.run)
        if start is not None:
            step = f"{task.key.occurrence}.{task.key.step}"
            row = (start.worker, start.vm or "", start.run, step)
            rows.setdefault(row, []).append(task.key.index)
    names = ("worker", "vm", "run", "step")
    return [{**dict(zip(names, row)), "indices": ids} for row, ids in rows.items()]


def _apply_starts(job: Job, row: StoredStarts) -> None:
    start = InheritedStart(WorkerId(row.worker), VmId(row.vm) or None, row.run)
    for index in row.indices:
        task = _task(job, f"{row.step}.{index}")
        if task is not None and task.phase is not TaskPhase.DONE:
            task.inherited_start = start
            task.run = max(task.run, row.run)
            job.has_started = True


def _runs_at_risk(task: Task) -> tuple[RunAtRisk, ...]:
    """Return the runs of a task that a later term has to settle, the newest last."""
    if task.run_at_risk is None:
        return task.unsettled_runs
    return (*task.unsettled_runs, task.run_at_risk)


def _encode_crashes(task: Task) -> dict:
    """Return the counts of a task's crashes, and its runs at risk if there are any."""
    fields = asdict(task.crashes)
    runs = _runs_at_risk(task)
    if runs:
        fields["runs"] = [asdict(run) for run in runs[-MAX_RUNS_AT_RISK:]]
    return fields


def _apply_crashes(task: Task, row: StoredCrashes) -> None:
    task.crashes = CrashCounts(row.at_start, row.later, row.uncertain, row.cleared)
    task.unsettled_runs = tuple(RunAtRisk(**dict(run)) for run in row.runs)
    task.is_suspect = is_suspicious(task)


def stored_state(value: bytes) -> JobState:
    """Decode only the job's state from a progress record."""
    return StoredState.model_validate_json(value).state


def _task_name(key: TaskKey) -> str:
    return f"{key.occurrence}.{key.step}.{key.index}"


def _task(job: Job, name: str):
    occurrence, step, index = (int(part) for part in name.split("."))
    return job.task(TaskKey(job.spec.job, occurrence, step, index))


def encode_handoff(placements: dict[WorkerId, list[str]]) -> bytes:
    """Encode the tasks and jobs of each worker that a term leaves when it ends.

    These are names of tasks that may still run and ids of jobs with unstored ends.
    """
    return json.dumps(placements, separators=(",", ":")).encode()


def decode_handoff(value: bytes) -> dict[WorkerId, frozenset[str]]:
    """Decode the names of tasks and ids of jobs that a term left, by worker."""
    return {
        WorkerId(worker): frozenset(names)
        for worker, names in STORED_HANDOFF.validate_json(value, strict=True).items()
    }


def encode_term(term: Term) -> bytes:
    """Encode a term without its token, which is the key's creation revision."""
    fields = {
        "entry": term.entry,
        "host": term.peer.host,
        "port": term.peer.port,
        "incarnation": term.incarnation,
        "lease": term.lease,
    }
    return json.dumps(fields).encode()


def decode_term(value: bytes, created: Revision) -> Term:
    """Decode a term, with its key's creation revision as the fencing token."""
    fields = StoredTerm.model_validate_json(value)
    return Term(
        entry=EntryId(fields.entry),
        peer=Address(fields.host, fields.port),
        incarnation=fields.incarnation,
        token=created,
        lease=LeaseId(fields.lease),
    )
