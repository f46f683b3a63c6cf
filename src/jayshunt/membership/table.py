"""Merge news of members in an order-independent way."""

from collections.abc import Iterable
from dataclasses import replace
from hashlib import blake2b

from jayshunt.ids import EntryId
from jayshunt.membership.models import Member, MemberState

# At the same incarnation the later state replaces the earlier one.
STATE_ORDER = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.LOST: 3,
}


class MemberTable:
    """Hold the newest record of each member, its own included.

    A record replaces another if its incarnation is higher, or equal with a later
    state. The result does not depend on the order in which news arrives. Only a
    member itself raises its incarnation.
    """

    def __init__(self, own: Member) -> None:
        """Start with the own record."""
        self._own = own.entry
        self._members: dict[EntryId, Member] = {own.entry: own}

    @property
    def own(self) -> Member:
        """Return the own record."""
        return self._members[self._own]

    def members(self) -> tuple[Member, ...]:
        """Return all records in the order of entries."""
        return tuple(self._members[entry] for entry in sorted(self._members))

    def find(self, entry: EntryId) -> Member | None:
        """Return the record of a member."""
        return self._members.get(entry)

    def others(self, *states: MemberState) -> list[Member]:
        """Return other members in one of the given states."""
        return [
            m
            for m in self._members.values()
            if m.entry != self._own and m.state in states
        ]

    def set_own(self, own: Member) -> None:
        """Replace the own record."""
        self._members[self._own] = own

    def merge(self, news: Iterable[Member]) -> list[Member]:
        """Take newer records and return those that changed something."""
        changed = []
        for member in news:
            if member.entry == self._own:
                refuted = self._refute(member)
                if refuted is not None:
                    changed.append(refuted)
                continue
            known = self._members.get(member.entry)
            if known is None and member.state is MemberState.LOST:
                continue
            if known is None or is_newer(member, known):
                self._members[member.entry] = member
                changed.append(member)
        return changed

    def digest(self) -> int:
        """Return a digest of the members that are not lost."""
        total = 0
        for member in self._members.values():
            if member.state is not MemberState.LOST:
                total ^= _fingerprint(member)
        return total

    def _refute(self, news: Member) -> Member | None:
        """Return the own record with a higher incarnation if the news denies it."""
        own = self.own
        if not is_newer(news, own):
            return None
        own = replace(own, incarnation=news.incarnation + 1)
        self._members[self._own] = own
        return own


def is_newer(news: Member, known: Member) -> bool:
    """Return whether news replaces what is known."""
    if news.incarnation != known.incarnation:
        return news.incarnation > known.incarnation
    return STATE_ORDER[news.state] > STATE_ORDER[known.state]


def _fingerprint(member: Member) -> int:
    leaving = member.state is MemberState.LEAVING
    text = f"{member.entry}|{member.incarnation}|{leaving}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")
