"""Check that tasks which last do not stay without a run although there is room."""

import math
from collections import defaultdict
from dataclasses import dataclass, field

from jayshunt_soak.callers import SubmittedJob
from jayshunt_soak.checks import RunInterval, run_intervals
from jayshunt_soak.const import (
    CALM_BEFORE_S,
    CRASH_DOWN_S,
    IDLE_COUNTS_AFTER_S,
    MAX_IDLE_S,
    MILLICORES_PER_VM,
)
from jayshunt_soak.queues import StoredQueues

# How far apart the beginnings of the times are for which the rule is checked.
CHECKED_EVERY_S = 0.25
# The rule counts room for a task this many times over.
ROOM_TIMES = 2


@dataclass
class Life:
    """Describe one incarnation of a worker; times are monotonic seconds.

    `sizes` lists its capacities in millicores, each with the time of its change.
    """

    worker: str
    born: int
    pool: str
    labels: list[str]
    begun_s: float
    ended_s: float = math.inf
    sizes: list[tuple[float, int]] = field(default_factory=list)

    def min_millicores(self, from_s: float, until_s: float) -> int:
        """Return the smallest capacity that it had in this time."""
        sizes = [(-math.inf, MILLICORES_PER_VM), *self.sizes]
        before = [size for at_s, size in sizes if at_s <= from_s]
        changes = [size for at_s, size in sizes if from_s < at_s <= until_s]
        return min([before[-1], *changes])


def check_lasting(
    submitted: list[SubmittedJob],
    events: list[dict],
    versions: list[StoredQueues],
    disturbances: list[tuple[float, float]],
) -> list[str]:
    """Return one line for each task that lasts and stayed without a run in calm times.

    It must not be without one for MAX_IDLE_S, from IDLE_COUNTS_AFTER_S after its last
    run on, if there is room for it twice over and these times and CALM_BEFORE_S before
    are calm. `disturbances` are the times, from and until, of faults. A crash under a
    task counts as a fault.
    """
    jobs = {job.job_id: job for job in submitted}
    runs = run_intervals(events)
    room = _Room(events, runs, jobs)
    crashes = [row["at_s"] for row in events if row["event"] == "crash"]
    faults = [*disturbances, *((at_s, at_s + CRASH_DOWN_S) for at_s in crashes)]
    end_s = max((row["at_s"] for row in events), default=0.0)
    runs_of: dict[str, list[RunInterval]] = defaultdict(list)
    for run in runs:
        runs_of[run.task].append(run)
    broken: list[str] = []
    for job in submitted:
        if not job.lasts or job.accepted_s is None or _may_have_failed(job):
            continue
        (step,) = job.steps
        pools = {version.pools[job.pool] for version in versions}
        until_s = end_s if job.cancel_sent_s is None else job.cancel_sent_s
        for index in range(step["count"]):
            task = f"{job.job_id}.0.0.{index}"
            for gone_s, back_s in _gaps(runs_of[task], job.accepted_s, until_s):
                idle_s = _first_violation(gone_s, back_s, faults, room, step, pools)
                if idle_s is not None:
                    broken.append(
                        f"idle: {task} has no run from {gone_s:.2f} to {back_s:.2f}, "
                        f"in calm and with room from {idle_s:.2f} on"
                    )
    return broken


def _may_have_failed(job: SubmittedJob) -> bool:
    return any(state == "failed" for _, state in job.states)


def _gaps(
    runs: list[RunInterval], accepted_s: float, until_s: float
) -> list[tuple[float, float]]:
    """Return from when until when a task had no run."""
    gaps: list[tuple[float, float]] = []
    gone_s = accepted_s
    for run in sorted(runs, key=lambda run: run.started_s):
        gaps.append((gone_s, min(run.started_s, until_s)))
        gone_s = max(gone_s, run.ended_s)
    return [*gaps, (gone_s, until_s)]


def _first_violation(
    gone_s: float,
    back_s: float,
    faults: list[tuple[float, float]],
    room: "_Room",
    step: dict,
    pools: set[str],
) -> float | None:
    """Return the first time in a gap from which on the task had to run."""
    begun_s = gone_s + IDLE_COUNTS_AFTER_S
    while begun_s + MAX_IDLE_S <= back_s:
        ended_s = begun_s + MAX_IDLE_S
        calm_s = begun_s - CALM_BEFORE_S
        is_calm = all(until < calm_s or at > ended_s for at, until in faults)
        if is_calm and all(room.has(step, p, calm_s, begun_s, ended_s) for p in pools):
            return begun_s
        begun_s += CHECKED_EVERY_S
    return None


class _Room:
    """Tell from the events whether a pool had room; whatever ran meanwhile counts."""

    def __init__(
        self, events: list[dict], runs: list[RunInterval], jobs: dict[str, SubmittedJob]
    ) -> None:
        self._lives = _lives(events)
        self._steps: dict[tuple[str, int], list[tuple[RunInterval, dict]]] = (
            defaultdict(list)
        )
        for run in runs:
            job_id, _, step, _ = run.task.split(".")
            if job_id in jobs:
                row = (run, jobs[job_id].steps[int(step)])
                self._steps[run.worker, run.born].append(row)

    def has(
        self, step: dict, pool: str, known_s: float, begun_s: float, ended_s: float
    ) -> bool:
        """Return whether workers that were there from `known_s` on had room."""
        count = 0
        for life in self._lives:
            lived = life.begun_s <= known_s and life.ended_s > ended_s
            label = step.get("required_label")
            if not lived or life.pool != pool or label and label not in life.labels:
                continue
            beside = [
                other
                for run, other in self._steps[life.worker, life.born]
                if run.started_s <= ended_s and run.ended_s >= begun_s
            ]
            used = sum(other["cpu"] for other in beside)
            fits = max(0, life.min_millicores(known_s, ended_s) - used) // step["cpu"]
            # A run that ended meanwhile counts too.
            same = sum(other is step for other in beside)
            limit = step.get("max_per_worker")
            count += min(fits, max(0, limit - same)) if limit else fits
        return count >= ROOM_TIMES


def _lives(events: list[dict]) -> list[Life]:
    """Return the incarnations of all workers; the next one on a VM ends one."""
    lives: list[Life] = []
    current: dict[str, Life] = {}
    process_of: dict[str, str] = {}
    for row in events:
        vm = row.get("vm", row.get("worker", ""))
        match row["event"]:
            case "life":
                if vm in current:
                    current[vm].ended_s = row["at_s"]
                current[vm] = Life(
                    row["worker"],
                    row.get("born", 0),
                    row["pool"],
                    row.get("labels", []),
                    row["at_s"],
                )
                process_of[vm] = row["process"]
                lives.append(current[vm])
            case "over":
                if vm in current:
                    current.pop(vm).ended_s = row["at_s"]
            case "capacity":
                if vm in current:
                    current[vm].sizes.append((row["at_s"], row["cpu"]))
            case "killed":
                for name in [n for n in current if process_of[n] == row["process"]]:
                    current.pop(name).ended_s = row["at_s"]
    return lives
