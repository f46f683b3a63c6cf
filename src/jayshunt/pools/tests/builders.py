"""Build a fake zone, its store and its entries for tests of VM ownership."""

import random
from dataclasses import replace

from jayshunt.clock import ManualClock
from jayshunt.ids import EntryId, LeaseId, PoolName, RackName, Revision, VmId, ZoneName
from jayshunt.inventory.models import ListedState, ListedVm, VmList
from jayshunt.pools.controller import ZoneController
from jayshunt.pools.models import EntryRegistration, VmKind
from jayshunt.pools.peer_service import AssignmentsService
from jayshunt.pools.registry import EntryRegistry
from jayshunt.store.documents import DocumentStore
from jayshunt.store.errors import RevisionConflict, StoreUnavailable
from jayshunt.store.models import StoredValue
from jayshunt.store.tests.builders import FakeStore

ZONE = ZoneName("north")
DESK, YARD = PoolName("desk"), PoolName("yard")


class FakeLeaseStore(FakeStore):
    """Extend the fake store with leases, deletion and listing."""

    def __init__(self, clock: ManualClock) -> None:
        """Start empty."""
        super().__init__()
        self.clock = clock
        self._leases: dict[LeaseId, tuple[float, float]] = {}
        self._lease_by_key: dict[str, LeaseId] = {}

    def get(self, key: str) -> StoredValue | None:
        """Return the value of a key whose lease has not ended."""
        self._expire()
        return super().get(key)

    def put(
        self, key: str, value: str, expected: Revision, lease: LeaseId | None = None
    ) -> Revision:
        """Write a value; if a lease is given, the key is deleted when it ends."""
        self._expire()
        if lease is not None and not self.down and lease in self._leases:
            stored = self.values.get(key)
            if (stored.revision if stored else 0) == expected and not self.drop_writes:
                self._lease_by_key[key] = lease
        return super().put(key, value, expected, lease)

    def list(self, prefix: str) -> list[StoredValue]:
        """Return the values below a prefix."""
        self._check()
        return [v for k, v in sorted(self.values.items()) if k.startswith(prefix)]

    def delete(self, key: str, expected: Revision) -> None:
        """Delete a key at a revision."""
        self._check()
        if key not in self.values or self.values[key].revision != expected:
            raise RevisionConflict(key, "fake")
        del self.values[key]

    def grant_lease(self, ttl_s: float) -> LeaseId:
        """Create a lease."""
        self._check()
        lease = LeaseId(f"lease-{len(self._leases)}-{self.revision}")
        self._leases[lease] = (ttl_s, self.clock.now_s() + ttl_s)
        return lease

    def renew_lease(self, lease: LeaseId) -> bool:
        """Prolong a lease that has not ended."""
        self._check()
        if lease not in self._leases:
            return False
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, self.clock.now_s() + ttl_s)
        return True

    def end_lease(self, lease: LeaseId) -> None:
        """End a lease at once."""
        self._check()
        self._leases.pop(lease, None)
        self._expire()

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailable("store", "fake", "down")
        self._expire()

    def _expire(self) -> None:
        now_s = self.clock.now_s()
        self._leases = {k: v for k, v in self._leases.items() if v[1] > now_s}
        for key, lease in list(self._lease_by_key.items()):
            if lease not in self._leases:
                self.values.pop(key, None)
                del self._lease_by_key[key]


class FakeEntry:
    """Simulate an entry: its controller, its record and its requests in flight."""

    def __init__(self, zone: "FakeZone", name: str, incarnation: int) -> None:
        """Create the entry; nothing is registered yet."""
        self.name = name
        self.clock = zone.clock
        self.zone = zone
        self.paused = False
        self.in_flight: dict[VmId, int] = {}
        self.failing: tuple[VmId, ...] = ()
        self.registry = EntryRegistry(
            ZONE, EntryId(name), incarnation, name, zone.store, zone.clock
        )
        self.service = AssignmentsService(
            ZONE,
            self.registry.own,
            lambda record: self.controller.apply(record),
            lambda vm: self.in_flight.get(vm, 0),
            lambda: self.failing,
        )
        self.documents = DocumentStore(
            zone.store, zone.clock, random.Random(f"{name}{incarnation}")
        )
        self.controller = ZoneController(
            ZONE,
            EntryId(name),
            zone.store,
            self.documents,
            lambda: zone.listed,
            zone.clock,
            self.registry,
            zone.push,
            zone.peers,
        )

    def grantable(self, pool: PoolName) -> list[VmId]:
        """Return the VMs on which this entry would grant slots of a pool."""
        if not self.controller.may_broker:
            return []
        serving = self.controller.record.serving(pool, VmKind.UPSTREAM)
        return [a.vm for a in serving]

    def grant(self, vm: VmId) -> None:
        """Begin one request on a VM."""
        self.in_flight[vm] = self.in_flight.get(vm, 0) + 1


class FakeZone:
    """Simulate one zone: its store, the platform's list and its entries."""

    def __init__(self, vms: int = 2) -> None:
        """Start with VMs of pool desk, each in its own rack, and no entry."""
        self.clock = ManualClock()
        self.store = FakeLeaseStore(self.clock)
        self.entries: dict[str, FakeEntry] = {}
        self.listed_entries: set[str] = set()
        self.listed = VmList(
            self.clock.now_s(),
            {
                VmId(f"vm-{n}"): ListedVm(
                    vm=VmId(f"vm-{n}"),
                    address=f"127.0.0.1:{n + 1}",
                    zone=ZONE,
                    rack=RackName(f"rack-{n}"),
                    kind=VmKind.UPSTREAM,
                    state=ListedState.LIVE,
                    initial_pool=DESK,
                )
                for n in range(vms)
            },
        )

    def add_entry(self, name: str) -> FakeEntry:
        """Start an entry; it replaces an earlier process of the same name."""
        incarnation = int(self.clock.now_s() * 1000)
        entry = self.entries[name] = FakeEntry(self, name, incarnation)
        self.list_entry(name)
        return entry

    def list_entry(self, name: str) -> None:
        """List the VM of an entry."""
        self.listed_entries.add(name)
        self.relist(self.listed.vms)

    def unlist(self, name: str) -> None:
        """Remove a VM from the platform's list."""
        self.listed_entries.discard(name)
        self.relist({k: v for k, v in self.listed.vms.items() if k != name})

    def relist(self, vms: dict[VmId, ListedVm]) -> None:
        """Publish a newer list."""
        as_of_s = max(self.clock.now_s(), self.listed.as_of_s + 0.1)
        self.listed = VmList(as_of_s, vms, tuple(sorted(self.listed_entries)))

    def mark(self, vm: str, state: ListedState) -> None:
        """List a VM as live or leaving."""
        vms = self.listed.vms
        self.relist({**vms, VmId(vm): replace(vms[VmId(vm)], state=state)})

    def peers(self) -> list[EntryRegistration]:
        """Return all entries, registered or not."""
        return [entry.registry.own for entry in self.entries.values()]

    def push(self, own: EntryRegistration, entries, record) -> dict:
        """Deliver a record to the entries that are not paused."""
        names = {own.entry, *(e.entry for e in entries)}
        found = [self.entries[n] for n in sorted(names) if n in self.entries]
        return {
            EntryId(entry.name): entry.service.acknowledge(record)
            for entry in found
            if not entry.paused
        }
