"""Test that accepted edits are kept and rejected ones have no effect."""

import json
import unittest

from jayshunt.config.checks import PoolCount, budget_check, target_check
from jayshunt.config.const import CURRENT_KEY, history_key
from jayshunt.config.models import ConfigDocument, ConfigSnapshot
from jayshunt.config.tests.builders import (
    add_class,
    build_coordinator,
    build_document,
    build_edit,
)
from jayshunt.errors import JayshuntError
from jayshunt.ids import ConfigVersion
from jayshunt.store.errors import StoreUnavailable
from jayshunt.store.tests.builders import FakeStore


class AcceptTest(unittest.TestCase):
    """Test accepting and merging edits of several operators."""

    def setUp(self) -> None:
        """Create the coordinators of two entries on one store."""
        self.store = FakeStore()
        self.first = build_coordinator(self.store, 1)
        self.second = build_coordinator(self.store, 2)

    def classes(self) -> set[str]:
        """Return the names of the stored classes."""
        content = json.loads(self.store.values[CURRENT_KEY].value)
        return set(content["document"]["classes"])

    def test_edit_is_accepted_once_if_the_answer_is_lost(self) -> None:
        """A retry after a lost store response must not create a second version."""
        self.store.lose_answers = 1
        snapshot = self.first.accept(add_class("quotes"), "ama")
        self.assertEqual(snapshot.version, 1)
        self.assertEqual(self.first.current().version, 1)

    def test_changes_that_do_not_overlap_are_both_kept(self) -> None:
        """An edit based on an old version must not revert another operator's edit."""
        self.first.accept_edit(build_edit(build_document(quotes=100, trips=100)))
        self.first.accept_edit(build_edit(build_document(quotes=90, trips=100), 1))
        snapshot = self.second.accept_edit(
            build_edit(build_document(quotes=100, trips=80), 1, "efua")
        )
        targets = {n: c.target_ms for n, c in snapshot.document.classes.items()}
        self.assertEqual(targets, {"quotes": 90, "trips": 80})

    def test_conflict_names_the_other_change(self) -> None:
        """A conflict must name the setting, its values and the other author."""
        self.first.accept_edit(build_edit(build_document(quotes=100)))
        self.first.accept_edit(build_edit(build_document(quotes=90), 1, "kofi"))
        with self.assertRaises(JayshuntError) as caught:
            self.second.accept_edit(build_edit(build_document(quotes=80), 1, "efua"))
        self.assertEqual(caught.exception.code, "config_conflict")
        for part in ("classes.quotes.target_ms", "kofi (version 2)", "100", "90", "80"):
            self.assertIn(part, caught.exception.detail)
        self.assertEqual(self.second.history(1)[0].author, "kofi")

    def test_removed_class_conflicts_with_a_change_inside_it(self) -> None:
        """Removing a class must not discard another operator's change inside it."""
        self.first.accept_edit(build_edit(build_document(quotes=100, trips=100)))
        self.first.accept_edit(build_edit(build_document(quotes=90, trips=100), 1))
        with self.assertRaises(JayshuntError):
            self.second.accept_edit(build_edit(build_document(trips=100), 1))
        self.assertEqual(self.classes(), {"quotes", "trips"})

    def test_changes_that_are_valid_only_alone_are_refused(self) -> None:
        """Two valid edits must not merge into a class whose pool was removed."""
        self.first.accept_edit(build_edit(build_document()))
        self.first.accept_edit(
            build_edit(build_document().model_copy(update={"pools": {}}), 1)
        )
        with self.assertRaises(JayshuntError) as caught:
            self.second.accept_edit(build_edit(build_document(quotes=100), 1))
        self.assertEqual(caught.exception.code, "config_rejected")

    def test_older_value_after_a_newer_one_changes_nothing(self) -> None:
        """A stale read must not replace a newer version or be the base of an edit."""
        self.first.accept(add_class("quotes"), "ama")
        old = self.store.values[CURRENT_KEY]
        self.first.accept(add_class("trips"), "ama")
        newest = self.store.values[CURRENT_KEY]
        self.store.values[CURRENT_KEY] = old
        self.first.refresh()
        self.assertEqual(self.first.current().version, 2)
        with self.assertRaises(StoreUnavailable):
            self.first.accept(add_class("tours"), "ama")
        self.store.values[CURRENT_KEY] = newest
        self.assertEqual(self.first.accept(add_class("tours"), "ama").version, 3)

    def test_keys_of_a_newer_program_survive_an_older_one(self) -> None:
        """An older program must preserve unknown keys when it stores a change."""
        self.first.accept(add_class("quotes"), "ama")
        stored = self.store.values[CURRENT_KEY]
        content = json.loads(stored.value)
        content["document"]["classes"]["quotes"]["color"] = "blue"
        content["version"] = 2
        from jayshunt.config.content import digest_of

        content["digest"] = digest_of(content["document"])
        self.store.put(CURRENT_KEY, json.dumps(content), stored.revision)
        snapshot = self.second.accept(add_class("trips"), "ama")
        self.assertEqual(snapshot.version, 3)
        kept = json.loads(self.store.values[CURRENT_KEY].value)["document"]
        self.assertEqual(kept["classes"]["quotes"]["color"], "blue")

    def test_version_with_a_wrong_digest_is_refused(self) -> None:
        """A corrupted version must not be put in force."""
        self.first.accept(add_class("quotes"), "ama")
        content = json.loads(self.store.values[CURRENT_KEY].value)
        content["document"]["classes"] = {}
        with self.assertRaises(JayshuntError):
            self.second.apply_content(content)
        self.assertEqual(self.second.current(), ConfigSnapshot())


