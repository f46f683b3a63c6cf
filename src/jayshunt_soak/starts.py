"""Check that workers started only what the configuration and the steps allow there."""

from collections import defaultdict

from jayshunt_soak.callers import SubmittedJob
from jayshunt_soak.checks import RunInterval, run_intervals
from jayshunt_soak.queues import StoredQueues


def check_starts(
    submitted: list[SubmittedJob], events: list[dict], versions: list[StoredQueues]
) -> list[str]:
    """Return one line for each start on a worker that may not run it.

    A start is allowed in a pool to which any version that was stored before sends the
    queue, with the label that the step requires, and while fewer tasks of the step
    than `max_per_worker` run on the worker. A run that is being stopped still counts.
    """
    jobs = {job.job_id: job for job in submitted}
    runs_of: dict[tuple, list[RunInterval]] = defaultdict(list)
    for run in run_intervals(events):
        runs_of[_place(run.worker, run.born, run.task)].append(run)
    broken: list[str] = []
    for row in events:
        job_id, _, rest = row.get("task", "").partition(".")
        if row["event"] != "start" or job_id not in jobs:
            continue
        job, step = jobs[job_id], jobs[job_id].steps[int(rest.split(".")[1])]
        start = f"{row['task']} run {row['run']} on {row['worker']}"
        pools = {v.pools[job.pool] for v in versions if v.stored_s <= row["at_s"]}
        if row["pool"] not in pools:
            broken.append(f"pool: {start} in {row['pool']}, not in {sorted(pools)}")
        label = step.get("required_label")
        if label and label not in row["labels"]:
            broken.append(f"label: {start} with {row['labels']}, not {label}")
        limit = step.get("max_per_worker")
        beside = _names_beside(row, runs_of)
        if limit and len(beside) + 1 > limit:
            broken.append(f"limit: {start} beside {beside}, limit {limit}")
    return broken


def _place(worker: str, born: int, task: str) -> tuple[str, int, str]:
    """Return an incarnation of a worker and the step's occurrence of a task."""
    return worker, born, task.rpartition(".")[0]


def _names_beside(row: dict, runs_of: dict[tuple, list[RunInterval]]) -> list[str]:
    """Return the tasks of the same step that run on the worker when a run starts."""
    return [
        run.task
        for run in runs_of[_place(row["worker"], row["born"], row["task"])]
        if run.started_s <= row["at_s"] < run.ended_s and run.task != row["task"]
    ]
