"""Test changes of documents under lost answers and conflicts."""

import unittest

from jayshunt.store.errors import StoreOutcomeUnknown
from jayshunt.store.tests.builders import FakeStore, build_documents


def add_one(content: dict | None) -> dict:
    """Count up."""
    return {**(content or {}), "count": (content or {}).get("count", 0) + 1}


class DocumentStoreTest(unittest.TestCase):
    """Guard the read-change-write loop."""

    def test_lost_answer_is_applied_once(self) -> None:
        """A change whose answer was lost must not be applied a second time."""
        store = FakeStore()
        documents = build_documents(store)
        store.lose_answers = 1
        documents.update("a", add_one)
        self.assertEqual(documents.read("a").content["count"], 1)

    def test_lost_answer_followed_by_another_writer(self) -> None:
        """A later writer must not hide that the first change took effect."""
        store = FakeStore()
        first, second = build_documents(store, 1), build_documents(store, 2)
        original = store.put

        def put_then_race(*arguments):
            store.put = original
            store.lose_answers = 1
            try:
                return original(*arguments)
            finally:
                second.update("a", add_one)

        store.put = put_then_race
        first.update("a", add_one)
        self.assertEqual(first.read("a").content["count"], 2)

    def test_unsettled_write_is_reported_as_unknown(self) -> None:
        """A write that may still land must not be reported as refused."""
        store = FakeStore()
        documents = build_documents(store)
        store.drop_writes = 1
        with self.assertRaises(StoreOutcomeUnknown):
            documents.update("a", add_one)

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
