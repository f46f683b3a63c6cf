"""Decode configuration, submissions, workers and waves; encode statuses."""

import hashlib
import json
import logging
import math
from dataclasses import replace

from pydantic import TypeAdapter

from jayshunt.checked import (
    MAX_COUNT,
    MAX_REASON_CHARS,
    MAX_WHOLE,
    Text,
    Token,
    describe_invalid,
)
from jayshunt.dispatch.models import (
    AdvicePolicy,
    FleetConfig,
    JobSpec,
    PoolConfig,
    QueueConfig,
    Resources,
    StepSpec,
    Worker,
    WorkerState,
    Workspace,
)
from jayshunt.dispatch.vms import Wave
from jayshunt.errors import DECODE_ERRORS
from jayshunt.ids import (
    ConfigVersion,
    JobId,
    PoolName,
    QueueName,
    RackName,
    VmId,
    WorkerId,
    WorkspaceName,
    ZoneName,
)
from jayshunt.platform.documents import (
    CapacityFields,
    ConfigDocument,
    LimitFields,
    RouteRow,
    ServiceRow,
    WaveEntry,
    WorkerEntry,
)
from jayshunt.serving.connection import count_values

_LOGGER = logging.getLogger(__name__)

MAX_PAYLOAD_BYTES = 4_000
MAX_STEPS = 64
# A job with all fields of all steps has 2,600 values. Objects take up many times
# their text.
MAX_VALUES = 10_000
MAX_TASKS_PER_STEP = 10_000
# Limits the memory of one job at the dispatcher to about 20 MB, with all occurrences.
MAX_TASKS_PER_JOB = 50_000
JOB_ID_CHARS = 16
# A worker's record has a few hundred bytes.
MAX_ENTRY_BYTES = 16_384
_WORKER_ID = TypeAdapter(Token)
_TEXT = TypeAdapter(Text)
_HEX_DIGITS = frozenset("0123456789abcdefABCDEF")


class MalformedSubmission(ValueError):
    """Raised when a submitted job is malformed; the message says what is wrong."""


def decode_config(value: bytes) -> FleetConfig:
    """Decode the operator's configuration document; raise ValueError if malformed."""
    document = ConfigDocument.model_validate(json.loads(value))
    workspaces = (_decode_workspace(row) for row in _rows(document.tenants))
    limits = document.limits or LimitFields()
    return FleetConfig(
        ConfigVersion(document.version),
        tuple(_queue(row) for row in document.routes),
        tuple(_pool(row) for row in document.services),
        tuple(workspace for workspace in workspaces if workspace is not None),
        requires_keys=document.tenants is not None,
        max_head_bytes=limits.maxHeaderBytes,
        max_body_bytes=limits.maxBodyBytes,
    )


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a workspace's key, in hexadecimal."""
    return hashlib.sha256(key.encode()).hexdigest()


def _decode_workspace(row: dict) -> Workspace | None:
    """Decode a workspace; a malformed row is logged and ignored."""
    try:
        return Workspace(
            workspace=WorkspaceName(_TEXT.validate_python(_require_text(row["name"]))),
            key_digests=frozenset(
                digest_key(_require_text(key)) for key in _keys(row.get("apiKeys"))
            ),
            priority=int(row.get("priority", 0)),
            weight=_read_weight(row),
            max_running=decode_resources(row.get("maxCount") or {}),
        )
    except DECODE_ERRORS as error:
        # The text of the error may contain a key.
        _LOGGER.error(
            "config: ignoring a malformed workspace",
            extra={"reason": type(error).__name__},
        )
        return None


def _read_weight(row: dict) -> float:
    """Return the weight of a workspace; without one it is 1."""
    weight = float(row.get("weight", 1.0))
    if not 0 <= weight < math.inf:
        raise ValueError("weight: a finite number of at least 0 is needed")
    return weight


def _keys(value: object) -> list:
    """Return the list of keys; a string would be read as keys of one character."""
    if value is not None and not isinstance(value, list):
        raise ValueError("the keys are not a list")
    return value or []


