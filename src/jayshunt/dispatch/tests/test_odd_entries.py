"""Test that entries of other programs end no duty and hide no entry beside them.

Operators of a similar system saw machines end again and again over one entry that was
nested deeply, held a number too large or a port out of range.
"""

import json
import threading
import unittest
from itertools import count
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from jayshunt.clock import ManualClock
from jayshunt.dispatch.config_follower import ConfigFollower
from jayshunt.dispatch.handover import HandoverMonitor
from jayshunt.dispatch.models import Address
from jayshunt.dispatch.recent_orders import RecentOrders
from jayshunt.dispatch.records import (
    ACCEPTED_PREFIX,
    HANDOFF_KEY,
    ORDERED_KEY,
    PROGRESS_PREFIX,
    SUSPECT_KEY,
    TERM_KEY,
    WAVE_PREFIX,
    accepted_key,
    encode_job,
    progress_key,
)
from jayshunt.dispatch.store_models import Put
from jayshunt.dispatch.suspicion import decode_suspicion
from jayshunt.dispatch.term import TermElection
from jayshunt.dispatch.tests.builders import (
    add_worker_view,
    build_config,
    build_node,
    build_queue,
    build_spec,
    build_tracker,
    build_vm,
)
from jayshunt.dispatch.tests.fakes import FakeStore
from jayshunt.dispatch.tests.fleet_builders import FakeFleet
from jayshunt.dispatch.tests.odd_entries import (
    CONFIG,
    JOB,
    MACHINE,
    ODD_NAMES,
    ODD_TEXTS,
    PROGRESS,
    STORED_WAVE,
    SUSPICION,
    TERM,
    WAVE,
    WORKER,
    all_odd_entries,
    odd_entries,
)
from jayshunt.dispatch.vm_inventory import VmInventory
from jayshunt.dispatch.wave_book import WaveBook
from jayshunt.dispatch.worker_list import WorkerList
from jayshunt.ids import JobId
from jayshunt.platform.const import CONFIG_KEY
from jayshunt.platform.const import WAVE_PREFIX as DECLARED_PREFIX
from jayshunt.platform.const import WORKER_PREFIX
from jayshunt.platform.formats import decode_config, decode_worker
from jayshunt.platform.machine_calls import VmServiceClient

STOP = threading.Event()
SHORT = settings(max_examples=60, derandomize=True, database=None, deadline=None)
TIMEOUT_S = 20.0


def put(store: FakeStore, key: str, value: bytes) -> None:
    """Write an entry as another program does."""
    store.transact({}, (Put(key, value),))


class WorkerEntryTest(unittest.TestCase):
    """Read a list of workers with odd entries before, between and after good ones."""

    @SHORT
    @given(
        odd=st.lists(odd_entries(WORKER), min_size=1, max_size=4),
        names=st.lists(st.sampled_from(ODD_NAMES), max_size=2),
    )
    def test_good_workers_are_followed(self, odd: list[bytes], names: list) -> None:
        """One odd entry ended or stopped the reading of the list."""
        store = FakeStore()
        dispatcher = FakeFleet(0).build_dispatcher()
        opened = []
        dispatcher.add_worker = opened.append
        workers = WorkerList(dispatcher, store, ManualClock(0.0), lambda: 0.0)
        good = json.dumps(WORKER).encode()
        for number, value in enumerate(odd):
            put(store, f"{WORKER_PREFIX}a{number}", value)
            put(store, f"{WORKER_PREFIX}z{number}", value)
        for name in names:
            put(store, WORKER_PREFIX + name, good)
        put(store, f"{WORKER_PREFIX}m", good)
        workers._read_or_watch(STOP)
        put(store, f"{WORKER_PREFIX}zz", good)
        workers._read_or_watch(STOP)
        self.assertTrue({"m", "zz"} <= {worker.worker for worker in opened})
        for worker in opened:
            self.assertTrue(1 <= worker.address.port <= 65_535)
            self.assertTrue(worker.worker.isascii() and worker.worker.isprintable())
            hash(worker)

    def test_odd_entry_is_logged_once(self) -> None:
        """It was logged at each reading of the list."""
        store = FakeStore()
        workers = WorkerList(
            FakeFleet(0).build_dispatcher(), store, ManualClock(0.0), lambda: 0.0
        )
        put(store, f"{WORKER_PREFIX}a", b'{"service":[]}')
        with self.assertLogs("jayshunt.platform.formats", "WARNING") as logs:
            for _ in range(3):
                workers._revision = None
                workers._read_or_watch(STOP)
            put(store, f"{WORKER_PREFIX}a", b"[" * 100_000)
            workers._read_or_watch(STOP)
        self.assertEqual(2, len(logs.records))
        self.assertTrue(all(len(r.reason) < 400 for r in logs.records))

    def test_odd_entry_of_a_used_worker_names_it_no_more(self) -> None:
        """Its runs go on, and nothing is started there until a good entry names it."""
        dispatcher = FakeFleet(1).build_dispatcher()
        store = dispatcher._store
        workers = WorkerList(dispatcher, store, ManualClock(0.0), lambda: 0.0)
        good = store.items[f"{WORKER_PREFIX}w0"].value
        workers._read_or_watch(STOP)
        view = dispatcher.tracker.workers["w0"]
        for value, is_listed in ((b"{}", False), (good, True)):
            put(store, f"{WORKER_PREFIX}w0", value)
            workers._revision = None
            workers._read_or_watch(STOP)
            self.assertIs(view, dispatcher.tracker.workers["w0"])
            self.assertEqual(is_listed, view.is_listed)

    def test_entry_without_a_start_time_tells_no_restart(self) -> None:
        """The runs of a live worker counted as lost."""
        dispatcher = FakeFleet(1).build_dispatcher()
        store = dispatcher._store
        workers = WorkerList(dispatcher, store, ManualClock(0.0), lambda: 0.0)
        workers._read_or_watch(STOP)
        view = dispatcher.tracker.workers["w0"]
        fields = json.loads(store.items[f"{WORKER_PREFIX}w0"].value)
        del fields["born"]
        put(store, f"{WORKER_PREFIX}w0", json.dumps(fields).encode())
        workers._revision = None
        workers._read_or_watch(STOP)
        self.assertIs(view, dispatcher.tracker.workers["w0"])
        self.assertEqual(1, view.worker.started_ms)


