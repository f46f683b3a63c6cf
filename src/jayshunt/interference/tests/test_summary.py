"""Test handing on what was learned to a successor."""

import json
import threading
import unittest

from jayshunt.clock import ManualClock
from jayshunt.dispatch.errors import TermEnded
from jayshunt.dispatch.features import Features
from jayshunt.dispatch.records import TERM_KEY
from jayshunt.dispatch.store_models import Put
from jayshunt.dispatch.tests.fakes import FakeStore
from jayshunt.dispatch.tests.fleet_builders import FakeFleet
from jayshunt.ids import Revision
from jayshunt.interference.model import InterferenceModel, is_harmful, is_known
from jayshunt.interference.summary import MAX_BYTES, decode_summary, encode_summary
from jayshunt.interference.summary_store import SUMMARY_KEY, SummaryStore
from jayshunt.interference.tests.builders import expect, observe_beside, train
from jayshunt.store.errors import StoreOutcomeUnknown


class SummaryStoreTest(unittest.TestCase):
    """Test reading and writing the summary in a store with a term."""

    def setUp(self) -> None:
        """Start a term."""
        self.store, self.clock = FakeStore(), ManualClock(20.0)
        self.model = InterferenceModel()
        train(self.model, 20, {"loud": 0.6})

    def build(self, model: InterferenceModel) -> SummaryStore:
        """Return the summary's store in a new term."""
        self.store.items.pop(TERM_KEY, None)
        term = self.store.transact({}, (Put(TERM_KEY, b"{}"),)).revision
        condition = {TERM_KEY: term}
        return SummaryStore(model, threading.RLock(), self.store, condition, self.clock)

    def test_successor_knows_the_pairs(self) -> None:
        """Without this, each takeover would break targets until all is found again."""
        self.build(self.model).write()
        self.clock.advance(3)
        successor = InterferenceModel()
        self.build(successor).read()
        estimate = expect(successor, "loud", self.clock.monotonic_s())
        self.assertTrue(is_known(estimate))
        self.assertGreater(estimate.mean, 0.2)
        before = expect(self.model, "loud", self.clock.monotonic_s())
        self.assertAlmostEqual(before.mean, estimate.mean, 2)

    def test_local_view_with_more_evidence_wins(self) -> None:
        """The summary is up to 5 s old, and effects change within seconds."""
        self.build(self.model).write()
        successor = InterferenceModel()
        train(successor, 20, {"loud": 0.0})
        train(successor, 20, {"loud": 0.0}, seed=1)
        self.build(successor).read()
        self.assertFalse(is_harmful(expect(successor, "loud", 20)))

    def test_former_holder_does_not_overwrite(self) -> None:
        """Two entries may believe that they dispatch; the older must stop."""
        former = self.build(self.model)
        self.build(InterferenceModel())
        with self.assertRaises(TermEnded):
            former.write()
        self.assertNotIn(SUMMARY_KEY, self.store.items)

    def test_write_after_a_lost_answer(self) -> None:
        """The record then has a revision that the term does not know."""
        summaries = self.build(self.model)
        self.store.fault = lambda step: "lost"
        with self.assertRaises(StoreOutcomeUnknown):
            summaries.write()
        self.store.fault = lambda step: ""
        summaries.write()
        revision = self.store.items[SUMMARY_KEY].revision
        summaries.write()
        self.assertEqual(revision, self.store.items[SUMMARY_KEY].revision)

    def test_malformed_summary_is_ignored(self) -> None:
        """A term must start with any content of the record."""
        good = encode_summary(self.model.summarize(20, 20))
        bad = {**json.loads(good), "pairs": [["a", True, "b", float("nan"), 1, 1]]}
        for value in (
            b"",
            b"[]",
            b"{}",
            good[:-9],
            json.dumps(bad).encode(),
            good.replace(b"true", b"1"),
            good.replace(b'"version":1', b'"version":2'),
            good + b" " * MAX_BYTES,
        ):
            self.store.transact({}, (Put(SUMMARY_KEY, value),))
            successor = InterferenceModel()
            summaries = self.build(successor)
            with self.assertLogs(level="WARNING"):
                summaries.read()
            self.assertEqual({}, successor.pairs, value[:60])

    def test_summary_stays_below_the_limit(self) -> None:
        """The store refuses a larger value, and nothing would be handed on."""
        for number in range(900):
            name = f"registry.example/team/image-{number}"
            observe_beside(self.model, {name: 1.0, f"{name}é": 1.0}, 0.5, 20)
        value = encode_summary(self.model.summarize(20, 20))
        self.assertLessEqual(len(value), MAX_BYTES)
        kept = {pair.aggressor for pair in decode_summary(value).pairs}
        self.assertTrue("loud" in kept, "the pair with the most evidence is kept")


class DispatcherTakeoverTest(unittest.TestCase):
    """Test the wiring in whole dispatchers."""

    def test_takeover_keeps_what_was_learned(self) -> None:
        """The summary must be written at a graceful end and read before placement."""
        fleet = FakeFleet(2)
        on = Features(interference=True)
        first = fleet.build_dispatcher("entry-1", features=on)
        now_s = first._clock.monotonic_s()
        train(first.planner.interference.model, 20, {"loud": 0.6}, start_s=int(now_s))
        first.stop(is_graceful=True)
        self.assertGreater(fleet.store.items[SUMMARY_KEY].revision, Revision(0))
        second = fleet.build_dispatcher("entry-2", features=on)
        second._intake._read_all()
        self.addCleanup(second.stop, False)
        self.assertTrue(
            is_harmful(expect(second.planner.interference.model, "loud", now_s))
        )
        fleet.add_long_running_jobs(1)
        second.planner._round()

    def test_nothing_is_stored_while_the_part_is_off(self) -> None:
        """Off must leave the earlier behavior in place."""
        fleet = FakeFleet(1)
        dispatcher = fleet.build_dispatcher()
        dispatcher._intake._read_all()
        dispatcher.planner._round()
        dispatcher.stop(is_graceful=True)
        self.assertIsNone(dispatcher.planner.interference)
        self.assertNotIn(SUMMARY_KEY, fleet.store.items)
