"""Draw the faults of a run from its seed, and inject them at their times."""

import random
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from jayshunt_soak.const import (
    CONNECT_DELAYS_S,
    ENTRIES,
    MILLICORES_PER_VM,
    POOLS,
    PUBLIC_POOL,
    RACKS,
    RECUT_BACK_S,
    RECUT_CUT_S,
    RESTART_DOWN_S,
    SHRUNK_SHARES,
    UNSEEN_DOWN_S,
    UNSEEN_PAUSE_S,
    VMS_PER_RACK,
)
from jayshunt_soak.departures import draw_departure
from jayshunt_soak.odd_entries import draw_entries
from jayshunt_soak.platform.store import StoreFaults
from jayshunt_soak.testbed import Program, Testbed

# Four entries are stopped 1.2 s apart, and each is back two seconds later.
RESTARTED_S = 6.0


class FaultKind(Enum):
    """List the kinds of faults, all injected from outside the programs."""

    ENTRY_KILL = "entry killed"
    ENTRY_TERM = "entry stopped"
    ENTRY_PAUSE = "entry paused"
    ENTRIES_KILL = "all entries killed"
    ENTRIES_ROLL = "entries stopped one after the other"
    RACK_KILL = "rack killed"
    RACK_PAUSE = "rack paused"
    VM_CUT = "path to a VM reset"
    VM_SILENT = "path to a VM silent"
    VM_ONE_WAY = "answers of a VM lost"
    VM_DELAY = "path to a VM slow"
    STORE_DOWN = "store down"
    STORE_SILENT = "store silent"
    STORE_SLOW = "store slow"
    STORE_LOST = "answers of the store lost"
    STORE_LATE = "writes carried out late"
    STORE_FORGETS = "history of the store gone"
    STORE_CUT_FOR_ENTRY = "store cut off from one entry"
    STORE_SILENT_FOR_ENTRY = "store silent for one entry"
    CONFIG = "configuration changed"
    VM_SHRINK = "VM shrunk"
    ODD_ENTRIES = "odd entries in the store"
    WORKER_RESTART = "worker started again under its id"
    WORKER_OTHER_KIND = "worker started again under its id as another kind"
    ADDRESS_SWAP = "addresses of two workers swapped"
    ORDERS_LATE = "orders of a worker carried out late"
    RESTARTS_UNSEEN = "workers started again as another kind while entries are paused"
    WORKER_RECUT = "worker started again under its id and cut off soon after"
    QUEUE_MOVE = "queue sent to another pool"
    VM_LEAVES = "VM taken away while the dispatcher changes"


# Drawn apart from the others, so that a seed draws the same others as before.
SHRINKS = frozenset({FaultKind.VM_SHRINK})
LIVES = (
    FaultKind.WORKER_RESTART,
    FaultKind.WORKER_OTHER_KIND,
    FaultKind.ADDRESS_SWAP,
    FaultKind.ORDERS_LATE,
    FaultKind.RESTARTS_UNSEEN,
)
DRAWN_APART = frozenset(
    {
        *SHRINKS,
        FaultKind.ODD_ENTRIES,
        *LIVES,
        FaultKind.QUEUE_MOVE,
        FaultKind.WORKER_RECUT,
        FaultKind.VM_LEAVES,
    }
)
# Faults that are drawn apart and disturb entries or paths.
DISTURBING = frozenset(
    {FaultKind.RESTARTS_UNSEEN, FaultKind.WORKER_RECUT, FaultKind.VM_LEAVES}
)
# A queue that moves may run in both pools from then on, which hides starts in a wrong
# one. Therefore only one queue moves, and only in one seed of this many.
SEEDS_PER_QUEUE_MOVE = 3
# The entries allow for a list of VMs that is up to 1 s old.
LIST_LAGS_S = (0.0, 0.4, 0.9)


