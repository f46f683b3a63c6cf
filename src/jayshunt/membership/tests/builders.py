"""Build members."""

from jayshunt.ids import EntryId, RegionName, ZoneName
from jayshunt.membership.models import Member, MemberState


def build_member(
    entry: str,
    zone: str = "north",
    incarnation: int = 1,
    state: MemberState = MemberState.ALIVE,
    region: str = "home",
) -> Member:
    """Return a member whose address is its entry."""
    return Member(
        entry=EntryId(entry),
        zone=ZoneName(zone),
        region=RegionName(region),
        peer_address=entry,
        incarnation=incarnation,
        state=state,
    )
