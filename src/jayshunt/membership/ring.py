"""Choose who monitors whom."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from itertools import islice

from jayshunt.ids import EntryId, RegionName
from jayshunt.membership.const import MONITORS, RING_WINDOW
from jayshunt.membership.models import Member, MemberState

IN_RING = frozenset({MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING})


class Ring:
    """Order members by hash, per region.

    A member is monitored by successors in its own region, in different zones as
    far as possible. A region with too few members takes monitors from the other
    regions. Each member has the same number of monitors at any ring size.
    """

    def __init__(self, members: Iterable[Member]) -> None:
        """Sort the members that are not lost."""
        alive = [m for m in members if m.state in IN_RING]
        self._all = sorted(alive, key=lambda member: position(member.entry))
        regions: dict[RegionName, list[Member]] = {}
        for member in self._all:
            regions.setdefault(member.region, []).append(member)
        self._everyone = _Circle(self._all)
        self._regions = {name: _Circle(ring) for name, ring in regions.items()}

    def monitors_of(self, member: Member) -> tuple[Member, ...]:
        """Return the members to which a member sends heartbeats."""
        circle = self._regions.get(member.region, _Circle([]))
        chosen = _spread(member, circle.successors(member))
        if len(chosen) < MONITORS and len(circle.ring) < len(self._all):
            others = _Circle([m for m in self._all if m.region != member.region])
            chosen += _spread(member, others.successors(member))
        return tuple(chosen[:MONITORS])

    def monitored_by(self, monitor: Member) -> tuple[Member, ...]:
        """Return the members whose heartbeats a member receives."""
        own = self._regions.get(monitor.region, _Circle([]))
        candidates = own.predecessors(monitor)
        for circle in self._regions.values():
            if len(circle.ring) <= MONITORS and circle is not own:
                candidates += circle.ring
        return tuple(
            member
            for member in candidates
            if any(m.entry == monitor.entry for m in self.monitors_of(member))
        )

    def follower(self, member: Member) -> Member | None:
        """Return the next member on the ring of all regions."""
        following = self._everyone.successors(member)
        return following[0] if following else None


class _Circle:
    """Find the neighbors of a member on one ring."""

    def __init__(self, ring: list[Member]) -> None:
        """Take members in the order of their positions."""
        self.ring = ring
        self._places = [position(member.entry) for member in ring]

    def successors(self, member: Member) -> list[Member]:
        """Return the members that follow, nearest first."""
        start = bisect_right(self._places, position(member.entry))
        return self._window(member, range(start, start + len(self.ring)))

    def predecessors(self, member: Member) -> list[Member]:
        """Return the members that come before, nearest first."""
        start = bisect_left(self._places, position(member.entry)) - 1
        return self._window(member, range(start, start - len(self.ring), -1))

    def _window(self, member: Member, indexes: range) -> list[Member]:
        around = (self.ring[i % len(self.ring)] for i in indexes)
        others = (m for m in around if m.entry != member.entry)
        return list(islice(others, RING_WINDOW))


@lru_cache(maxsize=4096)
def position(entry: EntryId) -> bytes:
    """Return a member's place on the ring."""
    return blake2b(entry.encode(), digest_size=8).digest()


def _spread(member: Member, candidates: list[Member]) -> list[Member]:
    chosen: list[Member] = []
    zones = {member.zone}
    for candidate in candidates:
        if candidate.zone not in zones:
            chosen.append(candidate)
            zones.add(candidate.zone)
        if len(chosen) == MONITORS:
            return chosen
    rest = [c for c in candidates if c not in chosen]
    return (chosen + rest)[:MONITORS]
