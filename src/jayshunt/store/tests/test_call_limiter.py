"""Test the rate limit and the backoff of the store client."""

import random
import unittest

from jayshunt.clock import ManualClock
from jayshunt.store.call_limiter import CallLimiter, CallShare
from jayshunt.store.const import TOTAL_READS_PER_S, TOTAL_WRITES_PER_S
from jayshunt.store.errors import StoreUnavailable
from jayshunt.store.models import StoreState


class TimedLimiter:
    """Call limiter on a manual clock; tries every 20 ms and counts admitted calls."""

    def __init__(self, share: CallShare, seed: int = 1) -> None:
        """Create a limiter with a share."""
        self.clock = ManualClock()
        self.call_limiter = CallLimiter("store", self.clock, random.Random(seed))
        self.call_limiter.set_share(share)

    def count(self, seconds_s: float, answers: bool = True, write: bool = True) -> int:
        """Try calls for some time; return how many were admitted."""
        end_s = self.clock.monotonic_s() + seconds_s
        before = self.call_limiter.calls
        while self.clock.monotonic_s() < end_s:
            self.clock.advance(0.02)
            try:
                admitted = self.call_limiter.admit("test", write)
            except StoreUnavailable:
                continue
            if answers:
                self.call_limiter.record_success()
            else:
                self.call_limiter.record_failure(admitted, "no answer")
        return self.call_limiter.calls - before


class ShareTest(unittest.TestCase):
    """Test the total call rate of all processes."""

    def test_total_stays_below_the_limits_at_any_size(self) -> None:
        """Many processes together must not exceed what the platform supports."""
        for entries, zones in ((1, 1), (9, 4), (60, 15), (600, 60)):
            shares = [
                CallShare(entries, zones, is_controller=number < zones)
                for number in range(entries)
            ]
            writes = sum(share.writes_per_s for share in shares)
            reads = sum(share.reads_per_s for share in shares)
            self.assertLessEqual(writes, TOTAL_WRITES_PER_S * 1.001)
            self.assertLessEqual(reads, TOTAL_READS_PER_S * 1.001)

    def test_rate_of_a_process_is_its_share(self) -> None:
        """A busy process must not use the share of the others."""
        timed = TimedLimiter(CallShare(60, 15))
        timed.count(5.0)
        rate = timed.count(20.0) / 20.0
        self.assertLessEqual(rate, CallShare(60, 15).writes_per_s * 1.05)
        self.assertGreater(rate, CallShare(60, 15).writes_per_s * 0.8)


class OutageTest(unittest.TestCase):
    """Test the load on a store that is down or recovering."""

    def test_sixty_processes_probe_a_dead_store_rarely(self) -> None:
        """Retries of many clients must not keep a store down."""
        calls = 0
        for seed in range(60):
            timed = TimedLimiter(CallShare(60, 15), seed)
            timed.count(20.0, answers=False)
            calls += timed.count(10.0, answers=False)
        self.assertLess(calls / 10.0, 60)

    def test_recovery_after_an_hour_causes_no_burst(self) -> None:
        """The first second after an outage must stay within the limits."""
        writes = 0
        for seed in range(60):
            timed = TimedLimiter(CallShare(60, 15), seed)
            timed.count(5.0, answers=False)
            timed.clock.advance(3600)
            writes += timed.count(1.0)
        self.assertLessEqual(writes, TOTAL_WRITES_PER_S)

    def test_calls_that_fail_together_count_as_one_failure(self) -> None:
        """Concurrent calls that fail together must not cause a long backoff."""
        timed = TimedLimiter(CallShare(9, 4))
        rounds = [timed.call_limiter.admit("test", False) for _ in range(8)]
        for admitted in rounds:
            timed.call_limiter.record_failure(admitted, "no answer")
        self.assertIs(timed.call_limiter.health.state, StoreState.DOWN)
        timed.clock.advance(0.11)
        timed.call_limiter.admit("test", False)
        timed.call_limiter.record_success()
        self.assertIs(timed.call_limiter.health.state, StoreState.UP)