@dataclass(frozen=True)
class Fault:
    """Describe one fault; `at_s` is seconds from the start of the load.

    `for_s` is its duration, `target` a random number that chooses what it hits.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    target: int


def draw_faults(
    seed: int, seconds: float, with_lives: bool = True, with_departures: bool = True
) -> list[Fault]:
    """Return the faults of a run; they come in bursts and overlap.

    Without `with_lives`, ids, addresses and queues stay with their workers, without
    `with_departures` the VMs stay.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    kinds = [kind for kind in FaultKind if kind not in DRAWN_APART]
    at_s = rng.uniform(1.0, 2.5)
    while at_s < seconds:
        kind = rng.choice(kinds)
        faults.append(Fault(kind, at_s, rng.uniform(0.5, 6.0), rng.randrange(1_000)))
        at_s += rng.choice((0.05, 0.4, 1.5, 3.0))
    faults += _draw_shrinks(seed, seconds) + _draw_odd_entries(seed, seconds)
    if with_lives:
        faults += _draw_lives(seed, seconds) + _draw_recuts(seed, seconds)
    if with_departures:
        faults += _draw_departures(seed, seconds)
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_odd_entries(seed: int, seconds: float) -> list[Fault]:
    rng = random.Random(f"{seed}-odd")
    kind, faults = FaultKind.ODD_ENTRIES, []
    at_s = rng.uniform(0.2, 2.0)
    while at_s < seconds:
        faults.append(Fault(kind, at_s, rng.uniform(1.0, 8.0), rng.randrange(1_000)))
        at_s += rng.uniform(1.0, 4.0)
    return faults


def _draw_lives(seed: int, seconds: float) -> list[Fault]:
    """Return the faults that give an id, an address or a queue to another worker."""
    rng = random.Random(f"{seed}-lives")
    faults: list[Fault] = []
    at_s = rng.uniform(0.5, 1.5)
    while at_s < seconds:
        kind, for_s = rng.choice(LIVES), rng.uniform(0.5, 4.0)
        faults.append(Fault(kind, at_s, for_s, rng.randrange(1_000)))
        at_s += rng.choice((0.05, 0.3, 1.0))
    if seed % SEEDS_PER_QUEUE_MOVE == 0:
        at_s, for_s = rng.uniform(0.3, 0.6) * seconds, rng.uniform(1.0, 4.0)
        faults.append(Fault(FaultKind.QUEUE_MOVE, at_s, for_s, 0))
    return faults


def _draw_recuts(seed: int, seconds: float) -> list[Fault]:
    rng = random.Random(f"{seed}-recut")
    faults: list[Fault] = []
    longest_s = RESTART_DOWN_S[1] + RECUT_BACK_S[1]
    at_s = rng.uniform(0.5, 2.0)
    while at_s < seconds:
        kind, for_s = FaultKind.WORKER_RECUT, longest_s + rng.uniform(*RECUT_CUT_S)
        faults.append(Fault(kind, at_s, for_s, rng.randrange(100_000)))
        at_s += rng.uniform(1.0, 4.0)
    return faults


def _draw_departures(seed: int, seconds: float) -> list[Fault]:
    rng = random.Random(f"{seed}-departures")
    faults: list[Fault] = []
    at_s = rng.uniform(0.0, 3.0)
    while at_s < seconds:
        faults.append(departure_fault(at_s, rng.randrange(100_000)))
        at_s += rng.uniform(3.0, 8.0)
    return faults


def draw_list_lag_s(seed: int) -> float:
    """Return how old the list of VMs is when it is read, for a whole run."""
    return random.Random(f"{seed}-lag").choice(LIST_LAGS_S)


def departure_fault(at_s: float, target: int) -> Fault:
    """Return the fault that takes a VM away while the dispatcher changes."""
    return Fault(FaultKind.VM_LEAVES, at_s, draw_departure(target).for_s, target)


def _draw_shrinks(seed: int, seconds: float) -> list[Fault]:
    rng = random.Random(f"{seed}-shrink")
    faults: list[Fault] = []
    at_s = rng.uniform(0.5, 2.0)
    while at_s < seconds:
        for_s, target = rng.uniform(3.0, 8.0), rng.randrange(1_000)
        faults.append(Fault(FaultKind.VM_SHRINK, at_s, for_s, target))
        at_s += rng.uniform(0.2, 2.0)
    return faults


