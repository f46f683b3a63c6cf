"""Test how other entries end the term of a silent dispatcher."""

import unittest

from jayshunt.clock import ManualClock
from jayshunt.dispatch.const import RENEW_STALL_S, TERM_LEASE_S
from jayshunt.dispatch.models import Address
from jayshunt.dispatch.records import SUSPECT_KEY
from jayshunt.dispatch.store_models import Term
from jayshunt.dispatch.suspicion import (
    ONE_ZONE_AFTER_S,
    SUSPECT_AFTER_S,
    DispatcherFailureDetector,
    SuspectAction,
    Suspicion,
    decode_suspicion,
    next_action,
)
from jayshunt.dispatch.term import OwnTerm
from jayshunt.dispatch.tests.builders import FakeStore
from jayshunt.ids import EntryId, LeaseId, Revision, ZoneName

LONG_S = SUSPECT_AFTER_S + 0.1


def suspicion(entry: str, zone: str, token: int = 5, **changes) -> Suspicion:
    """Return a suspicion of one entry."""
    return Suspicion(Revision(token), EntryId(entry), ZoneName(zone), **changes)


class NextStepTest(unittest.TestCase):
    """Cover who may end a term, and when."""

    def test_one_entry_alone_ends_no_term(self) -> None:
        """It may just have lost its own path to the holder."""
        own = suspicion("a", "ash")
        self.assertIs(SuspectAction.WAIT, next_action(own, None, SUSPECT_AFTER_S - 0.1))
        self.assertIs(SuspectAction.RECORD, next_action(own, None, LONG_S))
        self.assertIs(SuspectAction.WAIT, next_action(own, own, 60.0))

    def test_two_entries_of_two_zones_end_it(self) -> None:
        """Waiting for the lease left nothing dispatched for four seconds."""
        stored = suspicion("b", "wes")
        self.assertIs(
            SuspectAction.END, next_action(suspicion("a", "ash"), stored, LONG_S)
        )

    def test_entries_of_one_zone_wait_longer(self) -> None:
        """Their zone may be cut off while the holder serves all others."""
        own, stored = suspicion("a", "ash"), suspicion("b", "ash")
        self.assertIs(SuspectAction.WAIT, next_action(own, stored, LONG_S))
        self.assertIs(SuspectAction.END, next_action(own, stored, ONE_ZONE_AFTER_S))

    def test_suspicion_of_an_earlier_term_does_not_count(self) -> None:
        """A record that was left would make one entry enough."""
        stored = suspicion("b", "wes", token=4)
        self.assertIs(
            SuspectAction.RECORD, next_action(suspicion("a", "ash"), stored, LONG_S)
        )


class TermSuspectTest(unittest.TestCase):
    """Cover the records of entries and the end of the lease."""

    def setUp(self) -> None:
        """Build a store with a term, and two entries."""
        self.clock = ManualClock(0.0)
        self.store = FakeStore()
        self.store.failing_for_s = lambda: 0.0
        self.ended: list[LeaseId] = []
        self.store.end_lease = self.ended.append
        self.term = Term(
            EntryId("h"), Address("127.0.0.1", 1), "x", Revision(5), LeaseId("9")
        )
        self.first = self.entry("a", "ash")
        self.second = self.entry("b", "wes")

    def entry(self, name: str, zone: str) -> DispatcherFailureDetector:
        """Return the part of one entry."""
        return DispatcherFailureDetector(
            EntryId(name), ZoneName(zone), self.store, self.clock
        )

    def stored(self) -> Suspicion | None:
        """Return the record."""
        return decode_suspicion(self.store.get(SUSPECT_KEY))

    def test_silent_holder_loses_its_term(self) -> None:
        """Both find it silent; the record comes before the end of the lease."""
        for _ in range(2):
            self.first.record_silence(self.term)
            self.second.record_silence(self.term)
            self.clock.advance(LONG_S)
        self.assertEqual([LeaseId("9")], self.ended)
        self.assertTrue(self.stored().is_ended)

    def test_record_of_an_ended_term_is_not_written_again(self) -> None:
        """A later revision made every next holder wait a term longer."""
        self.test_silent_holder_loses_its_term()
        revision = self.store.get(SUSPECT_KEY).revision
        self.clock.advance(LONG_S)
        self.first.record_silence(self.term)
        self.assertEqual(revision, self.store.get(SUSPECT_KEY).revision)
        self.assertEqual(2, len(self.ended))

    def test_answer_withdraws_the_record(self) -> None:
        """A record that stays would make one later suspicion enough."""
        self.first.record_silence(self.term)
        self.clock.advance(LONG_S)
        self.first.record_silence(self.term)
        self.assertIsNotNone(self.stored())
        self.first.record_answer()
        self.assertIsNone(self.stored())

    def test_entry_without_the_store_suspects_nobody(self) -> None:
        """It is the one that is cut off."""
        self.store.failing_for_s = lambda: 1.0
        self.first.record_silence(self.term)
        self.clock.advance(LONG_S)
        self.first.record_silence(self.term)
        self.assertIsNone(self.stored())


class StalledHolderTest(unittest.TestCase):
    """Cover a holder that was suspended."""

    def test_suspended_holder_asks_the_store_before_it_gives_orders(self) -> None:
        """Others may have ended its term although its lease would still hold."""
        now = [100.0]
        term = Term(EntryId("h"), Address("127.0.0.1", 1), "x", Revision(5))
        own = OwnTerm(term, 100.0, lambda: now[0])
        self.assertTrue(own.is_valid)
        now[0] += RENEW_STALL_S + 0.1
        self.assertFalse(own.is_valid)
        own.record_attempt()
        self.assertTrue(own.is_valid)
        now[0] = 100.0 + TERM_LEASE_S
        own.record_attempt()
        self.assertFalse(own.is_valid)


if __name__ == "__main__":
    unittest.main()
