"""Test document updates under lost responses and conflicts."""

import unittest

from jayshunt.store.const import MAX_WRITE_IDS
from jayshunt.store.documents import DocumentStore
from jayshunt.store.errors import StoreOutcomeUnknown
from jayshunt.store.tests.builders import FakeStore, build_documents


def add_one(content: dict | None) -> dict:
    """Return the content with its counter incremented."""
    return {**(content or {}), "count": (content or {}).get("count", 0) + 1}


def lose_answer_and_race(store: FakeStore, other: DocumentStore, times: int) -> None:
    """Lose the response to the next write; then let another writer write `times`."""
    original = store.put

    def put_then_race(*arguments):
        store.put = original
        store.lose_answers = 1
        try:
            return original(*arguments)
        finally:
            for _ in range(times):
                other.update("a", add_one)

    store.put = put_then_race


class DocumentStoreTest(unittest.TestCase):
    """Test the read-change-write loop."""

    def test_lost_answer_is_applied_once(self) -> None:
        """A change whose response was lost must not be applied a second time."""
        store = FakeStore()
        documents = build_documents(store)
        store.lose_answers = 1
        documents.update("a", add_one)
        self.assertEqual(documents.read("a").content["count"], 1)

    def test_lost_answer_followed_by_another_writer(self) -> None:
        """A later writer must not hide that the first change took effect."""
        store = FakeStore()
        first, second = build_documents(store, 1), build_documents(store, 2)
        lose_answer_and_race(store, second, 1)
        first.update("a", add_one)
        self.assertEqual(first.read("a").content["count"], 2)

    def test_unresolved_write_is_reported_as_unknown(self) -> None:
        """A write that may still take effect must not be reported as refused."""
        store = FakeStore()
        documents = build_documents(store)
        store.drop_writes = 100
        with self.assertRaises(StoreOutcomeUnknown):
            documents.update("a", add_one)

    def test_store_lost_after_a_write_leaves_it_unknown(self) -> None:
        """A write whose effect cannot be read must not be reported as refused."""
        store = FakeStore()
        documents = build_documents(store)
        original = store.put

        def put_then_fail(*arguments):
            store.lose_answers, store.put = 1, original
            try:
                return original(*arguments)
            finally:
                store.down = True

        store.put = put_then_fail
        with self.assertRaises(StoreOutcomeUnknown):
            documents.update("a", add_one)

    def test_delayed_write_has_no_effect_after_it_was_resolved(self) -> None:
        """A write that the network delays must not undo or repeat a later one."""
        for first_value in (False, True):
            store = FakeStore()
            documents = build_documents(store)
            if first_value:
                documents.update("a", add_one)
            store.delay_writes = 1
            documents.update("a", add_one)
            before = documents.read("a")
            self.assertEqual(before.content["count"], 1 + first_value)
            self.assertEqual(store.deliver(), 0)
            self.assertEqual(documents.read("a"), before)

    def test_own_write_that_many_others_followed_is_not_repeated(self) -> None:
        """A write whose id was evicted from the list must not be taken as refused."""
        store = FakeStore()
        first, second = build_documents(store, 1), build_documents(store, 2)
        lose_answer_and_race(store, second, MAX_WRITE_IDS + 1)
        with self.assertRaises(StoreOutcomeUnknown):
            first.update("a", add_one)
        count = first.read("a").content["count"]
        self.assertEqual(count, MAX_WRITE_IDS + 2)

    def test_document_created_only_by_a_fencing_write_is_absent(self) -> None:
        """A key that only a fencing write created must read as absent."""
        store = FakeStore()
        documents = build_documents(store)
        store.delay_writes = 1

        def give_up_second_time(content: dict | None) -> dict | None:
            self.assertIsNone(content)
            return None if store.delayed else {"count": 1}

        written = documents.update("a", give_up_second_time)
        self.assertIsNone(written.content)
        self.assertEqual(store.deliver(), 0)

    def test_conflicting_writers_both_count(self) -> None:
        """Two writers must not overwrite each other's change."""
        store = FakeStore()
        first, second = build_documents(store, 1), build_documents(store, 2)
        raced = False

        def add_after_race(content: dict | None) -> dict:
            nonlocal raced
            if not raced:
                raced = True
                second.update("a", add_one)
            return add_one(content)

        first.update("a", add_after_race)
        self.assertEqual(first.read("a").content["count"], 2)
