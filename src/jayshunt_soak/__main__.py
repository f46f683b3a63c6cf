"""Run the soak for some seeds and report every violated guarantee."""

import argparse
import sys
import tempfile
import threading
import time
from pathlib import Path

from jayshunt_soak.callers import Load, wait_until_listening
from jayshunt_soak.checks import check
from jayshunt_soak.const import CALM_S, SETTLE_TIMEOUT_S
from jayshunt_soak.faults import (
    Fault,
    FaultPlayer,
    departure_fault,
    disturbances,
    draw_faults,
    draw_list_lag_s,
    impairments,
)
from jayshunt_soak.keys import KeyProber, check_keys, check_secrecy
from jayshunt_soak.lasting import check_lasting
from jayshunt_soak.odd_entries import check_survival
from jayshunt_soak.starts import check_starts
from jayshunt_soak.testbed import Testbed

START_TIMEOUT_S = 20.0
# How long after the other faults a VM is taken away: tasks that they ended run again.
HEALED_S = 3.0


def run_seed(
    seed: int,
    seconds: float,
    folder: Path,
    with_lives: bool = True,
    with_departures: bool = True,
) -> tuple[list[str], str]:
    """Run one seed; return the violated guarantees and a line of counts.

    `with_departures` also takes a VM away once all other faults have ended.
    """
    faults = draw_faults(seed, seconds, with_lives, with_departures)
    testbed = Testbed(folder, seed)
    load = Load(testbed, seed)
    prober = KeyProber(testbed, load, seed)
    if with_departures:
        testbed.machines.lag_s = draw_list_lag_s(seed)
    testbed.start()
    try:
        if not wait_until_listening(testbed, START_TIMEOUT_S):
            return ["start: an entry does not accept connections"], ""
        load_started_s = time.monotonic()
        load.start()
        prober.start()
        player = threading.Thread(
            target=FaultPlayer(testbed, faults).run, args=(load_started_s,)
        )
        player.start()
        time.sleep(seconds)
        player.join()
        load.stop()
        prober.stop()
        # Let the last faults end by themselves; `heal` ends any that still last.
        time.sleep(max((fault.for_s for fault in faults[-4:]), default=0.0))
        testbed.heal()
        if with_departures:
            faults.append(_take_vm_away(testbed, faults, load_started_s, seed))
        load.cancel_lasting_jobs()
        load.wait_until_ended(SETTLE_TIMEOUT_S)
        testbed.record_due_ends()
        disturbed = impairments(faults, load_started_s)
        events = testbed.events()
        broken = check(load.jobs, events, disturbed)
        broken += check_starts(load.jobs, events, testbed.stored_queues)
        calm_but = disturbances(faults, load_started_s)
        broken += check_lasting(load.jobs, events, testbed.stored_queues, calm_but)
        broken += check_keys(prober.probes, disturbed) + check_secrecy(testbed)
        broken += check_survival(testbed.entries)
    finally:
        testbed.heal()
        testbed.stop()
    accepted = sum(job.accepted_s is not None for job in load.jobs)
    counts = f"jobs={len(load.jobs)} accepted={accepted} faults={len(faults)}"
    counts += f" key_probes={len(prober.probes)}"
    if with_departures:
        counts += f" last_departure={faults[-1].at_s:.1f} s"
    return broken, counts


def _take_vm_away(
    testbed: Testbed, faults: list[Fault], load_started_s: float, seed: int
) -> Fault:
    """Take a VM away once all faults have ended, and wait while lasting tasks run.

    Calm times are rare before, and some rules hold only then.
    """
    last_end_s = max((fault.at_s + fault.for_s for fault in faults), default=0.0)
    passed_s = time.monotonic() - load_started_s
    fault = departure_fault(max(last_end_s, passed_s) + HEALED_S, seed)
    FaultPlayer(testbed, [fault]).run(load_started_s)
    time.sleep(fault.for_s + CALM_S)
    return fault


def report(seed: int, broken: list[str], counts: str, faults: list[Fault]) -> None:
    """Print the verdict of one seed, and its faults if a guarantee was violated."""
    verdict = "kept" if not broken else f"BROKEN ({len(broken)})"
    print(f"seed {seed}: {verdict} {counts}", flush=True)
    for line in broken[:12]:
        print(f"  {line}")
    if broken:
        for fault in faults:
            print(
                f"    {fault.at_s:6.2f} s  {fault.kind.value}"
                f" for {fault.for_s:.1f} s (target {fault.target})"
            )


def main() -> int:
    """Run from the command line; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--seconds", type=float, default=12.0, help="duration of the load"
    )
    parser.add_argument("--keep", type=Path, help="folder in which all logs are kept")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(scratch) if options.keep is None else options.keep / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            broken, counts = run_seed(seed, options.seconds, folder)
        failed += bool(broken)
        report(seed, broken, counts, draw_faults(seed, options.seconds))
    print(f"{options.count - failed} passed, {failed} failed", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
