"""Define checked models of the platform's documents, with the platform's words.

`formats`, `machine_calls` and `worker_calls` translate them to the words of the code.
"""

from typing import Annotated, Any, Literal

from pydantic import BeforeValidator, Field

from jayshunt.checked import (
    MAX_COUNT,
    AddressText,
    CheckedModel,
    Count,
    Name,
    Number,
    Text,
    Token,
    Whole,
)

MAX_LABELS = 64
MAX_WAVE_VMS = 10_000


class CapacityFields(CheckedModel):
    """Represent amounts of resources."""

    cpu: Count = 0
    memMb: Count = 0
    gpu: Count | None = 0


class WorkerCapacity(CapacityFields):
    """Represent the capacity of a worker, which names CPU and memory."""

    cpu: Count
    memMb: Count


class WorkerEntry(CheckedModel):
    """Represent what a worker writes of itself to the list of workers."""

    service: Name
    address: AddressText
    state: Literal["ready", "draining"]
    capacity: WorkerCapacity
    zone: Text = ""
    labels: Annotated[list[Text], Field(max_length=MAX_LABELS)] | None = None
    machine: Text | None = None
    born: Whole = 0


class WaveEntry(CheckedModel):
    """Represent a wave of upkeep that the operator declared."""

    wave: Count
    machines: Annotated[list[Name], Field(max_length=MAX_WAVE_VMS)]
    deadlineS: Number = 0.0
    maxCount: Count = 1


class MachineRow(CheckedModel):
    """Represent a row of the list of machines."""

    machine: Name
    pool: Name
    state: Text | None = None
    zone: Text = ""
    labels: Annotated[list[Text], Field(max_length=MAX_LABELS)] = []
    capacity: CapacityFields = CapacityFields()
    id: Text | None = None


class MachinePage(CheckedModel):
    """Represent a page of the list of machines, whose rows are checked one by one."""

    machines: list[Any]
    nextToken: Annotated[str, Field(max_length=2_000)] | None = None


class TicketRow(CheckedModel):
    """Represent a worker that a policy allows, and its ticket."""

    worker: Token
    ticket: Annotated[str, Field(min_length=1, max_length=4_000)]


class AdvicePage(CheckedModel):
    """Represent the answer of the advice service, whose rows are checked one by one."""

    good: list[Any]
    validMs: Number = 0.0


def _rows(rows: object) -> object:
    """Return the rows of a list, or of a table keyed by the rows' names."""
    if not isinstance(rows, dict):
        return rows or []
    return [
        {"name": name, **row} if isinstance(row, dict) else row
        for name, row in rows.items()
    ]


def _fields_or_none(value: object) -> object:
    return value if isinstance(value, dict) else None


class AdviceFields(CheckedModel):
    """Represent how long advice takes and is valid."""

    decideMs: Number = 0.0
    eachMs: Number = 0.0
    validMs: Number = 0.0


class RouteRow(CheckedModel):
    """Represent a route of the configuration."""

    name: Name
    prefix: Text
    service: Name
    host: Text = ""
    priority: Annotated[int, Field(ge=-1_000_000, le=1_000_000)] = 0
    attempts: Number = 1
    stretch: Number = 1.0
    targetLatencyMs: Number = 0
    timeoutMs: Number = 0
    advice: Annotated[AdviceFields | None, BeforeValidator(_fields_or_none)] = None
    public: Any = None


class ServiceRow(CheckedModel):
    """Represent a service of the configuration."""

    name: Name
    spare: bool | None = False
    rejectsOverload: bool | None = False


def _size_or_none(value: object) -> object:
    """Return a size in bytes, or None, as without one, if it is none."""
    is_size = isinstance(value, int) and not isinstance(value, bool)
    return value if is_size and 0 < value <= MAX_COUNT else None


Size = Annotated[Count | None, BeforeValidator(_size_or_none)]


class LimitFields(CheckedModel):
    """Represent the limits of callers' requests, in bytes."""

    maxHeaderBytes: Size = None
    maxBodyBytes: Size = None


class ConfigDocument(CheckedModel):
    """Represent the operator's configuration; `tenants` are checked row by row."""

    version: Whole
    routes: Annotated[list[RouteRow], BeforeValidator(_rows)] = []
    services: Annotated[list[ServiceRow], BeforeValidator(_rows)] = []
    tenants: Any = None
    limits: Annotated[LimitFields | None, BeforeValidator(_fields_or_none)] = None
