"""Check the answers that callers received against the runs that workers recorded."""

from collections import defaultdict
from dataclasses import dataclass

from jayshunt_soak.callers import SubmittedJob
from jayshunt_soak.const import CONTACT_S, MILLICORES_PER_VM, SHRINK_GRACE_S

# Tolerance for comparing the recorded times of two runs. All processes read the
# clock of one machine. A worker checks for ended runs every 20 ms, but records the
# due time of an end by itself and the current time only of a stop.
CLOCK_SLACK_S = 0.03
# Failed runs after which a task is not run again; the configuration that the soak
# writes sets the same number as `attempts`.
MAX_FAILURES = 3
# The users' limits for a task that crashes its workers: it may be given up after two
# crashes, and is not started a third time after three.
MIN_CRASHES_TO_GIVE_UP = 2
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 2


@dataclass
class RunInterval:
    """Describe one run of a task on one worker; times are monotonic seconds."""

    task: str
    run_number: int
    worker: str
    started_s: float
    born: int = 0
    ended_s: float = float("inf")
    outcome: str = ""
    acknowledged_s: float | None = None


def run_intervals(events: list[dict]) -> list[RunInterval]:
    """Return the runs that workers recorded.

    A killed process records no ends, so its runs count as ended when it was killed.
    A worker may start again under its id; `born` tells its incarnations apart.
    """
    runs: dict[tuple[str, int, str, int], RunInterval] = {}
    process_of: dict[str, str] = {}
    lease_lapses: dict[tuple[str, int], list[float]] = defaultdict(list)
    for row in sorted(events, key=lambda row: row["at_s"]):
        if row["event"] == "killed":
            for key, run in runs.items():
                if process_of[key[0]] == row["process"] and not run.outcome:
                    run.ended_s, run.outcome = row["at_s"], "killed"
            continue
        if row["event"] == "life":
            process_of[row["worker"]] = row["process"]
            continue
        if row["event"] in ("capacity", "crash", "stopping", "over"):
            continue
        born = row.get("born", 0)
        if row["event"] == "lapse":
            lease_lapses[row["worker"], born].append(row["at_s"])
            continue
        key = (row["worker"], born, row["task"], row["run"])
        if row["event"] == "start":
            runs[key] = RunInterval(
                row["task"], row["run"], row["worker"], row["at_s"], born
            )
        elif row["event"] == "end":
            runs[key].ended_s, runs[key].outcome = row["at_s"], row["how"]
        elif row["event"] == "noted":
            run = runs[key]
            # An acknowledgment does not count if the lease lapsed between the end
            # and the acknowledgment: the entries took the worker for lost in the
            # meantime, so its tasks may run again elsewhere.
            if not any(
                run.ended_s <= at <= row["at_s"]
                for at in lease_lapses[run.worker, born]
            ):
                run.acknowledged_s = row["at_s"]
    return list(runs.values())


def check(
    submitted: list[SubmittedJob],
    events: list[dict],
    impairments: list[tuple[float, float]] = (),
) -> list[str]:
    """Return one line for each violated guarantee.

    `impairments` are the times, from and until, in which entries, the store or the
    paths between them were disturbed. The limit of starts of a task that crashes
    workers holds for entries in touch, which had none for CONTACT_S.
    """
    runs = run_intervals(events)
    by_task: dict[str, list[RunInterval]] = defaultdict(list)
    for run in runs:
        by_task[run.task].append(run)
    jobs = {job.job_id: job for job in submitted}
    lasting = {job.job_id for job in submitted if job.lasts}
    broken = [
        line
        for task, rows in by_task.items()
        for line in _check_task(rows, task.partition(".")[0] in lasting)
    ]
    broken += _check_jobs(jobs, by_task)
    broken += _check_capacity(runs, jobs, events)
    broken += _check_deadly(runs, events, impairments)
    return sorted(broken)


def _check_task(rows: list[RunInterval], lasts: bool) -> list[str]:
    broken: list[str] = []
    rows = sorted(rows, key=lambda run: run.started_s)
    for number, run in enumerate(rows):
        for later in rows[number + 1 :]:
            if later.started_s < run.ended_s - CLOCK_SLACK_S:
                broken.append(
                    f"twice: {run.task} run {later.run_number} on {later.worker} "
                    f"started {run.ended_s - later.started_s:.2f} s before "
                    f"run {run.run_number} on {run.worker} ended "
                    f"({run.outcome or 'still running'})"
                )
            is_after = later.started_s > run.ended_s
            if is_after and run.outcome == "done" and run.acknowledged_s is not None:
                broken.append(
                    f"done before: {run.task} run {later.run_number} started again"
                )
    failed = sum(
        run.outcome == "failed" and run.acknowledged_s is not None for run in rows
    )
    if failed > MAX_FAILURES and not lasts:
        broken.append(f"failures: {rows[0].task} failed {failed} times")
    return broken


