"""Rank members for a duty by rendezvous hashing."""

from collections.abc import Iterable
from hashlib import blake2b

from jayshunt.membership.models import Member


def rank_members(duty: str, members: Iterable[Member]) -> list[Member]:
    """Return the members in the order in which they take over a duty.

    Every process with the same members computes the same order, and the loss of
    one member changes only the duties that it had.
    """
    return sorted(members, key=lambda member: _weight(duty, member), reverse=True)


def _weight(duty: str, member: Member) -> bytes:
    return blake2b(f"{duty}|{member.entry}".encode(), digest_size=8).digest()
