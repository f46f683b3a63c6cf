"""Hold a zone's controller lease and keep its assignment record."""

import json
import logging
import threading
from collections.abc import Callable
from dataclasses import replace

from jayshunt.clock import Clock
from jayshunt.errors import JayshuntError
from jayshunt.ids import EntryId, Epoch, LeaseId, ZoneName
from jayshunt.inventory.models import VmList
from jayshunt.pools.const import (
    CONTROL_INTERVAL_S,
    CONTROLLER_LEASE_S,
    assignments_key,
    controller_key,
)
from jayshunt.pools.models import Assignment, AssignmentRecord, AssignmentState
from jayshunt.pools.record import read_record, record_content
from jayshunt.store.client import ABSENT, StoreClient
from jayshunt.store.documents import Content, DocumentStore
from jayshunt.store.errors import RevisionConflict

_LOGGER = logging.getLogger(__name__)


class ZoneController:
    """Run the duties of a zone while this entry holds the zone's lease."""

    def __init__(
        self,
        zone: ZoneName,
        entry: EntryId,
        store: StoreClient,
        documents: DocumentStore,
        list_vms: Callable[[], VmList],
        clock: Clock,
    ) -> None:
        """Start without the lease and with an empty record."""
        self._zone = zone
        self._entry = entry
        self._store = store
        self._documents = documents
        self._list_vms = list_vms
        self._clock = clock
        self._lease: LeaseId | None = None
        self._record = AssignmentRecord(zone)
        self._listeners: list[Callable[[AssignmentRecord], None]] = []
        self._duties: list[Callable[[AssignmentRecord], None]] = []

    @property
    def record(self) -> AssignmentRecord:
        """Return the newest record that was read."""
        return self._record

    @property
    def term(self) -> str | None:
        """Return an id that is new each time this entry became controller."""
        return self._lease

    @property
    def holds_lease(self) -> bool:
        """Return whether this entry was controller at its last step."""
        return self._lease is not None

    def add_listener(self, listener: Callable[[AssignmentRecord], None]) -> None:
        """Call a listener with each newer record."""
        self._listeners.append(listener)

    def add_duty(self, duty: Callable[[AssignmentRecord], None]) -> None:
        """Run a duty at each step in which this entry is controller."""
        self._duties.append(duty)

    def run(self, stop: threading.Event) -> None:
        """Step until stopped, then end the lease."""
        while not stop.is_set():
            try:
                self.step()
            except JayshuntError as error:
                _LOGGER.warning("pools: controller step failed: %s", error)
            self._clock.wait(stop, CONTROL_INTERVAL_S)
        if self._lease is not None:
            self._store.end_lease(self._lease)

    def step(self) -> None:
        """Keep the lease, add new VMs to the record and run the duties."""
        if self._hold_lease():
            self._documents.update(assignments_key(self._zone), self._add_new_vms)
        document = self._documents.read(assignments_key(self._zone))
        self.apply(read_record(self._zone, document.content))
        if self._lease is None:
            return
        for duty in self._duties:
            duty(self._record)

    def apply(self, record: AssignmentRecord) -> None:
        """Take a record if its epoch is higher."""
        if record.epoch <= self._record.epoch:
            return
        self._record = record
        for listener in self._listeners:
            listener(record)

    def _hold_lease(self) -> bool:
        if self._lease is not None:
            if self._store.keep_lease(self._lease):
                return True
            _LOGGER.warning("pools: the controller lease of %s ended", self._zone)
            self._lease = None
        key = controller_key(self._zone)
        if self._store.get(key) is not None:
            return False
        lease = self._store.grant_lease(CONTROLLER_LEASE_S)
        holder = json.dumps({"entry": self._entry})
        try:
            self._store.put(key, holder, ABSENT, lease)
        except RevisionConflict:
            return False
        self._lease = lease
        _LOGGER.info("pools: %s controls zone %s", self._entry, self._zone)
        return True

    def _add_new_vms(self, content: Content | None) -> Content | None:
        record = read_record(self._zone, content)
        new = [
            vm
            for vm in self._list_vms().vms.values()
            if vm.zone == self._zone
            and vm.vm not in record.assignments
            and vm.initial_pool
        ]
        if not new:
            return None
        epoch = Epoch(record.epoch + 1)
        added = {
            vm.vm: Assignment(
                vm=vm.vm,
                pool=vm.initial_pool,
                state=AssignmentState.SERVING,
                epoch=epoch,
                address=vm.address,
                rack=vm.rack,
                kind=vm.kind,
                reason="listed by the platform",
            )
            for vm in new
        }
        assignments = {**record.assignments, **added}
        return record_content(replace(record, epoch=epoch, assignments=assignments))
