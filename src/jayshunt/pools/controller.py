"""Run a zone's controller: hold its lease and maintain its assignment record."""

import logging
import threading
from collections.abc import Callable
from dataclasses import replace

from jayshunt.clock import Clock
from jayshunt.errors import JayshuntError
from jayshunt.ids import EntryId, Epoch, PoolName, VmId, ZoneName
from jayshunt.inventory.models import VmList
from jayshunt.pools.const import CONTROL_INTERVAL_S, PUSH_INTERVAL_S, assignments_key
from jayshunt.pools.drain import StaleRegistrations, find_drained, leaving_vms
from jayshunt.pools.errors import Fenced, NotController
from jayshunt.pools.lease import ControllerLease
from jayshunt.pools.models import (
    Acknowledgement,
    AssignmentRecord,
    EntryRegistration,
    ZoneDemand,
)
from jayshunt.pools.record import read_record, record_content
from jayshunt.pools.registry import EntryRegistry
from jayshunt.pools.transitions import apply_vm_list, mark_drained
from jayshunt.store.client import StoreClient
from jayshunt.store.documents import Content, DocumentStore
from jayshunt.store.errors import RevisionConflict

_LOGGER = logging.getLogger(__name__)

Push = Callable[
    [EntryRegistration, list[EntryRegistration], AssignmentRecord],
    dict[EntryId, Acknowledgement],
]
Transition = Callable[[AssignmentRecord], AssignmentRecord]


