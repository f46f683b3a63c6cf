"""Test a broker under overload, with a manual clock."""

import heapq
import itertools
import unittest

from jayshunt.admission.const import QUEUE_LIMIT
from jayshunt.admission.instances import HealthReport
from jayshunt.admission.messages import PermitGranted, PermitRefused
from jayshunt.admission.tests.builders import (
    WARM_RUN_MS,
    RequestRecorder,
    broker_with,
    instances,
    request,
    result,
)
from jayshunt.clock import ManualClock
from jayshunt.ids import VmId

TARGET_MS = 800.0
STEP_S = 0.005


class Load:
    """Simulate requests at a fixed rate, each released after its run time."""

    def __init__(self, slots: int, *names: str) -> None:
        """Create a broker with the given instances."""
        self.clock = ManualClock()
        self.broker = broker_with(
            self.clock, *names, slots=slots, classes=("quotes", "bookings")
        )
        self.decided_ms: dict[str, list[float]] = {"granted": [], "refused": []}
        self.late = 0
        self._ends: list[tuple[float, int, object, str]] = []
        self._numbers = itertools.count()

    def send(self, work_class: str) -> None:
        """Submit one request; if granted, it is released after its run time."""
        asked_s = self.clock.monotonic_s()

        def on_reply(reply) -> None:
            now_s = self.clock.monotonic_s()
            kind = "granted" if isinstance(reply, PermitGranted) else "refused"
            self.decided_ms[kind].append((now_s - asked_s) * 1000)
            if isinstance(reply, PermitGranted):
                end_s = now_s + WARM_RUN_MS / 1000
                self.late += (end_s - asked_s) * 1000 > TARGET_MS
                item = (end_s, next(self._numbers), reply, work_class)
                heapq.heappush(self._ends, item)

        # As the router does for a request without a timeout set by the caller.
        asked = request(work_class, TARGET_MS, patience_ms=2 * TARGET_MS)
        self.broker.submit(asked, on_reply)

    def run(self, seconds: float, per_s: float, work_class: str = "quotes") -> None:
        """Submit requests of a class at a rate."""
        owed = 0.0
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            while self._ends and self._ends[0][0] <= self.clock.monotonic_s():
                _, _, granted, name = heapq.heappop(self._ends)
                self.broker.release(result(granted, work_class=name))
            owed += per_s * STEP_S
            while owed >= 1:
                owed -= 1
                self.send(work_class)
            self.broker.tick()


class BurstTest(unittest.TestCase):
    """Test admission of more load than the capacity."""

    def test_every_refusal_in_a_burst_is_immediate(self) -> None:
        """A caller that waits for a refusal cannot be served elsewhere in time."""
        load = Load(4, "a", "b")
        load.run(4.0, 2 * 8 / (WARM_RUN_MS / 1000))
        self.assertGreater(len(load.decided_ms["refused"]), 100)
        self.assertEqual(max(load.decided_ms["refused"]), 0.0)

    def test_admitted_requests_end_in_time_and_slots_stay_busy(self) -> None:
        """Too many admissions make requests late; too few leave slots idle."""
        load = Load(4, "a", "b")
        load.run(4.0, 2 * 8 / (WARM_RUN_MS / 1000))
        self.assertEqual(load.late, 0)
        best = 4.0 * 8 / (WARM_RUN_MS / 1000)
        self.assertGreater(len(load.decided_ms["granted"]), 0.95 * best)

    def test_instance_lost_in_a_burst_refuses_nothing_late(self) -> None:
        """Requests queued for the lost slots must not be refused late."""
        load = Load(4, "a", "b")
        load.run(1.0, 2 * 8 / (WARM_RUN_MS / 1000))
        load.broker.report_health(VmId("b"), HealthReport.LEAVING)
        load.run(2.0, 2 * 4 / (WARM_RUN_MS / 1000))
        limit_ms = 0.1 * TARGET_MS
        late = [ms for ms in load.decided_ms["refused"] if ms > limit_ms]
        self.assertEqual(late, [])

    def test_many_cancellations_free_a_full_queue(self) -> None:
        """Cancelled requests that still count would cause refusals of new ones."""
        clock = ManualClock()
        broker = broker_with(clock, "a", slots=2, classes=("quotes",))
        recorder = RequestRecorder(broker)
        for _ in range(2):
            recorder.ask()
        waiters = [
            recorder.submit(request(remaining_ms=900_000.0)) for _ in range(QUEUE_LIMIT)
        ]
        refused = recorder.reply(recorder.ask(remaining_ms=900_000.0))
        self.assertIsInstance(refused, PermitRefused)
        self.assertTrue(all(broker.cancel(w) for w in waiters if w is not None))
        self.assertEqual(broker.waiting, 0)
        self.assertIsNone(recorder.reply(recorder.ask()))

    def test_new_instance_takes_part_of_the_load_at_first(self) -> None:
        """A new instance with cold caches would fail under full load and be ejected."""
        load = Load(8, "a")
        load.run(0.5, 100)
        load.broker.set_instances(instances("a", "b"))
        load.run(0.1, 400)
        self.assertLessEqual(load.broker.in_flight(VmId("b")), 1)
        load.run(3.0, 400)
        self.assertGreaterEqual(load.broker.in_flight(VmId("b")), 7)
