"""Test the rate of orders for VMs."""

import unittest

from jayshunt.dispatch.order_budget import OrderBudget


class OrderBudgetTest(unittest.TestCase):
    """Test the compliance with the platform's limit on orders for VMs."""

    def test_orders_stay_below_the_rate_over_time(self) -> None:
        """The platform refuses calls beyond its rate, counted over all entries."""
        budget = OrderBudget(200.0)
        sent = 0
        for round_number in range(100):
            count = budget.available(round_number * 0.1)
            budget.take(count)
            sent += count
        self.assertLessEqual(sent, 200.0 * 10.0)
        self.assertGreaterEqual(sent, 200.0 * 10.0 * 0.85)

    def test_large_fleet_is_moved_at_the_platforms_rate(self) -> None:
        """With 8 orders a round, 150 VMs took five seconds of an eight-second burst."""
        budget = OrderBudget(215.0)
        now_s, moved = 0.0, 0
        while moved < 150:
            count = min(150 - moved, budget.available(now_s))
            budget.take(count)
            moved += count
            now_s += 0.15
        self.assertLess(now_s, 1.0)

    def test_unused_rate_is_not_saved_up_without_end(self) -> None:
        """The platform would refuse a large burst of orders after a quiet hour."""
        budget = OrderBudget(64.0)
        budget.available(0.0)
        self.assertLessEqual(budget.available(3600.0), 32)


if __name__ == "__main__":
    unittest.main()
