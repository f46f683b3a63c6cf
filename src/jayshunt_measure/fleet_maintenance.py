"""Simulate a fleet and its platform, and run the product's maintenance on it."""

import random
from collections import Counter
from dataclasses import dataclass, field

from jayshunt.clock import ManualClock
from jayshunt.config.models import ConfigDocument
from jayshunt.errors import JayshuntError
from jayshunt.ids import Epoch, PoolName, RackName, Revision, VmId, ZoneName
from jayshunt.inventory.models import ListedState, ListedVm, VmList
from jayshunt.maintenance.permits import PermitLedger
from jayshunt.maintenance.reporting import ZoneReporter
from jayshunt.maintenance.runner import MaintenanceRunner
from jayshunt.pools import transitions
from jayshunt.pools.models import AssignmentRecord, AssignmentState, VmKind
from jayshunt.store.documents import DocumentStore
from jayshunt.store.errors import RevisionConflict
from jayshunt.store.models import StoredValue
from jayshunt_measure.fleet_script import Outage, Script

ACTIVE_STEP_S = 10.0
# While a wave is active in any zone, idle zones refresh their reports, as the product
# does.
IDLE_STEP_S = 60.0
# After the waves only failures change the state.
QUIET_STEP_S = 21_600.0


class MemoryStore:
    """Hold values in memory and count the writes of each second."""

    def __init__(self, clock: ManualClock) -> None:
        """Create an empty store."""
        self._clock = clock
        self._values: dict[str, StoredValue] = {}
        self._revision = 0
        self.writes: Counter[int] = Counter()

    def get(self, key: str) -> StoredValue | None:
        """Return the value of a key."""
        return self._values.get(key)

    def put(self, key: str, value: str, expected: Revision, lease=None) -> Revision:
        """Write a value by compare-and-swap."""
        stored = self._values.get(key)
        if (stored.revision if stored else 0) != expected:
            raise RevisionConflict(key, "memory")
        self._revision += 1
        self._values[key] = StoredValue(key, value, Revision(self._revision))
        self.writes[int(self._clock.now_s())] += 1
        return Revision(self._revision)


@dataclass
class MaintenanceResult:
    """Hold the results of the waves and the times that VMs were out of service.

    A violation is a pool found with fewer available VMs than its budget requires.
    `double_owned` counts the VMs in the records of more than one zone.
    """

    maintained_ratio: float = 0.0
    budget_violations: int = 0
    double_owned: int = 0
    store_writes_per_s_peak: int = 0
    outages: list[Outage] = field(default_factory=list)


class ZoneRun:
    """Run the maintenance of one zone on an assignment record, without entries."""

    def __init__(self, fleet: "FleetMaintenance", zone: str) -> None:
        """Create the zone with all its VMs serving."""
        self.fleet = fleet
        self.fencing_epoch = Epoch(1)
        self.record = transitions.apply_vm_list(
            AssignmentRecord(ZoneName(zone)), fleet.listed, {}, fleet.clock.now_s()
        )
        documents = DocumentStore(fleet.store, fleet.clock, random.Random(zone))
        ledger = PermitLedger(
            documents,
            lambda: fleet.listed,
            lambda _: fleet.script.size.min_available_ratio,
            lambda: self.fencing_epoch,
            fleet.clock,
        )
        self.runner = MaintenanceRunner(
            ZoneName(zone),
            self,
            ledger,
            ZoneReporter(ZoneName(zone), ledger, self._failing, fleet.clock),
            lambda: fleet.config,
            fleet.reboot,
            fleet.check,
            fleet.clock,
        )

    def write(self, transition) -> AssignmentRecord:
        """Apply a transition and count one write if it changes the record."""
        changed = transition(self.record)
        if changed is not self.record:
            self.record = changed
            self.fleet.store.writes[int(self.fleet.clock.now_s())] += 1
        return self.record

    def step(self) -> bool:
        """Do one step and return whether maintenance is in progress."""
        try:
            self.runner.step(self.record)
        except JayshuntError:
            return True
        leaving = [
            (a.vm, a.epoch)
            for a in self.record.assignments.values()
            if a.state is AssignmentState.LEAVING
        ]
        if leaving:
            self.write(
                lambda r: transitions.mark_drained(r, leaving, self.fleet.clock.now_s())
            )
        return any(
            a.state is not AssignmentState.SERVING
            for a in self.record.assignments.values()
        )

    def _failing(self) -> dict[VmId, str]:
        down = self.fleet.down
        return {vm: "failed" for vm in self.record.assignments if down.get(vm)}


