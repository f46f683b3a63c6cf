"""LOST: a job whose policy allows one worker is not started once that one crashed.

The dispatcher asks for advice on the 30 workers with the most free room. In an idle
pool a worker that was restarted comes last, and is not asked about any more.
"""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.checks import runs_of  # noqa: E402
from standins.deployment import Deployment, route, run_case, service  # noqa: E402
from standins.machines import Machine  # noqa: E402

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE") != "0"

MACHINES = 36
ALLOWED = "m-00"
DOWN_S = 1.0
WAITED_S = 24.0


async def case() -> list[str]:
    """Crash the worker that the policy allows, and submit jobs once it is back."""
    machines = [
        Machine(
            f"m-{n:02}",
            "desk",
            f"r1-{n // 4}",
            "z1",
            64_000,
            plan={"needs_ticket": True},
        )
        for n in range(MACHINES)
    ]
    lab = Deployment(
        Path(__file__).resolve().parent,
        machines,
        [route("quotes", "desk")],
        [service("desk")],
        advice_policy=(20, 1, 3000),
    )
    lab.config["routes"][0]["advice"] = lab.advice.policy
    lab.advice.allowed = {ALLOWED}
    try:
        await lab.start()
        caller = lab.entries[0]
        await asyncio.sleep(3.0)
        if TROUBLE:
            worker = machines[0].worker
            lab.machines.kill(machines[0])
            await asyncio.sleep(DOWN_S)
            lab.machines.start_life(machines[0], worker)
        await asyncio.sleep(8.0)
        step = {"count": 1, "cpu": 4600, "memMb": 6600, "estimateMs": 800}
        jobs = [
            await lab.submit(caller, "/quotes/", [step], ms=800, cpu=4600)
            for _ in range(3)
        ]
        await asyncio.sleep(WAITED_S)
        started = {run["task"].partition(".")[0] for run in runs_of(lab.events())}
        states = [await lab.state(caller, "/quotes/", job) for job in jobs]
    finally:
        lab.stop()
    return [
        f"{job}: {state}, nothing of it ran in {WAITED_S:.0f} s, its worker was idle"
        for job, state in zip(jobs, states)
        if job not in started
    ]


run_case(case)
