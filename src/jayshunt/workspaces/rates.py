"""Decide which jobs are beyond the rate of their workspace; no network or clock.

The expected load: about 20 workspaces of which one at times submits 7.5 times its usual
rate for 6.5 s. What it submits beyond its rate should delay only its own jobs.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from jayshunt.dispatch.models import Bounds, QueueConfig, Workspace
from jayshunt.dispatch.tasks import Job
from jayshunt.ids import PoolName, QueueName, WorkspaceName

# A job beyond its rate is placed after all that can be in time. If that takes the pool
# longer than this, the job would be late: objectives are about 2 s.
EXCESS_WAIT_S = 1.0
MAX_RETRY_AFTER_S = 60.0


@dataclass
class TokenBucket:
    """Count the jobs that a workspace may still submit; `at_s` is monotonic.

    It starts full, fills at `per_s` jobs a second and holds at most `burst` jobs.
    """

    per_s: float
    burst: float
    tokens: float
    at_s: float = float("-inf")

    def take(self, now_s: float) -> bool:
        """Take a job's token; return False if there is none."""
        self._fill(now_s)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def retry_after_s(self, now_s: float) -> float:
        """Return the whole seconds until there is a token, 0 if there is one now."""
        self._fill(now_s)
        if self.tokens >= 1:
            return 0.0
        if self.per_s <= 0:
            return MAX_RETRY_AFTER_S
        wait_s = math.ceil((1 - self.tokens) / self.per_s)
        return float(min(MAX_RETRY_AFTER_S, max(1, wait_s)))

    def _fill(self, now_s: float) -> None:
        if now_s > self.at_s:
            filled = self.per_s * min(now_s - self.at_s, 1e9)
            self.tokens = min(self.burst, self.tokens + filled)
            self.at_s = now_s


class RateLedger:
    """Keep the token buckets of the workspaces and mark jobs beyond them.

    Jobs are marked in the order of their acceptance, so that a new dispatcher, which
    reads the jobs of the last minutes in any order, finds about the same jobs in excess
    as the last one.
    """

    def __init__(self, bounds: Bounds) -> None:
        """Start without workspaces."""
        self._bounds = bounds
        self._buckets: dict[WorkspaceName, TokenBucket] = {}
        self._added: list[Job] = []

    def apply(self, workspaces: Iterable[Workspace]) -> None:
        """Apply a configuration; a workspace keeps the tokens that it has left."""
        bounds, before = self._bounds, self._buckets
        self._buckets = {}
        for workspace in workspaces:
            per_s = workspace.weight * (1 + bounds.quota_overage)
            burst = per_s * bounds.quota_window_ms / 1000 + bounds.quota_slack_jobs
            bucket = TokenBucket(per_s, burst, burst)
            old = before.get(workspace.workspace)
            if old is not None:
                bucket.tokens = burst - min(burst, max(0.0, old.burst - old.tokens))
                bucket.at_s = old.at_s
            self._buckets[workspace.workspace] = bucket

    def add(self, job: Job) -> None:
        """Record an accepted job, to be marked by `mark_added`."""
        self._added.append(job)

    def mark_added(self) -> None:
        """Take a token for each job added since the last call; mark those without."""
        added, self._added = self._added, []
        for job in sorted(added, key=lambda job: job.accepted_s):
            bucket = self._buckets.get(job.spec.workspace)
            if bucket is not None and not bucket.take(job.accepted_s):
                job.is_excess = not job.spec.is_long_running

    def refusals(
        self,
        queues: Iterable[QueueConfig],
        waits_s: dict[PoolName, float],
        now_s: float,
    ) -> dict[QueueName, dict[WorkspaceName, float]]:
        """Return, by queue, the workspaces to refuse and the seconds until a retry.

        `waits_s` is how long the work that waits in each pool takes it.
        """
        exhausted = self.exhausted(now_s)
        return {
            queue.queue: exhausted
            for queue in queues
            if exhausted and waits_s.get(queue.pool, 0.0) > EXCESS_WAIT_S
        }

    def exhausted(self, now_s: float) -> dict[WorkspaceName, float]:
        """Return the workspaces without a token, with the seconds until the next."""
        found = {
            name: bucket.retry_after_s(now_s) for name, bucket in self._buckets.items()
        }
        return {name: after_s for name, after_s in found.items() if after_s}
