"""Explain where a job would be placed now, and why, without placing it.

The answer comes from the functions that the planner and the pool sizer use, run on
copies: nothing is reserved, stored or sent.
"""

import secrets
from collections import Counter
from copy import copy, deepcopy
from dataclasses import asdict, dataclass, replace

from jayshunt.dispatch.backlog import expected_waits_s
from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.free_capacity import CandidateWorker, misfit, step_key
from jayshunt.dispatch.models import FleetConfig, JobSpec, QueueConfig
from jayshunt.dispatch.planner import SILENT_S, TrialRound
from jayshunt.dispatch.tasks import Job, Task
from jayshunt.ids import JobId, WorkspaceName
from jayshunt.overload.admission import refuse
from jayshunt.overload.outlook import decode_outlooks
from jayshunt.platform.formats import MalformedSubmission, decode_submission
from jayshunt.workspaces.limits import can_ever_start, limits_of

# A job of one task with one core, which stands for a job that is not given.
DEFAULT_JOB = '{"steps": [{"cpu": 1000, "memMb": 1024, "estimateMs": 1000}]}'
MAX_OTHER_WORKERS = 10
RANKED_LOWER = "has room, another worker ranks higher"


@dataclass(frozen=True, slots=True)
class ChosenWorker:
    """Represent a worker that would get tasks of the first steps now."""

    worker: str
    vm: str
    rack: str
    tasks: int


@dataclass(frozen=True, slots=True)
class OtherWorker:
    """Represent a worker of the pool that would get none, and why.

    `free` is what is left there once all that would be placed now is placed.
    """

    worker: str
    vm: str
    free: str
    reason: str


@dataclass(frozen=True, slots=True)
class VmMove:
    """Represent a VM that moves to a pool; `is_begun` if that was decided before."""

    vm: str
    pool: str
    is_begun: bool


@dataclass(frozen=True, slots=True)
class Explanation:
    """Explain what would become of a job that is submitted now.

    Times are in seconds from now. `start_in_s` is 0 if a task is placed at once, else
    estimated from the work that waits in the pool. `end_in_s` is the predicted length
    of the critical path, after that wait unless all ready tasks are placed at once;
    `objective_s` is the time allowed. `waiting_tasks` are ready but not placed, for the
    reason `waits_for`. `moves` are those that this job and the
    others would cause, as far as the rate of VM orders allows. The list of workers is
    `list_age_s` old, and the oldest answer of the pool's usable workers
    `answer_age_s`, None without one.
    """

    queue: str
    pool: str
    is_accepted: bool
    reason: str
    retry_after_s: float | None
    workers: tuple[ChosenWorker, ...]
    waiting_tasks: int
    waits_for: str
    others: tuple[OtherWorker, ...]
    others_left_out: int
    moves: tuple[VmMove, ...]
    start_in_s: float
    end_in_s: float
    objective_s: float
    config_version: int
    list_age_s: float
    answer_age_s: float | None

    @property
    def is_in_time(self) -> bool:
        """Return whether the job would meet its objective."""
        return self.end_in_s <= self.objective_s


class UnknownName(Exception):
    """Report that the question names no known queue or workspace."""


def answer_where(dispatcher, config: FleetConfig, body: dict) -> dict:
    """Return the fields of the explanation of a job, or of an error.

    `body` has `queue` and optionally `job`, the text of a submission, and `workspace`.
    """
    try:
        queue, spec = _decode(config, body)
    except UnknownName as error:
        return {"error": str(error), "code": "unknown_name"}
    except MalformedSubmission as error:
        return {"error": str(error), "code": "malformed_job"}
    found = explain_placement(dispatcher, config, queue, spec)
    return {**asdict(found), "is_in_time": found.is_in_time}


