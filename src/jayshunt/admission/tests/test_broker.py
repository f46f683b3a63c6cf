"""Test how a broker grants, refuses and takes over."""

import unittest

from jayshunt.admission.broker import Broker
from jayshunt.admission.const import IDLE_TICK_S, PAUSE_LIMIT_S
from jayshunt.admission.instances import HealthReport
from jayshunt.admission.messages import (
    HeldPermit,
    LearnedClass,
    PermitGranted,
    PermitRefused,
    SendOutcome,
)
from jayshunt.admission.tests.builders import (
    POOL,
    RequestRecorder,
    broker_with,
    instances,
    request,
    result,
)
from jayshunt.clock import ManualClock
from jayshunt.ids import ClassName, EntryId, PermitId, VmId


class GrantTest(unittest.TestCase):
    """Test the count of used slots and the order of grants."""

    def setUp(self) -> None:
        """Start with one instance of two slots."""
        self.clock = ManualClock()
        self.broker = broker_with(self.clock, "vm-1", classes=("quotes", "bookings"))
        self.recorder = RequestRecorder(self.broker)

    def fill(self) -> list[PermitGranted]:
        """Take both slots."""
        return [self.recorder.reply(self.recorder.ask()) for _ in range(2)]

    def test_slots_never_exceeded(self) -> None:
        """More permits than slots would overload an instance."""
        self.fill()
        third = self.recorder.ask()
        self.assertIsNone(self.recorder.reply(third))
        self.assertEqual(self.broker.in_flight(VmId("vm-1")), 2)

    def test_released_slot_is_granted_at_once(self) -> None:
        """A released slot must not stay idle while a request is queued."""
        first, _ = self.fill()
        third = self.recorder.ask()
        self.broker.release(result(first))
        self.assertIsInstance(self.recorder.reply(third), PermitGranted)

    def test_release_counts_once(self) -> None:
        """A duplicate release must not free a slot that is in use."""
        first, _ = self.fill()
        self.broker.release(result(first))
        self.broker.release(result(first))
        self.assertEqual(self.broker.in_flight(VmId("vm-1")), 1)

    def test_idle_broker_ticks_rarely_and_is_not_taken_for_a_paused_one(self) -> None:
        """Rare ticks must not look like a pause, nor delay a broker in use."""
        self.assertFalse(self.broker.is_tick_due())
        for _ in range(10):
            self.clock.advance(IDLE_TICK_S)
            self.assertTrue(self.broker.is_tick_due())
            self.assertTrue(self.broker.tick())
        self.fill()
        self.assertTrue(self.broker.is_tick_due())

    def test_earlier_deadline_goes_first(self) -> None:
        """In order of arrival, a short deadline would be missed behind longer ones."""
        first, _ = self.fill()
        patient = self.recorder.ask(remaining_ms=5000)
        urgent = self.recorder.ask(remaining_ms=600)
        self.broker.release(result(first))
        self.assertIsInstance(self.recorder.reply(urgent), PermitGranted)
        self.assertIsNone(self.recorder.reply(patient))

    def test_cancelled_request_is_never_granted(self) -> None:
        """A slot granted to a caller that left would be wasted."""
        first, _ = self.fill()
        waiter = self.recorder.submit(request())
        self.assertTrue(self.broker.cancel(waiter))
        self.assertFalse(self.broker.cancel(waiter))
        self.broker.release(result(first))
        self.assertEqual(self.broker.in_flight(VmId("vm-1")), 1)

    def test_timed_out_request_keeps_its_slot(self) -> None:
        """A slot must stay in use after a timeout until its permit expires.

        The instance may still work on the request.
        """
        first, _ = self.fill()
        self.broker.release(result(first, SendOutcome.TIMED_OUT))
        self.assertEqual(self.broker.in_flight(VmId("vm-1")), 2)
        self.clock.advance(0.9)
        self.broker.tick()
        self.assertEqual(self.broker.in_flight(VmId("vm-1")), 2)
        self.clock.advance(0.9)
        self.broker.tick()
        self.clock.advance(0.9)
        self.broker.tick()
        self.assertEqual(self.broker.in_flight(VmId("vm-1")), 0)

    def test_late_instance_keeps_the_slot_of_a_short_request(self) -> None:
        """The permit of a short request must not expire soon after a timeout.

        The slot would be granted again while the instance still works.
        """
        grants = [
            self.recorder.reply(self.recorder.ask(remaining_ms=60)) for _ in range(2)
        ]
        self.clock.advance(0.06)
        for granted in grants:
            self.broker.release(result(granted, SendOutcome.TIMED_OUT))
        self.clock.advance(0.6)
        self.broker.tick()
        self.assertEqual(self.broker.in_flight(VmId("vm-1")), 2)

    def test_retry_avoids_the_instance_that_failed(self) -> None:
        """An instance that fails fast is the least loaded and would get every retry."""
        self.broker.set_instances(instances("vm-1", "vm-2"))
        retry = self.recorder.ask(excluded=(VmId("vm-1"),), attempt=1)
        self.assertEqual(self.recorder.reply(retry).vm, "vm-2")

    def test_leaving_instance_gets_nothing_but_keeps_its_count(self) -> None:
        """A count lost at a removal would grant too many slots after a return."""
        self.fill()
        self.broker.set_instances(())
        self.assertEqual(self.broker.in_flight(VmId("vm-1")), 2)
        self.broker.set_instances(instances("vm-1"))
        self.assertEqual(self.broker.in_flight(VmId("vm-1")), 2)
        self.assertIsNone(self.recorder.reply(self.recorder.ask()))


