"""Simulate a capacity policy on a script of demand and failures."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from jayshunt_measure.fleet_script import Outage, Script

SPARE = -1
RELEASED = -2


@dataclass
class FleetState:
    """Hold the state of a fleet during a simulation.

    `pool_of`, `ready_s` and `down` are indexed by VM, `backlog` and `oldest_wait_s` by
    pool. SPARE is the pool number of the shared buffer, and RELEASED that of VMs
    which are used elsewhere and cost no buffer. A moved VM serves from its `ready_s`
    on, and `down` counts its current outages.
    """

    script: Script
    pool_of: list[int]
    ready_s: list[float]
    down: list[int]
    backlog: list[float]
    now_s: float = 0.0
    moves: int = 0
    oldest_wait_s: list[float] = field(default_factory=list)

    def members(self, pool: int) -> list[int]:
        """Return the VMs of a pool that are up."""
        return self.by_pool.get(pool, [])

    def refresh(self) -> None:
        """Rebuild the index of VMs that are up by pool."""
        self.by_pool: dict[int, list[int]] = {}
        for vm, pool in enumerate(self.pool_of):
            if not self.down[vm]:
                self.by_pool.setdefault(pool, []).append(vm)

    def move(self, vm: int, pool: int) -> None:
        """Move a VM; it is ready after its drain and reboot.

        A VM drains if it leaves a serving pool, and reboots if it enters one. Moves
        to and from the buffer are counted, because the buffer is a pool. A move to
        RELEASED, or from RELEASED to the buffer, is not counted: it goes with a move of
        the VM out of or into a pool, and only that one is counted.
        """
        before, size = self.pool_of[vm], self.script.size
        if before == pool:
            return
        if RELEASED not in (before, pool) or pool >= 0:
            self.moves += 1
        drain_s = size.drain_s if before >= 0 else 0.0
        self.pool_of[vm] = pool
        self.ready_s[vm] = self.now_s + drain_s + (size.reboot_s if pool >= 0 else 0)


Policy = Callable[[FleetState, list[float]], None]


@dataclass
class FleetResult:
    """Hold the result of a policy; `met` and `arrived` are amounts of work."""

    met: float = 0.0
    arrived: float = 0.0
    buffer_vm_s: float = 0.0
    moves: int = 0
    plan_s: list[float] = field(default_factory=list)

    @property
    def target_met_ratio(self) -> float:
        """Return the fraction of the work that was served within its target."""
        return self.met / self.arrived if self.arrived else 1.0


def run_policy(
    script: Script, policy: Policy, initial: list[int], outages: tuple[Outage, ...]
) -> FleetResult:
    """Run a policy at each step and serve the queue of each pool in FIFO order."""
    size = script.size
    total = len(script.pool_of)
    state = FleetState(
        script, list(initial), [0.0] * total, [0] * total, [0.0] * size.pools
    )
    events = sorted(
        [(o.from_s, 1, o.vm) for o in outages] + [(o.to_s, -1, o.vm) for o in outages]
    )
    queues: list[deque] = [deque() for _ in range(size.pools)]
    result, position, step_s = FleetResult(), 0, size.step_s
    state.refresh()
    for rates in script.rates:
        state.now_s += step_s
        changed = False
        while position < len(events) and events[position][0] <= state.now_s:
            _, change, vm = events[position]
            state.down[vm] += change
            position, changed = position + 1, True
        if changed:
            state.refresh()
        state.oldest_wait_s = [
            state.now_s - queue[0][0] if queue else 0.0 for queue in queues
        ]
        policy(state, rates)
        occupied_vms = sum(len(v) for p, v in state.by_pool.items() if p != RELEASED)
        busy = 0.0
        for pool, queue in enumerate(queues):
            work = rates[pool] * step_s
            result.arrived += work
            queue.append((state.now_s, work))
            state.backlog[pool] += work
            ready = sum(state.ready_s[vm] <= state.now_s for vm in state.members(pool))
            served, met = serve(queue, ready * step_s, state.now_s, size.target_s)
            state.backlog[pool] -= served
            result.met += met
            busy += served
        result.buffer_vm_s += max(0.0, occupied_vms * step_s - busy)
    result.moves = state.moves
    return result


def serve(
    queue: deque, capacity: float, now_s: float, target_s: float
) -> tuple[float, float]:
    """Serve a queue in order; return the work served and the part within target."""
    served = met = 0.0
    while queue and capacity > 1e-9:
        arrived_s, work = queue[0]
        amount = min(work, capacity)
        capacity -= amount
        served += amount
        if now_s - arrived_s <= target_s:
            met += amount
        if amount >= work - 1e-9:
            queue.popleft()
        else:
            queue[0] = (arrived_s, work - amount)
    return served, met
