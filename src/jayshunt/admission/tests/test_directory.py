"""Test brokers on several entries that communicate over gRPC on loopback."""

import threading
import unittest
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from jayshunt.admission.const import RECOVER_TIMEOUT_S
from jayshunt.admission.directory import BrokerDirectory
from jayshunt.admission.messages import PermitGranted, PermitRefused
from jayshunt.admission.peer_service import AdmissionServicer
from jayshunt.admission.tests.builders import POOL, instances, request, result
from jayshunt.clock import SystemClock
from jayshunt.ids import EntryId, VmId, ZoneName
from jayshunt.membership.models import Member, MembershipView, MemberState
from jayshunt.peers.channels import PeerChannels
from jayshunt.peers.server import PeerServer
from jayshunt.tasks import TaskGroup

SLOTS = 2
TIME_MS = 4000.0


class Entry:
    """Run the admission service of one entry."""

    def __init__(self, name: str, zone: str, fleet: "Fleet") -> None:
        """Start the peer server and the directory on a free port."""
        self.name = EntryId(name)
        self.zone = ZoneName(zone)
        self.server = PeerServer("127.0.0.1:0", None)
        self.channels = PeerChannels(None)
        self.directory = BrokerDirectory(
            self.name,
            self.zone,
            SystemClock(),
            lambda: fleet.view,
            self.channels,
            lambda _: fleet.instances[zone],
            lambda _: SLOTS,
        )
        service = AdmissionServicer(
            self.directory.get_or_create_broker, self.directory.recover
        )
        self.server.add(service.add_to)
        self.server.start()
        self._tasks = TaskGroup(name)
        self._tasks.start(self.directory.run)

    @property
    def member(self) -> Member:
        """Return this entry as a member."""
        return Member(self.name, self.zone, f"127.0.0.1:{self.server.port}", 1)

    def kill(self) -> None:
        """Stop without handing anything over, like a killed process."""
        self.server._server.stop(None).wait()
        self.channels.stop()
        self._tasks.stop()

    def stop(self) -> None:
        """Stop gracefully."""
        self.directory.stop()
        self.kill()


class Fleet:
    """Run several entries that share one membership view."""

    def __init__(self, *names: tuple[str, str]) -> None:
        """Start the entries, given as name and zone."""
        zones = {zone for _, zone in names}
        self.instances = {zone: instances(f"vm-{zone}") for zone in zones}
        self.view = MembershipView(1)
        self.entries = {name: Entry(name, zone, self) for name, zone in names}
        members = tuple(entry.member for entry in self.entries.values())
        self.view = MembershipView(2, members)

    def mark(self, name: str, state: MemberState) -> None:
        """Publish a view in which one member has another state."""
        members = tuple(
            replace(m, state=state) if m.entry == name else m for m in self.view.members
        )
        self.view = MembershipView(self.view.version + 1, members)

    def candidates(self, zone: str) -> list[Entry]:
        """Return a zone's entries in the order in which they become broker."""
        first = next(iter(self.entries.values()))
        candidates = first.directory.broker_candidates.candidates(ZoneName(zone), POOL)
        return [self.entries[member.entry] for member in candidates]

    def stop(self) -> None:
        """Stop every entry."""
        for entry in self.entries.values():
            entry.stop()


def ask(entry: Entry, **fields) -> PermitGranted | PermitRefused:
    """Acquire one permit at an entry."""
    fields.setdefault("remaining_ms", TIME_MS)
    return entry.directory.acquire(replace(request(**fields), entry=entry.name))


def wait_for(condition) -> None:
    """Fail unless a condition becomes true within 5 s."""
    passed = threading.Event()
    for _ in range(500):
        if condition():
            return
        passed.wait(0.01)
    raise AssertionError("the condition did not come true within 5 s")


