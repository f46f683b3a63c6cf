"""Rank members for a role by rendezvous hashing."""

from collections.abc import Iterable
from hashlib import blake2b

from jayshunt.ids import EntryId
from jayshunt.membership.const import CONTACT_COUNT
from jayshunt.membership.models import Member


def rank_members(key: str, members: Iterable[Member]) -> list[Member]:
    """Return the members in the order in which they take over the role named `key`.

    Every process with the same members computes the same order, and the loss of
    one member reassigns only the roles that it had.
    """
    return sorted(members, key=lambda member: _weight(key, member), reverse=True)


def choose_contacts(entry: EntryId, members: Iterable[Member]) -> list[Member]:
    """Return the members to which a member sends updates.

    The set is small and changes only when a member joins or is lost, so the number
    of connections of a process stays constant; random members would lead to a
    connection to every other member.
    """
    others = [member for member in members if member.entry != entry]
    return rank_members(f"contact/{entry}", others)[:CONTACT_COUNT]


def _weight(key: str, member: Member) -> bytes:
    return blake2b(f"{key}|{member.entry}".encode(), digest_size=8).digest()
