"""Translate members between the process and the wire."""

from collections.abc import Iterable

from jayshunt.ids import ConfigVersion, EntryId, RegionName, ZoneName
from jayshunt.membership.models import Member, MemberState
from jayshunt.peers.protocol import peer_pb2


def to_message(member: Member) -> peer_pb2.MemberMessage:
    """Return the wire form of a member."""
    return peer_pb2.MemberMessage(
        entry=member.entry,
        zone=member.zone,
        region=member.region,
        peer_address=member.peer_address,
        incarnation=member.incarnation,
        state=member.state.value,
        program_version=member.program_version,
        config_version=member.config_version,
    )


def from_message(message: peer_pb2.MemberMessage) -> Member | None:
    """Return a member, or None for a state that only a newer version knows."""
    try:
        state = MemberState(message.state)
    except ValueError:
        return None
    return Member(
        entry=EntryId(message.entry),
        zone=ZoneName(message.zone),
        region=RegionName(message.region),
        peer_address=message.peer_address,
        incarnation=message.incarnation,
        state=state,
        program_version=message.program_version,
        config_version=ConfigVersion(message.config_version),
    )


def from_messages(messages: Iterable[peer_pb2.MemberMessage]) -> list[Member]:
    """Return the members whose state this version understands."""
    members = (from_message(message) for message in messages)
    return [member for member in members if member is not None]
