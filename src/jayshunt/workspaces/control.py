"""Apply limits, shares and rates of workspaces; the caller holds the lock."""

import logging
from collections import Counter
from collections.abc import Callable

from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.free_capacity import CandidateWorker
from jayshunt.dispatch.models import Bounds, FleetConfig, Resources, Workspace
from jayshunt.dispatch.placement_policy import JobOrder
from jayshunt.dispatch.tasks import Job
from jayshunt.ids import PoolName, QueueName, WorkerId, WorkspaceName
from jayshunt.workspaces.limits import WorkspaceLimits, limits_of
from jayshunt.workspaces.rates import RateLedger
from jayshunt.workspaces.reporting import WorkspaceReport, report_workspaces
from jayshunt.workspaces.shares import PoolShares, find_short_pools, order_by_share
from jayshunt.workspaces.usage import (
    NO_UNCONFIRMED_RUNS,
    UnconfirmedRuns,
    sum_handed_over,
    sum_inherited,
)

_LOGGER = logging.getLogger(__name__)

# What silent workers may run is summed over all inherited jobs at most this often. It
# only decreases meanwhile, unless there are silent workers that were not known before.
UNCONFIRMED_VALID_S = 0.25
HELD_LOG_S = 1.0


class WorkspaceControl:
    """Keep the limits in force and what is known of the runs of earlier terms.

    `held` counts, by workspace, the starts that the last round did not allow, and
    `short` are the shares in the pools that were short.
    """

    def __init__(
        self,
        dispatcher,
        config: Callable[[], FleetConfig | None],
        bounds: Bounds,
        has_shares: bool = True,
    ) -> None:
        """Start without a configuration; `has_shares` applies shares and rates."""
        self._has_shares = has_shares
        self._rates = RateLedger(bounds)
        self._dispatcher = dispatcher
        self._config = config
        self._applied_config: FleetConfig | None = None
        self._unconfirmed = NO_UNCONFIRMED_RUNS
        self._unconfirmed_until_s = 0.0
        self._summed_silent: frozenset[WorkerId] | None = frozenset()
        self._logged_s: dict[WorkspaceName, float] = {}
        self.limits: dict[WorkspaceName, Resources] = {}
        self.held: Counter[WorkspaceName] = Counter()
        self.short: dict[PoolName, PoolShares] = {}

    def start_gate(
        self, silent: list[WorkerView] | None, now_s: float
    ) -> WorkspaceLimits:
        """Return the limits for one placement round.

        `silent` are the workers that may run tasks of earlier terms and have not
        answered in this one, None if not all of them are known.
        """
        self._apply_config()
        usage = self._dispatcher.tracker.usage
        return WorkspaceLimits(
            self.limits, usage, self._unconfirmed_runs(silent, now_s)
        )

    def record_added(self, job: Job) -> None:
        """Record a job that this term learned of, so that it counts for its rate."""
        if self._has_shares and job.spec.workspace:
            self._rates.add(job)

    def order(
        self,
        base: JobOrder,
        jobs: list[Job],
        candidates: dict[PoolName, list[CandidateWorker]],
    ) -> JobOrder:
        """Return the order of one placement round, given the order without shares.

        `jobs` are all jobs with ready tasks.
        """
        self._rates.mark_added()
        workspaces = self._workspaces()
        if not workspaces:
            self.short = {}
            return base
        reserved = self._dispatcher.tracker.usage.reserved
        self.short = find_short_pools(jobs, candidates, reserved, workspaces)
        return lambda jobs, now_s: order_by_share(base(jobs, now_s), self.short, now_s)

    def refusals(
        self, waits_s: Callable[[], dict[PoolName, float]], now_s: float
    ) -> dict[QueueName, dict[WorkspaceName, float]]:
        """Return, by queue, the workspaces to refuse and the seconds until a retry.

        `waits_s` returns how long the work that waits in each pool takes it.
        """
        self._apply_config()
        # Jobs that a new dispatcher has just read take their tokens at the times of
        # their acceptance, before the buckets are filled up to now.
        self._rates.mark_added()
        if not self._workspaces() or not self._rates.exhausted(now_s):
            return {}
        queues = [queue for queue in self._applied_config.queues if not queue.is_public]
        return self._rates.refusals(queues, waits_s(), now_s)

    def report(self) -> list[WorkspaceReport]:
        """Return what each workspace uses and waits for, for metrics and dumps."""
        tracker = self._dispatcher.tracker
        jobs = [tracker.jobs[job] for job in tracker.active]
        return report_workspaces(tracker.usage, jobs, self.held, self.short)

    def _workspaces(self) -> tuple[Workspace, ...]:
        """Return the workspaces if their shares and rates apply."""
        config = self._applied_config
        return config.workspaces if self._has_shares and config is not None else ()

    def _apply_config(self) -> None:
        config = self._config()
        if config is not self._applied_config:
            self._applied_config = config
            self.limits = limits_of(config)
            self._rates.apply(self._workspaces())

    def record_round(self, gate: WorkspaceLimits, now_s: float) -> None:
        """Record and log what a round held back, once a second for each workspace."""
        self.held = gate.held
        for workspace, held in gate.held.items():
            if now_s - self._logged_s.get(workspace, float("-inf")) < HELD_LOG_S:
                continue
            self._logged_s[workspace] = now_s
            _LOGGER.info(
                "dispatch: a workspace's limit holds jobs",
                extra={
                    "workspace": workspace,
                    "held": held,
                    "limit": str(self.limits[workspace]),
                    "used": str(gate.used(workspace)),
                    "unconfirmed": str(self._unconfirmed.of(workspace)),
                    "version": self._applied_config.version,
                },
            )

    def _unconfirmed_runs(
        self, silent: list[WorkerView] | None, now_s: float
    ) -> UnconfirmedRuns:
        if not self.limits or (silent is not None and not silent):
            self._unconfirmed = NO_UNCONFIRMED_RUNS
            self._unconfirmed_until_s = 0.0
        elif now_s >= self._unconfirmed_until_s or self._has_grown(silent):
            self._unconfirmed = self._sum_unconfirmed(silent)
            self._unconfirmed_until_s = now_s + UNCONFIRMED_VALID_S
            self._summed_silent = silent and frozenset(
                view.worker.worker for view in silent
            )
        return self._unconfirmed

    def _has_grown(self, silent: list[WorkerView] | None) -> bool:
        """Return whether workers are silent that the last sum left out."""
        known = self._summed_silent
        if known is None:
            return False
        return silent is None or any(view.worker.worker not in known for view in silent)

    def _sum_unconfirmed(self, silent: list[WorkerView] | None) -> UnconfirmedRuns:
        tracker, handoff = self._dispatcher.tracker, self._dispatcher.handoff
        if handoff is None:
            capacities = silent and [view.worker.capacity for view in silent]
            return sum_inherited(tracker.jobs.values(), capacities)
        if silent is None:
            workers = [
                worker
                for worker in handoff
                if worker not in tracker.workers
                or tracker.workers[worker].last_answer_s is None
            ]
        else:
            workers = [view.worker.worker for view in silent]
        names = [name for worker in workers for name in handoff.get(worker, ())]
        return sum_handed_over(tracker.jobs, names)
