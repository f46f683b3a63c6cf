"""Draw the faults of a run from its seed, and carry them out on time."""

import random
import signal
import threading
import time
from dataclasses import dataclass
from enum import Enum

from jayshunt_soak.bed import Bed
from jayshunt_soak.const import ENTRIES, RACKS
from jayshunt_soak.platform import formats
from jayshunt_soak.platform.store import StoreFaults


class FaultKind(Enum):
    """Name what is done from outside the programs."""

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
    STORE_CUT = "store cut off from one entry"
    STORE_MUTE = "store silent for one entry"
    CONFIG = "configuration changed"


@dataclass(frozen=True)
class Fault:
    """Hold one fault; times are seconds from the start of the load."""

    kind: FaultKind
    at_s: float
    for_s: float
    target: int


def draw(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a run; they come in series and overlap."""
    rng = random.Random(seed)
    faults: list[Fault] = []
    at_s = rng.uniform(1.0, 2.5)
    while at_s < seconds:
        kind = rng.choice(list(FaultKind))
        faults.append(Fault(kind, at_s, rng.uniform(0.5, 6.0), rng.randrange(1_000)))
        at_s += rng.choice((0.05, 0.4, 1.5, 3.0))
    return faults


class FaultPlayer:
    """Carry the faults out on a bed."""

    def __init__(self, bed: Bed, faults: list[Fault]) -> None:
        """Keep what is to be done."""
        self._bed = bed
        self._faults = faults
        self._version = 1

    def run(self, begun_s: float) -> None:
        """Begin each fault on time; ends come by timers."""
        for fault in self._faults:
            time.sleep(max(0.0, begun_s + fault.at_s - time.monotonic()))
            end = self._begin(fault)
            if end is not None:
                threading.Timer(fault.for_s, end).start()

    def _begin(self, fault: Fault):
        """Begin a fault and return what ends it, if anything has to."""
        bed = self._bed
        entry = bed.entries[fault.target % ENTRIES]
        rack = bed.racks[fault.target % RACKS]
        relays = list(bed.vm_relays.values())
        vm = relays[fault.target % len(relays)]
        store_path = bed.store_relays[fault.target % ENTRIES]
        match fault.kind:
            case FaultKind.ENTRY_KILL:
                return entry.send(signal.SIGKILL)
            case FaultKind.ENTRY_TERM:
                return bed.term(entry)
            case FaultKind.ENTRY_PAUSE:
                entry.send(signal.SIGSTOP)
                return lambda: entry.send(signal.SIGCONT)
            case FaultKind.ENTRIES_KILL:
                for program in bed.entries:
                    program.send(signal.SIGKILL)
                return None
            case FaultKind.ENTRIES_ROLL:
                for number, program in enumerate(bed.entries):
                    threading.Timer(1.2 * number, bed.term, (program,)).start()
                return None
            case FaultKind.RACK_KILL:
                return rack.send(signal.SIGKILL)
            case FaultKind.RACK_PAUSE:
                rack.send(signal.SIGSTOP)
                return lambda: rack.send(signal.SIGCONT)
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
            case FaultKind.STORE_CUT:
                store_path.cut()
                return store_path.restore
            case FaultKind.STORE_MUTE:
                store_path.silence()
                return store_path.restore
            case FaultKind.STORE_FORGETS:
                return bed.store.forget_history()
            case FaultKind.CONFIG:
                self._version += 1
                document = formats.config(self._version)
                return bed.store.put(formats.CONFIG_KEY, document)
            case _:
                bed.store.faults = store_faults(fault.kind)
                return lambda: setattr(bed.store, "faults", StoreFaults())


def store_faults(kind: FaultKind) -> StoreFaults:
    """Return how the store fails in a fault of its own."""
    match kind:
        case FaultKind.STORE_DOWN:
            return StoreFaults(is_down=True)
        case FaultKind.STORE_SILENT:
            return StoreFaults(is_silent=True)
        case FaultKind.STORE_SLOW:
            return StoreFaults(delay_s=0.25)
        case FaultKind.STORE_LOST:
            return StoreFaults(lost_part=0.35)
        case _:
            return StoreFaults(late_part=0.3)