class FleetMaintenance:
    """Run one wave over all VMs of a script while its failures happen."""

    def __init__(self, script: Script) -> None:
        """Create the zones; the wave must finish by the end of the script."""
        self.script = script
        self.clock = ManualClock(0.0)
        self.clock.advance(1.0)
        self.store = MemoryStore(self.clock)
        self.down: dict[VmId, int] = {}
        self.rebooted_s: dict[VmId, float] = {}
        self.pools = {vm: f"pool-{pool}" for vm, pool in enumerate(script.pool_of)}
        self.listed = VmList(1.0, {vm.vm: vm for vm in self._vms()})
        self.config = ConfigDocument.model_validate(
            {
                "pools": {
                    name: {"min_available_ratio": script.size.min_available_ratio}
                    for name in sorted(set(self.pools.values()))
                },
                "planned_stops": {
                    "monthly": {
                        "scope": "every_vm",
                        "finish_by_s": script.size.duration_s,
                    }
                },
            }
        )
        self.zones = [ZoneRun(self, f"z{n}") for n in range(script.size.zones)]

    def run(self) -> MaintenanceResult:
        """Step each zone when it is due, and return the result."""
        result = MaintenanceResult()
        offset_s = ACTIVE_STEP_S / len(self.zones)
        due = {n: 2.0 + n * offset_s for n in range(len(self.zones))}
        busy = dict.fromkeys(due, True)
        events = self._events()
        down_since: dict[VmId, float] = {}
        while True:
            number = min(due, key=lambda n: due[n])
            now_s = due[number]
            if now_s > self.script.size.duration_s:
                break
            if events and events[0][0] <= now_s:
                self._apply_event(events.pop(0), result)
                if any(busy.values()):
                    due = {n: min(at, now_s + n * offset_s) for n, at in due.items()}
                continue
            self.clock.advance(max(0.0, now_s - self.clock.now_s()))
            self.listed = VmList(now_s, self.listed.vms)
            zone = self.zones[number]
            active = zone.step()
            statuses = zone.runner.statuses
            active = active or any(status.remaining for status in statuses)
            busy[number] = active
            idle_s = IDLE_STEP_S if any(busy.values()) else QUIET_STEP_S
            due[number] = now_s + (ACTIVE_STEP_S if active else idle_s)
            self._record_outages(zone, down_since, result, now_s)
        records = [zone.record for zone in self.zones]
        owned = Counter(vm for record in records for vm in record.assignments)
        done = sum(bool(a.done_waves) for r in records for a in r.assignments.values())
        result.double_owned = sum(count > 1 for count in owned.values())
        result.maintained_ratio = done / len(self.pools)
        result.store_writes_per_s_peak = max(self.store.writes.values(), default=0)
        return result

    def reboot(self, vm: VmId, action: str) -> None:
        """Reboot a VM in the simulation: it fails health checks for `reboot_s`."""
        self.rebooted_s[vm] = self.clock.now_s()

    def check(self, assignments) -> dict[VmId, bool]:
        """Return which VMs answer health checks."""
        back_s = self.clock.now_s() - self.script.size.reboot_s
        return {
            a.vm: not self.down.get(a.vm) and self.rebooted_s.get(a.vm, 0.0) <= back_s
            for a in assignments
        }

    def _vms(self):
        script = self.script
        for vm, pool in enumerate(script.pool_of):
            yield ListedVm(
                VmId(str(vm)),
                "",
                ZoneName(f"z{script.zone_of[vm]}"),
                RackName(str(script.rack_of[vm])),
                VmKind.WORKER,
                ListedState.LIVE,
                initial_pool=PoolName(f"pool-{pool}"),
            )

    def _events(self) -> list[tuple[float, int, int]]:
        outages = self.script.outages
        return sorted(
            [(o.from_s, 1, o.vm) for o in outages]
            + [(o.to_s, -1, o.vm) for o in outages]
        )

    def _apply_event(
        self, event: tuple[float, int, int], result: MaintenanceResult
    ) -> None:
        at_s, change, number = event
        vm = VmId(str(number))
        self.down[vm] = self.down.get(vm, 0) + change
        if change > 0:
            result.budget_violations += self._is_budget_violated(self.pools[number])

    def _is_budget_violated(self, pool: str) -> bool:
        """Return whether a pool has fewer available VMs than its budget requires."""
        members = available = 0
        for zone in self.zones:
            for vm, assignment in zone.record.assignments.items():
                if assignment.pool != pool:
                    continue
                members += 1
                serves = assignment.state is AssignmentState.SERVING
                available += serves and not self.down.get(vm)
        return available < self.script.size.min_available_ratio * members - 1e-9

    def _record_outages(
        self,
        zone: ZoneRun,
        down_since: dict[VmId, float],
        result: MaintenanceResult,
        now_s: float,
    ) -> None:
        newly_down_pools = set()
        for vm, assignment in zone.record.assignments.items():
            if assignment.state is AssignmentState.SERVING:
                if vm in down_since:
                    outage = Outage(int(vm), down_since.pop(vm), now_s)
                    result.outages.append(outage)
            elif vm not in down_since:
                down_since[vm] = now_s
                newly_down_pools.add(assignment.pool)
        result.budget_violations += sum(
            self._is_budget_violated(pool) for pool in newly_down_pools
        )
