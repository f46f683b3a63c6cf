"""Build submitted jobs and the events that workers record."""

import json

from jayshunt_soak.callers import SubmittedJob

JOB = "00000000000000a1"
TASK = f"{JOB}.0.0.0"


def build_job(**changes) -> SubmittedJob:
    """Return an accepted job of one task that was reported as completed."""
    step = {"ms": 100, "cpu": 1000, "memory_mb": 1, "fails": False}
    step |= {"count": 1, "after": []}
    fields = {
        "job_id": JOB,
        "pool": "desk",
        "steps": [step],
        "fails": False,
        "accepted_s": 1.0,
        "is_refused": False,
        "states": [(5.0, "completed")],
    }
    return SubmittedJob(**{**fields, **changes})


def incarnation(worker: str, process: str = "rack-0") -> dict:
    """Return the event that a worker incarnation started."""
    row = {"event": "life", "worker": worker, "process": process, "pool": "desk"}
    return {"at_s": 0.0, **row}


def start(at_s: float, run: int, worker: str = "w1", task: str = TASK) -> dict:
    """Return the event that a run started."""
    row = {"event": "start", "worker": worker, "task": task, "run": run}
    return {"at_s": at_s, "born": 0, "pool": "desk", "labels": ["a"], **row}


def end(
    at_s: float, run: int, how: str = "done", worker: str = "w1", task: str = TASK
) -> dict:
    """Return the event that a run ended."""
    row = {"event": "end", "worker": worker, "task": task, "run": run, "how": how}
    return {"at_s": at_s, **row}


def stopping(at_s: float, run: int, worker: str = "w1") -> dict:
    """Return the event that a worker was ordered to stop a run."""
    row = {"event": "stopping", "worker": worker, "task": TASK, "run": run}
    return {"at_s": at_s, **row}


def resized(at_s: float, millicores: int, worker: str = "w1") -> dict:
    """Return the event that a worker's capacity changed."""
    return {"at_s": at_s, "event": "capacity", "worker": worker, "cpu": millicores}


def left(at_s: float, worker: str) -> dict:
    """Return the event that a worker left with its VM."""
    return {"at_s": at_s, "event": "over", "worker": worker}


def crash(at_s: float, run: int, worker: str = "w1", task: str = TASK) -> list[dict]:
    """Return the events that a task started and crashed its worker."""
    row = {"event": "crash", "worker": worker, "task": task, "run": run}
    started = start(at_s, run, worker, task)
    gone = {**started, "event": "end", "at_s": at_s + 0.01, "how": "gone"}
    return [incarnation(worker), started, {"at_s": at_s + 0.01, **row}, gone]


def acknowledged(at_s: float, run: int, worker: str = "w1") -> dict:
    """Return the event that an entry acknowledged the end of a run."""
    row = {"event": "noted", "worker": worker, "task": TASK, "run": run}
    return {"at_s": at_s, **row}


def start_order(
    lease_s: float = 5.0, crash_after_ms: int | None = None, work_ms: int = 10_000
) -> dict:
    """Return the body of an order to start a run."""
    work = {"ms": work_ms, "fails": False, "cpu": 1_000, "memory_mb": 1}
    work |= {"crash_after_ms": crash_after_ms, "lasts": False}
    body = {"task": TASK, "run": 16, "fencingToken": 1, "spec": json.dumps(work)}
    return {**body, "untilMs": int(lease_s * 1000)}
