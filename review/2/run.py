"""TWICE: tasks that a restarted worker has begun are started again elsewhere.

A worker that starts again under its id takes orders meant for its former life.
The dispatcher learns of the restart by the next answer to a poll. It then takes all
that it started there, before and after the restart, for lost.
"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.checks import find_twice  # noqa: E402
from standins.deployment import (  # noqa: E402
    CannotRun,
    Deployment,
    route,
    run_case,
    service,
)
from standins.machines import Machine  # noqa: E402

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE") != "0"

DOWN_S = 1.0
# From the start of the new life to its first write to the store; heartbeatMs is 1,500.
FIRST_PING_S = 1.4
JOBS = 120
JOB_EVERY_S = 0.05


async def submit_jobs(lab: Deployment, jobs: list[str]) -> None:
    """Submit jobs of two tasks, one after the other."""
    step = {"count": 2, "cpu": 1000, "memMb": 1000, "estimateMs": 800}
    for number in range(JOBS):
        entry = lab.entries[number % len(lab.entries)]
        jobs.append(await lab.submit(entry, "/quotes/", [step], ms=800, cpu=1000))
        await asyncio.sleep(JOB_EVERY_S)


async def case() -> list[str]:
    """Let the worker that gets the work lose power for a second."""
    machines = [Machine(f"m-{n}", "desk", f"r1-{n}", "z1", 64_000) for n in range(8)]
    lab = Deployment(
        Path(__file__).resolve().parent,
        machines,
        [route("quotes", "desk", attempts=4)],
        [service("desk")],
    )
    lab.machines.uses_relays = True
    jobs: list[str] = []
    try:
        await lab.start()
        submitting = asyncio.create_task(submit_jobs(lab, jobs))
        await asyncio.sleep(2.0)
        if TROUBLE:
            started = [row for row in lab.events() if row["event"] == "start"]
            if not started:
                raise CannotRun("nothing was started")
            machine = next(m for m in machines if m.worker == started[-1]["who"])
            machine.plan["first_ping_s"] = FIRST_PING_S
            lab.record.write("dark", machine=machine.machine)
            await lab.machines.crash_dark(machine, DOWN_S)
        await submitting
        await asyncio.sleep(12.0)
        for job in jobs:
            await lab.state(lab.entries[0], "/quotes/", job)
    finally:
        lab.stop()
    return find_twice(lab.events())


run_case(case)
