"""Build members and an in-process network of nodes with a manual clock."""

import random
from collections.abc import Callable

from jayshunt.clock import ManualClock
from jayshunt.ids import EntryId, RegionName, ZoneName
from jayshunt.membership.messages import Exchange
from jayshunt.membership.models import Member, MemberState
from jayshunt.membership.node import MemberNode

TICK_S = 0.1
STEP_TICKS = 2
HEARTBEAT_TICKS = 5


def build_member(
    entry: str,
    zone: str = "north",
    incarnation: int = 1,
    state: MemberState = MemberState.ALIVE,
    region: str = "home",
) -> Member:
    """Return a member whose address is its entry id."""
    return Member(
        entry=EntryId(entry),
        zone=ZoneName(zone),
        region=RegionName(region),
        peer_address=entry,
        incarnation=incarnation,
        state=state,
    )


class FakeNetwork:
    """Run nodes in one thread and deliver or drop their messages.

    `cut(a, b)` decides whether messages from a to b are dropped. A node in
    `inactive`, paused or crashed, neither sends nor answers.
    """

    def __init__(self, seed: int = 1) -> None:
        """Start without nodes."""
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.nodes: dict[str, MemberNode] = {}
        self.inactive: set[str] = set()
        self.cut: Callable[[str, str], bool] = lambda sender, receiver: False
        self.message_count = 0
        self._ticks = 0
        self._woken: set[str] = set()

    def add(self, member: Member, seeds: tuple[str, ...] = ()) -> MemberNode:
        """Add a node and return it."""
        node = MemberNode(
            member,
            seeds,
            FakeTransport(self, member.entry),
            self.clock,
            random.Random(self.rng.getrandbits(32)),
        )
        self.nodes[member.entry] = node
        # As in a real process, an update wakes the node before its next regular step.
        node.set_change_handler(lambda: self._woken.add(member.entry))
        return node

    def add_many(self, count: int, zones: int = 4, regions: int = 1) -> None:
        """Add nodes that know each other and let them settle for 3 s."""
        members = [
            build_member(
                f"e{number:03}",
                zone=f"z{number % zones}",
                region=f"r{number % zones % regions}",
            )
            for number in range(count)
        ]
        for member in members:
            self.add(member, tuple(m.entry for m in members[:3]))
        for node in self.nodes.values():
            node.merge(members)
        self.run(3.0)

    def run(self, seconds_s: float) -> None:
        """Advance the clock and run the heartbeats and steps that are due."""
        for _ in range(round(seconds_s / TICK_S)):
            self._ticks += 1
            self.clock.advance(TICK_S)
            for number, (entry, node) in enumerate(list(self.nodes.items())):
                if entry in self.inactive:
                    continue
                if (self._ticks + number) % HEARTBEAT_TICKS == 0:
                    self._send_heartbeats(entry, node)
                if entry in self._woken or (self._ticks + number) % STEP_TICKS == 0:
                    self._woken.discard(entry)
                    node.step()

    def states(self, entry: str) -> set[MemberState | None]:
        """Return the states that running nodes have for a member, None if unknown."""
        found = (
            node.view().find(EntryId(entry))
            for name, node in self.nodes.items()
            if name not in self.inactive and name != entry
        )
        return {member.state if member else None for member in found}

    def reaches(self, sender: str, receiver: str) -> bool:
        """Return whether a message from sender to receiver is delivered."""
        if receiver not in self.nodes or receiver in self.inactive:
            return False
        return not self.cut(sender, receiver)

    def _send_heartbeats(self, entry: str, node: MemberNode) -> None:
        for monitor in node.monitors():
            heartbeat = node.heartbeat()
            if self.reaches(entry, monitor.entry):
                self.message_count += 1
                self.nodes[monitor.entry].receive_heartbeat(heartbeat)


class FakeTransport:
    """Call other nodes of a FakeNetwork directly."""

    def __init__(self, network: FakeNetwork, own: str) -> None:
        """Create the transport of one member."""
        self._network = network
        self._own = own

    def exchange(self, address: str, message: Exchange, on_reply: Callable) -> None:
        """Deliver an exchange and its reply."""
        if not self._network.reaches(self._own, address):
            on_reply(None)
            return
        self._network.message_count += 2
        reply = self._network.nodes[address].answer_exchange(message)
        reached = self._network.reaches(address, self._own)
        on_reply(reply if reached else None)

    def probe(self, address: str, entry: EntryId, on_reply: Callable) -> None:
        """Deliver a probe and its reply."""
        network = self._network
        if not network.reaches(self._own, address):
            on_reply(None)
            return
        heartbeat_age_s = network.nodes[address].answer_probe(entry)
        on_reply(heartbeat_age_s if network.reaches(address, self._own) else None)