class RefusalTest(unittest.TestCase):
    """Test which requests are refused, and that refusals are early."""

    def setUp(self) -> None:
        """Start with one instance of two slots."""
        self.clock = ManualClock()
        self.broker = broker_with(self.clock, "vm-1", classes=("quotes", "bookings"))
        self.recorder = RequestRecorder(self.broker)

    def test_request_that_would_be_late_is_refused_at_once(self) -> None:
        """A request refused after a wait can no longer be served elsewhere in time."""
        replies = [self.recorder.ask(remaining_ms=300) for _ in range(20)]
        refused = [r for r in map(self.recorder.reply, replies) if r is not None]
        refused = [r for r in refused if isinstance(r, PermitRefused)]
        self.assertGreater(len(refused), 10)
        self.assertEqual({r.code for r in refused}, {"overloaded"})
        self.assertGreater(min(r.retry_after_s for r in refused), 0)

    def test_pool_without_instance_refuses_at_once(self) -> None:
        """A request that waits for an instance would be refused too late."""
        self.broker.set_instances(())
        refused = self.recorder.reply(self.recorder.ask())
        self.assertEqual(refused.code, "no_instance")

    def test_loss_of_all_instances_refuses_what_waits(self) -> None:
        """Requests queued for lost instances must be free to try another zone."""
        for _ in range(2):
            self.recorder.ask()
        waiting = self.recorder.ask()
        self.broker.report_health(VmId("vm-1"), HealthReport.LEAVING)
        self.broker.tick()
        self.assertIsInstance(self.recorder.reply(waiting), PermitRefused)

    def test_burst_of_one_class_leaves_the_others_their_share(self) -> None:
        """A burst of one class must not use the usual shares of the others."""
        self._learn_usual_share("bookings")
        for _ in range(60):
            self.recorder.ask("quotes", 1000)
        self.assertIsInstance(
            self.recorder.reply(self.recorder.ask("quotes", 1000)), PermitRefused
        )
        booking = self.recorder.ask("bookings", 1000)
        self.assertNotIsInstance(self.recorder.reply(booking), PermitRefused)

    def test_retry_of_an_admitted_request_is_not_refused(self) -> None:
        """A refusal after a failed first attempt would come too late."""
        for _ in range(60):
            self.recorder.ask(remaining_ms=500)
        retry = self.recorder.ask(remaining_ms=200, attempt=1)
        self.assertIsNone(self.recorder.reply(retry))

    def _learn_usual_share(self, name: str) -> None:
        for _ in range(100):
            asked = self.recorder.ask(name, 1000)
            self.clock.advance(0.1)
            self.broker.release(result(self.recorder.reply(asked), work_class=name))
            self.broker.tick()


class TakeoverTest(unittest.TestCase):
    """Test how a broker takes over from a predecessor."""

    def setUp(self) -> None:
        """Create a broker that does not grant yet."""
        self.clock = ManualClock()
        self.broker = Broker(
            POOL, EntryId("entry-2"), self.clock, lambda: 2, granting=False
        )
        self.broker.set_instances(instances("vm-1"))
        self.recorder = RequestRecorder(self.broker)

    def held(self, number: int) -> HeldPermit:
        """Return a permit that a predecessor granted."""
        return HeldPermit(
            PermitId(f"old-{number}"), VmId("vm-1"), ClassName("quotes"), 1000.0
        )

    def test_requests_wait_until_the_takeover_ends(self) -> None:
        """A grant before the used slots are known could exceed the slots."""
        asked = self.recorder.ask()
        self.assertIsNone(self.recorder.reply(asked))
        self.broker.adopt([self.held(1)], [], unreachable=False)
        self.assertIsInstance(self.recorder.reply(asked), PermitGranted)
        self.assertEqual(self.broker.in_flight(VmId("vm-1")), 2)

    def test_release_during_the_takeover_is_remembered(self) -> None:
        """A release that arrives before `adopt` must not be lost.

        Otherwise its slot stays in use until the permit expires.
        """
        early = PermitGranted(PermitId("old-1"), VmId("vm-1"), "", 0, 0)
        self.broker.release(result(early))
        self.broker.adopt([self.held(1), self.held(2)], [], unreachable=False)
        self.assertEqual(self.broker.in_flight(VmId("vm-1")), 1)

    def test_slots_of_an_unreachable_entry_stay_blocked(self) -> None:
        """An entry that does not answer may use every slot without a known permit."""
        learned = [LearnedClass(ClassName("quotes"), 200.0, 1.0)]
        self.broker.adopt([self.held(1)], learned, unreachable=True)
        asked = self.recorder.ask(remaining_ms=3000)
        self.assertIsNone(self.recorder.reply(asked))
        for _ in range(9):
            self.clock.advance(0.1)
            self.broker.tick()
        self.assertIsInstance(self.recorder.reply(asked), PermitGranted)

    def test_paused_broker_recovers_before_it_grants(self) -> None:
        """During a pause another entry may have granted the same slots."""
        self.broker.adopt([], [], unreachable=False)
        self.clock.advance(PAUSE_LIMIT_S + 0.5)
        asked = self.recorder.ask()
        self.assertIsNone(self.recorder.reply(asked))
        self.assertFalse(self.broker.tick())
        self.broker.adopt([], [], unreachable=False)
        self.assertIsInstance(self.recorder.reply(asked), PermitGranted)

    def test_stopped_broker_grants_nothing(self) -> None:
        """Two brokers of one pool would together exceed the slots."""
        self.broker.adopt([], [], unreachable=False)
        self.recorder.ask()
        self.assertEqual(len(self.broker.stop("not_broker", "replaced")), 1)
        refused = self.recorder.reply(self.recorder.ask())
        self.assertEqual(refused.code, "not_broker")
