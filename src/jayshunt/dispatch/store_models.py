"""Define what is read from and written to the platform's store."""

from dataclasses import dataclass, field

from jayshunt.dispatch.models import Address
from jayshunt.ids import EntryId, LeaseId, Revision


@dataclass(frozen=True)
class Item:
    """Hold an item of the store; a value of None means that it was removed."""

    key: str
    value: bytes | None
    revision: Revision
    created: Revision = Revision(0)
    lease: LeaseId = LeaseId("0")


@dataclass(frozen=True)
class Put:
    """Hold one write of a transaction."""

    key: str
    value: bytes
    lease: LeaseId | None = None


@dataclass(frozen=True)
class KeyLease:
    """Hold a lease of the store."""

    lease: LeaseId
    ttl_s: float


@dataclass(frozen=True)
class WatchAnswer:
    """Hold changes of the store and the revision to continue from."""

    events: tuple[Item, ...]
    revision: Revision


@dataclass(frozen=True)
class TransactionResult:
    """Hold the revision of a transaction, or the items that differed."""

    revision: Revision | None
    conflicts: tuple[Item, ...] = field(default=())


@dataclass(frozen=True)
class Term:
    """Hold who dispatches: the entry, where it listens and its fencing token.

    The token is the revision at which the key of the term was created, so it
    rises from one holder to the next without a counter of its own.
    """

    entry: EntryId
    peer: Address
    incarnation: str
    token: Revision = Revision(0)
    lease: LeaseId = LeaseId("0")
