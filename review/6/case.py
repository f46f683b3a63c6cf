"""See claim.txt."""

import os
import time
from pathlib import Path

from bed import Bed, main, twice

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE") != "0"
FIRST, LATER = "00000000000000f1", "f0000000000000f2"
LARGE = [f"5{n:015x}" for n in range(6)]
# Beside these, so that 6 of 18 jobs are cancelled.
SMALL = [f"3{n:015x}" for n in range(10)]
TASKS = 100


def case(is_troubled):
    """Kill the entry that dispatches after some large jobs were cancelled."""
    with Bed(Path(__file__).parent, ["desk"]) as bed:
        for rack in range(2):
            bed.fleet.add("desk", rack)
        if not bed.wait_ready():
            return None
        for job in SMALL:
            step = {"count": 2, "cpu": 300, "ms": 200}
            if not bed.submit("desk", job, [step]):
                return None
        for number, job in enumerate(LARGE):
            if number == 3:
                # What the first ones took is free again.
                time.sleep(12.0)
            step = {"count": 10000, "cpu": 32000, "ms": 5}
            if not bed.submit("desk", job, [step, step]):
                return None
            if bed.entries[0].call("DELETE", f"/desk/{job}")[0] != 200:
                return None
        time.sleep(1.0)
        one = {"count": 1, "cpu": 300, "ms": 100}
        many = {"count": TASKS, "cpu": 300, "ms": 2000}
        if not bed.submit("desk", FIRST, [one, {**many, "after": [0]}]):
            return None
        if not bed.submit("desk", LATER, [{**many, "ms": 1500}]):
            return None
        end_s = time.monotonic() + 10
        while started(bed) < 2 * TASKS + 1 and time.monotonic() < end_s:
            time.sleep(0.02)
        if started(bed) < 2 * TASKS + 1:
            return None
        time.sleep(0.3)
        if is_troubled:
            holder = bed.holder()
            bed.record.say(f"{holder.name}, which dispatches, is killed")
            holder.kill()
        state = [
            bed.wait_state("desk", job, ("completed", "failed"), 30)
            for job in (FIRST, LATER)
        ]
        time.sleep(2.0)
        with bed.fleet.lock:
            events = list(bed.fleet.events)
        found = twice(events)
        bed.record.say(
            f"states {state}, {started(bed)} starts of {2 * TASKS + 1} tasks"
        )
        for at_s, task, run, why in found[:10]:
            bed.record.say(f"TWICE: {task} run {run} started {why}")
        bed.record.say(f"{len(found)} starts break the rule")
        return bool(found)


def started(bed):
    return sum(
        event[1] == "start" and event[2].partition(".")[0] in (FIRST, LATER)
        for event in list(bed.fleet.events)
    )


main(case, TROUBLE)
