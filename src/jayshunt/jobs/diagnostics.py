"""Describe the state of jobs for the dump and for operators."""

from collections import Counter
from dataclasses import asdict

from jayshunt.jobs.scheduler import JobScheduler

MAX_SHOWN_REASONS = 200


def describe(scheduler: JobScheduler) -> dict:
    """Return workers, decisions and why jobs wait, as this entry knows them.

    Commands are left out, since callers may put secrets into them. An entry that
    does not control its zone returns an epoch of 0 and no jobs.
    """
    view = scheduler.view()
    reasons = list(view.waiting_reasons.items())[:MAX_SHOWN_REASONS]
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
