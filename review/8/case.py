"""See claim.txt."""

import os
import signal
import threading
import time
from pathlib import Path

from bed import Bed, job_body, main

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE") != "0"
JOBS = [f"00000000000000a{n}" for n in range(6)]
# Jobs that nobody gives up, so that 6 of 15 callers do.
OTHERS = [f"00000000000000b{n}" for n in range(9)]
FREEZE_S = 4.0
GIVE_UP_S = 0.4
CANCEL_S = 3.0
WATCH_S = 12.0


def case(is_troubled):
    """Freeze an entry while jobs are handed in there, and cancel them at another."""
    with Bed(Path(__file__).parent, ["desk"]) as bed:
        for number in range(4):
            bed.fleet.add("desk", number // 2)
        if not bed.wait_ready():
            return None
        # Any entry but the one that dispatches.
        frozen, other = [e for e in bed.entries if e is not bed.holder()]
        if is_troubled:
            bed.record.say(f"{frozen.name} is frozen for {FREEZE_S} s")
            frozen.kill(signal.SIGSTOP)
            threading.Timer(FREEZE_S, frozen.kill, (signal.SIGCONT,)).start()
        told = {}
        callers = [
            threading.Thread(target=submit_and_cancel, args=(frozen, other, job, told))
            for job in JOBS
        ]
        for caller in callers:
            caller.start()
        step = {"count": 2, "cpu": 1000, "ms": 1000}
        if not all(bed.submit("desk", job, [step], entry=other) for job in OTHERS):
            return None
        for caller in callers:
            caller.join()
        time.sleep(WATCH_S)
        with bed.fleet.lock:
            events = list(bed.fleet.events)
        found = [
            (task, at_s - told[task.partition(".")[0]])
            for at_s, kind, task, *_ in events
            if kind == "start" and task.partition(".")[0] in told
        ]
        found = [(task, late_s) for task, late_s in found if late_s > CANCEL_S]
        bed.record.say(f"{len(told)} cancels of {len(JOBS)} were acknowledged")
        for task, late_s in found:
            bed.record.say(f"UNASKED: {task} starts {late_s:.2f} s after that")
        if len(told) < len(JOBS):
            return None
        return bool(found)


def submit_and_cancel(frozen, other, job, told):
    """Hand a job in, give up after a short time, and cancel it until that is told.

    `told` gets the time of the answer, 2xx or 410.
    """
    step = {"count": 2, "cpu": 1000, "ms": 5000}
    body = job_body([step])
    frozen.call("POST", f"/desk/{job}", body, timeout_s=GIVE_UP_S)
    for _ in range(5):
        answer = other.call("DELETE", f"/desk/{job}")
        if answer is not None and answer[0] in (200, 410):
            told[job] = time.monotonic()
            return


main(case, TROUBLE)
