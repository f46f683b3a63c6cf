"""Test the order of queued requests and the cost of queue operations."""

import random
import unittest

from jayshunt.admission.backlog import Backlog, Waiter
from jayshunt.admission.tests.builders import request


def waiter(deadline_s: float, run_ms: float = 10.0) -> Waiter:
    """Return a waiter with a deadline."""
    return Waiter(request(), print, 0.0, deadline_s, run_ms, True)


class BacklogTest(unittest.TestCase):
    """Test the ring of deadline buckets."""

    def test_work_until_matches_a_plain_sum(self) -> None:
        """A wrong sum would refuse requests that can be served, or admit too many."""
        rng = random.Random(7)
        backlog, waiting = Backlog(), []
        for _ in range(300):
            item = waiter(rng.randrange(500) * 0.02 + 0.01)
            backlog.add(item, 0.0)
            waiting.append(item)
            if rng.random() < 0.4:
                gone = waiting.pop(rng.randrange(len(waiting)))
                backlog.remove(gone)
        for deadline_s in (0.51, 5.01, 7.37, 9.99):
            expected = sum(w.run_ms for w in waiting if w.deadline_s <= deadline_s)
            self.assertAlmostEqual(backlog.work_until_ms(deadline_s), expected)
        self.assertEqual(backlog.count, len(waiting))

    def test_far_deadlines_are_last(self) -> None:
        """A deadline beyond the ring must not wrap around to an early bucket."""
        backlog = Backlog()
        far, near = waiter(600.0), waiter(1.0)
        backlog.add(far, 0.0)
        backlog.add(near, 0.0)
        self.assertIs(backlog.first(), near)
        backlog.remove(near)
        self.assertIs(backlog.first(), far)
        self.assertEqual(backlog.work_until_ms(1.0), 0.0)

    def test_queue_that_never_empties_keeps_its_order(self) -> None:
        """The ring must move forward even if the queue never becomes empty.

        Otherwise all later deadlines fall into the last bucket and lose their order.
        """
        backlog = Backlog()
        kept = waiter(16.0)
        backlog.add(kept, 0.0)
        backlog.rebase_if_old(8.0)
        early = waiter(13.0)
        backlog.add(early, 8.0)
        self.assertIs(backlog.first(), early)
        self.assertEqual(backlog.work_until_ms(14.0), 10.0)
        self.assertEqual(backlog.count, 2)

    def test_max_later_lateness_includes_the_work_ahead(self) -> None:
        """A new request must not make a request late that was admitted before."""
        backlog = Backlog()
        for _ in range(4):
            backlog.add(waiter(1.01, 100.0), 0.0)
        fits_ms = backlog.max_later_lateness_ms(0.5, 0.0, 0.0, 1.0)
        breaks_ms = backlog.max_later_lateness_ms(0.5, 0.0, 700.0, 1.0)
        self.assertLess(fits_ms, 0)
        self.assertAlmostEqual(breaks_ms - fits_ms, 700.0)
        self.assertGreater(breaks_ms, 0)

    def test_many_cancellations_keep_the_remaining_waiter(self) -> None:
        """A scan per cancellation would take quadratic time for a full queue."""
        backlog = Backlog()
        waiters = [waiter(1.0 + number / 1000) for number in range(512)]
        for item in waiters:
            backlog.add(item, 0.0)
        for item in waiters[:-1]:
            backlog.remove(item)
        self.assertIs(backlog.first(), waiters[-1])
        self.assertEqual(backlog.count, 1)
        self.assertAlmostEqual(backlog.work_ms, 10.0)
