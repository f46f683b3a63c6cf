"""Define the data read from and written to the platform's key-value store."""

from dataclasses import dataclass, field

from jayshunt.dispatch.models import Address
from jayshunt.ids import EntryId, LeaseId, Revision


@dataclass(frozen=True)
class Item:
    """Represent a store item at a revision; its value is None after a removal."""

    key: str
    value: bytes | None
    revision: Revision
    created: Revision = Revision(0)
    lease: LeaseId = LeaseId("0")


@dataclass(frozen=True)
class Put:
    """Represent one write of a transaction, optionally attached to a lease."""

    key: str
    value: bytes
    lease: LeaseId | None = None


@dataclass(frozen=True)
class KeyLease:
    """Represent a lease granted by the store; its keys are removed when it expires."""

    lease: LeaseId
    ttl_s: float


@dataclass(frozen=True)
class WatchAnswer:
    """Represent the events of one watch call and the revision to continue from."""

    events: tuple[Item, ...]
    revision: Revision


@dataclass(frozen=True)
class TransactionResult:
    """Represent a committed transaction's revision, or the items in conflict.

    `revision` is None if a condition failed, and nothing was written.
    """

    revision: Revision | None
    conflicts: tuple[Item, ...] = field(default=())


@dataclass(frozen=True)
class Term:
    """Represent the dispatching entry, its peer address and its fencing token.

    The token is the creation revision of the term's key, so it increases from one
    holder to the next without a separate counter. `incarnation` identifies the process
    of the entry.
    """

    entry: EntryId
    peer: Address
    incarnation: str
    token: Revision = Revision(0)
    lease: LeaseId = LeaseId("0")
