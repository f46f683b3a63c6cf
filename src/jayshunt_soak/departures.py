"""Take a VM away with its worker while the dispatcher is lost, paused or stopped."""

import random
import signal
import threading
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from jayshunt_soak.checks import run_intervals
from jayshunt_soak.const import SPARE
from jayshunt_soak.testbed import Program, Testbed

# When the worker leaves, from the beginning of the fault.
LEAVES_AT_S = 4.0
# How long after the change of the dispatcher the worker leaves; below 0, before it.
LEAVES_AFTER_CHANGE_S = (-1.5, 4.0)
CRASH_RATIO = 0.4
DRAIN_S = (2.0, 4.0)
PAUSE_S = (2.0, 4.0)
# Longer than a successor may wait for the worker: the next one on the VM ends the wait.
AWAY_S = (13.0, 18.0)
# How late the list of VMs shows it, and how long the worker's entry is still written.
LIST_LAG_S = (0.0, 0.4)
LISTED_S = (0.0, 2.5)
# Time in which a killed entry is started again.
RESTART_S = 1.0


@dataclass(frozen=True)
class Departure:
    """Describe how a VM leaves, and what changes the dispatcher at `change_s`.

    Times are seconds from the beginning of the fault. `order` is that of
    `Testbed.take_away`, `choice` a random number that chooses the VM.
    """

    order: dict
    change: str
    change_s: float
    pause_s: float
    choice: int

    @property
    def for_s(self) -> float:
        """Return when both are over; the VM is still away."""
        is_paused = self.change == "pause"
        changed_s = self.change_s + (self.pause_s if is_paused else RESTART_S)
        return max(LEAVES_AT_S + self.order["lag_s"], changed_s)

    def begin(self, testbed: Testbed) -> None:
        """Let a VM and the dispatcher go at their times."""
        starts_s = LEAVES_AT_S - self.order["drain_s"]
        _call_after(starts_s, lambda: self._take_away(testbed))
        _call_after(self.change_s, lambda: self._change(testbed))

    def _take_away(self, testbed: Testbed) -> None:
        vms = _choose_from(testbed)
        testbed.take_away(vms[self.choice % len(vms)], self.order)

    def _change(self, testbed: Testbed) -> None:
        entry: Program | None = testbed.dispatcher()
        match self.change, entry:
            case _, None:
                return
            case "kill", _:
                entry.send_signal(signal.SIGKILL)
            case "term", _:
                testbed.terminate(entry)
            case "pause", _:
                entry.send_signal(signal.SIGSTOP)
                _call_after(self.pause_s, lambda: entry.send_signal(signal.SIGCONT))


def _call_after(delay_s: float, function: Callable[[], None]) -> None:
    timer = threading.Timer(delay_s, function)
    timer.daemon = True
    timer.start()


def _choose_from(testbed: Testbed) -> list[str]:
    """Return the two VMs with the most runs, or all in use if nothing runs."""
    events = testbed.events()
    vm_of = {row["worker"]: row["vm"] for row in events if row["event"] == "life"}
    runs = [run for run in run_intervals(events) if not run.outcome]
    busiest = Counter(vm_of[run.worker] for run in runs).most_common(2)
    pools = testbed.machines.pools()
    in_use = [vm for vm, pool in pools.items() if pool != SPARE]
    return [vm for vm, _ in busiest] or in_use or list(pools)


def draw_departure(seed: int) -> Departure:
    """Return a random departure."""
    rng = random.Random(f"{seed}-departure")
    is_crash = rng.random() < CRASH_RATIO
    order = {
        "drain_s": 0.0 if is_crash else rng.uniform(*DRAIN_S),
        "away_s": rng.uniform(*AWAY_S),
        "state": rng.choice(("down", "gone")),
        "lag_s": rng.uniform(*LIST_LAG_S),
        "is_silent": rng.random() < 0.5,
        "listed_s": rng.choice(LISTED_S),
    }
    change_s = LEAVES_AT_S - rng.uniform(*LEAVES_AFTER_CHANGE_S)
    change, pause_s = rng.choice(("kill", "pause", "term")), rng.uniform(*PAUSE_S)
    return Departure(order, change, change_s, pause_s, rng.randrange(1_000))
