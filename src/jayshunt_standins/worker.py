"""Stand in for the platform's agent on a worker."""

import threading
import time
import uuid
from dataclasses import dataclass, field

from jayshunt_standins.server import Call, DropConnection, Reply, StandInServer

CORES = 64.0
MEMORY_BYTES = 256 * 2**30


@dataclass
class Attempt:
    """Describe one attempt to run a job; times are monotonic seconds."""

    job: str
    attempt: int
    state: str
    result: str = ""
    checkpoint: str = ""
    usage: dict | None = None
    started_s: float = 0.0
    ends_s: float = 0.0
    lease_ends_s: float = 0.0

    def report(self, now_s: float, usage_lag_s: float) -> dict:
        """Return the agent's report of the task.

        Until `usage_lag_s` after the start the usage is None, unless the task finished.
        """
        is_known = now_s >= self.started_s + usage_lag_s
        return {
            "job": self.job,
            "attempt": self.attempt,
            "state": self.state,
            "result": self.result,
            "checkpoint": self.checkpoint,
            "usage": self.usage if is_known or self.state == "finished" else None,
        }


@dataclass
class WorkerFaults:
    """Define how the worker fails.

    The next `lost_answers` calls take effect without an answer. `silent` closes the
    connection of each call at once.
    """

    fail_all: bool = False
    silent: bool = False
    lost_answers: int = 0


@dataclass
class WorkerShape:
    """Describe the capacity and the abilities of the worker."""

    cpu_cores: float = CORES
    memory_bytes: int = MEMORY_BYTES
    accelerators: int = 0
    can_checkpoint: bool = True
    usage_lag_s: float = 2.0


@dataclass
class WorkerRecord:
    """Record what ran, as pairs of job and attempt.

    A resume continues an attempt from its checkpoint.
    """

    starts: list[tuple[str, int]] = field(default_factory=list)
    resumes: list[tuple[str, int]] = field(default_factory=list)
    finishes: list[tuple[str, int]] = field(default_factory=list)