class ZoneController:
    """Run the duties of a zone while this entry holds the zone's lease.

    Every entry runs a ZoneController, which registers the entry, reads the zone's
    record and acquires the lease when it is free. All changes of the record go
    through `write`.
    """

    def __init__(
        self,
        zone: ZoneName,
        entry: EntryId,
        store: StoreClient,
        documents: DocumentStore,
        list_vms: Callable[[], VmList],
        clock: Clock,
        registry: EntryRegistry,
        push: Push,
        list_peers: Callable[[], list[EntryRegistration]] = list,
    ) -> None:
        """Start without the lease and with an empty record.

        `list_peers` returns the zone's live entries, registered or not; all of them
        get the record, but moves wait only for registered entries.
        """
        self._zone = zone
        self._entry = entry
        self._documents = documents
        self._list_vms = list_vms
        self._clock = clock
        self._registry = registry
        self._push = push
        self._list_peers = list_peers
        self._lease = ControllerLease(zone, entry, store, clock)
        self._fence: Epoch | None = None
        self._lock = threading.Lock()
        self._record = AssignmentRecord(zone)
        self._may_broker = False
        self._pushed = (Epoch(0), 0.0)
        self._absent_since_s: dict[VmId, float] = {}
        self._stale_registrations = StaleRegistrations()
        self.drain_blockers: dict[VmId, str] = {}
        self._failing: dict[EntryId, tuple[VmId, ...]] = {}
        self._demand = ZoneDemand()
        self._listeners: list[Callable[[AssignmentRecord], None]] = []
        self._duties: list[Callable[[AssignmentRecord], None]] = []
        self._drain_checks: list[Callable[[VmId], int]] = []

    @property
    def record(self) -> AssignmentRecord:
        """Return the record with the highest epoch received so far."""
        return self._record

    @property
    def term(self) -> str | None:
        """Return an id of this entry's term as controller, or None without one.

        The id is a new one each time the entry becomes controller.
        """
        fence = self.fencing_epoch
        return None if fence is None else str(fence)

    @property
    def holds_lease(self) -> bool:
        """Return whether this entry is the zone's controller now."""
        return self._fence is not None and self._lease.is_held

    @property
    def fencing_epoch(self) -> Epoch | None:
        """Return this entry's fencing epoch, or None if it is not controller.

        A write on behalf of the controller must check that the record's `fence`
        is not higher, because this process may have paused until its lease expired.
        """
        return self._fence if self.holds_lease else None

    @property
    def may_broker(self) -> bool:
        """Return whether this entry may act as broker.

        It may while it is registered and has read the record since it registered.
        """
        return self._may_broker and self._registry.is_registered

    def ejected_vms(self) -> dict[VmId, str]:
        """Return the VMs that brokers of the zone ejected, with reasons.

        The last report of an entry counts until its next one, so that the ejected
        VMs of an entry that stops answering do not become available.
        """
        return {
            vm: f"ejected by {entry}"
            for entry, vms in self._failing.items()
            for vm in vms
        }

    def demand(self) -> ZoneDemand:
        """Return the demand from the entries' last acknowledgements."""
        return self._demand

    def _update_from_acknowledgements(
        self, asked_count: int, acknowledged: dict[EntryId, Acknowledgement]
    ) -> None:
        """Store the ejected VMs and the demand that the entries reported."""
        slots: dict[PoolName, float] = {}
        for entry, ack in acknowledged.items():
            self._failing[entry] = ack.failing
            for pool, demand in ack.demand.items():
                # A pool has two brokers only during a takeover; the higher demand
                # counts.
                slots[pool] = max(demand, slots.get(pool, 0.0))
        self._demand = ZoneDemand(slots, len(acknowledged) >= asked_count)

    def add_listener(self, listener: Callable[[AssignmentRecord], None]) -> None:
        """Call a listener with each newer record, and when `may_broker` changes."""
        self._listeners.append(listener)

    def add_duty(self, duty: Callable[[AssignmentRecord], None]) -> None:
        """Call a duty in each control step in which this entry is controller."""
        self._duties.append(duty)

    def add_drain_check(self, count_work: Callable[[VmId], int]) -> None:
        """Let VMs become drained only once `count_work(vm)` returns 0."""
        self._drain_checks.append(count_work)

    def run(self, stop: threading.Event) -> None:
        """Run control steps until stopped, then end the lease."""
        while not stop.is_set():
            try:
                self.step()
            except JayshuntError as error:
                _LOGGER.warning("pools: controller step failed: %s", error)
            self._clock.wait(stop, CONTROL_INTERVAL_S)
        self._fence = None
        self._lease.release()

    def step(self) -> None:
        """Register, renew the lease, advance moves and run the duties."""
        try:
            self._registry.register()
            self._reconcile()
            self._update_may_broker()
        finally:
            self._push_record()
        if not self.holds_lease:
            return
        for duty in self._duties:
            duty(self._record)

    def write(self, transition: Transition) -> AssignmentRecord:
        """Change the record under this controller's fencing epoch.

        `transition` must be pure, because it may run several times; it returns its
        argument to leave the record as it is. Raise Fenced if a newer controller
        exists and NotController if the lease is not held.
        """
        fence = self.fencing_epoch
        if fence is None:
            raise NotController(self._zone)

        def change(content: Content | None) -> Content | None:
            record = read_record(self._zone, content)
            if record.fence != fence:
                raise Fenced(self._zone, fence, record.fence)
            changed = transition(record)
            if changed is record:
                return None
            # Keep the write ids and the fields that this version does not know.
            return {**(content or {}), **record_content(changed)}

        try:
            document = self._documents.update(assignments_key(self._zone), change)
        except Fenced:
            self._fence = None
            self._lease.abandon()
            raise
        self.apply(read_record(self._zone, document.content))
        return self._record

    def apply(self, record: AssignmentRecord) -> AssignmentRecord:
        """Adopt a record if its epoch is higher; return the record in force."""
        with self._lock:
            if record.epoch <= self._record.epoch:
                return self._record
            self._record = record
        for listener in self._listeners:
            listener(record)
        return self._record

    def _update_may_broker(self) -> None:
        """Update `may_broker`; if it changes, call the listeners so they read it."""
        allowed, self._may_broker = self._may_broker, self._registry.is_registered
        if allowed == self._may_broker or not self._record.epoch:
            return
        for listener in self._listeners:
            listener(self._record)

    def _reconcile(self) -> None:
        if not self._lease.acquire_or_renew():
            self._fence = None
            document = self._documents.read(assignments_key(self._zone))
            self.apply(read_record(self._zone, document.content))
            return
        if self._fence is None:
            self._increment_fence()
        listed, now_s = self._list_vms(), self._clock.now_s()
        self._absent_since_s = {
            vm: self._absent_since_s.get(vm, now_s)
            for vm in self._record.assignments
            if vm not in listed.vms
        }
        self.write(lambda r: apply_vm_list(r, listed, self._absent_since_s, now_s))
        self._advance(listed, now_s)

    def _increment_fence(self) -> None:
        new_fence = Epoch(0)

        def change(content: Content | None) -> Content:
            nonlocal new_fence
            record = read_record(self._zone, content)
            new_fence = Epoch(record.fence + 1)
            changed = replace(record, fence=new_fence, epoch=Epoch(record.epoch + 1))
            return {**(content or {}), **record_content(changed)}

        document = self._documents.update(assignments_key(self._zone), change)
        self._fence = new_fence
        self.apply(read_record(self._zone, document.content))
        _LOGGER.info(
            "pools: %s controls zone %s with fencing epoch %s",
            self._entry,
            self._zone,
            new_fence,
        )

    def _advance(self, listed: VmList, now_s: float) -> None:
        """Mark VMs as drained once every registered entry acknowledged LEAVING.

        The registrations are read after LEAVING was written. An entry that registers
        later reads LEAVING before it acts as broker; any other is waited for.
        """
        if not leaving_vms(self._record):
            self.drain_blockers = {}
            return
        registered = self._registry.registered()
        entries = [registration for registration, _ in registered]
        acknowledged = self._push(self._registry.own, entries, self._record)
        self._update_from_acknowledgements(len(entries), acknowledged)
        self._pushed = (self._record.epoch, now_s)
        drained, self.drain_blockers = find_drained(
            self._record, registered, acknowledged, self._drain_checks
        )
        if drained:
            self.write(lambda r: mark_drained(r, drained, self._clock.now_s()))
        for entry, revision in self._stale_registrations.find(
            registered, acknowledged, listed, self._clock.monotonic_s()
        ):
            try:
                self._registry.remove(entry, revision)
            except RevisionConflict:
                _LOGGER.info("pools: %s registered again", entry)

    def _push_record(self) -> None:
        """Send the record to the zone's entries when it changed, else periodically.

        The last holder of the lease also does this while the store is down, so that
        an entry that starts then gets the record.
        """
        epoch, pushed_s = self._pushed
        now_s = self._clock.now_s()
        is_due = now_s - pushed_s >= PUSH_INTERVAL_S or epoch < self._record.epoch
        if self._fence is None or not is_due or not self._record.epoch:
            return
        peers = self._list_peers()
        acknowledged = self._push(self._registry.own, peers, self._record)
        self._update_from_acknowledgements(len(peers), acknowledged)
        self._pushed = (self._record.epoch, now_s)
