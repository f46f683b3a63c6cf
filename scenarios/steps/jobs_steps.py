"""Define the steps for jobs and marked requests, which must not run twice."""

import json
import signal
import time
from collections import Counter

from behave import given, then, when

from jayshunt import http_client
from jayshunt.config.models import ConfigDocument
from jayshunt.errors import JayshuntError
from jayshunt_measure.testbed import EntryHandle, Testbed, VmPlan
from jayshunt_standins.upstream import UpstreamFaults

WAIT_S = 40.0
POLL_S = 0.1
LONG_JOB_MS = 9_000
SHORT_JOB_MS = 300
TARGET_MS = 1_500


@given("{count:d} entries in zone {zone} with {workers:d} workers in pool {pool}")
def start_workers(context, count: int, zone: str, workers: int, pool: str) -> None:
    """Start entries and workers with one class of jobs."""
    vms = [
        VmPlan(f"{pool}-{number}", zone, f"rack-{number}", "worker", pool)
        for number in range(workers)
    ]
    context.testbed = Testbed(vms, {zone: count}).start()
    context.testbed.configure(
        ConfigDocument.model_validate(
            {
                "pools": {pool: {}},
                "teams": {"crew": {"quota_cores": 1_000}},
                "classes": {"plans": {"pool": pool, "kind": "job", "max_wait_s": 60}},
            }
        )
    )


@given("{running:d} marked jobs that run and {waiting:d} that wait")
def submit_jobs(context, running: int, waiting: int) -> None:
    """Occupy every worker with jobs, then submit jobs that must wait."""
    context.jobs = [_submit(context, LONG_JOB_MS) for _ in range(running)]
    workers = context.testbed.workers.values()
    _wait_until(lambda: sum(len(w.starts) for w in workers) == running)
    context.jobs += [_submit(context, SHORT_JOB_MS) for _ in range(waiting)]


@when("every entry is replaced one after another")
def replace_entries(context) -> None:
    """Restart the entries one after another, each after the previous one is ready."""
    for entry in context.testbed.entries:
        entry.process.terminate()
        entry.process.wait(20)
        context.testbed.start_entry(entry)
        context.testbed.wait_ready(entry)


@when("every entry is killed and replaced at once")
def kill_entries(context) -> None:
    """Kill all entries at once, so that none can hand over its state."""
    for entry in context.testbed.entries:
        entry.process.kill()
    for entry in context.testbed.entries:
        entry.process.wait(20)
        context.testbed.start_entry(entry)


@when("the zone controller is paused until the other entry took over")
def pause_controller(context) -> None:
    """Suspend the controller's process until the other entry is the controller.

    That entry takes over when the lease of the first one expires.
    """
    entries = context.testbed.entries
    paused = next(entry for entry in entries if _read_epoch(context, entry))
    other = next(entry for entry in entries if entry is not paused)
    paused.process.send_signal(signal.SIGSTOP)
    try:
        _wait_until(lambda: _read_epoch(context, other))
    finally:
        paused.process.send_signal(signal.SIGCONT)


@then("every job finishes and started once")
def check_jobs(context) -> None:
    """Compare the states of the jobs with the records of the workers."""
    _wait_until(lambda: set(_read_states(context)) == {"finished"})
    workers = context.testbed.workers.values()
    starts = Counter(job for worker in workers for job, _ in worker.starts)
    resumes = [resumed for worker in workers for resumed in worker.record.resumes]
    assert starts == Counter(context.jobs), starts
    assert not resumes, resumes


@then("one entry schedules jobs")
def check_one_scheduler(context) -> None:
    """Wait until exactly one entry reports a scheduling epoch other than 0."""
    _wait_until(lambda: _count_schedulers(context) == 1)


@given("{count:d} entries in zone {zone} with 1 silent upstream in pool {pool}")
def start_silent_upstream(context, count: int, zone: str, pool: str) -> None:
    """Start entries and an upstream that accepts requests and never answers."""
    vms = [VmPlan("desk-1", zone, "rack-1", "upstream", pool)]
    context.testbed = Testbed(vms, {zone: count}).start()
    context.testbed.configure(
        ConfigDocument.model_validate(
            {
                "pools": {pool: {}},
                "classes": {"quotes": {"pool": pool, "target_ms": TARGET_MS}},
            }
        )
    )
    context.upstream = context.testbed.upstreams["desk-1"]
    context.upstream.set_faults(UpstreamFaults(silent=True))


@when("the upstream answers again")
def heal_upstream(context) -> None:
    """Clear the upstream's faults."""
    context.upstream.set_faults(UpstreamFaults())


@when("a caller posts a marked request with key {key} to entry {number:d}")
def post_marked(context, key: str, number: int) -> None:
    """Send one marked request, and retry while it has not run or is in progress.

    The entries are numbered from 0.

    The end of a claim is written after the answer is sent, so a retry can still be
    refused because the request is in progress.
    """
    context.previous = getattr(context, "answer", None)
    entry = context.testbed.entries[number]

    def send() -> bool:
        context.answer = http_client.request(
            "POST",
            f"http://{entry.callers}/v1/classes/quotes/book",
            body=b"splitter",
            headers={
                "Idempotency-Key": key,
                "Jayshunt-Request-Id": f"{key}-{number}",
            },
            timeout_s=10,
            step="scenario",
        )
        response_body = context.answer.body
        return (
            b'"not_run"' not in response_body and b'"in_progress"' not in response_body
        )

    _wait_until(send)


@then("the caller hears {code} and outcome {outcome}")
def check_problem(context, code: str, outcome: str) -> None:
    """Check the code and the outcome in the problem response."""
    problem = json.loads(context.answer.body)
    assert (problem["code"], problem["outcome"]) == (code, outcome), problem


@then("the upstream received it once")
def check_received(context) -> None:
    """Check that the upstream received the marked request once, from entry 0."""
    received = [name for name in context.upstream.received if name.startswith("k1")]
    assert received == ["k1-0"], received


@then("the caller receives the first answer")
def check_same_answer(context) -> None:
    """Check that the second answer equals the first."""
    assert context.answer.status == 200, context.answer
    assert context.answer.body == context.previous.body, context.answer


def _submit(context, work_ms: int) -> str:
    body = {
        "class": "plans",
        "team": "crew",
        "command": f"work-ms={work_ms}",
        "cpu_cores": 32,
        "repeatable": False,
    }
    accepted: list[str] = []

    def send() -> bool:
        answer = http_client.request(
            "POST",
            f"http://{context.testbed.entries[0].callers}/v1/jobs",
            body=json.dumps(body).encode(),
            timeout_s=10,
            step="scenario",
        )
        if answer.status == 202:
            accepted.append(json.loads(answer.body)["job"])
        return bool(accepted)

    _wait_until(send)
    return accepted[0]


def _read_states(context) -> list[str]:
    found = []
    for job in context.jobs:
        url = f"http://{context.testbed.entries[0].callers}/v1/jobs/{job}"
        try:
            answer = http_client.request("GET", url, timeout_s=5, step="scenario")
        except JayshuntError:
            return ["unreadable"]
        found.append(json.loads(answer.body).get("state", "unreadable"))
    return found


def _read_epoch(context, entry: EntryHandle) -> int:
    return context.testbed.operator_call(entry, "GET", "dump?scope=entry")["jobs"][
        "epoch"
    ]


def _count_schedulers(context) -> int:
    return sum(1 for entry in context.testbed.entries if _read_epoch(context, entry))


def _wait_until(condition) -> None:
    end_s = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < end_s, "did not happen in time"
        time.sleep(POLL_S)