class WorkerStandIn(StandInServer):
    """Run tasks under leases.

    `POST /tasks/sync` takes a fencing epoch, a sequence number, a lease time and
    lists of attempts to renew, start, stop, checkpoint and forget. It returns the
    agent's boot id, the worker's capacity and a report on every attempt that is
    not forgotten. A call whose pair of epoch and sequence number is not higher than
    the highest received is refused with 409. The command `work-ms=N` runs N
    milliseconds, `fail` fails at once; `cpu=N` and `memory=N`, separated by a blank,
    set the reported usage. A task whose lease ends is stopped.
    """

    def __init__(
        self, name: str, port: int = 0, shape: WorkerShape | None = None
    ) -> None:
        """Start without tasks."""
        super().__init__(port)
        self.name = name
        self.shape = shape or WorkerShape()
        self.faults = WorkerFaults()
        self.record = WorkerRecord()
        self.boot = uuid.uuid4().hex[:8]
        # The highest pair of epoch and sequence number received.
        self.fence = (0, 0)
        self.syncs = 0
        self._lock = threading.Lock()
        self._tasks: dict[str, Attempt] = {}

    @property
    def starts(self) -> list[tuple[str, int]]:
        """Return the attempts that started from the beginning."""
        return self.record.starts

    @property
    def finishes(self) -> list[tuple[str, int]]:
        """Return the attempts that finished."""
        return self.record.finishes

    def restart(self) -> None:
        """Lose all tasks and get a new boot id, as after a reboot."""
        with self._lock:
            self._end_due_tasks()
            self._tasks.clear()
            self.boot, self.fence = uuid.uuid4().hex[:8], (0, 0)

    def answer(self, call: Call) -> Reply:
        """Return the answer to one call."""
        if self.faults.silent and not call.path.startswith("/standin/"):
            raise DropConnection
        with self._lock:
            self._end_due_tasks()
            match call.method, call.path.strip("/").split("/"):
                case "POST", ["tasks", "sync"]:
                    return self._sync(call.json())
                case "GET", ["healthz"]:
                    return Reply(200, {"state": "serving"})
                case method, ["standin", "ran"]:
                    if method == "PUT":
                        self.faults = WorkerFaults(**call.json())
                    return Reply(200, vars(self.record))
        return Reply(404, {"error": "unknown path"})

    def _sync(self, orders: dict) -> Reply:
        fence = (orders["epoch"], orders["sequence"])
        if fence <= self.fence:
            stale = "epoch" if fence[0] < self.fence[0] else "call"
            return Reply(409, {"error": f"stale_{stale}"})
        self.fence = fence
        self.syncs += 1
        now_s = time.monotonic()
        for job, attempt in orders["forget"]:
            if self._find(job, attempt):
                del self._tasks[job]
        for job, attempt in orders["stop"]:
            self._stop(job, attempt)
        for job, attempt in orders["checkpoint"]:
            self._checkpoint(job, attempt, now_s)
        for order in orders["start"]:
            self._start(order, now_s)
        started = [(order["job"], order["attempt"]) for order in orders["start"]]
        for job, attempt in [*orders["renew"], *started]:
            if task := self._find(job, attempt):
                task.lease_ends_s = now_s + orders["lease_ttl_s"]
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise DropConnection
        tasks = [t.report(now_s, self.shape.usage_lag_s) for t in self._tasks.values()]
        return Reply(
            200,
            {
                "boot": self.boot,
                "capacity": {
                    "cpu_cores": self.shape.cpu_cores,
                    "memory_bytes": self.shape.memory_bytes,
                    "accelerators": self.shape.accelerators,
                },
                "can_checkpoint": self.shape.can_checkpoint,
                "tasks": tasks,
            },
        )

    def _find(self, job: str, attempt: int) -> Attempt | None:
        task = self._tasks.get(job)
        return task if task and task.attempt == attempt else None

    def _start(self, order: dict, now_s: float) -> None:
        current = self._tasks.get(order["job"])
        if order["boot"] != self.boot:
            return
        if current and current.attempt >= order["attempt"]:
            return
        command = dict(p.partition("=")[::2] for p in order["command"].split(" "))
        work_s = float(command.get("work-ms", 0)) / 1000
        identity = (order["job"], order["attempt"])
        if order["checkpoint"]:
            work_s = float(order["checkpoint"].rpartition("=")[2])
            self.record.resumes.append(identity)
        else:
            self.record.starts.append(identity)
        task = Attempt(*identity, "running", started_s=now_s, ends_s=now_s + work_s)
        task.usage = {
            "cpu_cores": float(command.get("cpu", order["cpu_cores"])),
            "memory_bytes": int(command.get("memory", order["memory_bytes"])),
        }
        if self.faults.fail_all or "fail" in command:
            task.state, task.result = "failed", "exit status 1"
        self._tasks[task.job] = task

    def _stop(self, job: str, attempt: int) -> None:
        task = self._find(job, attempt)
        if task and task.state == "running":
            task.state, task.result = "stopped", "ordered"

    def _checkpoint(self, job: str, attempt: int, now_s: float) -> None:
        task = self._find(job, attempt)
        if not self.shape.can_checkpoint or not task or task.state != "running":
            return
        task.state = "checkpointed"
        task.checkpoint = f"{self.name}/{job}/left-s={max(0, task.ends_s - now_s):.3f}"

    def _end_due_tasks(self) -> None:
        now_s = time.monotonic()
        for task in self._tasks.values():
            if task.state != "running":
                continue
            if task.ends_s <= min(now_s, task.lease_ends_s):
                task.state, task.result = "finished", "exit status 0"
                self.record.finishes.append((task.job, task.attempt))
            elif task.lease_ends_s <= now_s:
                task.state, task.result = "stopped", "the lease ended"
