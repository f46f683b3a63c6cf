"""See claim.txt."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

from bed import Bed, main  # noqa: E402

WORKERS = 10
JOB = "00000000000000f8"
GAP_S = 1.4
FLAP_S = 6.5
TASK_S = 6.0


def case(is_troubled):
    """Let one of ten workers go down and up while a job has a task on each."""
    with Bed(Path(__file__).parent, ["desk"]) as bed:
        workers = [bed.fleet.add("desk", number // 4) for number in range(WORKERS)]
        if not bed.wait_ready():
            return None
        step = {"count": WORKERS, "cpu": 1000, "ms": TASK_S * 1000, "antiAffinity": 1}
        if not bed.submit("desk", JOB, [step]):
            return None
        time.sleep(1.0)
        if is_troubled:
            flapping = workers[2]
            bed.record.say(
                f"{flapping.id} goes down and up, {GAP_S} s, {FLAP_S} s long"
            )
            end_s = time.monotonic() + FLAP_S
            while time.monotonic() < end_s:
                flapping.crash()
                time.sleep(GAP_S / 2)
                flapping.restart()
                time.sleep(GAP_S / 2)
        state = bed.wait_state("desk", JOB, ("completed", "failed"), 30)
        with bed.fleet.lock:
            events = list(bed.fleet.events)
        for _, kind, task, run, worker, _ in events:
            if kind in ("gone", "failed"):
                bed.record.say(f"{kind} {task} run {run} on {worker}")
        failed = sum(event[1] == "failed" for event in events)
        bed.record.say(f"state {state}; {failed} runs ended failed")
        if state not in ("completed", "failed"):
            return None
        return state == "failed" and not failed


main(case)
