"""Build what callers were told and what workers recorded."""

from jayshunt_soak.callers import Told

JOB = "00000000000000a1"
TASK = f"{JOB}.0.0.0"


def build_told(**changes) -> Told:
    """Return an accepted job of one task that was shown as completed."""
    step = {"ms": 100, "cpu": 1000, "memory_mb": 1, "fails": False}
    step |= {"count": 1, "after": []}
    fields = {
        "job": JOB,
        "pool": "desk",
        "steps": [step],
        "fails": False,
        "accepted_s": 1.0,
        "is_refused": False,
        "states": [(5.0, "completed")],
    }
    return Told(**{**fields, **changes})


def life(worker: str, process: str = "rack-0") -> dict:
    """Return the begin of a worker's life."""
    row = {"event": "life", "worker": worker, "process": process, "pool": "desk"}
    return {"at_s": 0.0, **row}


def start(at_s: float, run: int, worker: str = "w1", task: str = TASK) -> dict:
    """Return the start of a run."""
    row = {"event": "start", "worker": worker, "task": task, "run": run}
    return {"at_s": at_s, **row}


def end(at_s: float, run: int, how: str = "done", worker: str = "w1") -> dict:
    """Return the end of a run."""
    row = {"event": "end", "worker": worker, "task": TASK, "run": run, "how": how}
    return {"at_s": at_s, **row}


def noted(at_s: float, run: int, worker: str = "w1") -> dict:
    """Return that an end was noted."""
    row = {"event": "noted", "worker": worker, "task": TASK, "run": run}
    return {"at_s": at_s, **row}
