"""Show the whole path and count what went wrong."""

import json
import random
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from typing import Annotated

import typer

from jayshunt import http_client
from jayshunt.config.models import ConfigDocument
from jayshunt.errors import JayshuntError
from jayshunt_measure.testbed import Testbed, VmPlan

ZONES = ("north", "north", "south")
POOLS = ("front-desk", "tastings")
CALLERS = 16
START_S = 6.0
JOB_COUNT = 12
JOB_WAIT_S = 10.0


@dataclass(frozen=True)
class Sent:
    """Hold one request and what its caller received."""

    request: str
    status: int
    outcome: str
    whole: bool


@dataclass
class DemoCounts:
    """Count what callers and upstreams recorded."""

    requests: int = 0
    answered: int = 0
    refused_not_run: int = 0
    unknown: int = 0
    lost: int = 0
    run_twice: int = 0
    wrong_answer: int = 0
    cut_by_planned_stop: int = 0
    jobs_accepted: int = 0
    jobs_finished: int = 0
    jobs_lost: int = 0


def demo(
    seconds: Annotated[int, typer.Option(min=10, help="Length of the run.")] = 20,
    seed: Annotated[int, typer.Option(help="Seed of the callers.")] = 1,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Run three entries in two zones, requests, jobs, a target and a stop."""
    end_s = time.monotonic() + seconds - START_S
    testbed = Testbed(_vms(), {"north": 2, "south": 1}).start()
    try:
        testbed.configure(_document())
        counts = _run(testbed, random.Random(seed), end_s)
        status = testbed.operator_call(testbed.entries[0], "GET", "status")
    finally:
        testbed.stop()
    for name, value in asdict(counts).items():
        typer.echo(f"{name:<22}{value:>8}")
    for item in status["classes"]:
        verdict = "met" if item["is_met"] else "missed"
        typer.echo(
            f"class {item['work_class']:<12} target {item['target_ms']} ms "
            f"p99 {item['p99_ms']:.1f} ms {verdict}"
        )
    for name, planned in status["planned_stops"].items():
        typer.echo(f"planned stop {name}: {planned['scope']} {planned['target']}")
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


def _run(testbed: Testbed, rng: random.Random, end_s: float) -> DemoCounts:
    jobs = [_submit_job(testbed, number) for number in range(JOB_COUNT)]
    accepted = [job for job in jobs if job]
    seeds = [rng.getrandbits(32) for _ in range(CALLERS)]
    with ThreadPoolExecutor(CALLERS + 1) as executor:
        operator = executor.submit(_operate, testbed)
        sent = list(
            executor.map(
                lambda item: _call_until(testbed, item[0], item[1], end_s),
                enumerate(seeds),
            )
        )
        operator.result()
    counts = _count(testbed, [item for items in sent for item in items])
    counts.jobs_accepted = len(accepted)
    finished = _finished_jobs(testbed, accepted)
    counts.jobs_finished = finished
    counts.jobs_lost = len(accepted) - finished
    return counts


def _operate(testbed: Testbed) -> None:
    entry = testbed.entries[0]
    testbed.operator_call(entry, "PUT", "classes/tables/target", {"target_ms": 600})
    testbed.operator_call(
        entry, "PUT", "stops/rack-work", {"scope": "pool", "target": "tastings"}
    )


def _call_until(testbed: Testbed, caller: int, seed: int, end_s: float) -> list[Sent]:
    rng = random.Random(seed)
    sent = []
    while time.monotonic() < end_s:
        entry = rng.choice(testbed.entries)
        work_class = rng.choice(("tables", "tasting"))
        request = f"demo-{caller}-{len(sent)}"
        sent.append(_call(entry.callers, work_class, request, rng))
        time.sleep(rng.uniform(0, 0.05))
    return sent


def _call(address: str, work_class: str, request: str, rng: random.Random) -> Sent:
    headers = {
        "Jayshunt-Request-Id": request,
        "Standin-Work-Ms": str(rng.randint(2, 30)),
        "Content-Type": "text/plain",
    }
    try:
        answer = http_client.request(
            "POST",
            f"http://{address}/v1/classes/{work_class}/book",
            body=f"body-{request}".encode(),
            headers=headers,
            timeout_s=5,
            step="demo",
        )
    except JayshuntError as error:
        return Sent(request, 0, error.outcome.value, False)
    if answer.headers.get("content-type") == "application/problem+json":
        outcome = json.loads(answer.body)["outcome"]
        return Sent(request, answer.status, outcome, False)
    whole = answer.body.endswith(f" {request} body-{request}".encode())
    return Sent(request, answer.status, "ran", whole)


def _count(testbed: Testbed, sent: list[Sent]) -> DemoCounts:
    ran = Counter(
        item.request for upstream in testbed.upstreams.values() for item in upstream.ran
    )
    counts = DemoCounts(requests=len(sent))
    for item in sent:
        times = ran[item.request]
        counts.run_twice += times > 1
        match item.outcome:
            case "ran":
                counts.answered += item.whole
                counts.wrong_answer += not item.whole or times == 0
            case "not_run":
                counts.refused_not_run += 1
                counts.wrong_answer += times > 0
            case _:
                counts.unknown += 1
                counts.cut_by_planned_stop += item.status == 0
                counts.lost += item.status == 0
    return counts


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


def _finished_jobs(testbed: Testbed, jobs: list[str]) -> int:
    end_s = time.monotonic() + JOB_WAIT_S
    left = set(jobs)
    while left and time.monotonic() < end_s:
        left = {job for job in left if _job_state(testbed, job) != "finished"}
        time.sleep(0.1)
    done = {job for worker in testbed.workers.values() for job, _ in worker.finishes}
    return sum(1 for job in jobs if job not in left and job in done)


def _job_state(testbed: Testbed, job: str) -> str:
    url = f"http://{testbed.entries[-1].callers}/v1/jobs/{job}"
    answer = http_client.request("GET", url, timeout_s=5, step="demo")
    return json.loads(answer.body).get("state", "unreadable")