class CheckTest(unittest.TestCase):
    """Test the checks that reject edits which break a guarantee."""

    def setUp(self) -> None:
        """Create a coordinator with 8 live VMs and a fastest response of 40 ms."""
        self.store = FakeStore()
        self.config = build_coordinator(self.store)
        self.live = 8
        self.config.add_check(budget_check(lambda pool: PoolCount(8, self.live)))
        self.config.add_check(target_check(lambda name: 40.0))

    def test_target_below_the_fastest_response_is_refused(self) -> None:
        """A target that cannot be met must be rejected with the reason."""
        edit = build_edit(build_document(quotes=30))
        with self.assertRaises(JayshuntError) as caught:
            self.config.accept_edit(edit)
        self.assertIn("40.0 ms", caught.exception.detail)
        self.assertNotIn(CURRENT_KEY, self.store.values)

    def test_dry_run_reports_and_changes_nothing(self) -> None:
        """A dry run must report the problems without writing to the store."""
        problems = self.config.check(build_edit(build_document(quotes=30)))
        self.assertEqual([p.path for p in problems], ["classes.quotes.target_ms"])
        self.assertEqual(self.store.puts, 0)

    def test_existing_problem_does_not_stop_another_change(self) -> None:
        """A problem caused by lost VMs must not block unrelated changes."""
        self.config.accept_edit(build_edit(build_document(quotes=100)))
        self.live = 3
        snapshot = self.config.accept(add_class("trips"), "ama")
        self.assertEqual(snapshot.version, 2)

    def test_budget_that_cannot_hold_is_refused(self) -> None:
        """A budget that is violated at once or by any stop must be rejected."""
        for ratio, live in ((1.0, 8), (0.75, 5)):
            self.live = live
            pools = {"desk": {"min_available_ratio": ratio}}
            edit = build_edit(ConfigDocument.model_validate({"pools": pools}))
            with self.assertRaises(JayshuntError) as caught:
                self.config.accept_edit(edit)
            self.assertEqual(caught.exception.code, "config_rejected")
            self.assertIn("pools.desk.min_available_ratio", caught.exception.detail)


class HistoryTest(unittest.TestCase):
    """Test the history of versions."""

    def setUp(self) -> None:
        """Accept 45 versions, so that the history has several checkpoints."""
        self.store = FakeStore()
        self.config = build_coordinator(self.store)
        for number in range(45):
            self.config.accept_edit(build_edit(build_document(quotes=100 + number)))

    def test_every_old_version_is_found(self) -> None:
        """Old documents must be reconstructed correctly around checkpoints."""
        for version in (1, 19, 20, 21, 40, 44, 45):
            document = self.config.at_version(ConfigVersion(version)).document
            self.assertEqual(document.classes["quotes"].target_ms, 99 + version)

    def test_entry_of_a_killed_process_is_written_by_the_next(self) -> None:
        """The history must not lose a version whose process ended after the accept.

        The process that accepts the next version writes the missing entry.
        """
        del self.store.values[history_key(45)]
        other = build_coordinator(self.store, 2)
        other.accept_edit(build_edit(build_document(quotes=7), author="efua"))
        entries = other.history(3)
        self.assertEqual([e.version for e in entries], [46, 45, 44])
        self.assertEqual(entries[1].changes[0].after, 144)

    def test_difference_of_versions(self) -> None:
        """A diff must list only the settings that differ, with both values."""
        changes = self.config.diff(ConfigVersion(3), ConfigVersion(30))
        found = [(c.name, c.before, c.after) for c in changes]
        self.assertEqual(found, [("classes.quotes.target_ms", 102, 129)])
