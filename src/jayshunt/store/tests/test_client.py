"""Test the store client against the stand-in store."""

import random
import unittest

from jayshunt.clock import SystemClock
from jayshunt.store.client import ABSENT, StoreClient
from jayshunt.store.errors import StoreOutcomeUnknown, StoreUnavailable
from jayshunt.store.models import StoredValue
from jayshunt.store.value_cache import ValueCache
from jayshunt_standins.store import StoreFaults, StoreStandIn


class ClientTest(unittest.TestCase):
    """Test reads and writes over HTTP."""

    def setUp(self) -> None:
        """Start a stand-in store and a client."""
        self.store = StoreStandIn()
        self.store.start()
        self.addCleanup(self.store.stop)
        self.client = StoreClient(self.store.url, SystemClock(), random.Random(1))

    def test_changed_value_is_never_served_from_memory(self) -> None:
        """A reader must see another writer's change at its next read."""
        first = self.client.put("a", "one", ABSENT)
        self.assertEqual(self.client.get("a").value, "one")
        self.assertEqual(self.client.get("a").value, "one")
        other = StoreClient(self.store.url, SystemClock(), random.Random(2))
        other.put("a", "two", first)
        self.assertEqual(self.client.get("a").value, "two")
        other.delete("a")
        self.assertIsNone(self.client.get("a"))

    def test_stale_answer_is_asked_for_again(self) -> None:
        """A read must not return a value older than the client's own last write."""
        first = self.client.put("a", "one", ABSENT)
        self.client.put("a", "two", first)
        self.store.faults = StoreFaults(stale_reads=1)
        self.assertEqual(self.client.get("a").value, "two")
        self.assertEqual(self.client.stale_answers, 1)
        self.store.faults = StoreFaults(stale_reads=9)
        with self.assertRaises(StoreUnavailable):
            self.client.get("a")

    def test_lost_answer_of_a_write_is_unknown(self) -> None:
        """A write without a response must not be reported as refused."""
        self.store.faults = StoreFaults(lost_answers=1)
        with self.assertRaises(StoreOutcomeUnknown):
            self.client.put("a", "one", ABSENT)


class ValueCacheTest(unittest.TestCase):
    """Test the size limit and the replacement of cached values."""

    def test_values_stay_within_the_limit(self) -> None:
        """Many documents must not fill the memory of an entry."""
        cache = ValueCache(limit_bytes=25)
        for number in range(4):
            cache.put(StoredValue(f"k{number}", "x" * 10, number))
        self.assertIsNone(cache.get("k1"))
        self.assertEqual(cache.get("k3").value, "x" * 10)

    def test_older_answer_does_not_replace_a_newer_one(self) -> None:
        """Concurrent reads whose responses arrive out of order must keep the newer."""
        cache = ValueCache()
        cache.put(StoredValue("a", "new", 2))
        cache.put(StoredValue("a", "old", 1))
        self.assertEqual(cache.get("a").value, "new")
