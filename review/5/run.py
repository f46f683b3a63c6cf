"""LOST: one malformed entry in the list of minions stops all duties for machines.

A field of another type than expected ends each round of the duty with an unexpected
error. What was being emptied for upkeep then stays empty, and takes no work any more.
"""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab.checks import runs_of  # noqa: E402
from lab.deployment import (  # noqa: E402
    CannotRun,
    Deployment,
    route,
    run_case,
    service,
    trouble,
)
from lab.machines import Machine  # noqa: E402

WAITED_S = 24.0
FOREIGN_ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 64_000, "memMb": 262_144, "gpu": 0},
    "labels": ["a", "r1-9"],
    "machine": ["m-9"],
    "born": 1_750_000_000_000,
    "seq": 1,
}


async def case() -> list[str]:
    """Add the entry during a wave, and submit jobs for the machine that is next."""
    machines = [
        Machine("m-0", "desk", "r1-0", "z1", 64_000, kind="a"),
        Machine("m-1", "desk", "r1-1", "z1", 64_000, kind="b"),
    ]
    lab = Deployment(
        Path(__file__).resolve().parent,
        machines,
        [route("quotes", "desk")],
        [service("desk")],
    )
    try:
        await lab.start()
        caller = lab.entries[0]
        names = [machine.machine for machine in machines]
        wave = {"wave": 1, "machines": names, "deadlineS": 30, "maxCount": 1}
        lab.store.put("op/wave/1", wave)
        lab.record.write("wave declared")
        await wait_for_upkeep(lab)
        if trouble():
            lab.store.put("servers/i-foreign", FOREIGN_ENTRY)
            lab.record.write("foreign entry", entry=FOREIGN_ENTRY)
        await asyncio.sleep(8.0)
        step = {"count": 1, "cpu": 4600, "memMb": 6600, "estimateMs": 800}
        step["requires"] = "b"
        jobs = [
            await lab.submit(caller, "/quotes/", [step], ms=800, cpu=4600)
            for _ in range(3)
        ]
        await asyncio.sleep(WAITED_S)
        started = {run["task"].partition(".")[0] for run in runs_of(lab.events())}
        states = [await lab.state(caller, "/quotes/", job) for job in jobs]
        lab.record.write("wave", status=lab.store.content("status/wave/1"))
    finally:
        lab.stop()
    return [
        f"{job}: {state}, nothing of it ran in {WAITED_S:.0f} s, its minion was idle"
        for job, state in zip(jobs, states)
        if job not in started
    ]


async def wait_for_upkeep(lab: Deployment) -> None:
    """Wait until the first upkeep of the wave begins."""
    end_s = time.monotonic() + 20
    while time.monotonic() < end_s:
        if any(row["event"] == "down" for row in lab.events()):
            return
        await asyncio.sleep(0.1)
    raise CannotRun("no upkeep has begun")


run_case(case)
