"""LOST: after one lost answer of the platform, a sound worker is never used again.

The upkeep whose answer was lost is ordered once more when the machine is back. The
platform answers 200, as it is done already; the dispatcher then takes the new worker
for the one that the order ended.
"""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.checks import runs_of  # noqa: E402
from standins.deployment import (  # noqa: E402
    CannotRun,
    Deployment,
    route,
    run_case,
    service,
)
from standins.http import Drop  # noqa: E402
from standins.machines import Machine  # noqa: E402

# TROUBLE=0 leaves the disruption out.
TROUBLE = os.environ.get("TROUBLE") != "0"

LABELLED = "m-0"
WAITED_S = 20.0


async def case() -> list[str]:
    """Lose the answer to one upkeep, and submit jobs that need that machine."""
    machines = [
        Machine(f"m-{n}", "desk", f"r1-{n}", "z1", 64_000, kind="a") for n in range(3)
    ]
    machines[0].kind = "b"
    lab = Deployment(
        Path(__file__).resolve().parent,
        machines,
        [route("quotes", "desk")],
        [service("desk")],
    )
    lost: set[str] = set()

    async def lose_one_answer(request, carry_out):
        """Carry out each order; the first one for the labelled machine is silent."""
        answer = carry_out()
        machine = request.json()["machine"]
        if machine == LABELLED and not lost:
            lost.add(machine)
            lab.record.write("answer lost", machine=machine)
            raise Drop
        return answer

    try:
        await lab.start()
        caller = lab.entries[0]
        if TROUBLE:
            lab.machines.fault = lose_one_answer
        names = [machine.machine for machine in machines]
        wave = {"wave": 1, "machines": names, "deadlineS": 30, "maxCount": 1}
        lab.store.put("op/wave/1", wave)
        lab.record.write("wave declared")
        await wait_for_wave(lab)
        await asyncio.sleep(6.0)
        step = {"count": 1, "cpu": 4600, "memMb": 6600, "estimateMs": 800}
        step["requires"] = "b"
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


async def wait_for_wave(lab: Deployment) -> None:
    """Wait until the wave is said to be completed."""
    end_s = time.monotonic() + 50
    while time.monotonic() < end_s:
        status = lab.store.content("status/wave/1")
        if status is not None and status["state"] == "completed":
            lab.record.write("wave completed")
            return
        await asyncio.sleep(0.2)
    raise CannotRun("the wave is not completed")


run_case(case)
