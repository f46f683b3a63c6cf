"""Define the messages that members exchange."""

from dataclasses import dataclass

from jayshunt.ids import ConfigVersion, EntryId, Epoch
from jayshunt.membership.models import Member


@dataclass(frozen=True)
class Heartbeat:
    """Report to a monitor that the sender is alive.

    `sequence` increases within an incarnation. `digest` is a digest of the member
    records that the sender knows.
    """

    entry: EntryId
    incarnation: int
    sequence: int
    config_version: ConfigVersion = ConfigVersion(0)
    assignment_epoch: Epoch = Epoch(0)
    digest: int = 0


@dataclass(frozen=True)
class Exchange:
    """Send member records to a peer, or return them in a reply.

    `complete` means that `members` holds every record that the sender knows. A
    `digest` of 0 requests no comparison; it is used for updates that are still
    spreading, while digests are expected to differ.
    """

    entry: EntryId
    members: tuple[Member, ...] = ()
    config_version: ConfigVersion = ConfigVersion(0)
    complete: bool = False
    digest: int = 0
