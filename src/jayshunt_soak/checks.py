"""Check what callers were told against what workers did."""

from collections import defaultdict
from dataclasses import dataclass

from jayshunt_soak.callers import Told
from jayshunt_soak.const import CORES_PER_VM

# An end is compared over the clocks of one machine; workers look every 20 ms.
CLOCK_SLACK_S = 0.03
MAX_FAILURES = 3


@dataclass
class Interval:
    """Hold one run on one worker; times are steady seconds."""

    task: str
    run: int
    worker: str
    begun_s: float
    ended_s: float = float("inf")
    how: str = ""
    noted_s: float | None = None


def intervals(events: list[dict]) -> list[Interval]:
    """Return the runs that workers recorded; a killed process ends its own."""
    runs: dict[tuple[str, str, int], Interval] = {}
    process_of: dict[str, str] = {}
    lapses: dict[str, list[float]] = defaultdict(list)
    for row in sorted(events, key=lambda row: row["at_s"]):
        if row["event"] == "killed":
            for key, run in runs.items():
                if process_of[key[0]] == row["process"] and not run.how:
                    run.ended_s, run.how = row["at_s"], "killed"
            continue
        if row["event"] == "life":
            process_of[row["worker"]] = row["process"]
            continue
        if row["event"] == "lapse":
            lapses[row["worker"]].append(row["at_s"])
            continue
        key = (row["worker"], row["task"], row["run"])
        if row["event"] == "start":
            runs[key] = Interval(row["task"], row["run"], row["worker"], row["at_s"])
        elif row["event"] == "end":
            runs[key].ended_s, runs[key].how = row["at_s"], row["how"]
        elif row["event"] == "noted":
            run = runs[key]
            # An end does not count as noted if the lease lapsed before: the worker
            # was taken to be over meanwhile, and its tasks may run elsewhere.
            if not any(run.ended_s <= at <= row["at_s"] for at in lapses[run.worker]):
                run.noted_s = row["at_s"]
    return list(runs.values())


def check(told: list[Told], events: list[dict]) -> list[str]:
    """Return every broken promise, one line each."""
    runs = intervals(events)
    by_task: dict[str, list[Interval]] = defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    jobs = {job.job: job for job in told}
    broken = [line for rows in by_task.values() for line in _check_task(rows)]
    broken += _check_jobs(jobs, by_task)
    broken += _check_rooms(runs, jobs)
    return sorted(broken)


def _check_task(rows: list[Interval]) -> list[str]:
    broken: list[str] = []
    rows = sorted(rows, key=lambda run: run.begun_s)
    for number, run in enumerate(rows):
        for later in rows[number + 1 :]:
            if later.begun_s < run.ended_s - CLOCK_SLACK_S:
                broken.append(
                    f"twice: {run.task} run {later.run} on {later.worker} began "
                    f"{run.ended_s - later.begun_s:.2f} s before run {run.run} on "
                    f"{run.worker} ended ({run.how or 'still at work'})"
                )
            is_after = later.begun_s > run.ended_s
            if is_after and run.how == "done" and run.noted_s is not None:
                broken.append(f"done before: {run.task} run {later.run} began again")
    failed = sum(run.how == "failed" and run.noted_s is not None for run in rows)
    if failed > MAX_FAILURES:
        broken.append(f"failures: {rows[0].task} failed {failed} times")
    return broken


def _check_jobs(jobs: dict[str, Told], by_task: dict) -> list[str]:
    broken: list[str] = []
    begun: dict[str, float] = {}
    for task, rows in by_task.items():
        job = task.partition(".")[0]
        begun[job] = min([begun.get(job, float("inf")), *(r.begun_s for r in rows)])
    for job in begun:
        if job not in jobs:
            broken.append(f"unasked: {job} was handed in by nobody")
    for job, told in jobs.items():
        if told.is_refused and job in begun:
            broken.append(f"refused: {job} ran although every answer said not run")
        if told.accepted_s is not None:
            broken += _check_accepted(told, by_task)
    return broken


def _check_accepted(told: Told, by_task: dict) -> list[str]:
    states = [state for _, state in told.states]
    if "gone" in states:
        return [f"lost: {told.job} is not known although it was accepted"]
    last = states[-1] if states else "never told"
    wanted = {"failed"} if told.fails else {"completed"}
    if told.cancel_sent_s is not None:
        wanted |= {"cancelled", "failed", "completed"}
        if told.cancelled_s is not None and last == "running":
            return [f"cancel: {told.job} runs on"]
    if last not in wanted:
        return [f"unfinished: {told.job} is {last}, its pool is {told.pool}"]
    if last != "completed":
        return []
    missing = [
        f"{told.job}.0.{number}.{index}"
        for number, step in enumerate(told.steps)
        for index in range(step["count"])
        if not any(
            run.how == "done" for run in by_task[f"{told.job}.0.{number}.{index}"]
        )
    ]
    return [f"incomplete: {task} never ended well" for task in missing] + _order(
        told, by_task
    )


def _order(told: Told, by_task: dict) -> list[str]:
    if len(told.steps) < 2:
        return []
    first = [
        min(r.ended_s for r in by_task[f"{told.job}.0.0.{i}"] if r.how == "done")
        for i in range(told.steps[0]["count"])
    ]
    second = [
        r.begun_s
        for i in range(told.steps[1]["count"])
        for r in by_task[f"{told.job}.0.1.{i}"]
    ]
    if min(second) < max(first) - CLOCK_SLACK_S:
        return [f"order: step 1 of {told.job} began before step 0 was done"]
    return []


def _check_rooms(runs: list[Interval], jobs: dict[str, Told]) -> list[str]:
    broken: list[str] = []
    by_worker: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for run in runs:
        told = jobs.get(run.task.partition(".")[0])
        if told is not None:
            cpu = told.steps[0]["cpu"]
            by_worker[run.worker] += [(run.begun_s, cpu), (run.ended_s, -cpu)]
    for worker, changes in by_worker.items():
        used = 0
        for _, change in sorted(changes):
            used += change
            if used > CORES_PER_VM:
                broken.append(f"room: {worker} ran {used} millicores")
                break
    return broken