def _check_jobs(jobs: dict[str, SubmittedJob], by_task: dict) -> list[str]:
    broken: list[str] = []
    first_start_s: dict[str, float] = {}
    for task, rows in by_task.items():
        job_id = task.partition(".")[0]
        first_start_s[job_id] = min(
            [first_start_s.get(job_id, float("inf")), *(r.started_s for r in rows)]
        )
    for job_id in first_start_s:
        if job_id not in jobs:
            broken.append(f"unasked: {job_id} was submitted by no caller")
    for job_id, job in jobs.items():
        if job.is_refused and job_id in first_start_s:
            broken.append(f"refused: {job_id} ran although every answer said not run")
        if job.is_key_refused:
            broken.append(f"key: {job_id} was refused with a key in force")
        if job.accepted_s is not None:
            broken += _check_accepted(job, by_task)
    return broken


def _check_accepted(job: SubmittedJob, by_task: dict) -> list[str]:
    states = [state for _, state in job.states]
    if "gone" in states:
        return [f"lost: {job.job_id} is not known although it was accepted"]
    last = states[-1] if states else "never reported"
    expected = {"failed"} if job.fails or job.is_deadly else {"completed"}
    if _may_be_given_up(job, by_task):
        expected.add("failed")
    if job.cancel_sent_s is not None:
        expected |= {"cancelled", "failed", "completed"}
        if job.cancelled_s is not None and last == "running":
            return [f"cancel: {job.job_id} still runs"]
    if last not in expected:
        return [f"unfinished: {job.job_id} is {last}, its pool is {job.pool}"]
    if last != "completed":
        return []
    missing = [
        f"{job.job_id}.0.{number}.{index}"
        for number, step in enumerate(job.steps)
        for index in range(step["count"])
        if not any(
            run.outcome == "done" for run in by_task[f"{job.job_id}.0.{number}.{index}"]
        )
    ]
    return [
        f"incomplete: {task} never ended successfully" for task in missing
    ] + _check_order(job, by_task)


def _may_be_given_up(job: SubmittedJob, by_task: dict) -> bool:
    """Return whether two workers were lost under one task of a job."""
    return any(
        sum(run.outcome in ("killed", "gone") for run in rows) >= MIN_CRASHES_TO_GIVE_UP
        for task, rows in by_task.items()
        if task.startswith(f"{job.job_id}.")
    )


def _check_deadly(
    runs: list[RunInterval],
    events: list[dict],
    impairments: list[tuple[float, float]],
) -> list[str]:
    broken: list[str] = []
    crashes: dict[str, list[float]] = defaultdict(list)
    for row in events:
        if row["event"] == "crash":
            crashes[row["task"]].append(row["at_s"])
    for task, times in crashes.items():
        if len(times) < MAX_CRASHES:
            continue
        third_s = sorted(times)[MAX_CRASHES - 1]
        later = [
            run
            for run in runs
            if run.task == task
            and run.started_s > third_s
            and not is_impaired(run.started_s, impairments)
        ]
        if len(later) > MAX_STARTS_AFTER_CRASHES:
            broken.append(f"budget: {task} crashed {len(times)} workers")
    return broken


def is_impaired(at_s: float, impairments: list[tuple[float, float]]) -> bool:
    """Return whether something disturbs entries, or did within CONTACT_S before."""
    return any(
        begun_s <= at_s <= ended_s + CONTACT_S for begun_s, ended_s in impairments
    )


def _check_order(job: SubmittedJob, by_task: dict) -> list[str]:
    if len(job.steps) < 2:
        return []
    first = [
        min(r.ended_s for r in by_task[f"{job.job_id}.0.0.{i}"] if r.outcome == "done")
        for i in range(job.steps[0]["count"])
    ]
    second = [
        r.started_s
        for i in range(job.steps[1]["count"])
        for r in by_task[f"{job.job_id}.0.1.{i}"]
    ]
    if min(second) < max(first) - CLOCK_SLACK_S:
        return [f"order: step 1 of {job.job_id} started before step 0 was done"]
    return []


def _check_capacity(
    runs: list[RunInterval], jobs: dict[str, SubmittedJob], events: list[dict]
) -> list[str]:
    """Check that no start fills a worker beyond its capacity.

    For SHRINK_GRACE_S after a worker has shrunk, its former capacity counts.
    """
    broken: list[str] = []
    changes_of: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
    for run in runs:
        job = jobs.get(run.task.partition(".")[0])
        if job is not None:
            cpu = job.steps[0]["cpu"]
            changes = changes_of[run.worker, run.born]
            changes += [(run.started_s, cpu), (run.ended_s, -cpu)]
    sizes: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
    for row in events:
        if row["event"] == "capacity":
            size = (row["at_s"], row["cpu"])
            sizes[row["worker"], row.get("born", 0)].append(size)
    for incarnation, changes in changes_of.items():
        used = 0
        for at_s, change in sorted(changes):
            used += change
            if change > 0 and used > _allowed_millicores(sizes[incarnation], at_s):
                broken.append(f"room: {incarnation[0]} ran {used} millicores")
                break
    return broken


def _allowed_millicores(sizes: list[tuple[float, int]], at_s: float) -> int:
    """Return the largest capacity that a worker had within SHRINK_GRACE_S."""
    current = MILLICORES_PER_VM
    largest = 0
    for changed_s, millicores in sorted(sizes):
        if changed_s > at_s:
            break
        if changed_s > at_s - SHRINK_GRACE_S:
            largest = max(largest, current)
        current = millicores
    return max(largest, current)
