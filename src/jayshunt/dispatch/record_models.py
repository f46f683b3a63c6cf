"""Define checked models of the dispatch's records in the store; see `records`."""

from typing import Annotated

from pydantic import ConfigDict, Field, TypeAdapter, model_validator

from jayshunt.checked import (
    MAX_WHOLE,
    CheckedModel,
    Count,
    Name,
    Number,
    Port,
    Text,
    Token,
    Whole,
)
from jayshunt.dispatch.models import JobState

# The limits of a submission, in `platform.formats`.
MAX_PAYLOAD_CHARS = 4_000
MAX_STEPS = 64
MAX_TASKS_PER_STEP = 10_000
MAX_TASKS_PER_JOB = 50_000

MAX_CHECKPOINT_CHARS = 10_000

Checkpoint = Annotated[str, Field(max_length=MAX_CHECKPOINT_CHARS)]
# Occurrence and step, and the index of a task.
StepName = Annotated[str, Field(pattern=r"^\d{1,9}\.\d{1,9}$")]
TaskName = Annotated[str, Field(pattern=r"^\d{1,9}\.\d{1,9}\.\d{1,9}$")]


class StoredResources(CheckedModel):
    """Represent amounts of resources."""

    cpu_millicores: Count = 0
    memory_mb: Count = 0
    gpus: Count = 0


class StoredStep(CheckedModel):
    """Represent a step; a field that is not known could change what it means."""

    model_config = ConfigDict(extra="forbid")

    task_count: Annotated[int, Field(ge=1, le=MAX_TASKS_PER_STEP)]
    resources: StoredResources = StoredResources()
    estimate_ms: Count = 0
    after: Annotated[tuple[Count, ...], Field(max_length=MAX_STEPS)] = ()
    has_checkpoints: bool = False
    is_gang: bool = False
    same_rack: bool = False
    required_label: Text = ""
    data_rack: Text = ""
    max_per_worker: Count = 0
    is_speculative: bool = False
    is_long_running: bool = False
    image: Text = ""
    target_ms: Count = 0
    fills: bool = False
    max_unavailable: Count = 0


class StoredJob(CheckedModel):
    """Represent an accepted job, with the settings of its queue."""

    queue: Name
    payload: Annotated[str, Field(max_length=MAX_PAYLOAD_CHARS)]
    steps: Annotated[tuple[StoredStep, ...], Field(min_length=1, max_length=MAX_STEPS)]
    accepted_at_s: Number = 0.0
    pool: Name
    priority: Annotated[int, Field(ge=-MAX_WHOLE, le=MAX_WHOLE)]
    max_failures: Annotated[int, Field(ge=1, le=MAX_WHOLE)]
    stretch: Number
    target_latency_ms: Whole
    workspace: Text = ""
    times: Count = 0
    start_at_ms: Whole = 0
    interval_ms: Count = 0

    @model_validator(mode="after")
    def check_steps(self) -> "StoredJob":
        """Require that steps depend on earlier ones and have few enough tasks."""
        for number, step in enumerate(self.steps):
            if any(before >= number for before in step.after):
                raise ValueError("a step depends on a later one")
        tasks = sum(step.task_count for step in self.steps)
        if max(1, self.times) * tasks > MAX_TASKS_PER_JOB:
            raise ValueError("too many tasks")
        return self


class StoredOwner(CheckedModel):
    """Represent only the owner of an accepted job."""

    workspace: Text = ""


class StoredRunAtRisk(CheckedModel):
    """Represent a run that may have crashed its worker."""

    worker: Name
    worker_started_ms: Whole
    vm: Name
    is_suspect: bool
    is_only_suspect: bool


class StoredCrashes(CheckedModel):
    """Represent the crashes under a task."""

    at_start: Count = 0
    later: Count = 0
    uncertain: Count = 0
    cleared: Count = 0
    runs: tuple[StoredRunAtRisk, ...] = ()


class StoredStarts(CheckedModel):
    """Represent tasks of one step that were started on a worker with one run number.

    `vm` is empty if it is unknown.
    """

    worker: Name
    vm: Text = ""
    run: Whole
    step: StepName
    indices: list[Count]


class StoredState(CheckedModel):
    """Represent only the state of a job's progress."""

    state: JobState


class StoredProgress(StoredState):
    """Represent the progress of a job; `pools` may lack that of its acceptance."""

    pools: tuple[Name, ...] = ()
    done: dict[StepName, list[Count]] = {}
    failures: dict[TaskName, Annotated[list[Whole], Field(min_length=1)]] = {}
    checkpoints: dict[TaskName, Checkpoint] = {}
    crashes: dict[TaskName, StoredCrashes] = {}
    starts: list[StoredStarts] = []


class StoredTerm(CheckedModel):
    """Represent a term without its token."""

    entry: Name
    host: Annotated[str, Field(pattern=r"^[A-Za-z0-9.:\[\]-]{1,200}$")]
    port: Port
    incarnation: Token
    lease: Annotated[str, Field(pattern=r"^\d{1,19}$")]


class StoredSuspicion(CheckedModel):
    """Represent a suspicion of the holder of a token."""

    token: Whole
    entry: Name
    zone: Text
    is_ended: bool


class StoredWave(CheckedModel):
    """Represent the progress of a wave."""

    done: list[Name]
    completed: bool


# The names of tasks and ids of jobs that a term left, by worker.
STORED_HANDOFF = TypeAdapter(dict[Name, list[Text]])
# Rows of VM, worker and age in seconds; the worker may be empty, the age be missing.
OrderRow = tuple[Name, Text, Number] | tuple[Name, Text]
STORED_ORDERS = TypeAdapter(list[OrderRow])
