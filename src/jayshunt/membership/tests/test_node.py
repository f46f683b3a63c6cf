"""Test the membership protocol with a network of nodes in one process."""

import unittest
from itertools import pairwise

from jayshunt.membership.models import MemberState
from jayshunt.membership.tests.builders import FakeNetwork, build_member

ALIVE = {MemberState.ALIVE}
LOST = {MemberState.LOST}


class LossTest(unittest.TestCase):
    """Test when members are declared lost."""

    def setUp(self) -> None:
        """Start 24 nodes in four zones."""
        self.network = FakeNetwork()
        self.network.add_many(24)

    def lost(self) -> set[str]:
        """Return the members that any running node considers lost."""
        return {
            member.entry
            for name, node in self.network.nodes.items()
            if name not in self.network.inactive
            for member in node.view().members
            if member.state is MemberState.LOST
        }

    def test_dead_member_is_lost_everywhere_within_three_seconds(self) -> None:
        """A crashed member must not keep its roles longer than the goal of 3 s."""
        self.network.inactive.add("e005")
        self.network.run(3.0)
        self.assertEqual(self.network.states("e005"), LOST)

    def test_pause_of_a_second_loses_nobody(self) -> None:
        """A pause of 1 s must not get the paused member or others declared lost."""
        for entry in ("e003", "e009", "e017"):
            self.network.inactive.add(entry)
            self.network.run(1.0)
            self.network.inactive.remove(entry)
            self.network.run(3.0)
        self.assertEqual(self.lost(), set())

    def test_member_that_paused_for_a_minute_returns(self) -> None:
        """A resumed process must rejoin and not declare the other members lost.

        It received no heartbeats during its pause, so all others look overdue.
        """
        self.network.inactive.add("e003")
        self.network.run(60.0)
        self.network.inactive.remove("e003")
        paused = self.network.nodes["e003"]
        for _ in range(50):
            self.network.run(0.1)
            others = {m.state for m in paused.view().members if m.entry != "e003"}
            self.assertLessEqual(others, {MemberState.ALIVE, MemberState.SUSPECT})
        self.assertEqual(self.network.states("e003"), ALIVE)

    def test_one_way_cut_to_a_monitor_loses_nobody(self) -> None:
        """A monitor must use other monitors' evidence if only its own path is cut."""
        member = self.network.nodes["e005"]
        cut_monitor = member.monitors()[0].entry
        self.network.cut = lambda sender, receiver: (sender, receiver) == (
            "e005",
            cut_monitor,
        )
        for _ in range(100):
            self.network.run(0.1)
            self.assertEqual(self.lost(), set())
        self.assertEqual(self.network.states("e005"), ALIVE)

    def test_partitioned_zone_heals_without_new_losses(self) -> None:
        """Both sides must rejoin, and outdated losses must not remove live members.

        Each side declares the other lost and exchanges these records after the
        partition heals.
        """
        zone = {e for number, e in enumerate(self.network.nodes) if number % 4 == 1}
        self.network.cut = lambda a, b: (a in zone) != (b in zone)
        self.network.run(20.0)
        outside = set(self.network.nodes) - zone
        for entry in outside:
            view = self.network.nodes[entry].view()
            lost = {m.entry for m in view.members if m.state in LOST}
            self.assertEqual(lost, zone)
        for entry in zone:
            view = self.network.nodes[entry].view()
            lost = {m.entry for m in view.members if m.state in LOST}
            self.assertEqual(lost, outside)
        self.network.cut = lambda a, b: False
        for _ in range(50):
            self.network.run(0.1)
            for entry in outside:
                view = self.network.nodes[entry].view()
                states = {m.state for m in view.members if m.entry in outside}
                self.assertNotIn(MemberState.LOST, states)
        self.assertEqual(self.lost(), set())

    def test_leaving_member_is_seen_as_leaving_then_gone(self) -> None:
        """An orderly stop must be announced to all before the member is gone."""
        node = self.network.nodes["e007"]
        node.leave()
        self.network.run(1.0)
        self.assertEqual(self.network.states("e007"), {MemberState.LEAVING})
        node.stop()
        self.network.inactive.add("e007")
        self.network.run(1.0)
        self.assertEqual(self.network.states("e007"), LOST)

    def test_forgotten_member_is_not_brought_back_by_a_resumed_process(self) -> None:
        """Outdated records of a resumed process must not restore a forgotten member."""
        self.network.inactive.update(("e003", "e005"))
        self.network.run(700.0)
        self.assertEqual(self.network.states("e005"), {None})
        self.network.inactive.remove("e003")
        self.network.run(20.0)
        self.assertLessEqual(self.network.states("e005"), {None, MemberState.LOST})

    def test_restarted_member_replaces_its_predecessor(self) -> None:
        """A restart within the timeouts must not be mistaken for the old process."""
        self.network.add(build_member("e004", "z0", incarnation=9), ("e000",))
        self.network.run(8.0)
        found = {
            node.view().find("e004").incarnation for node in self.network.nodes.values()
        }
        self.assertEqual(found, {9})
        self.assertEqual(self.lost(), set())


class RegionTest(unittest.TestCase):
    """Test what members know about other regions."""

    def setUp(self) -> None:
        """Start nodes in two regions of two zones each."""
        self.network = FakeNetwork()
        self.network.add_many(24, zones=4, regions=2)
        self.far = {e for number, e in enumerate(self.network.nodes) if number % 2}

    def test_lost_region_is_noticed_by_the_others(self) -> None:
        """Members must be declared lost even if all their monitors are lost too."""
        self.network.inactive.update(self.far)
        self.network.run(180.0)
        for entry in self.far:
            self.assertEqual(self.network.states(entry), LOST)

    def test_regions_meet_after_a_partition(self) -> None:
        """Regions must rejoin after minutes without a path between them."""
        self.network.cut = lambda a, b: (a in self.far) != (b in self.far)
        self.network.run(180.0)
        self.network.cut = lambda a, b: False
        self.network.run(10.0)
        for entry in self.network.nodes:
            self.assertEqual(self.network.states(entry), ALIVE)

    def test_one_broken_path_between_regions_loses_nobody(self) -> None:
        """A member that only one other cannot reach must refute the suspicion."""
        near = next(e for e in self.network.nodes if e not in self.far)
        self.network.cut = lambda a, b: a == near and b in self.far
        for _ in range(120):
            self.network.run(1.0)
            for name, node in self.network.nodes.items():
                lost = {m.entry for m in node.view().members if m.state in LOST}
                self.assertEqual(lost, set(), name)


class ScaleTest(unittest.TestCase):
    """Test that cost and convergence do not depend on the number of nodes."""

    def test_messages_per_node_are_constant(self) -> None:
        """Each node must send a constant number of messages at any network size."""
        rates = []
        for count in (20, 60, 180):
            network = FakeNetwork()
            network.add_many(count, zones=12, regions=4)
            network.message_count = 0
            network.run(10.0)
            rates.append(network.message_count / count / 10.0)
        for smaller, larger in pairwise(rates):
            self.assertLess(larger, smaller * 1.1)

    def test_simultaneous_join_is_complete(self) -> None:
        """Members that start at the same time must all find each other."""
        network = FakeNetwork()
        for number in range(60):
            member = build_member(f"e{number:03}", f"z{number % 4}")
            network.add(member, ("e000", "e001", "e002"))
        network.run(8.0)
        sizes = {len(node.view().alive()) for node in network.nodes.values()}
        self.assertEqual(sizes, {60})
