"""Define what members tell each other."""

from dataclasses import dataclass

from jayshunt.ids import ConfigVersion, EntryId, Epoch
from jayshunt.membership.models import Member


@dataclass(frozen=True)
class Heartbeat:
    """Tell a monitor that the sender is alive.

    `sequence` rises within an incarnation. `digest` sums up the members that the
    sender knows.
    """

    entry: EntryId
    incarnation: int
    sequence: int
    config_version: ConfigVersion = ConfigVersion(0)
    assignment_epoch: Epoch = Epoch(0)
    digest: int = 0


@dataclass(frozen=True)
class Exchange:
    """Tell a peer of members.

    `complete` means that `members` holds all that the sender knows. A `digest` of
    0 asks for no comparison; it goes with news that is still spreading.
    """

    entry: EntryId
    members: tuple[Member, ...] = ()
    config_version: ConfigVersion = ConfigVersion(0)
    complete: bool = False
    digest: int = 0