class ZoneTest(unittest.TestCase):
    """Test the entries of one zone."""

    def setUp(self) -> None:
        """Start three entries."""
        self.fleet = Fleet(("e1", "north"), ("e2", "north"), ("e3", "north"))
        self.addCleanup(self.fleet.stop)
        self.first, self.second, self.third = self.fleet.candidates("north")

    def test_entries_share_the_slots(self) -> None:
        """Entries that count slots separately would together exceed them."""
        granted = [ask(self.first), ask(self.third)]
        self.assertEqual({type(g) for g in granted}, {PermitGranted})
        with ThreadPoolExecutor(1) as executor:
            waiting = executor.submit(ask, self.second)
            self.assertFalse(waiting.done())
            broker = self.first.directory.brokers()[POOL]
            self.assertEqual(broker.in_flight(VmId("vm-north")), SLOTS)
            self.third.directory.release(result(granted[1]))
            self.assertIsInstance(waiting.result(5), PermitGranted)

    def test_next_entry_takes_over_from_a_dead_broker(self) -> None:
        """A new broker that does not count held permits would exceed the slots."""
        granted = ask(self.third)
        self.first.kill()
        again = ask(self.third)
        self.assertIsInstance(again, PermitGranted)
        broker = self.second.directory.brokers()[POOL]
        held = {item.permit for item in broker.held_permits()}
        self.assertEqual(held, {granted.permit, again.permit})

    def test_next_entry_grants_nothing_while_the_first_lives(self) -> None:
        """If requests bypass a slow broker, a second one must not start to grant."""
        ask(self.first)
        self.assertFalse(
            self.second.directory.broker_candidates.is_first_candidate(POOL)
        )
        self.fleet.mark(self.first.name, MemberState.SUSPECT)
        self.assertTrue(
            self.second.directory.broker_candidates.is_first_candidate(POOL)
        )

    def test_waiting_request_moves_to_the_new_broker(self) -> None:
        """A request admitted by the old broker must not be refused by the new one."""
        granted = [ask(self.third), ask(self.third)]
        with ThreadPoolExecutor(1) as executor:
            waiting = executor.submit(ask, self.third)
            self._wait_for_queue(self.first)
            self.first.directory.stop()
            self.first.kill()
            self._wait_for_queue(self.second)
            self.third.directory.release(result(granted[0]))
            self.assertIsInstance(waiting.result(5), PermitGranted)

    def test_predecessor_hands_over_when_it_is_replaced(self) -> None:
        """While membership views differ, only one broker may grant."""
        self.fleet.mark(self.first.name, MemberState.LEAVING)
        granted = ask(self.second)
        self.fleet.mark(self.first.name, MemberState.ALIVE)
        self.assertIsInstance(ask(self.third), PermitGranted)
        self.assertEqual(self.second.directory.brokers(), {})
        broker = self.first.directory.brokers()[POOL]
        self.assertIn(granted.permit, {h.permit for h in broker.held_permits()})

    def test_cancelled_request_is_refused_and_frees_its_place(self) -> None:
        """A caller that left must not get a slot later."""
        granted = [ask(self.third), ask(self.third)]
        cancelled = request(remaining_ms=TIME_MS)
        with ThreadPoolExecutor(1) as executor:
            waiting = executor.submit(self.third.directory.acquire, cancelled)
            self._wait_for_queue(self.first)
            self.assertTrue(self.third.directory.cancel(cancelled.request))
            self.assertEqual(waiting.result(5).code, "cancelled")
        self._wait_for(lambda: self.first.directory.brokers()[POOL].waiting == 0)
        self.third.directory.release(result(granted[0]))

    def _wait_for_queue(self, entry: Entry) -> None:
        self._wait_for(
            lambda: POOL in entry.directory.brokers()
            and entry.directory.brokers()[POOL].waiting == 1
        )

    def _wait_for(self, condition) -> None:
        wait_for(condition)


class SpillTakeoverTest(unittest.TestCase):
    """Test a takeover in a zone that serves another zone's requests."""

    def test_new_broker_counts_the_permits_of_other_zones(self) -> None:
        """A slot used by another zone's request must count at the new broker.

        Otherwise it is granted twice, or its VM is drained while in use.
        """
        fleet = Fleet(("e1", "north"), ("e2", "south"), ("e3", "south"))
        self.addCleanup(fleet.stop)
        fleet.instances["north"] = ()
        first, second = fleet.candidates("south")
        granted = ask(fleet.entries["e1"])
        self.assertEqual(granted.vm, "vm-south")
        first.kill()
        self.assertIsInstance(ask(second), PermitGranted)
        broker = second.directory.brokers()[POOL]
        wait_for(
            lambda: granted.permit in {held.permit for held in broker.held_permits()}
        )
        self.assertEqual(second.directory.in_flight(VmId("vm-south")), SLOTS)


class SpillTest(unittest.TestCase):
    """Test requests that spill over to another zone."""

    def setUp(self) -> None:
        """Start one entry in each of two zones."""
        self.fleet = Fleet(("e1", "north"), ("e2", "south"))
        self.addCleanup(self.fleet.stop)
        self.north, self.south = self.fleet.entries.values()

    def test_zone_without_instances_uses_the_other(self) -> None:
        """Requests must not be refused if another zone can serve them."""
        self.fleet.instances["north"] = ()
        granted = ask(self.north)
        self.assertEqual(granted.vm, "vm-south")
        broker = self.south.directory.brokers()[POOL]
        self.assertEqual(broker.in_flight(VmId("vm-south")), 1)
        self.north.directory.release(result(granted))

    def test_retry_waits_for_an_instance_to_come_back(self) -> None:
        """A refusal after a failed first attempt would come too late."""
        south = self.fleet.instances["south"]
        self.fleet.instances = {"north": (), "south": ()}
        with ThreadPoolExecutor(1) as executor:
            waiting = executor.submit(ask, self.north, attempt=1)
            while POOL not in self.south.directory.brokers():
                self.assertFalse(waiting.done())
            self.fleet.instances["south"] = south
            self.assertEqual(waiting.result(5).vm, "vm-south")

    def test_lost_zone_is_refused_early(self) -> None:
        """Waiting for an unreachable zone would make the refusal too late."""
        self.fleet.instances["north"] = ()
        self.south.kill()
        refused = ask(self.north)
        self.assertEqual(refused.code, "no_instance")
        self.assertLess(RECOVER_TIMEOUT_S, TIME_MS / 1000)
