"""Hash rings from which a node derives the members that it monitors."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b
from itertools import islice

from jayshunt.ids import EntryId, RegionName
from jayshunt.membership.const import MONITOR_COUNT, RING_WINDOW
from jayshunt.membership.models import Member, MemberState

RING_STATES = frozenset({MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEAVING})


class Ring:
    """Assign the monitors of each member from hash rings, one per region.

    A member's monitors are successors on the ring of its own region, in different
    zones as far as possible. A region with too few members gets monitors from the
    other regions. The number of monitors per member does not depend on the ring
    size.
    """

    def __init__(self, members: Iterable[Member]) -> None:
        """Build the rings from the members that are not lost."""
        in_ring = [m for m in members if m.state in RING_STATES]
        self._members = sorted(in_ring, key=lambda member: position(member.entry))
        regions: dict[RegionName, list[Member]] = {}
        for member in self._members:
            regions.setdefault(member.region, []).append(member)
        self._all_regions_ring = _HashRing(self._members)
        self._rings_by_region = {
            name: _HashRing(members) for name, members in regions.items()
        }

    def monitors_of(self, member: Member) -> tuple[Member, ...]:
        """Return the members that monitor a member and receive its heartbeats."""
        ring = self._rings_by_region.get(member.region, _HashRing([]))
        chosen = _pick_across_zones(member, ring.successors(member))
        if len(chosen) < MONITOR_COUNT and len(ring.members) < len(self._members):
            others = _HashRing([m for m in self._members if m.region != member.region])
            chosen += _pick_across_zones(member, others.successors(member))
        return tuple(chosen[:MONITOR_COUNT])

    def monitored_by(self, monitor: Member) -> tuple[Member, ...]:
        """Return the members that a member monitors."""
        own = self._rings_by_region.get(monitor.region, _HashRing([]))
        candidates = own.predecessors(monitor)
        for ring in self._rings_by_region.values():
            # Members of regions this small also get monitors from other regions.
            if len(ring.members) <= MONITOR_COUNT and ring is not own:
                candidates += ring.members
        return tuple(
            member
            for member in candidates
            if any(m.entry == monitor.entry for m in self.monitors_of(member))
        )

    def successor(self, member: Member) -> Member | None:
        """Return the next member on the ring of all regions."""
        successors = self._all_regions_ring.successors(member)
        return successors[0] if successors else None


class _HashRing:
    """Look up the neighbors of a member on one hash ring."""

    def __init__(self, members: list[Member]) -> None:
        """Create a ring of members that are already sorted by position."""
        self.members = members
        self._positions = [position(member.entry) for member in members]

    def successors(self, member: Member) -> list[Member]:
        """Return up to RING_WINDOW members after a member, nearest first."""
        start = bisect_right(self._positions, position(member.entry))
        return self._window(member, range(start, start + len(self.members)))

    def predecessors(self, member: Member) -> list[Member]:
        """Return up to RING_WINDOW members before a member, nearest first."""
        start = bisect_left(self._positions, position(member.entry)) - 1
        return self._window(member, range(start, start - len(self.members), -1))

    def _window(self, member: Member, indexes: range) -> list[Member]:
        around = (self.members[i % len(self.members)] for i in indexes)
        others = (m for m in around if m.entry != member.entry)
        return list(islice(others, RING_WINDOW))


@lru_cache(maxsize=4096)
def position(entry: EntryId) -> bytes:
    """Return the position of a member on the ring, a hash of its entry id."""
    return blake2b(entry.encode(), digest_size=8).digest()


def _pick_across_zones(member: Member, candidates: list[Member]) -> list[Member]:
    chosen: list[Member] = []
    zones = {member.zone}
    for candidate in candidates:
        if candidate.zone not in zones:
            chosen.append(candidate)
            zones.add(candidate.zone)
        if len(chosen) == MONITOR_COUNT:
            return chosen
    rest = [c for c in candidates if c not in chosen]
    return (chosen + rest)[:MONITOR_COUNT]
