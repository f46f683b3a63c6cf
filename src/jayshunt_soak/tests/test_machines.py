"""Test that the stand-in of the VM list shows what left, and nothing else as gone."""

import json
import time
import unittest

from jayshunt_soak.platform.machines import ListedVm, MachinesStandIn
from jayshunt_soak.platform.store import PlatformStoreStandIn
from jayshunt_standins.server import Reply

VM = "m-0-0"


class MachinesStandInTest(unittest.TestCase):
    """Cover a VM that leaves with its worker and comes back."""

    def setUp(self) -> None:
        """List one VM whose worker has registered."""
        listed = ListedVm(VM, "0", "desk", "a", "127.0.0.1:1")
        self.machines = MachinesStandIn([listed], PlatformStoreStandIn(1))
        self.beat("i-1")

    def post(self, path: str, body: dict) -> Reply:
        """Return the answer to a call."""
        return self.machines.answer(_Call("POST", path, body))

    def beat(self, worker: str, state: str = "ready") -> None:
        """Send a worker's heartbeat."""
        entry = {"service": "desk", "state": state, "machine": VM, "labels": ["a"]}
        self.post("/standin/beat", {"worker": worker, "entry": entry})

    def leave(self, state: str, worker: str = "i-1") -> None:
        """Report that a worker left with the VM."""
        left = {"vm_left": VM, "worker": worker, "state": state}
        self.post("/standin/beat", left)

    def rows(self) -> list[tuple[str, str | None]]:
        """Return the state and the worker of each VM that is listed."""
        answer = self.machines.answer(_Call("GET", "/machines", {}))
        rows = json.loads(answer.body)["machines"]
        return [(row["state"], row.get("id")) for row in rows]

    def test_vm_that_left_is_not_shown_with_its_worker(self) -> None:
        """The list named workers that had left, so that no entry could learn it.

        The entry of such a worker in the worker list must not bring it back.
        """
        for number, state in enumerate(("gone", "down"), 1):
            self.leave(state, f"i-{number}")
            rows = [] if state == "gone" else [("down", None)]
            self.assertEqual(rows, self.rows())
            self.beat(f"i-{number}", "draining")
            self.assertEqual(rows, self.rows())
            self.beat(f"i-{number + 1}")
            self.assertEqual([("up", f"i-{number + 1}")], self.rows())

    def test_list_may_be_old(self) -> None:
        """Entries that take an old list for the present one were not noticed."""
        self.machines.lag_s = 0.1
        self.beat("i-2")
        time.sleep(0.05)
        self.beat("i-3")
        self.assertEqual([("up", "i-1")], self.rows())
        time.sleep(0.06)
        self.assertEqual([("up", "i-2")], self.rows())

    def test_late_report_does_not_end_the_next_worker(self) -> None:
        """A worker that runs must never be shown as gone: its tasks would run twice."""
        self.beat("i-2")
        self.leave("gone")
        self.assertEqual([("up", "i-2")], self.rows())

    def test_vm_that_leaves_is_busy(self) -> None:
        """The platform refuses to move a VM that it takes away."""
        self.beat("i-1", "draining")
        answer = self.post("/machine-move", {"machine": VM, "pool": "yard"})
        self.assertEqual(409, answer.status)


class _Call:
    """Hold one call as the stand-in reads it."""

    def __init__(self, method: str, path: str, body: dict) -> None:
        self.method, self.path, self._body = method, path, body

    def json(self) -> dict:
        """Return the body."""
        return self._body


if __name__ == "__main__":
    unittest.main()
