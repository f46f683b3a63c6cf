"""Merge news of members in an order-independent way."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from hashlib import blake2b

from jayshunt.ids import EntryId
from jayshunt.membership.const import MAX_FORGOTTEN
from jayshunt.membership.models import Member, MemberState

# At the same incarnation the later state replaces the earlier one.
STATE_ORDER = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.LOST: 3,
}


@dataclass(frozen=True)
class Merged:
    """Tell what news changed, and which of the news was outdated.

    `corrections` are the newer records that the sender of outdated news lacks.
    """

    changed: tuple[Member, ...] = ()
    corrections: tuple[Member, ...] = ()


class MemberTable:
    """Hold the newest record of each member, its own included.

    A record replaces another if its incarnation is higher, or equal with a later
    state. The result does not depend on the order in which news arrives. Only a
    member itself raises its incarnation. Forgotten members are no longer shown,
    but old news does not bring them back.
    """

    def __init__(self, own: Member) -> None:
        """Start with the own record."""
        self._own = own.entry
        self._members: dict[EntryId, Member] = {own.entry: own}
        self._forgotten: dict[EntryId, Member] = {}
        self._digest: int | None = None
        self._sorted: tuple[Member, ...] | None = None

    @property
    def own(self) -> Member:
        """Return the own record."""
        return self._members[self._own]

    def members(self) -> tuple[Member, ...]:
        """Return all records in the order of entries."""
        if self._sorted is None:
            ordered = sorted(self._members)
            self._sorted = tuple(self._members[entry] for entry in ordered)
        return self._sorted

    def find(self, entry: EntryId) -> Member | None:
        """Return the record of a member."""
        return self._members.get(entry)

    def others(self, *states: MemberState) -> list[Member]:
        """Return other members in one of the given states, in a fixed order."""
        return [m for m in self.members() if m.entry != self._own and m.state in states]

    def set_own(self, own: Member) -> None:
        """Replace the own record."""
        self._set(own)

    def merge(self, news: Iterable[Member], doubt_losses: bool = False) -> Merged:
        """Take newer records.

        With `doubt_losses` a loss of a member that is not lost here counts only as
        a suspicion. This is for old verdicts, as after a partition, which the
        member itself or its monitors have to confirm.
        """
        changed: list[Member] = []
        corrections: list[Member] = []
        for member in news:
            if member.entry == self._own:
                changed += self._refute(member)
                continue
            known = self._members.get(member.entry) or self._forgotten.get(member.entry)
            if known is not None and is_newer(known, member):
                corrections.append(known)
                continue
            if doubt_losses and known is not None:
                member = _doubt(member, known)
            if self._take(member, known):
                changed.append(member)
        return Merged(tuple(changed), tuple(corrections))

    def forget(self, entry: EntryId) -> None:
        """Stop to show a lost member; keep its record against old news."""
        self._forgotten[entry] = self._members.pop(entry)
        self._digest = self._sorted = None
        while len(self._forgotten) > MAX_FORGOTTEN:
            del self._forgotten[next(iter(self._forgotten))]

    def digest(self) -> int:
        """Return a digest of the members that are not lost."""
        if self._digest is None:
            self._digest = self._sum_up()
        return self._digest

    def _set(self, member: Member) -> None:
        self._members[member.entry] = member
        self._digest = self._sorted = None

    def _sum_up(self) -> int:
        total = 0
        for member in self._members.values():
            if member.state is not MemberState.LOST:
                total ^= _fingerprint(member)
        # 0 on the wire means that no comparison is asked for.
        return total or 1

    def _take(self, member: Member, known: Member | None) -> bool:
        if known is None and member.state is MemberState.LOST:
            return False
        if known is not None and not is_newer(member, known):
            return False
        self._forgotten.pop(member.entry, None)
        self._set(member)
        return True

    def _refute(self, news: Member) -> list[Member]:
        own = self.own
        if not is_newer(news, own):
            return []
        own = replace(own, incarnation=news.incarnation + 1)
        self._set(own)
        return [own]


def is_newer(news: Member, known: Member) -> bool:
    """Return whether news replaces what is known."""
    if news.incarnation != known.incarnation:
        return news.incarnation > known.incarnation
    return STATE_ORDER[news.state] > STATE_ORDER[known.state]


def _doubt(news: Member, known: Member) -> Member:
    if news.state is not MemberState.LOST:
        return news
    if known.state in (MemberState.LOST, MemberState.LEAVING):
        return news
    return replace(news, state=MemberState.SUSPECT)


def _fingerprint(member: Member) -> int:
    leaving = member.state is MemberState.LEAVING
    text = f"{member.entry}|{member.incarnation}|{leaving}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")
