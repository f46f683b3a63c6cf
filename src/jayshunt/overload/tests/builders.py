"""Build the played load: queues that peak in turn, with wide steps and services."""

import random
from dataclasses import dataclass

from jayshunt.dispatch.models import FleetConfig, QueueConfig, Resources
from jayshunt.dispatch.tasks import Job
from jayshunt.dispatch.tests.builders import (
    POOL,
    build_candidate,
    build_job,
    build_queue,
    build_step,
)
from jayshunt.ids import ConfigVersion, QueueName

# Length of a queue's turn and of the whole played load.
TURN_S = 4.0
LOAD_S = 14.0
LONG_RUNNING_TASKS = 24


@dataclass(frozen=True)
class Kind:
    """Describe the jobs of one queue: rate in its turn, tasks, cores and run time."""

    name: str
    per_s: float
    tasks: tuple[int, int]
    cores: float
    run_s: float


# Six workers of 64 cores, of which the services take 48 cores, do about 330 core
# seconds a second. Each turn demands about twice that, and a queue that is not in its
# turn a twentieth of it.
KINDS = (
    Kind("batches", 7.0, (2, 6), 13.0, 1.8),
    Kind("checks", 100.0, (1, 3), 6.2, 0.54),
    Kind("quotes", 25.0, (2, 12), 5.0, 0.8),
)
WORKERS = 6


def build_kind_queue(kind: Kind, **changes) -> QueueConfig:
    """Return the queue of a kind of jobs; all queues use the same pool."""
    return build_queue(queue=QueueName(kind.name), pool=POOL, **changes)


def build_kinds_config() -> FleetConfig:
    """Return the configuration of the queues of the played load."""
    queues = tuple(build_kind_queue(kind) for kind in KINDS)
    return FleetConfig(ConfigVersion(1), queues, ())


def build_workers(count: int = WORKERS) -> list:
    """Return idle workers of 64 cores."""
    return [build_candidate(f"w{n}") for n in range(count)]


def build_kind_job(kind: Kind, tasks: int, number: int, accepted_s: float) -> Job:
    """Return a job of one step."""
    step = build_step(
        task_count=tasks,
        resources=Resources(int(kind.cores * 1000), 64),
        estimate_ms=round(kind.run_s * 1000),
    )
    job = build_job(
        step, number=number, accepted_s=accepted_s, queue=build_kind_queue(kind)
    )
    job.spec = job.spec.__class__(
        **{**job.spec.__dict__, "queue": QueueName(kind.name)}
    )
    return job


def build_services() -> Job:
    """Return the job of the long-running tasks."""
    step = build_step(
        task_count=LONG_RUNNING_TASKS,
        resources=Resources(2_000, 64),
        is_long_running=True,
        estimate_ms=0,
    )
    return build_job(step, number=1)


def build_load(seed: int = 7, factor: float = 1.0) -> list[Job]:
    """Return the jobs of all queues in the order of their submission.

    `factor` multiplies the rates; with 0.4 the pool can do the work.
    """
    rng = random.Random(seed)
    jobs = [build_services()]
    for turn, kind in enumerate(KINDS):
        at_s = 0.0
        while True:
            in_turn = turn * TURN_S + 1.0 <= at_s < (turn + 1) * TURN_S + 1.0
            at_s += rng.expovariate(kind.per_s * factor * (1.0 if in_turn else 0.05))
            if at_s >= LOAD_S:
                break
            number = 1_000_000 * (turn + 1) + len(jobs)
            jobs.append(build_kind_job(kind, rng.randint(*kind.tasks), number, at_s))
    return sorted(jobs, key=lambda job: job.accepted_s)
