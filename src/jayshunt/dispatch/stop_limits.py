"""Limit the runs of a job to those that can be stopped in time, without a clock.

Each run is stopped by a call of its own, and must have it within `cancel_ms` after its
job was cancelled.
"""

from jayshunt.dispatch.models import Bounds, JobSpec

# Several times as many are sent by a dispatcher that does nothing else, as CAPACITY.md
# shows. The margin is for the cancellation to reach the dispatcher.
STOPS_PER_S = 500
CANCEL_MARGIN_MS = 500


def count_stoppable_runs(bounds: Bounds) -> int:
    """Return how many runs of a job can be stopped in time when it is cancelled.

    With a `cancel_ms` of 3,000 these are 1,250.
    """
    return max(1, (bounds.cancel_ms - CANCEL_MARGIN_MS) * STOPS_PER_S // 1000)


def count_separate_tasks(spec: JobSpec) -> int:
    """Return how many tasks of a job have to be stopped one by one.

    The members of a gang end together.
    """
    return spec.occurrences * sum(
        step.task_count for step in spec.steps if not step.is_gang
    )


def is_too_wide(spec: JobSpec, max_runs: float) -> bool:
    """Return whether a job needs more runs at once than can be stopped in time.

    Tasks that last all have to run; others can run in parts.
    """
    return spec.is_long_running and count_separate_tasks(spec) > max_runs
