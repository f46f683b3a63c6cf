"""Test that changes of the platform's list are merged correctly."""

import unittest

from jayshunt.clock import ManualClock
from jayshunt.inventory.poller import InventoryPoller


def build_item(name: str, kind: str = "worker", state: str = "live") -> dict:
    """Return one VM in the platform's format."""
    return {
        "id": name,
        "address": f"10.0.0.1:{len(name)}",
        "zone": "north",
        "rack": "r1",
        "kind": kind,
        "state": state,
    }


def build_answer(as_of_s: float, version: int, since: int, *items, removed=()) -> dict:
    """Return an answer in the platform's format."""
    return {
        "as_of_s": as_of_s,
        "version": version,
        "since": since,
        "vms": list(items),
        "removed": list(removed),
    }


class PollerTest(unittest.TestCase):
    """Test the list after changes, whole lists and stale answers."""

    def setUp(self) -> None:
        """Apply a first whole list."""
        self.poller = InventoryPoller("http://127.0.0.1:1", ManualClock())
        whole = [build_item("w1"), build_item("w2"), build_item("e1", "entry")]
        self.poller.apply_answer(build_answer(10, 3, 0, *whole))

    def test_changes_are_merged(self) -> None:
        """Unchanged VMs must stay in the list, and removed ones must be dropped."""
        changed = build_item("w1", state="leaving")
        self.poller.apply_answer(build_answer(12, 4, 3, changed, removed=["w2"]))
        states = {
            vm: listed.state.value for vm, listed in self.poller.current.vms.items()
        }
        self.assertEqual(states, {"w1": "leaving"})
        self.assertEqual(self.poller.current.entries, ("10.0.0.1:2",))

    def test_whole_list_replaces_the_last_one(self) -> None:
        """A whole list, as after a platform restart, must drop VMs not in it."""
        self.poller.apply_answer(build_answer(12, 1, 0, build_item("w9")))
        self.assertEqual(set(self.poller.current.vms), {"w9"})
        self.assertEqual(self.poller.current.entries, ())

    def test_older_list_is_dropped(self) -> None:
        """An answer from a lagging replica must not revert newer changes."""
        self.poller.apply_answer(build_answer(9, 2, 0, build_item("w9")))
        self.assertEqual(set(self.poller.current.vms), {"w1", "w2"})
