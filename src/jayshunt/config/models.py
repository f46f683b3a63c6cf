"""Define the operators' configuration, its versions and its edits."""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from jayshunt.ids import ClassName, ConfigVersion, PlannedStopId, PoolName, TeamName

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class StrictModel(BaseModel):
    """Immutable model that rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class WorkKind(Enum):
    """Whether a class serves requests of callers or runs jobs."""

    REQUEST = "request"
    JOB = "job"


class WorkClass(StrictModel):
    """Pool and target of a class of work.

    A request class has `target_ms`, the target response time. A job class has
    `max_wait_s`, the longest time that its jobs may wait before they start. Jobs of an
    `urgent` class are placed first and may preempt jobs of classes that are not.
    """

    pool: Name
    kind: WorkKind = WorkKind.REQUEST
    target_ms: int | None = Field(default=None, ge=1, le=600_000)
    max_wait_s: float | None = Field(default=None, gt=0, le=7 * 86_400)
    urgent: bool = False

    @model_validator(mode="after")
    def _check_target(self) -> "WorkClass":
        if self.kind is WorkKind.REQUEST and self.target_ms is None:
            raise ValueError("a request class needs target_ms")
        if self.kind is WorkKind.JOB and self.max_wait_s is None:
            raise ValueError("a job class needs max_wait_s")
        return self


class Pool(StrictModel):
    """A pool of VMs and its availability budget.

    `min_available_ratio` is the fraction of the pool's VMs that must be available
    at any time. `slots_per_instance` limits the concurrent requests to one upstream
    VM, as does `connections_per_instance` its connections. The VMs of a `spare` pool
    are the buffer of the others.
    """

    min_available_ratio: float = Field(default=0.75, ge=0, le=1)
    slots_per_instance: int = Field(default=8, ge=1, le=1024)
    connections_per_instance: int = Field(default=64, ge=1, le=65_536)
    spare: bool = False


class Team(StrictModel):
    """Quota for the resources that a team's jobs use at the same time."""

    quota_cores: float = Field(gt=0)
    quota_memory_bytes: int | None = Field(default=None, gt=0)
    quota_accelerators: int | None = Field(default=None, ge=0)


class PlannedStop(StrictModel):
    """Planned maintenance of a pool, an availability zone, a rack group or every VM.

    `target` names the object that `scope` selects and is empty for every VM.
    `finish_by_s` is wall time in seconds. With `repeat_every_s` the stop recurs with
    this period, counted from `finish_by_s`, or from time 0 if that is None.
    """

    scope: Literal["pool", "zone", "rack_group", "every_vm"]
    target: str = ""
    finish_by_s: float | None = None
    repeat_every_s: float | None = Field(default=None, gt=0)
    reason: str = ""


class CapacityObjective(Enum):
    """Primary objective of capacity planning.

    BUFFER_COST keeps the number of buffer VMs small, MOVES the number of moves.
    """

    BUFFER_COST = "buffer_cost"
    MOVES = "moves"


class ConfigDocument(StrictModel):
    """The complete configuration that operators declare."""

    weigh_first: CapacityObjective = CapacityObjective.BUFFER_COST
    classes: dict[ClassName, WorkClass] = {}
    pools: dict[PoolName, Pool] = {}
    teams: dict[TeamName, Team] = {}
    planned_stops: dict[PlannedStopId, PlannedStop] = {}

    @model_validator(mode="after")
    def _check_pools(self) -> "ConfigDocument":
        for name, work_class in self.classes.items():
            if work_class.pool not in self.pools:
                raise ValueError(
                    f"classes.{name}.pool: {work_class.pool!r} is not a pool"
                )
        return self


class ConfigSnapshot(StrictModel):
    """One version of the configuration; version 0 is empty.

    `accepted_s` is wall time in seconds.
    """

    version: ConfigVersion = ConfigVersion(0)
    digest: str = ""
    document: ConfigDocument = ConfigDocument()
    author: str = ""
    accepted_s: float = 0.0
    reason: str = ""


class Absent(Enum):
    """Sentinel for a setting that does not exist, since None is a valid value."""

    ABSENT = "absent"


ABSENT = Absent.ABSENT


@dataclass(frozen=True)
class Change:
    """Change of one setting; `path` holds its keys from the document's root."""

    path: tuple[str, ...]
    before: Any
    after: Any

    @property
    def name(self) -> str:
        """Return the path with dots, as operators write it."""
        return ".".join(self.path)

    def to_json(self) -> dict[str, Any]:
        """Return the stored form; an absent value has no key."""
        values = {"before": self.before, "after": self.after}
        present = {key: value for key, value in values.items() if value is not ABSENT}
        return {"path": list(self.path), **present}

    @staticmethod
    def from_json(content: dict[str, Any]) -> "Change":
        """Parse the stored form of a change."""
        return Change(
            tuple(content["path"]),
            content.get("before", ABSENT),
            content.get("after", ABSENT),
        )


@dataclass(frozen=True)
class Conflict:
    """Two changes of the same setting by different operators."""

    mine: Change
    theirs: Change


@dataclass(frozen=True)
class Problem:
    """A setting that would break a guarantee, and the reason."""

    path: str
    detail: str


@dataclass(frozen=True)
class ConfigEdit:
    """A document that an operator edited and the version it was edited from.

    If `base_version` is None, the newest version is used when the edit arrives.
    """

    document: ConfigDocument
    author: str
    base_version: ConfigVersion | None = None
    reason: str = ""


@dataclass(frozen=True)
class EditPlan:
    """Result of a dry run: what an edit would change, its conflicts and problems."""

    base_version: ConfigVersion
    changes: tuple[Change, ...]
    conflicts: tuple[Conflict, ...]
    problems: tuple[Problem, ...]


@dataclass(frozen=True)
class HistoryEntry:
    """Author, time, reason and changes of a version.

    `accepted_s` is wall time in seconds.
    """

    version: ConfigVersion
    author: str
    accepted_s: float
    reason: str
    changes: tuple[Change, ...]
