"""Merge member records so that the order of arrival does not matter."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from hashlib import blake2b

from jayshunt.ids import EntryId
from jayshunt.membership.const import MAX_TOMBSTONES
from jayshunt.membership.models import Member, MemberState

# At the same incarnation, the state with the higher number replaces the other.
STATE_ORDER = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.LOST: 3,
}


@dataclass(frozen=True)
class MergeResult:
    """Describe the outcome of a merge of member records.

    `changed` holds the records that changed here, `corrections` the newer records
    that the sender of outdated ones lacks.
    """

    changed: tuple[Member, ...] = ()
    corrections: tuple[Member, ...] = ()


class MemberTable:
    """Keep the newest known record of each member, including this entry's own.

    A record replaces another if its incarnation is higher, or if the incarnation is
    equal and the state comes later in STATE_ORDER, so the result does not depend on
    the order in which updates arrive. Only a member itself raises its incarnation.
    Forgotten members are no longer listed, but a tombstone of each keeps outdated
    updates from adding it again.
    """

    def __init__(self, own: Member) -> None:
        """Start with the record of this entry."""
        self._own_entry = own.entry
        self._members: dict[EntryId, Member] = {own.entry: own}
        self._tombstones: dict[EntryId, Member] = {}
        self._digest: int | None = None
        self._sorted_members: tuple[Member, ...] | None = None

    @property
    def own(self) -> Member:
        """Return the record of this entry."""
        return self._members[self._own_entry]

    def members(self) -> tuple[Member, ...]:
        """Return all records, sorted by entry id."""
        if self._sorted_members is None:
            ordered = sorted(self._members)
            self._sorted_members = tuple(self._members[entry] for entry in ordered)
        return self._sorted_members

    def find(self, entry: EntryId) -> Member | None:
        """Return the record of a member, or None if it is not known."""
        return self._members.get(entry)

    def others(self, *states: MemberState) -> list[Member]:
        """Return the other members in one of the given states, sorted by entry id."""
        return [
            m
            for m in self.members()
            if m.entry != self._own_entry and m.state in states
        ]

    def set_own(self, own: Member) -> None:
        """Replace the record of this entry."""
        self._set(own)

    def merge(
        self, updates: Iterable[Member], lost_as_suspect: bool = False
    ) -> MergeResult:
        """Merge records and return what changed and what the sender lacks.

        With `lost_as_suspect`, a member that is reported lost but is alive or suspect
        here only becomes suspect. This is for losses that may be outdated, for example
        after a partition. The member can refute the suspicion; otherwise the member,
        one of its monitors or SUSPECT_TIMEOUT_S confirms the loss.
        """
        changed: list[Member] = []
        corrections: list[Member] = []
        for member in updates:
            if member.entry == self._own_entry:
                changed += self._refute(member)
                continue
            known = self._members.get(member.entry) or self._tombstones.get(
                member.entry
            )
            if known is not None and is_newer(known, member):
                corrections.append(known)
                continue
            if lost_as_suspect and known is not None:
                member = _as_suspicion(member, known)
            if self._apply(member, known):
                changed.append(member)
        return MergeResult(tuple(changed), tuple(corrections))

    def forget(self, entry: EntryId) -> None:
        """Remove a lost member and keep its record as a tombstone.

        The oldest tombstones beyond MAX_TOMBSTONES are dropped.
        """
        self._tombstones[entry] = self._members.pop(entry)
        self._digest = self._sorted_members = None
        while len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]

    def digest(self) -> int:
        """Return a digest of the members that are not lost."""
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def _set(self, member: Member) -> None:
        self._members[member.entry] = member
        self._digest = self._sorted_members = None

    def _compute_digest(self) -> int:
        total = 0
        for member in self._members.values():
            if member.state is not MemberState.LOST:
                total ^= _fingerprint(member)
        # 0 is reserved: on the wire it means that no comparison is requested.
        return total or 1

    def _apply(self, member: Member, known: Member | None) -> bool:
        if known is None and member.state is MemberState.LOST:
            return False
        if known is not None and not is_newer(member, known):
            return False
        self._tombstones.pop(member.entry, None)
        self._set(member)
        return True

    def _refute(self, update: Member) -> list[Member]:
        own = self.own
        if not is_newer(update, own):
            return []
        own = replace(own, incarnation=update.incarnation + 1)
        self._set(own)
        return [own]


def is_newer(update: Member, known: Member) -> bool:
    """Return whether an update replaces the known record."""
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return STATE_ORDER[update.state] > STATE_ORDER[known.state]


def _as_suspicion(update: Member, known: Member) -> Member:
    if update.state is not MemberState.LOST:
        return update
    if known.state in (MemberState.LOST, MemberState.LEAVING):
        return update
    return replace(update, state=MemberState.SUSPECT)


def _fingerprint(member: Member) -> int:
    leaving = member.state is MemberState.LEAVING
    text = f"{member.entry}|{member.incarnation}|{leaving}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")