class OtherEntryTest(unittest.TestCase):
    """Read waves, configurations, VMs and records of ours with odd fields."""

    @SHORT
    @given(
        odd=st.lists(odd_entries(WAVE), min_size=1, max_size=4),
        stored=odd_entries(STORED_WAVE),
    )
    def test_good_waves_are_followed(self, odd: list[bytes], stored: bytes) -> None:
        """One odd wave, or one odd record of a wave, stopped the duty for VMs."""
        store, waves = FakeStore(), WaveBook()
        inventory = VmInventory(build_config)
        inventory.apply_list([build_vm("w1")], 0.0)
        for number, value in enumerate(odd):
            put(store, f"{DECLARED_PREFIX}{number}", value)
        good = json.dumps({**WAVE, "wave": 50}).encode()
        put(store, f"{DECLARED_PREFIX}50", good)
        put(store, f"{WAVE_PREFIX}50", stored)
        for _ in range(2):
            waves.read(store, lambda: 0.0)
            waves.open_states(inventory)
            waves.write(store, {})
        self.assertIn(50, waves.states)

    @SHORT
    @given(odd=odd_entries(CONFIG))
    def test_odd_configuration_leaves_the_one_in_force(self, odd: bytes) -> None:
        """A prefix that is no text would fail each call of a caller."""
        store = FakeStore()
        follower = ConfigFollower(store, ManualClock(0.0), CONFIG_KEY, decode_config)
        put(store, CONFIG_KEY, json.dumps({**CONFIG, "version": 1}).encode())
        follower._apply_all(store.list(CONFIG_KEY)[0])
        put(store, CONFIG_KEY, odd)
        follower._apply_all(store.list(CONFIG_KEY)[0])
        config = follower.current()
        self.assertGreaterEqual(config.version, 1)
        config.queue_of("h", "/q/1")

    @SHORT
    @given(odd=st.lists(odd_entries(MACHINE), min_size=1, max_size=3))
    def test_odd_vm_hides_no_other(self, odd: list[bytes]) -> None:
        """The whole list was refused for as long as an odd row was in it."""
        service = VmServiceClient(Address("127.0.0.1", 1), "entry-1")
        rows = []
        for value in odd:
            try:
                rows.append(json.loads(value))
            except (ValueError, RecursionError):
                rows.append(None)
        vms = [service._decode_row(row, set()) for row in [*rows, MACHINE]]
        self.assertEqual("vm-odd", vms[-1].vm)
        inventory = VmInventory(lambda: None)
        inventory.apply_list([vm for vm in vms if vm is not None], 0.0)
        inventory.views_by_vm(build_tracker().workers)

    @SHORT
    @given(odd=st.one_of(odd_entries(TERM), odd_entries({"0": ["a", "b", 1]})))
    def test_records_of_ours_are_checked(self, odd: bytes) -> None:
        """The duty for VMs, or the election, started again and again."""
        store = FakeStore()
        for key in (ORDERED_KEY, SUSPECT_KEY):
            put(store, key, odd)
        RecentOrders.read(store, 0.0, 3.0).blocked(0.0)
        decode_suspicion(store.get(SUSPECT_KEY))
        put(store, SUSPECT_KEY, json.dumps(SUSPICION).encode())
        self.assertEqual(5, decode_suspicion(store.get(SUSPECT_KEY)).token)

    def test_term_that_cannot_be_read_is_removed(self) -> None:
        """No entry could hold the term, as its key was there."""
        for odd in (*all_odd_entries(TERM), b"\xff", b"7"):
            store = FakeStore()
            election = TermElection(
                build_node(), store, ManualClock(0.0), None, lambda own: None
            )
            put(store, TERM_KEY + "-other", odd)
            put(store, TERM_KEY, odd)
            election._apply_term_item(store.get(TERM_KEY))
            is_removed = store.get(TERM_KEY) is None
            self.assertNotEqual(is_removed, election.term is not None, odd[:80])