def _rows(rows: object) -> list[dict]:
    """Return the rows of a list, or of a table keyed by the rows' names.

    A row of another type is returned as it is, for the row's decoder to refuse.
    """
    if isinstance(rows, dict):
        return [
            {"name": name, **row} if isinstance(row, dict) else row
            for name, row in rows.items()
        ]
    return list(rows or ())


def _queue(row: RouteRow) -> QueueConfig:
    advice = row.advice
    return QueueConfig(
        queue=QueueName(row.name),
        host=row.host.lower(),
        path_prefix=row.prefix,
        pool=PoolName(row.service),
        priority=row.priority,
        max_failures=max(1, int(row.attempts)),
        stretch=row.stretch,
        target_latency_ms=int(row.targetLatencyMs),
        timeout_ms=int(row.timeoutMs),
        advice=(
            None
            if advice is None
            else AdvicePolicy(advice.decideMs, advice.eachMs, advice.validMs)
        ),
        is_public=row.public is True,
    )


def _pool(row: ServiceRow) -> PoolConfig:
    return PoolConfig(
        pool=PoolName(row.name),
        is_spare=bool(row.spare),
        rejects_overload=bool(row.rejectsOverload),
    )


def decode_submission(
    job: JobId,
    queue: QueueName,
    body: bytes,
    workspace: WorkspaceName = WorkspaceName(""),
) -> JobSpec:
    """Decode a job of a workspace; raise MalformedSubmission if that is impossible."""
    if count_values(body) > MAX_VALUES:
        raise MalformedSubmission(f"more than {MAX_VALUES} values")
    try:
        spec = job_from_fields(job, queue, json.loads(body))
        return replace(spec, workspace=workspace)
    except DECODE_ERRORS as error:
        raise MalformedSubmission(str(error)[:MAX_REASON_CHARS]) from error


def job_from_fields(job: JobId, queue: QueueName, fields: dict) -> JobSpec:
    """Build a job from the decoded fields of its submission.

    Raise one of DECODE_ERRORS on malformed fields.
    """
    payload = fields.get("spec", "")
    if not isinstance(payload, str) or len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"spec: a string of at most {MAX_PAYLOAD_BYTES} bytes")
    rows = fields.get("steps")
    if not isinstance(rows, list) or not 1 <= len(rows) <= MAX_STEPS:
        raise ValueError(f"steps: a list of 1 to {MAX_STEPS} entries")
    steps = tuple(_decode_step(number, row) for number, row in enumerate(rows))
    times = _read_count(fields, "times")
    if max(1, times) * sum(step.task_count for step in steps) > MAX_TASKS_PER_JOB:
        raise ValueError(f"steps: at most {MAX_TASKS_PER_JOB} tasks in all occurrences")
    return JobSpec(
        job=job,
        queue=queue,
        payload=payload,
        steps=steps,
        times=times,
        start_at_ms=_read_count(fields, "startAtMs", MAX_WHOLE),
        interval_ms=_read_count(fields, "intervalMs"),
    )


def _decode_step(number: int, row: dict) -> StepSpec:
    after = tuple(dict.fromkeys(int(n) for n in row.get("after", ())))
    if any(not 0 <= n < number for n in after):
        raise ValueError(f"steps[{number}].after: numbers of earlier steps")
    count = int(row.get("count", 1))
    if not 1 <= count <= MAX_TASKS_PER_STEP:
        raise ValueError(f"steps[{number}].count: 1 to {MAX_TASKS_PER_STEP}")
    return StepSpec(
        task_count=count,
        resources=decode_resources(row),
        estimate_ms=_read_count(row, "estimateMs"),
        after=after,
        has_checkpoints=bool(row.get("checkpoint", False)),
        is_gang=bool(row.get("gang", False)),
        same_rack=bool(row.get("sameRack", False)),
        required_label=_read_text(row, "requires"),
        data_rack=RackName(_read_text(row, "affinity")),
        max_per_worker=_read_count(row, "antiAffinity"),
        is_speculative=bool(row.get("speculative", False)),
        is_long_running=bool(row.get("longRunning", False)),
        image=_read_text(row, "image"),
        target_ms=_read_count(row, "targetMs"),
        fills=bool(row.get("fills", False)),
        max_unavailable=_read_count(row, "mayMiss"),
    )


