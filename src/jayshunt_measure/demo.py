"""Run a short demo with entries, load and a planned stop, and count the faults."""

import json
import random
import signal
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict
from typing import Annotated

import typer

from jayshunt import http_client
from jayshunt.config.models import ConfigDocument
from jayshunt.errors import JayshuntError
from jayshunt_measure.demo_callers import DemoCaller
from jayshunt_measure.demo_counts import (
    MUST_BE_ZERO,
    DemoCounts,
    StoppedEntry,
    count_requests,
)
from jayshunt_measure.testbed import Testbed, VmPlan

POOLS = ("front-desk", "tastings")
CALLERS = 16
JOB_COUNT = 12
# The run waits for jobs until STOP_RESERVE_S before its end, and stops the entries
# in the remaining time. The load ends JOB_RESERVE_S before the end of the run.
STOP_RESERVE_S = 2.0
JOB_RESERVE_S = 4.0


def demo(
    seconds: Annotated[
        int, typer.Option(min=10, max=600, help="Length with start and stop.")
    ] = 20,
    seed: Annotated[int, typer.Option(help="Seed of the callers.")] = 1,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Run three entries in two zones under load.

    In between, change a target, declare maintenance and restart an entry.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    end_s = time.monotonic() + seconds
    testbed = Testbed(_vms(), {"north": 2, "south": 1})
    try:
        testbed.start()
        testbed.configure(_document())
        sent, stopped, jobs = _run(testbed, random.Random(seed), end_s)
        finished = _finished_jobs(testbed, jobs, end_s - STOP_RESERVE_S)
        status = testbed.operator_call(testbed.entries[0], "GET", "status")
    finally:
        testbed.stop()
    # Counted after the stop, to include requests that upstreams finish late.
    ran = [run.request for vm in testbed.upstreams.values() for run in vm.ran]
    counts = count_requests(sent, ran, [stopped])
    counts.jobs_accepted, counts.jobs_finished = len(jobs), finished
    counts.jobs_lost = len(jobs) - finished
    _print_table(counts, stopped, status)
    if as_json:
        typer.echo(json.dumps(asdict(counts)))


def _vms() -> list[VmPlan]:
    vms = []
    for zone in ("north", "south"):
        for pool in POOLS:
            for number in range(2):
                name = f"{pool}-{zone}-{number}"
                rack = f"{zone}-rack-{number}"
                vms.append(VmPlan(name, zone, rack, "upstream", pool))
                vms.append(VmPlan(f"{name}-worker", zone, rack, "worker", pool))
    return vms


def _document() -> ConfigDocument:
    return ConfigDocument.model_validate(
        {
            "weigh_first": "moves",
            "pools": {name: {"min_available_ratio": 0.5} for name in POOLS},
            "classes": {
                "tables": {"pool": "front-desk", "target_ms": 800},
                "tasting": {"pool": "tastings", "target_ms": 800},
                "seating": {"pool": "tastings", "kind": "job", "max_wait_s": 60},
            },
            "teams": {"salons": {"quota_cores": 100}},
        }
    )


def _run(testbed: Testbed, rng: random.Random, end_s: float) -> tuple:
    jobs = [job for n in range(JOB_COUNT) if (job := _submit_job(testbed, n))]
    load_end_s = end_s - JOB_RESERVE_S
    stop_at_s = (time.monotonic() + load_end_s) / 2
    callers = [
        DemoCaller(number, testbed, random.Random(rng.getrandbits(32)))
        for number in range(CALLERS)
    ]
    with ThreadPoolExecutor(CALLERS + 1) as executor:
        operator = executor.submit(_run_operator, testbed, stop_at_s)
        sent = list(executor.map(lambda caller: caller.run(load_end_s), callers))
        stopped = operator.result()
    return [item for items in sent for item in items], stopped, jobs


def _run_operator(testbed: Testbed, stop_at_s: float) -> StoppedEntry:
    """Change a target, declare maintenance and restart an entry."""
    first, second = testbed.entries[:2]
    testbed.operator_call(first, "PUT", "classes/tables/target", {"target_ms": 600})
    testbed.operator_call(
        first, "PUT", "stops/rack-work", {"scope": "pool", "target": "tastings"}
    )
    time.sleep(max(0.0, stop_at_s - time.monotonic()))
    asked_s = time.monotonic()
    testbed.stop_entry(second)
    stopped = StoppedEntry(second.name, asked_s, time.monotonic())
    testbed.start_entry(second)
    return stopped


def _submit_job(testbed: Testbed, number: int) -> str | None:
    entry = testbed.entries[number % len(testbed.entries)]
    body = {"class": "seating", "team": "salons", "command": "work-ms=300"}
    answer = http_client.request(
        "POST",
        f"http://{entry.callers}/v1/jobs",
        body=json.dumps(body).encode(),
        timeout_s=5,
        step="demo",
    )
    return json.loads(answer.body)["job"] if answer.status == 202 else None


def _finished_jobs(testbed: Testbed, jobs: list[str], end_s: float) -> int:
    unfinished = set(jobs)
    while unfinished and time.monotonic() < end_s:
        unfinished = {
            job for job in unfinished if _job_state(testbed, job) != "finished"
        }
        time.sleep(0.1)
    finished_at_workers = {
        job for worker in testbed.workers.values() for job, _ in worker.finishes
    }
    return sum(
        1 for job in jobs if job not in unfinished and job in finished_at_workers
    )


def _job_state(testbed: Testbed, job: str) -> str:
    url = f"http://{testbed.entries[-1].callers}/v1/jobs/{job}"
    try:
        answer = http_client.request("GET", url, timeout_s=2, step="demo")
    except JayshuntError:
        return "unreadable"
    return json.loads(answer.body).get("state", "unreadable")


def _print_table(counts: DemoCounts, stopped: StoppedEntry, status: dict) -> None:
    typer.echo(f"{'count':<22}{'value':>8}  goal")
    for name, value in asdict(counts).items():
        goal = "0" if name in MUST_BE_ZERO else ""
        mark = "  MISSED" if goal and value else ""
        typer.echo(f"{name:<22}{value:>8}  {goal}{mark}")
    typer.echo("")
    for item in status["classes"]:
        verdict = "met" if item["is_met"] else "missed"
        typer.echo(
            f"class {item['work_class']:<12} target {item['target_ms']:>5} ms  "
            f"p99 {item['p99_ms']:>6.1f} ms  {verdict}"
        )
    for name, planned in status["planned_stops"].items():
        typer.echo(f"planned stop {name}: {planned['scope']} {planned['target']}")
    took_s = stopped.ended_s - stopped.asked_s
    typer.echo(f"planned stop of entry {stopped.entry}: ended after {took_s:.1f} s")
