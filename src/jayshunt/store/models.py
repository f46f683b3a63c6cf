"""Describe what the store returns."""

from dataclasses import dataclass
from enum import Enum

from jayshunt.ids import Revision


@dataclass(frozen=True)
class StoredValue:
    """Hold one value with the revision of its last change."""

    key: str
    value: str
    revision: Revision


@dataclass(frozen=True)
class WatchEvent:
    """Tell of one change; value is None for a deletion."""

    key: str
    value: str | None
    revision: Revision


class StoreState(Enum):
    """Say how the store answers at present."""

    UP = "up"
    DOWN = "down"


@dataclass(frozen=True)
class StoreHealth:
    """Say since when the store is up or down, in monotonic seconds."""

    state: StoreState
    since_s: float
    last_error: str = ""
