"""Run the soak for some seeds and report every broken promise."""

import argparse
import sys
import tempfile
import threading
import time
from pathlib import Path

from jayshunt_soak.bed import Bed
from jayshunt_soak.callers import Load, wait_until_served
from jayshunt_soak.checks import check
from jayshunt_soak.const import SETTLE_S
from jayshunt_soak.faults import Fault, FaultPlayer, draw

START_TIMEOUT_S = 20.0


def run_once(seed: int, seconds: float, folder: Path) -> tuple[list[str], str]:
    """Play one seed; return the broken promises and a line of counts."""
    faults = draw(seed, seconds)
    bed = Bed(folder, seed)
    load = Load(bed, seed)
    bed.start()
    try:
        if not wait_until_served(bed, START_TIMEOUT_S):
            return ["start: an entry does not accept connections"], ""
        begun_s = time.monotonic()
        load.start()
        player = threading.Thread(target=FaultPlayer(bed, faults).run, args=(begun_s,))
        player.start()
        time.sleep(seconds)
        player.join()
        load.stop()
        time.sleep(max((fault.for_s for fault in faults[-4:]), default=0.0))
        bed.heal()
        load.wait_for_ends(SETTLE_S)
        broken = check(load.told, bed.events())
    finally:
        bed.heal()
        bed.stop()
    accepted = sum(told.accepted_s is not None for told in load.told)
    counts = f"jobs={len(load.told)} accepted={accepted} faults={len(faults)}"
    return broken, counts


def report(seed: int, broken: list[str], counts: str, faults: list[Fault]) -> None:
    """Print the verdict of one seed, and its faults if a promise was broken."""
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
    """Run from the command line; exit 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=1, help="how many seeds")
    parser.add_argument("--seconds", type=float, default=12.0, help="time of the load")
    parser.add_argument("--keep", type=Path, help="folder that keeps all logs")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(scratch) if options.keep is None else options.keep / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            broken, counts = run_once(seed, options.seconds, folder)
        failed += bool(broken)
        report(seed, broken, counts, draw(seed, options.seconds))
    print(f"{options.count - failed} passed, {failed} failed", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