def explain_placement(
    dispatcher, config: FleetConfig, queue: QueueConfig, spec: JobSpec
) -> Explanation:
    """Return what would become of a job; hold the dispatcher's lock meanwhile."""
    with dispatcher.lock:
        now_s = dispatcher.now_s()
        # The planner itself would keep that all runs are known, and refusals.
        planner = copy(dispatcher.planner)
        planner.service_order = deepcopy(planner.service_order)
        job = Job(spec, queue, accepted_s=now_s, added_s=now_s)
        planner.predict_work(job)
        trial = planner.try_round(job, now_s)
        reason, retry_after_s = _refusal(planner, config, queue, spec)
        wait_s = expected_waits_s(
            config,
            [*planner.active_jobs(), job],
            planner.cores(),
            now_s,
            dispatcher.fleet.fetchable_cores(),
        ).get(queue.pool, 0.0)
        tasks = Counter(
            p.worker for p in trial.placements if p.task.key.job == spec.job
        )
        views = dispatcher.tracker.workers
        pool = [v for v in views.values() if v.worker.pool == queue.pool]
        others = _other_workers(job, pool, trial, set(tasks), now_s)
        ages = [now_s - v.last_answer_s for v in pool if v.is_usable(now_s, SILENT_S)]
        waiting_tasks = len(job.ready_tasks()) - tasks.total()
        last_start_in_s = wait_s if waiting_tasks else 0.0
        return Explanation(
            queue=queue.queue,
            pool=queue.pool,
            is_accepted=not reason,
            reason=reason,
            retry_after_s=retry_after_s,
            workers=tuple(_chosen(views[worker], n) for worker, n in tasks.items()),
            waiting_tasks=waiting_tasks,
            waits_for=_reason_to_wait(job, trial, tasks.total(), queue),
            others=tuple(others[:MAX_OTHER_WORKERS]),
            others_left_out=max(0, len(others) - MAX_OTHER_WORKERS),
            moves=_moves(dispatcher, config, job, now_s),
            start_in_s=0.0 if tasks else round(wait_s, 3),
            end_in_s=round(last_start_in_s + job.critical_path_ms / 1000, 3),
            objective_s=round(job.deadline_s - job.accepted_s, 3),
            config_version=config.version,
            list_age_s=round(dispatcher.worker_list_age_s(), 3),
            answer_age_s=round(max(ages), 3) if ages else None,
        )


def _decode(config: FleetConfig, body: dict) -> tuple[QueueConfig, JobSpec]:
    name = body.get("queue")
    queue = next((q for q in config.queues if q.queue == name), None)
    if queue is None:
        raise UnknownName(f"no such queue: {name}")
    workspace = WorkspaceName(body.get("workspace") or "")
    if workspace and workspace not in {w.workspace for w in config.workspaces}:
        raise UnknownName(f"no such workspace: {workspace}")
    text = body.get("job")
    value = (DEFAULT_JOB if text is None else str(text)).encode()
    spec = decode_submission(JobId(secrets.token_hex(8)), queue.queue, value)
    if queue.is_public:
        workspace = WorkspaceName("")
    return queue, replace(spec, workspace=workspace)


def _refusal(
    planner, config: FleetConfig, queue: QueueConfig, spec: JobSpec
) -> tuple[str, float | None]:
    """Return why an entry would refuse the job and when to retry, "" if it would not.

    The time is None if a retry would not help. The checks are those of
    `EntryJobService.submit`, in its order.
    """
    if config.requires_keys and not queue.is_public and not spec.workspace:
        return "the queue needs a key of a workspace", None
    limit = limits_of(config).get(spec.workspace)
    if limit is not None and not can_ever_start(spec, limit):
        return f"a task or gang exceeds the workspace's limit {limit}", None
    if spec.is_long_running:
        return "", None
    by_workspace = planner.workspace_refusals().get(queue.queue, {})
    if spec.workspace in by_workspace:
        return "the workspace exceeds its rate", by_workspace[spec.workspace]
    refused = planner.refusals()
    if planner.admission is not None:
        outlook = decode_outlooks(planner.admission.encode_outlooks()).get(queue.queue)
        found = None if outlook is None else refuse(spec, queue, outlook)
        if outlook is not None:
            refused = {} if found is None else {queue.queue: found.after_s}
    if queue.queue in refused:
        return "the queue is far behind", refused[queue.queue]
    return "", None