class HandoverTest(unittest.TestCase):
    """List more workers that do not exist or have just come than those that answer."""

    def setUp(self) -> None:
        """Let a dispatcher act for a while, with four workers that answer."""
        self.clock = ManualClock(0.0)
        self.dispatcher = FakeFleet(0).build_dispatcher()
        self.resigned: list[float] = []
        election = SimpleNamespace(
            own=SimpleNamespace(is_valid=True, term=SimpleNamespace(token=1)),
            resign=self.resigned.append,
        )
        link = SimpleNamespace(own_dispatcher=self.dispatcher, reports=tuple)
        self.monitor = HandoverMonitor(election, link, FakeStore(), self.clock)
        self.monitor._check()
        self.clock.advance(2.5)
        tracker = self.dispatcher.tracker
        self.views = [add_worker_view(tracker, f"w{n}", 2.4) for n in range(4)]

    def list_vms(self, *names: str) -> None:
        """Let the platform list the VMs of workers."""
        vms = [build_vm(name) for name in names]
        self.dispatcher.fleet.inventory.apply_list(vms, 2)

    def test_workers_that_do_not_exist_cause_no_handover(self) -> None:
        """Each dispatcher gave up its term, as it did not reach most of the list."""
        for number in range(8):
            add_worker_view(self.dispatcher.tracker, f"odd{number}", None)
        self.list_vms(*(f"w{n}" for n in range(4)))
        self.monitor._check()
        self.assertEqual([], self.resigned)
        for view in self.views:
            view.is_failing = True
        self.monitor._check()
        self.assertEqual(1, len(self.resigned))

    def test_workers_that_have_just_come_cause_no_handover(self) -> None:
        """The dispatcher gave up its term as most VMs of a pool came back at once."""
        new = [f"new{n}" for n in range(6)]
        for name in new:
            view = add_worker_view(self.dispatcher.tracker, name, None)
            view.first_seen_s = self.clock.monotonic_s() - 0.1
        self.list_vms(*(f"w{n}" for n in range(4)), *new)
        self.monitor._check()
        self.assertEqual([], self.resigned)
        self.clock.advance(3.0)
        for view in self.views:
            view.last_answer_s = self.clock.monotonic_s()
        self.monitor._check()
        self.assertEqual(1, len(self.resigned), "they never answered")


class TakeOverTest(unittest.TestCase):
    """Take over with odd entries in every list."""

    def test_dispatcher_serves(self) -> None:
        """It never became ready, or never read its workers."""
        fleet = FakeFleet(2)
        number = count(1)

        def put_all(prefix: str, entry: dict) -> None:
            for value in (*all_odd_entries(entry), *(t.encode() for t in ODD_TEXTS)):
                put(fleet.store, f"{prefix}{next(number):016x}", value)

        # A worker that looks sound but never answers would hold inherited jobs back.
        with self.assertLogs("jayshunt.platform.formats", "WARNING"):
            odd_workers = [
                value
                for value in all_odd_entries(WORKER)
                if decode_worker("w", value) is None
            ]
        for value in odd_workers:
            put(fleet.store, f"{WORKER_PREFIX}{next(number):016x}", value)
        put_all(DECLARED_PREFIX, WAVE)
        put_all(ACCEPTED_PREFIX, JOB)
        for name in ODD_NAMES:
            put(fleet.store, ACCEPTED_PREFIX + name, json.dumps(JOB).encode())
            put(fleet.store, WORKER_PREFIX + name, b"{}")
        put_all(PROGRESS_PREFIX, PROGRESS)
        for value in all_odd_entries(PROGRESS)[:40]:
            job = JobId(f"{next(number):016x}")
            spec = encode_job(build_spec(job=job), build_queue(), 0.0)
            put(fleet.store, accepted_key(job), spec)
            put(fleet.store, progress_key(job), value)
        for key in (HANDOFF_KEY, ORDERED_KEY, SUSPECT_KEY):
            put(fleet.store, key, b'[["vm", [], NaN]]')
        fleet.add_long_running_jobs(1)
        dispatcher = fleet.build_dispatcher()
        dispatcher.start()
        self.addCleanup(dispatcher.stop, False)
        self.assertTrue(dispatcher.ready.wait(TIMEOUT_S))
        self.assertTrue(fleet.wait_until_started(TIMEOUT_S))


if __name__ == "__main__":
    unittest.main()