def decode_resources(fields: dict) -> Resources:
    """Decode CPU (millicores), memory (MB) and GPU counts; missing fields are 0."""
    return Resources(
        cpu_millicores=_read_count(fields, "cpu"),
        memory_mb=_read_count(fields, "memMb"),
        gpus=_read_count(fields, "gpu"),
    )


def _read_text(fields: dict, name: str) -> str:
    """Return a text within the limits of `Text`; a missing one is empty."""
    value = fields.get(name)
    if not value:
        return ""
    try:
        return _TEXT.validate_python(str(value))
    except ValueError as error:
        raise ValueError(f"{name}: {describe_invalid(error)}") from error


def _read_count(fields: dict, name: str, limit: int = MAX_COUNT) -> int:
    """Return a whole number from 0 to `limit`; a missing or empty field is 0."""
    count = int(fields.get(name) or 0)
    if not 0 <= count <= limit:
        raise ValueError(f"{name}: {count} is not from 0 to {limit}")
    return count


def rack_of(labels: object) -> RackName:
    """Return the rack of a VM: its first label that starts with `r` and has a `-`.

    Return an empty name if no label does.
    """
    racks = [label for label in labels or () if label[:1] == "r" and "-" in label]
    return RackName(racks[0] if racks else "")


def resources_of(fields: CapacityFields) -> Resources:
    """Return the amounts of resources in a checked document."""
    return Resources(fields.cpu, fields.memMb, fields.gpu or 0)


def decode_worker(worker: str, value: bytes) -> Worker | None:
    """Decode one record of the worker list; return None if it is malformed.

    Other programs write to the list as well, so a malformed record is logged and
    ignored.
    """
    try:
        worker_id = WorkerId(_WORKER_ID.validate_python(worker))
        if len(value) > MAX_ENTRY_BYTES:
            raise ValueError("the record is too long")
        entry = WorkerEntry.model_validate_json(value)
    except DECODE_ERRORS as error:
        _LOGGER.warning(
            "platform: ignoring a malformed record of the worker list",
            extra={"worker": worker, "reason": describe_invalid(error)},
        )
        return None
    is_ready = entry.state == "ready"
    return Worker(
        worker=worker_id,
        pool=PoolName(entry.service),
        address=entry.address,
        zone=ZoneName(entry.zone),
        state=WorkerState.READY if is_ready else WorkerState.DRAINING,
        capacity=resources_of(entry.capacity),
        labels=frozenset(entry.labels or ()),
        rack=rack_of(entry.labels),
        vm=VmId(entry.machine) if entry.machine else None,
        started_ms=entry.born,
    )


def _require_string(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not a string")
    return value


def _require_text(value: object) -> str:
    """Return a string; raise ValueError if it is empty or another type."""
    if not _require_string(value):
        raise ValueError("empty")
    return value


def decode_wave(value: bytes, name: str | None = None) -> Wave | None:
    """Decode a maintenance wave that the operator declared.

    `name` is what follows the prefix of the wave's key, and has to be its number. A
    malformed wave is logged and ignored: the result is None.
    """
    try:
        entry = WaveEntry.model_validate_json(value)
        if name is not None and name != str(entry.wave):
            raise ValueError("the key is that of another wave")
    except DECODE_ERRORS as error:
        _LOGGER.warning(
            "platform: ignoring a malformed wave",
            extra={"wave": name, "reason": describe_invalid(error)},
        )
        return None
    return Wave(
        number=entry.wave,
        vms=tuple(VmId(vm) for vm in dict.fromkeys(entry.machines)),
        deadline_s=entry.deadlineS,
        max_down=max(1, entry.maxCount),
    )


def encode_wave_status(number: int, is_completed: bool) -> bytes:
    """Encode the status of a wave for the operator."""
    state = "completed" if is_completed else "running"
    return json.dumps({"wave": number, "state": state}).encode()


def is_job_id(text: str) -> bool:
    """Return whether a path element has the form of a job id."""
    return len(text) == JOB_ID_CHARS and all(char in _HEX_DIGITS for char in text)
