"""Test the client of the platform's store against a scripted server."""

import socket
import time
import unittest

from jayshunt.dispatch.models import Address
from jayshunt.dispatch.store_models import Put
from jayshunt.ids import Revision
from jayshunt.platform.store import (
    MAX_WATCH_BYTES,
    HistoryGone,
    LeaseGone,
    PlatformStore,
)
from jayshunt.platform.tests.scripted_server import (
    HOST,
    MALFORMED_BODIES,
    ScriptedServer,
)
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable


class StoreTest(unittest.TestCase):
    """Test which effect of a call each response of the store implies."""

    def setUp(self) -> None:
        """Start a scripted store."""
        self.server = ScriptedServer()
        self.addCleanup(self.server.server_close)
        self.addCleanup(self.server.shutdown)
        self.store = PlatformStore(self.server.address)

    def test_transaction_on_the_wire(self) -> None:
        """Without the revision conditions two entries could accept the same job."""
        self.server.answers = [(200, {"rev": 5})]
        result = self.store.transact({"k": Revision(0)}, (Put("k", b"v"),))
        self.assertEqual(5, result.revision)
        _, path, body, _ = self.server.requests[0]
        self.assertEqual("/kv-txn", path)
        self.assertEqual([{"key": "k", "rev": 0}], body["expectRev"])
        self.assertEqual([{"key": "k", "value": "dg=="}], body["puts"])

    def test_busy_store_did_nothing(self) -> None:
        """429 and 503 must map to an error that certainly had no effect.

        Only such an error allows the entry to tell a caller that its job was not
        accepted.
        """
        for status in (429, 503):
            self.server.answers = [(status, {})]
            with self.assertRaises(StoreUnavailable):
                self.store.transact({})

    def test_lost_answer_is_unknown(self) -> None:
        """A write without a response may have taken effect."""
        self.server.answers = [(0, None)]
        with self.assertRaises(StoreOutcomeUnknown):
            self.store.transact({})

    def test_server_error_of_a_write_is_unknown(self) -> None:
        """A 500, 502 or 504 may follow a write that was carried out.

        An entry that takes it for "not run" tells the caller that its job never runs.
        """
        for status in (500, 502, 504):
            self.server.answers = [(status, {})]
            with self.assertRaises(StoreOutcomeUnknown):
                self.store.transact({})

    def test_malformed_answer_is_an_outage(self) -> None:
        """Another exception would end the loop that made the call."""
        for body in MALFORMED_BODIES:
            self.server.answers = [(200, body)] * 4
            with self.assertRaises(StoreOutcomeUnknown):
                self.store.transact({})
            with self.assertRaises(StoreUnavailable):
                self.store.list("a")
            with self.assertRaises(StoreUnavailable):
                self.store.watch("a", Revision(1), 0.1)
            with self.assertRaises(StoreUnavailable):
                self.store.get("a")

    def test_failure_counts_from_the_sending_of_the_call(self) -> None:
        """Counted from its timeout, a holder without the store is replaced 1.2 s later.

        A lost answer beside calls that succeed is no failure of that length.
        """
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)
        silent = PlatformStore(Address(HOST, listener.getsockname()[1]))
        with self.assertRaises(StoreUnavailable):
            silent.get("a")
        self.assertGreater(silent.failing_for_s(), 0.9)
        self.assertEqual(0.0, silent.reachable_for_s())
        silent._failing_since_s = None
        silent._last_success_s = time.monotonic()
        silent._record_failure(time.monotonic() - 1.2)
        self.assertLess(silent.failing_for_s(), 0.9)

    def test_pages_are_joined(self) -> None:
        """A new dispatcher that reads only the first page would lose jobs."""
        item = {"key": "a", "value": "dg==", "rev": 1, "createRev": 1, "lease": 0}
        self.server.answers = [
            (200, {"items": [item], "hasMore": True, "storeRevision": 7}),
            (200, {"items": [{**item, "key": "b"}], "storeRevision": 9}),
        ]
        items, revision = self.store.list("")
        self.assertEqual(["a", "b"], [item.key for item in items])
        self.assertEqual(7, revision, "changes after the first page are watched")

    def test_pages_are_read_one_by_one(self) -> None:
        """All accepted jobs in memory at once ended a new dispatcher."""
        item = {"key": "a", "value": "dg==", "rev": 1, "createRev": 1, "lease": 0}
        self.server.answers = [
            (200, {"items": [item], "hasMore": True, "storeRevision": 7})
        ]
        page, revision = next(self.store.pages(""))
        self.assertEqual((["a"], 7), ([item.key for item in page], revision))
        self.assertEqual([], self.server.answers)

    def test_changes_too_large_to_read_count_as_lost_history(self) -> None:
        """A watch that always fails would hide all later jobs."""
        event = {"key": "a", "value": "d" * MAX_WATCH_BYTES, "rev": 1}
        self.server.answers = [(200, {"events": [event], "storeRevision": 7})]
        with self.assertRaises(HistoryGone):
            self.store.watch("a", Revision(1), 0.1)

    def test_lost_history_and_ended_lease(self) -> None:
        """Discarded history and an ended lease must not look like an outage."""
        self.server.answers = [(410, {}), (404, {})]
        with self.assertRaises(HistoryGone):
            self.store.watch("a", Revision(1), 0.1)
        with self.assertRaises(LeaseGone):
            self.store.renew_lease("5")


if __name__ == "__main__":
    unittest.main()
