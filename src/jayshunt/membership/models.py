"""Define the members of a deployment and views of them."""

from dataclasses import dataclass
from enum import Enum

from jayshunt.ids import ConfigVersion, EntryId, RegionName, ZoneName


class MemberState(Enum):
    """Define the states of a member.

    A SUSPECT member still takes work, a LEAVING member takes no new work. A LOST
    member is forgotten after FORGET_AFTER_S.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LOST = "lost"


@dataclass(frozen=True)
class Member:
    """Describe one entry; a higher incarnation replaces a lower one.

    `peer_address` has the form IP:PORT. `incarnation` is set from the clock when the
    process starts, and the member raises it to refute a suspicion or loss.
    """

    entry: EntryId
    zone: ZoneName
    peer_address: str
    incarnation: int
    state: MemberState = MemberState.ALIVE
    program_version: str = ""
    config_version: ConfigVersion = ConfigVersion(0)
    region: RegionName = RegionName("")


@dataclass(frozen=True)
class MembershipView:
    """Describe all members as one entry knows them at one moment.

    `version` increases with each change that this process sees; it has no meaning
    in other processes.
    """

    version: int
    members: tuple[Member, ...] = ()

    def alive(self, zone: ZoneName | None = None) -> tuple[Member, ...]:
        """Return the alive and suspect members, which take work, of a zone or all."""
        return tuple(
            m
            for m in self.members
            if m.state in (MemberState.ALIVE, MemberState.SUSPECT)
            and (zone is None or m.zone == zone)
        )

    def find(self, entry: EntryId) -> Member | None:
        """Return a member by its entry id, or None."""
        return next((m for m in self.members if m.entry == entry), None)

    def zones(self) -> tuple[ZoneName, ...]:
        """Return the zones of all known members, sorted."""
        return tuple(sorted({m.zone for m in self.members}))
