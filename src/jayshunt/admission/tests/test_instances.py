"""Test the ejection, readmission and slow start of instances."""

import unittest

from jayshunt.admission.const import EJECT_BASE_S, SLOW_START_S
from jayshunt.admission.instances import HealthReport, PoolInstances
from jayshunt.admission.tests.builders import instances
from jayshunt.ids import VmId

SLOTS = 8


class HealthTest(unittest.TestCase):
    """Test how health limits the usable slots of instances."""

    def setUp(self) -> None:
        """Start with four instances."""
        self.pool = PoolInstances()
        self.pool.update(instances("a", "b", "c", "d"), 0.0)

    def fail_requests(self, vm: str, times: int = 10) -> None:
        """Record failures of an instance."""
        for _ in range(times):
            self.pool.record_outcome(VmId(vm), True, 1.0)

    def limits(self, now_s: float) -> list[int]:
        """Return the usable slots of each instance."""
        return [s.slot_limit(SLOTS, now_s) for s in self.pool.states.values()]

    def test_failing_instance_is_ejected(self) -> None:
        """An instance that fails fast would get most of the requests."""
        self.fail_requests("a")
        self.assertEqual(self.limits(1.0), [0, 8, 8, 8])

    def test_at_most_half_of_the_pool_is_ejected(self) -> None:
        """If all requests fail, the whole pool must not be taken out of service."""
        for vm in "abcd":
            self.fail_requests(vm)
        self.assertEqual(self.limits(1.0).count(0), 2)

    def test_readmitted_instance_starts_slowly(self) -> None:
        """Full load at once could overload an instance that just recovered."""
        self.fail_requests("a")
        self.pool.record_health(VmId("a"), HealthReport.SERVING, 1.5)
        self.assertEqual(self.limits(1.5)[0], 0)
        back_s = 1.0 + EJECT_BASE_S
        self.pool.record_health(VmId("a"), HealthReport.SERVING, back_s)
        self.assertEqual(self.limits(back_s)[0], 1)
        self.assertEqual(self.limits(back_s + SLOW_START_S / 2)[0], 4)
        self.assertEqual(self.limits(back_s + SLOW_START_S)[0], 8)

    def test_leaving_instance_takes_no_work(self) -> None:
        """The platform's list lags, so the state reported by the instance applies."""
        self.pool.record_health(VmId("b"), HealthReport.LEAVING, 1.0)
        self.assertEqual(self.limits(1.0), [8, 0, 8, 8])

    def test_new_instance_starts_slowly(self) -> None:
        """A new instance has cold caches and would fail under full load."""
        self.pool.update(instances("a", "b", "c", "d", "e"), 10.0)
        self.assertEqual(self.limits(10.0), [8, 8, 8, 8, 1])
