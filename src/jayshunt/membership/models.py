"""Describe the members of the deployment."""

from dataclasses import dataclass
from enum import Enum

from jayshunt.ids import ConfigVersion, EntryId, RegionName, ZoneName


class MemberState(Enum):
    """Say what is known of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LOST = "lost"


@dataclass(frozen=True)
class Member:
    """Describe one entry; a higher incarnation replaces a lower one."""

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
    """Hold what one entry knows of all members at one moment.

    `version` rises with each change seen by this process; it has no meaning in
    other processes.
    """

    version: int
    members: tuple[Member, ...] = ()

    def alive(self, zone: ZoneName | None = None) -> tuple[Member, ...]:
        """Return members that take work: alive or only suspected."""
        return tuple(
            m
            for m in self.members
            if m.state in (MemberState.ALIVE, MemberState.SUSPECT)
            and (zone is None or m.zone == zone)
        )

    def find(self, entry: EntryId) -> Member | None:
        """Return one member by id."""
        return next((m for m in self.members if m.entry == entry), None)

    def zones(self) -> tuple[ZoneName, ...]:
        """Return the zones of all known members, sorted."""
        return tuple(sorted({m.zone for m in self.members}))
