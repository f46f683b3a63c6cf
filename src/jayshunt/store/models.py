"""Values, events and health of the store."""

from dataclasses import dataclass
from enum import Enum

from jayshunt.ids import Revision


@dataclass(frozen=True)
class StoredValue:
    """Value of a key with the revision of its last change."""

    key: str
    value: str
    revision: Revision


@dataclass(frozen=True)
class WatchEvent:
    """Change of a key; `value` is None for a deletion."""

    key: str
    value: str | None
    revision: Revision


class StoreState(Enum):
    """Whether the store answers calls."""

    UP = "up"
    DOWN = "down"


@dataclass(frozen=True)
class StoreHealth:
    """State of the store and the monotonic time (s) at which this state began."""

    state: StoreState
    since_s: float
    last_error: str = ""