def _reason_to_wait(
    job: Job, trial: TrialRound, placed: int, queue: QueueConfig
) -> str:
    """Return why not all ready tasks are placed, "" if they are."""
    ready: list[Task] = job.ready_tasks()
    if not ready:
        return "its time has not come"
    if len(ready) == placed:
        return ""
    if not trial.may_start(job):
        return "another entry may dispatch by now"
    if not trial.candidates.get(queue.pool):
        return "no worker of the pool may get tasks now"
    if not trial.policy.gate.may_start(job, [ready[0]]):
        return "a limit on what may run at once"
    if queue.advice is not None and not placed:
        return "a ticket of the advice service"
    return "room on a worker"


def _chosen(view: WorkerView, tasks: int) -> ChosenWorker:
    worker = view.worker
    return ChosenWorker(worker.worker, worker.vm or "", worker.rack, tasks)


def _other_workers(
    job: Job,
    pool: list[WorkerView],
    trial: TrialRound,
    chosen: set[str],
    now_s: float,
) -> list[OtherWorker]:
    """Return the workers that get nothing: those with room first, then by free CPU."""
    candidates = {
        candidate.worker.worker: candidate
        for candidate in trial.candidates.get(job.config.pool, ())
    }
    rows = []
    for view in pool:
        if view.worker.worker in chosen:
            continue
        candidate = candidates.get(view.worker.worker)
        free = view.free() if candidate is None else candidate.free
        reason = _reason_against(job, view, candidate, now_s)
        is_last = candidate is None
        rank = (reason != RANKED_LOWER, is_last, -free.cpu_millicores)
        vm = view.worker.vm or ""
        rows.append((rank, OtherWorker(view.worker.worker, vm, str(free), reason)))
    return [row for _, row in sorted(rows, key=lambda row: row[0])]


def _reason_against(
    job: Job, view: WorkerView, candidate: CandidateWorker | None, now_s: float
) -> str:
    obstacle = view.obstacle(now_s, SILENT_S)
    ready = job.ready_tasks()
    if obstacle is None and candidate is None:
        return "its capacity may be outdated"
    if obstacle is None and ready:
        obstacle = misfit(ready[0].spec, candidate, step_key(ready[0]))
    return RANKED_LOWER if obstacle is None else obstacle.value


def _moves(
    dispatcher, config: FleetConfig, job: Job, now_s: float
) -> tuple[VmMove, ...]:
    """Return the moves of VMs that are under way, and those that would begin now."""
    fleet, tracker = dispatcher.fleet, dispatcher.tracker
    begun = [
        VmMove(view.worker.vm, view.evacuation_reason.pool, True)
        for view in tracker.workers.values()
        if view.evacuation_reason is not None and view.evacuation_reason.pool
    ]
    orders = fleet.departures.recent_orders
    if orders is None:
        return tuple(begun)
    sizer = replace(
        fleet.sizer,
        arrivals=deepcopy(fleet.sizer.arrivals),
        counted=set(fleet.sizer.counted),
        recent_needs=deepcopy(fleet.sizer.recent_needs),
    )
    moves = sizer.decide(
        config,
        [*(tracker.jobs[job_id] for job_id in tracker.active), job],
        fleet.inventory.vms,
        fleet.inventory.views_by_vm(tracker.workers),
        fleet.departures.being_emptied(),
        now_s,
        len(fleet.inventory.vms),
        orders.blocked(now_s),
    )
    return (*begun, *(VmMove(vm, pool, False) for vm, pool in moves))
