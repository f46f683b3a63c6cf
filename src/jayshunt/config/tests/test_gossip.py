"""Test that a new version reaches every entry."""

import unittest

from jayshunt.config.tests.builders import FakePeers, add_class
from jayshunt.ids import ConfigVersion, EntryId
from jayshunt.store.errors import StoreUnavailable
from jayshunt.store.tests.builders import FakeStore


class SpreadTest(unittest.TestCase):
    """Test the roll-out of versions between peers."""

    def setUp(self) -> None:
        """Create 60 entries on one store."""
        self.store = FakeStore()
        self.peers = FakePeers(60, self.store)

    def accept(self, entry: str, name: str) -> int:
        """Accept a change on one entry and return its version."""
        coordinator = self.peers.coordinators[entry]
        return coordinator.accept(add_class(name), "ama").version

    def test_store_that_fails_after_the_accept_does_not_stop_the_roll_out(
        self,
    ) -> None:
        """An accepted version must reach every entry while the store is down."""
        self.accept("e00", "quotes")
        self.store.down = True
        self.peers.fetch_until_settled()
        self.peers.exchange_heartbeats()
        self.assertEqual(self.peers.versions(), {1})

    def test_entry_that_missed_every_notice_learns_from_a_heartbeat(self) -> None:
        """An entry that received no notice must not keep the old version."""
        self.peers.missing_notices.add("e07")
        self.accept("e00", "quotes")
        self.peers.fetch_until_settled()
        self.assertEqual(self.peers.versions(), {0, 1})
        self.peers.missing_notices.clear()
        self.peers.exchange_heartbeats()
        self.assertEqual(self.peers.versions(), {1})

    def test_fetch_goes_to_another_peer_when_one_fails(self) -> None:
        """A peer that fails after it sent notices must not block the roll-out."""
        self.accept("e00", "quotes")
        self.peers.disconnect(self.peers.members[0])
        for entry in ("e01", "e02"):
            coordinator = self.peers.coordinators[entry]
            coordinator.apply_packed(self.peers.coordinators["e00"].pack_current()[1])
        self.peers.fetch_until_settled()
        for _ in range(3):
            self.peers.exchange_heartbeats()
        self.assertEqual(self.peers.versions(), {1})

    def test_entries_without_an_answer_are_named(self) -> None:
        """The version report must show an entry that did not reply as unknown."""
        self.accept("e00", "quotes")
        self.peers.fetch_until_settled()
        self.peers.exchange_heartbeats()
        self.peers.disconnect(self.peers.members[9])
        versions = self.peers.coordinators["e00"].versions_in_force()
        missing = [entry for entry, version in versions.items() if version != 1]
        self.assertEqual(missing, [EntryId("e09")])

    def test_entry_that_starts_without_the_store_asks_its_peers(self) -> None:
        """A new entry must get the newest version from peers if the store is down."""
        self.accept("e00", "quotes")
        self.accept("e00", "trips")
        self.store.down = True
        started = self.peers.coordinators["e05"]
        with self.assertRaises(StoreUnavailable):
            started.refresh()
        self.assertEqual(started.current().version, 0)
        self.peers.config_gossips["e05"].handle_version_report(
            EntryId("e00"), ConfigVersion(2)
        )
        self.peers.config_gossips["e05"].fetch_pending()
        self.assertEqual(started.current().version, 2)

    def test_paused_entry_with_an_old_version_does_not_revert_others(self) -> None:
        """A process that resumes with an old version must not revert its peers."""
        self.accept("e00", "quotes")
        self.peers.fetch_until_settled()
        self.peers.unreachable.add("e05")
        for number in range(3):
            self.accept("e01", f"trips{number}")
            self.peers.fetch_until_settled()
        self.peers.unreachable.clear()
        for _ in range(2):
            self.peers.exchange_heartbeats()
        self.assertEqual(self.peers.versions(), {4})
