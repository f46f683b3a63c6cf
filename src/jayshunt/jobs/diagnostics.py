"""Describe the state of jobs for the diagnostics dump and for operators."""

from collections import Counter
from dataclasses import asdict

from jayshunt.jobs.scheduler import JobScheduler

MAX_LISTED_REASONS = 200


def describe(scheduler: JobScheduler) -> dict:
    """Return the scheduler's workers, decisions and reasons why jobs wait.

    Commands are omitted, since they may contain secrets of the callers. An entry
    that is not scheduling its zone's jobs returns an epoch of 0 and no open jobs.
    """
    view = scheduler.view()
    reasons = list(view.waiting_reasons.items())[:MAX_LISTED_REASONS]
    return {
        "epoch": view.epoch,
        "open_by_state": dict(Counter(job.state.value for job in view.open_jobs)),
        "why_waiting": dict(reasons),
        "decisions": [
            {**asdict(decision), "state": decision.state.value}
            for decision in view.decisions
        ],
        "workers": [asdict(worker) for worker in view.workers],
        "learned_sizes": {key: str(size) for key, size in view.learned.items()},
    }
