"""UNASKED: a job runs on although its caller cancelled it and was told it is gone.

An entry that was frozen when the submission arrived stores it after it wakes, although
another entry answered the caller's DELETE with 410 meanwhile.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab.checks import runs_of  # noqa: E402
from lab.deployment import (  # noqa: E402
    BOUNDS,
    Deployment,
    new_job_id,
    route,
    run_case,
    service,
    trouble,
)
from lab.machines import Machine  # noqa: E402

FROZEN_S = 4.0
CALLERS = 20
CALLERS_APART_S = 0.04


async def submit_and_cancel(lab: Deployment, first, second, wait_s: float) -> tuple:
    """Submit a job to one entry and cancel it at another; return its id and when."""
    job = new_job_id()
    step = {"count": 1, "cpu": 1000, "memMb": 200, "estimateMs": 700}
    step["longRunning"] = True
    content = {"spec": '{"ms": null, "cpu": 1000}', "steps": [step]}
    await asyncio.sleep(wait_s)
    await lab.request(first, "POST", "/audits/", job, content)
    while True:
        answer = await lab.request(second, "DELETE", "/audits/", job)
        if answer is not None and answer[0] in (200, 410):
            return job, time.monotonic()


async def case() -> list[str]:
    """Submit jobs to a frozen entry, cancel them at another one, and thaw the first."""
    machines = [Machine(f"m-{n}", "desk", f"r1-{n}", "z1", 64_000) for n in range(2)]
    lab = Deployment(
        Path(__file__).resolve().parent,
        machines,
        [route("audits", "desk")],
        [service("desk")],
    )
    try:
        await lab.start()
        old = lab.dispatcher()
        first, second = [entry for entry in lab.entries if entry is not old]
        if trouble():
            first.process.send_signal(signal.SIGSTOP)
            lab.record.write("frozen", entry=first.name)
        frozen_s = time.monotonic()
        callers = [
            submit_and_cancel(lab, first, second, number * CALLERS_APART_S)
            for number in range(CALLERS)
        ]
        cancelled_s = dict(await asyncio.gather(*callers))
        await asyncio.sleep(max(0.0, frozen_s + FROZEN_S - time.monotonic()))
        if trouble():
            first.process.send_signal(signal.SIGCONT)
            lab.record.write("thawed", entry=first.name)
        await asyncio.sleep(20.0)
        checked_s = time.monotonic()
        states = {job: await lab.state(second, "/audits/", job) for job in cancelled_s}
    finally:
        lab.stop()
    allowed_s = (BOUNDS["cancel_ms"] + BOUNDS["stopMs"]) / 1000
    broken = []
    for run in runs_of(lab.events()):
        job = run["task"].partition(".")[0]
        end_s = checked_s if run["end_s"] is None else min(run["end_s"], checked_s)
        if end_s - max(run["start_s"], cancelled_s[job]) > allowed_s:
            broken.append(
                f"{run['task']}: at work {end_s - cancelled_s[job]:.1f} s after the"
                f" DELETE of its job was answered; the job is {states[job]}"
            )
    return broken


run_case(case)
