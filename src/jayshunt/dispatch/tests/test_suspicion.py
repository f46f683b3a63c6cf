"""Test when other entries end the term of a silent dispatcher."""

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
from jayshunt.dispatch.tests.fakes import FakeStore
from jayshunt.ids import EntryId, LeaseId, Revision, ZoneName

LONG_S = SUSPECT_AFTER_S + 0.1


def suspicion(entry: str, zone: str, token: int = 5, **changes) -> Suspicion:
    """Return a suspicion stored by one entry."""
    return Suspicion(Revision(token), EntryId(entry), ZoneName(zone), **changes)


class NextActionTest(unittest.TestCase):
    """Test which entries may end a term, and when."""

    def test_one_entry_alone_ends_no_term(self) -> None:
        """An entry that only lost its own path to the holder must not end the term."""
        own = suspicion("a", "ash")
        self.assertIs(SuspectAction.WAIT, next_action(own, None, SUSPECT_AFTER_S - 0.1))
        self.assertIs(SuspectAction.RECORD, next_action(own, None, LONG_S))
        self.assertIs(SuspectAction.WAIT, next_action(own, own, 60.0))

    def test_two_entries_of_two_zones_end_it(self) -> None:
        """Otherwise no job is dispatched until the lease expires, for about 4 s."""
        stored = suspicion("b", "wes")
        self.assertIs(
            SuspectAction.END, next_action(suspicion("a", "ash"), stored, LONG_S)
        )

    def test_entries_of_one_zone_wait_longer(self) -> None:
        """A partitioned zone must not end the term of a holder that serves the rest."""
        own, stored = suspicion("a", "ash"), suspicion("b", "ash")
        self.assertIs(SuspectAction.WAIT, next_action(own, stored, LONG_S))
        self.assertIs(SuspectAction.END, next_action(own, stored, ONE_ZONE_AFTER_S))

    def test_suspicion_of_an_earlier_term_does_not_count(self) -> None:
        """With a leftover record, a single entry could end the next term."""
        stored = suspicion("b", "wes", token=4)
        self.assertIs(
            SuspectAction.RECORD, next_action(suspicion("a", "ash"), stored, LONG_S)
        )


class DispatcherFailureDetectorTest(unittest.TestCase):
    """Test how entries store suspicions and end the lease."""

    def setUp(self) -> None:
        """Build a store, a term and two entries in different zones."""
        self.clock = ManualClock(0.0)
        self.store = FakeStore()
        self.ended: list[LeaseId] = []
        self.store.end_lease = self.ended.append
        self.term = Term(
            EntryId("h"), Address("127.0.0.1", 1), "x", Revision(5), LeaseId("9")
        )
        self.first = self.entry("a", "ash")
        self.second = self.entry("b", "wes")

    def entry(self, name: str, zone: str) -> DispatcherFailureDetector:
        """Return the failure detector of one entry."""
        return DispatcherFailureDetector(
            EntryId(name), ZoneName(zone), self.store, self.clock
        )

    def stored(self) -> Suspicion | None:
        """Return the stored suspicion, if any."""
        return decode_suspicion(self.store.get(SUSPECT_KEY))

    def test_silent_holder_loses_its_term(self) -> None:
        """When two entries agree, the suspicion is marked ended and the lease ends."""
        for _ in range(2):
            self.first.record_silence(self.term, self.clock.monotonic_s())
            self.second.record_silence(self.term, self.clock.monotonic_s())
            self.clock.advance(LONG_S)
        self.assertEqual([LeaseId("9")], self.ended)
        self.assertTrue(self.stored().is_ended)

    def test_record_of_an_ended_term_is_not_written_again(self) -> None:
        """A rewritten record is never removed, as its revision has changed.

        Every later holder then waits for one more term lease.
        """
        self.test_silent_holder_loses_its_term()
        revision = self.store.get(SUSPECT_KEY).revision
        self.clock.advance(LONG_S)
        self.first.record_silence(self.term, self.clock.monotonic_s())
        self.assertEqual(revision, self.store.get(SUSPECT_KEY).revision)
        self.assertEqual(2, len(self.ended))

    def test_answer_withdraws_the_record(self) -> None:
        """With a leftover record, a single later suspicion could end the term."""
        self.first.record_silence(self.term, self.clock.monotonic_s())
        self.clock.advance(LONG_S)
        self.first.record_silence(self.term, self.clock.monotonic_s())
        self.assertIsNotNone(self.stored())
        self.first.record_answer()
        self.assertIsNone(self.stored())

    def test_entry_without_the_store_suspects_nobody(self) -> None:
        """An entry that can't reach the store is probably the partitioned one."""
        self.store.failing_s = 1.0
        self.first.record_silence(self.term, self.clock.monotonic_s())
        self.clock.advance(LONG_S)
        self.first.record_silence(self.term, self.clock.monotonic_s())
        self.assertIsNone(self.stored())

    def test_silence_counts_from_the_first_unanswered_call(self) -> None:
        """Counted from its timeout, each silent loss lasts 0.6 s longer."""
        sent_s = self.clock.monotonic_s()
        self.clock.advance(SUSPECT_AFTER_S)
        self.first.record_silence(self.term, sent_s)
        self.assertIsNotNone(self.stored())

    def test_zone_that_returns_does_not_end_the_term(self) -> None:
        """The entries of a zone reach the store before the holder when a cut ends.

        They ended the term of a holder that served all other zones, after silence
        that was their own (further/kpdm-jaya scale-2, 38.8 s).
        """
        zone = [self.entry("c", "wes"), self.second]
        sent_s = self.clock.monotonic_s()
        self.store.failing_s = 4.0
        self.clock.advance(ONE_ZONE_AFTER_S + 1.0)
        for entry in zone:
            entry.record_silence(self.term, sent_s)
        self.store.failing_s, self.store.reachable_s = 0.0, 0.2
        for entry in zone:
            entry.record_silence(self.term, self.clock.monotonic_s())
        self.assertIsNone(self.stored())
        self.assertEqual([], self.ended)


