"""Convert membership messages to and from protobuf."""

from collections.abc import Iterable

from jayshunt.ids import ConfigVersion, EntryId, Epoch, RegionName, ZoneName
from jayshunt.membership.messages import Exchange, Heartbeat
from jayshunt.membership.models import Member, MemberState
from jayshunt.peers.protocol import peer_pb2


def member_to_message(member: Member) -> peer_pb2.MemberMessage:
    """Return the protobuf message of a member."""
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


def member_from_message(message: peer_pb2.MemberMessage) -> Member | None:
    """Return a member, or None if its state is unknown to this version."""
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


def members_from_messages(
    messages: Iterable[peer_pb2.MemberMessage],
) -> tuple[Member, ...]:
    """Return the members whose state is known to this version."""
    members = (member_from_message(message) for message in messages)
    return tuple(member for member in members if member is not None)


def exchange_to_message(exchange: Exchange) -> peer_pb2.ExchangeMessage:
    """Return the protobuf message of an exchange."""
    return peer_pb2.ExchangeMessage(
        entry=exchange.entry,
        members=[member_to_message(member) for member in exchange.members],
        config_version=exchange.config_version,
        complete=exchange.complete,
        membership_digest=exchange.digest,
    )


def exchange_from_message(message: peer_pb2.ExchangeMessage) -> Exchange:
    """Return the exchange of a protobuf message."""
    return Exchange(
        EntryId(message.entry),
        members_from_messages(message.members),
        ConfigVersion(message.config_version),
        message.complete,
        message.membership_digest,
    )


def heartbeat_to_message(heartbeat: Heartbeat) -> peer_pb2.HeartbeatMessage:
    """Return the protobuf message of a heartbeat."""
    return peer_pb2.HeartbeatMessage(
        entry=heartbeat.entry,
        incarnation=heartbeat.incarnation,
        sequence=heartbeat.sequence,
        config_version=heartbeat.config_version,
        assignment_epoch=heartbeat.assignment_epoch,
        membership_digest=heartbeat.digest,
    )


def heartbeat_from_message(message: peer_pb2.HeartbeatMessage) -> Heartbeat:
    """Return the heartbeat of a protobuf message."""
    return Heartbeat(
        EntryId(message.entry),
        message.incarnation,
        message.sequence,
        ConfigVersion(message.config_version),
        Epoch(message.assignment_epoch),
        message.membership_digest,
    )
