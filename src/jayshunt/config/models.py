"""Describe the operators' configuration."""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, model_validator

from jayshunt.ids import ClassName, ConfigVersion, PlannedStopId, PoolName, TeamName

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class StrictModel(BaseModel):
    """Refuse unknown keys and any change after creation."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class WorkKind(Enum):
    """Say whether a class answers its caller or runs long jobs."""

    REQUEST = "request"
    JOB = "job"


class WorkClass(StrictModel):
    """Give a class of work its pool and its target.

    A request class has `target_ms`, the time within which its answer must be
    back. A job class has `max_wait_s`, the time its jobs may wait to start.
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
    """Describe a pool of VMs and its availability budget.

    `min_available_ratio` is the part of the pool's VMs that must be available at
    any moment.
    """

    min_available_ratio: float = Field(default=0.75, ge=0, le=1)
    slots_per_instance: int = Field(default=8, ge=1, le=1024)
    connections_per_instance: int = Field(default=64, ge=1, le=65_536)
    spare: bool = False


class Team(StrictModel):
    """Limit what a team's jobs hold at one moment."""

    quota_cores: float = Field(gt=0)
    quota_memory_bytes: int | None = Field(default=None, gt=0)
    quota_accelerators: int | None = Field(default=None, ge=0)


class PlannedStop(StrictModel):
    """Declare maintenance in operators' terms.

    `scope` is a pool, an availability zone, a rack group or every VM; `target`
    names it and is empty for every VM. `finish_by_s` is wall time in seconds;
    with `repeat_every_s` the stop begins anew after each of its dates.
    """

    scope: Literal["pool", "zone", "rack_group", "every_vm"]
    target: str = ""
    finish_by_s: float | None = None
    repeat_every_s: float | None = Field(default=None, gt=0)
    reason: str = ""


class CapacityObjective(Enum):
    """Name the measure that a deployment weighs first."""

    BUFFER_COST = "buffer_cost"
    MOVES = "moves"


class ConfigDocument(StrictModel):
    """Hold everything that operators declare."""

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
    """Hold one version of the configuration; version 0 is the empty one."""

    version: ConfigVersion = ConfigVersion(0)
    digest: str = ""
    document: ConfigDocument = ConfigDocument()
    author: str = ""
    accepted_s: float = 0.0
    reason: str = ""


class Absent(Enum):
    """Mark a setting that does not exist; None is a value of its own."""

    ABSENT = "absent"


ABSENT = Absent.ABSENT


@dataclass(frozen=True)
class Change:
    """Tell how one setting changed; the path leads to it from the document."""

    path: tuple[str, ...]
    before: Any
    after: Any

    @property
    def name(self) -> str:
        """Return the path as operators write it."""
        return ".".join(self.path)

    def to_json(self) -> dict[str, Any]:
        """Return the stored form; an absent side has no key."""
        sides = {"before": self.before, "after": self.after}
        kept = {key: value for key, value in sides.items() if value is not ABSENT}
        return {"path": list(self.path), **kept}

    @staticmethod
    def from_json(content: dict[str, Any]) -> "Change":
        """Return a change from its stored form."""
        return Change(
            tuple(content["path"]),
            content.get("before", ABSENT),
            content.get("after", ABSENT),
        )


@dataclass(frozen=True)
class Conflict:
    """Pair two changes of different operators to the same setting."""

    mine: Change
    theirs: Change


@dataclass(frozen=True)
class Problem:
    """Explain why a configuration would break a guarantee."""

    path: str
    detail: str


@dataclass(frozen=True)
class ConfigEdit:
    """Hold a document that an operator edited and the version it was based on.

    `base_version` None stands for the version in force when the edit arrives.
    """

    document: ConfigDocument
    author: str
    base_version: ConfigVersion | None = None
    reason: str = ""


@dataclass(frozen=True)
class EditPlan:
    """Tell what an edit would change and what stands against it."""

    base_version: ConfigVersion
    changes: tuple[Change, ...]
    conflicts: tuple[Conflict, ...]
    problems: tuple[Problem, ...]


@dataclass(frozen=True)
class HistoryEntry:
    """Tell who changed what when; `accepted_s` is wall time in seconds."""

    version: ConfigVersion
    author: str
    accepted_s: float
    reason: str
    changes: tuple[Change, ...]