class StalledHolderTest(unittest.TestCase):
    """Test a holder whose process was suspended."""

    def test_suspended_holder_is_invalid_until_it_attempts_a_renewal(self) -> None:
        """Other entries may have ended its term before the lease's expiry time."""
        now = [100.0]
        term = Term(EntryId("h"), Address("127.0.0.1", 1), "x", Revision(5))
        own = OwnTerm(term, 100.0, lambda: now[0])
        self.assertTrue(own.is_valid)
        now[0] += RENEW_STALL_S + 0.1
        self.assertFalse(own.is_valid)
        own.record_failed_attempt(now[0])
        self.assertTrue(own.is_valid)
        now[0] = 100.0 + TERM_LEASE_S
        own.record_failed_attempt(now[0])
        self.assertFalse(own.is_valid)

    def test_holder_suspended_during_a_renewal_renews_again(self) -> None:
        """The answer may be older than the end of the term by other entries."""
        for record in (OwnTerm.record_renewal, OwnTerm.record_failed_attempt):
            now = [100.0]
            term = Term(EntryId("h"), Address("127.0.0.1", 1), "x", Revision(5))
            own = OwnTerm(term, 100.0, lambda now=now: now[0])
            now[0] += SUSPECT_AFTER_S + 0.5
            record(own, 100.1)
            self.assertFalse(own.is_valid, record.__name__)
            record(own, now[0])
            self.assertTrue(own.is_valid, record.__name__)

    def test_term_is_confirmed_up_to_the_last_renewal(self) -> None:
        """A renewal that failed says nothing about who holds the term."""
        now = [100.0]
        term = Term(EntryId("h"), Address("127.0.0.1", 1), "x", Revision(5))
        own = OwnTerm(term, 100.0, lambda: now[0])
        now[0] = 103.0
        own.record_failed_attempt(102.9)
        self.assertEqual(3.0, own.renewal_age_s)
        own.record_renewal(102.5)
        self.assertEqual(0.5, own.renewal_age_s)

    def test_replaced_holder_has_stalled(self) -> None:
        """Other entries must not end a term that its holder still trusts."""
        self.assertLess(RENEW_STALL_S, SUSPECT_AFTER_S)


if __name__ == "__main__":
    unittest.main()
