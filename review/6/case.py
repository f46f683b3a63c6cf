"""See claim.txt."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

from bed import Bed, main, twice  # noqa: E402

TASKS = 2400
DOWN_S = 4.2


def case(is_troubled):
    with Bed(Path(__file__).parent, ["desk"]) as bed:
        for rack in range(2):
            bed.fleet.add("desk", rack)
        if not bed.wait_ready():
            return None
        job = "00000000000000a1"
        steps = [{"count": TASKS, "cpu": 500, "ms": 100}]
        if not bed.submit("desk", job, steps):
            return None
        while sum(e[1] == "start" for e in bed.fleet.events) < 100:
            time.sleep(0.01)
        if is_troubled:
            bed.record.say(f"the store is down for {DOWN_S} s")
            bed.store.down = "silent"
        time.sleep(DOWN_S)
        bed.store.down = None
        bed.record.say(
            f"unacknowledged ends: {[len(w.ends) for w in bed.fleet.workers.values()]}"
        )
        state = bed.wait_state("desk", job, ("completed", "failed"), 50)
        time.sleep(1.0)
        with bed.fleet.lock:
            events = list(bed.fleet.events)
        found = twice(events)
        starts = sum(e[1] == "start" for e in events)
        bed.record.say(f"state {state}, {TASKS} tasks, {starts} starts")
        for at_s, task, run, why in found[:10]:
            bed.record.say(f"TWICE: {task} run {run} started {why}")
        bed.record.say(f"{len(found)} starts break the rule")
        return bool(found)


main(case)
