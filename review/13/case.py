"""Declare waves of upkeep for machines that were added a moment before."""

import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from bed import TROUBLE, Bed, route, service  # noqa: E402

ROUNDS = 5
QUIET_S = 3.5
SETTLED_S = 6.0
WATCH_S = 9.0
# A machine whose wave is shown as completed is watched for this long after.
LATER_S = 15.0


def wait_quiet(bed):
    """Wait until no order for a machine was given for QUIET_S, at most 10 s."""
    end_s = time.monotonic() + 10.0
    while time.monotonic() < end_s:
        now_s = time.monotonic() - bed.record.started_s
        moves = bed.record.of("machine-move") + bed.record.of("machine-upkeep")
        last_s = max((row["at_s"] for row in moves), default=0.0)
        if now_s - last_s >= QUIET_S:
            return
        time.sleep(0.1)


def play_round(bed, wave):
    """Add a machine and declare its wave; return whether the rule was broken."""
    name = f"m-new-{wave}"
    machine = bed.fleet.add(name, "desk")
    if not TROUBLE:
        time.sleep(SETTLED_S)
    fields = {"wave": wave, "machines": [name], "deadlineS": 20, "maxCount": 1}
    bed.store.put(f"op/wave/{wave}", json.dumps(fields).encode())
    bed.record.add("wave-declared", wave=wave, machine=name)
    end_s = time.monotonic() + WATCH_S
    while time.monotonic() < end_s:
        status = json.loads(bed.store.read(f"status/wave/{wave}") or b"{}")
        if status.get("state") == "completed":
            begun = [r for r in bed.record.of("upkeep-begins") if r["wave"] == wave]
            fields = {"machine": name, "listed_as": machine.state}
            bed.record.add("wave-completed", wave=wave, begun=bool(begun), **fields)
            return not begun
        time.sleep(0.02)
    bed.record.add("wave-not-completed", wave=wave)
    return False


def main():
    """Return the exit status."""
    bed = Bed(HERE / "record.txt")
    for n in range(6):
        bed.fleet.add(f"m-{n}", "desk")
    services = [service("desk"), service("spare", spare=True)]
    bed.put_config([route("r-1", "/q/", "desk")], services)
    bed.start_entries(3)
    try:
        if not bed.wait_ready():
            return 2
        broken = []
        for wave in range(1, ROUNDS + 1):
            wait_quiet(bed)
            if play_round(bed, wave):
                broken.append(wave)
        time.sleep(LATER_S if broken else 0.0)
        for wave in broken:
            begun = [r for r in bed.record.of("upkeep-begins") if r["wave"] == wave]
            bed.record.add("later", wave=wave, begun=bool(begun))
        held = "held" if not broken else f"broken by the waves {broken}"
        bed.record.add("result", rule="MIXED", held=held)
        print(f"MIXED: {held}")
        return 1 if broken else 0
    finally:
        bed.stop()


if __name__ == "__main__":
    sys.exit(main())
