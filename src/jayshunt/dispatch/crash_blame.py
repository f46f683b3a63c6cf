"""Decide which tasks are suspected after a worker crashed, and which are given up.

Pure functions without network or clock. The expected load: a few jobs have a task that
crashes each worker that starts it, on workers that run a dozen tasks of other jobs,
while workers and whole racks also crash for other reasons.

A crash shortly after a start points to the task that was started. A task is suspected
if the worker was not heard of for START_SURVIVAL_S after its start. Tasks that were
already running are counted too, but less: a task may also crash its worker later.

A start without an answer may never have run: the worker may have crashed just before
it arrived. A run on a worker that was out of reach, or that an earlier term started,
may have ended before the crash. A job is failed only after at least two crashes that
its task was there for, so such uncertain crashes have to add up to more.
"""

from dataclasses import dataclass, replace

from jayshunt.dispatch.crash_models import CrashCounts, RunAtRisk
from jayshunt.dispatch.fleet import WorkerView
from jayshunt.dispatch.tasks import Task

# A run has survived its start once its worker is heard of this long after it.
START_SURVIVAL_S = 0.3
# Of many tasks started at once, those started last are suspected.
MAX_SUSPECTS = 8
# A task is given up after this many crashes at its start if it was the only suspect of
# the last one, which the placement of suspects aims at. Uncertain crashes count towards
# the second limit only, and beside a certain one: three of them hit healthy tasks
# whose workers were cut off or restarted in turn (soak, seed 203).
MAX_CERTAIN_CRASHES_AS_ONLY_SUSPECT = 2
MAX_CRASHES_AS_ONLY_SUSPECT = 3
# The users accept three crashes and two further starts of a task that crashes workers.
# One crash may be lost to the count, see `needs_stored_start`.
MAX_CRASHES = 4
# From this many crashes on, a task is a suspect even if it survived its starts.
SUSPICIOUS_CRASHES = 2


@dataclass(frozen=True, slots=True)
class LostRun:
    """Represent a run that was lost with its worker.

    `is_certain` is False if the run may not have been there when the worker crashed.
    `is_only_suspect` tells that no other task can have caused the crash by its start.
    """

    task: Task
    is_suspect: bool
    is_only_suspect: bool
    is_certain: bool


def has_survived_start(task: Task, heard_s: float | None) -> bool:
    """Return whether a worker heard of at `heard_s` has survived a task's start."""
    if task.started_s is None or heard_s is None:
        return False
    return heard_s - task.started_s >= START_SURVIVAL_S


def examine_crash(view: WorkerView) -> list[LostRun]:
    """Return the runs that a crash of a worker ends.

    Tasks whose start orders were not sent are left out, and those whose start was
    counted already, by the crash of an incarnation before. Of the tasks just started,
    those suspected before come first, then those that were started last. A start
    without an answer is always suspected.
    """
    placed = [
        task
        for task in view.tasks.values()
        if task.may_be_started and task.blamed_run != task.run
    ]
    fresh = [t for t in placed if not has_survived_start(t, view.last_heard_s)]
    fresh.sort(key=lambda t: t.sent_s if t.started_s is None else t.started_s)
    known = [task for task in fresh if task.is_suspect]
    unanswered = [task for task in fresh if task.started_s is None]
    suspects = {t.key for t in (*(known or fresh[-MAX_SUSPECTS:]), *unanswered)}
    is_only_suspect = len(fresh) == 1
    return [
        LostRun(
            task,
            is_suspect=task.key in suspects,
            is_only_suspect=is_only_suspect and task.key in suspects,
            is_certain=task.started_s is not None and not view.fell_silent,
        )
        for task in placed
    ]


def as_run_at_risk(view: WorkerView, lost: LostRun) -> RunAtRisk | None:
    """Return what is stored of a run that may be lost, None without a known VM."""
    worker = view.worker
    if worker.vm is None:
        return None
    return RunAtRisk(
        worker.worker,
        worker.started_ms,
        worker.vm,
        lost.is_suspect,
        lost.is_only_suspect,
    )


def as_lost_run(task: Task, run: RunAtRisk) -> LostRun:
    """Return a run at risk whose worker turned out to have crashed at some time.

    If the run had just been started, it may have ended before the crash.
    """
    return LostRun(task, run.is_suspect, run.is_only_suspect, not run.is_suspect)


def needs_stored_start(task: Task, is_inherited: bool) -> bool:
    """Return whether the start of a task is stored before its order is sent.

    A term that ends together with its worker loses a crash that it has not stored. The
    term that accepted the job may lose its last one. If later terms could lose one
    each, or one more during an outage of the store, the number of starts would have no
    limit. A long-running task that survived a start waits for no store, as crashes
    after that do not count against it.
    """
    if task.is_suspect:
        return True
    if task.spec.is_long_running:
        return is_inherited and not task.has_survived_start
    return is_inherited or task.crashes.total > 0 or bool(task.unsettled_runs)


def after_survived_start(run: RunAtRisk) -> RunAtRisk:
    """Return what is stored of a run at risk that survived its start."""
    return replace(run, is_suspect=False, is_only_suspect=False)


def count_crash(counts: CrashCounts, lost: LostRun) -> CrashCounts:
    """Return the counts of a task after one more crash."""
    if not lost.is_suspect:
        return replace(counts, later=counts.later + 1)
    if lost.is_certain:
        return replace(counts, at_start=counts.at_start + 1)
    return replace(counts, uncertain=counts.uncertain + 1)


def clear_starts(counts: CrashCounts) -> CrashCounts:
    """Return the counts of a task that survived a start.

    Crashes shortly after other starts still count in all, as the task may crash its
    workers somewhat later than at the start.
    """
    return CrashCounts(
        later=counts.later + counts.at_start,
        cleared=counts.cleared + counts.uncertain,
    )


def is_suspicious(task: Task) -> bool:
    """Return whether crashes, or runs that may have crashed, make a task a suspect."""
    counts = task.crashes
    return (
        counts.any_at_start > 0
        or counts.total >= SUSPICIOUS_CRASHES
        or any(run.is_suspect for run in task.unsettled_runs)
    )


def is_given_up(task: Task, is_only_suspect: bool) -> bool:
    """Return whether a task has crashed too many workers to be started again.

    `is_only_suspect` tells that no other task is suspected of the last crash. Crashes
    under a long-running task that had survived its start do not count: in its life,
    workers crash for other reasons.
    """
    counts = task.crashes
    if is_only_suspect and counts.at_start > 0:
        if counts.at_start >= MAX_CERTAIN_CRASHES_AS_ONLY_SUSPECT:
            return True
        if counts.any_at_start >= MAX_CRASHES_AS_ONLY_SUSPECT:
            return True
    counted = counts.any_at_start if task.spec.is_long_running else counts.total
    return counted >= MAX_CRASHES