def impairments(
    faults: list[Fault], load_started_s: float
) -> list[tuple[float, float]]:
    """Return from when until when faults disturb entries, the store and paths.

    A process that was stopped or killed is back within RESTARTED_S, also if all entries
    are stopped one after the other.
    """
    return [
        (
            load_started_s + fault.at_s,
            load_started_s + fault.at_s + max(fault.for_s, RESTARTED_S),
        )
        for fault in faults
        if fault.kind not in (DRAWN_APART - DISTURBING) | {FaultKind.CONFIG}
    ]


def disturbances(
    faults: list[Fault], load_started_s: float
) -> list[tuple[float, float]]:
    """Return from when until when any fault lasts, for rules that hold in calm."""
    spans: list[tuple[float, float]] = []
    for fault in faults:
        at_s = load_started_s + fault.at_s
        # A departure includes the time in which the dispatcher is back.
        is_timed = fault.kind is FaultKind.VM_LEAVES
        for_s = fault.for_s if is_timed else max(fault.for_s, RESTARTED_S)
        spans.append((at_s, at_s + for_s))
    return spans


class FaultPlayer:
    """Inject the faults into a testbed."""

    def __init__(self, testbed: Testbed, faults: list[Fault]) -> None:
        """Create a player of the faults, which are ordered by time."""
        self._testbed = testbed
        self._faults = faults

    def run(self, load_started_s: float) -> None:
        """Begin each fault at its time, and start a timer that ends it."""
        for fault in self._faults:
            time.sleep(max(0.0, load_started_s + fault.at_s - time.monotonic()))
            end = self._begin(fault)
            if end is not None:
                threading.Timer(fault.for_s, end).start()

    def _begin(self, fault: Fault):
        """Begin a fault; return the function that ends it, None if there is none."""
        testbed = self._testbed
        entry = testbed.entries[fault.target % ENTRIES]
        rack = testbed.racks[fault.target % RACKS]
        relays = list(testbed.vm_relays.values())
        vm = relays[fault.target % len(relays)]
        vm_name = list(testbed.vm_ports)[fault.target % len(relays)]
        is_silent = fault.target // len(relays) % 2 == 0
        connect_delay_s = CONNECT_DELAYS_S[
            fault.target // (2 * len(relays)) % len(CONNECT_DELAYS_S)
        ]
        store_path = testbed.store_relays[fault.target % ENTRIES]
        match fault.kind:
            case FaultKind.ENTRY_KILL:
                return entry.send_signal(signal.SIGKILL)
            case FaultKind.ENTRY_TERM:
                return testbed.terminate(entry)
            case FaultKind.ENTRY_PAUSE:
                entry.send_signal(signal.SIGSTOP)
                return lambda: entry.send_signal(signal.SIGCONT)
            case FaultKind.ENTRIES_KILL:
                for program in testbed.entries:
                    program.send_signal(signal.SIGKILL)
                return None
            case FaultKind.ENTRIES_ROLL:
                for number, program in enumerate(testbed.entries):
                    threading.Timer(1.2 * number, testbed.terminate, (program,)).start()
                return None
            case FaultKind.RACK_KILL:
                return rack.send_signal(signal.SIGKILL)
            case FaultKind.RACK_PAUSE:
                rack.send_signal(signal.SIGSTOP)
                return lambda: rack.send_signal(signal.SIGCONT)
            case FaultKind.VM_CUT:
                vm.cut()
                return vm.restore
            case FaultKind.VM_SILENT:
                vm.silence()
                return vm.restore
            case FaultKind.VM_ONE_WAY:
                vm.is_one_way = True
                return vm.restore
            case FaultKind.VM_DELAY:
                vm.delay_s = 0.3
                return vm.restore
            case FaultKind.STORE_CUT_FOR_ENTRY:
                store_path.cut()
                return store_path.restore
            case FaultKind.STORE_SILENT_FOR_ENTRY:
                store_path.silence()
                return store_path.restore
            case FaultKind.VM_SHRINK:
                share = SHRUNK_SHARES[fault.target // len(relays) % len(SHRUNK_SHARES)]
                testbed.resize(vm_name, int(MILLICORES_PER_VM * share))
                return lambda: testbed.resize(vm_name, MILLICORES_PER_VM)
            case FaultKind.WORKER_RESTART:
                vm.connect_delay_s = connect_delay_s
                testbed.restart_worker(vm_name, {"is_silent": is_silent})
                return None
            case FaultKind.WORKER_OTHER_KIND:
                vm.connect_delay_s = connect_delay_s
                testbed.change_kind(vm_name, {"is_silent": is_silent})
                return lambda: testbed.restore_kind(vm_name, {"is_silent": is_silent})
            case FaultKind.RESTARTS_UNSEEN:
                return _restart_unseen(testbed, fault.target % RACKS)
            case FaultKind.WORKER_RECUT:
                return _recut(testbed, vm_name, entry, fault)
            case FaultKind.VM_LEAVES:
                return draw_departure(fault.target).begin(testbed)
            case FaultKind.ADDRESS_SWAP:
                return testbed.swap_addresses(vm_name, fault.target // len(relays))
            case FaultKind.ORDERS_LATE:
                return testbed.delay_orders(vm_name, fault.for_s)
            case FaultKind.QUEUE_MOVE:
                testbed.send_queue_to(PUBLIC_POOL, POOLS[0])
                return lambda: testbed.send_queue_to(PUBLIC_POOL, PUBLIC_POOL)
            case FaultKind.STORE_FORGETS:
                return testbed.store.discard_history()
            case FaultKind.CONFIG:
                return testbed.store_next_config()
            case FaultKind.ODD_ENTRIES:
                entries = draw_entries(fault.target)
                for key, value in entries.items():
                    testbed.store.put(key, value)
                return lambda: testbed.store.remove(*entries)
            case _:
                testbed.store.faults = store_faults(fault.kind)
                return lambda: setattr(testbed.store, "faults", StoreFaults())


def _restart_unseen(testbed: Testbed, rack: int) -> Callable[[], None]:
    """Restart the workers of a rack as another kind while all entries are paused.

    The entries then send what they had decided before. Return what restores the kinds.
    """
    first = rack * VMS_PER_RACK
    names = list(testbed.vm_ports)[first : first + VMS_PER_RACK]
    for program in testbed.entries:
        program.send_signal(signal.SIGSTOP)
    for name in names:
        testbed.change_kind(name, {"is_silent": False, "down_s": UNSEEN_DOWN_S})
    time.sleep(UNSEEN_PAUSE_S)
    for program in testbed.entries:
        program.send_signal(signal.SIGCONT)

    def restore() -> None:
        for name in names:
            testbed.restore_kind(name, {"is_silent": False})

    return restore


def _recut(
    testbed: Testbed, vm: str, entry: Program, fault: Fault
) -> Callable[[], None]:
    """Let a worker take calls meant for its former life, and cut it off soon after.

    Two times of three an entry is stopped as the cut begins, which may dispatch. Return
    what ends the cut.
    """
    rng = random.Random(fault.target)
    down_s, back_s = rng.uniform(*RESTART_DOWN_S), rng.uniform(*RECUT_BACK_S)
    is_one_way, change = rng.random() < 0.4, rng.choice(("", "term", "kill"))
    order = {"is_silent": False, "keeps_calls": True, "down_s": down_s}
    testbed.restart_worker(vm, order)

    def cut() -> None:
        testbed.cut_off(vm, is_one_way, fault.for_s - down_s - back_s)
        match change:
            case "term":
                testbed.terminate(entry)
            case "kill":
                entry.send_signal(signal.SIGKILL)

    cut_timer = threading.Timer(down_s + back_s, cut)
    cut_timer.start()

    def end() -> None:
        cut_timer.cancel()
        testbed.vm_relays[vm].restore()

    return end


def store_faults(kind: FaultKind) -> StoreFaults:
    """Return how the store fails under a fault of this kind."""
    match kind:
        case FaultKind.STORE_DOWN:
            return StoreFaults(is_down=True)
        case FaultKind.STORE_SILENT:
            return StoreFaults(is_silent=True)
        case FaultKind.STORE_SLOW:
            return StoreFaults(delay_s=0.25)
        case FaultKind.STORE_LOST:
            return StoreFaults(lost_ratio=0.35)
        case _:
            return StoreFaults(late_ratio=0.3)
