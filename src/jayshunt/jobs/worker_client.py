"""Call the platform's agent on a worker."""

import json
from dataclasses import dataclass

from jayshunt import http_client
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import Epoch, JobId
from jayshunt.jobs.const import TASK_LEASE_S, WORKER_TIMEOUT_S
from jayshunt.jobs.models import Job


@dataclass(frozen=True)
class TaskReport:
    """Hold what a worker says of one task."""

    job: JobId
    attempt: int
    state: str
    result: str


class WorkerClient:
    """Start, prolong, stop and list tasks on one worker."""

    def __init__(self, address: str) -> None:
        """Take the worker's IP and port."""
        self._address = address

    def start(self, job: Job, epoch: Epoch) -> TaskReport:
        """Start an attempt; the worker starts the same attempt only once."""
        order = {
            "job": job.job,
            "attempt": job.attempt,
            "epoch": epoch,
            "lease_ttl_s": TASK_LEASE_S,
            "command": job.request.command,
            "cpu_cores": job.request.cpu_cores,
            "memory_bytes": job.request.memory_bytes,
            "accelerators": job.request.accelerators,
        }
        return _report(self._call("POST", "/tasks", order))

    def prolong(self, job: JobId) -> TaskReport:
        """Prolong the lease of a task."""
        return _report(self._call("PUT", f"/tasks/{job}/lease"))

    def stop(self, job: JobId) -> TaskReport:
        """Stop a task."""
        return _report(self._call("POST", f"/tasks/{job}/stop"))

    def list(self) -> list[TaskReport]:
        """Return every task that the worker knows."""
        return [_report(item) for item in self._call("GET", "/tasks")["tasks"]]

    def _call(self, method: str, path: str, content: dict | None = None) -> dict:
        step = "jobs.worker"
        body = None if method == "GET" else json.dumps(content or {}).encode()
        answer = http_client.request(
            method,
            f"http://{self._address}{path}",
            body=body,
            timeout_s=WORKER_TIMEOUT_S,
            step=step,
        )
        if answer.status not in (200, 201):
            code = "stale_epoch" if answer.status == 409 else "worker_refused"
            unknown_task = answer.status == 404
            raise JayshuntError(
                "unknown_task" if unknown_task else code,
                step=step,
                peer=self._address,
                outcome=Outcome.NOT_RUN,
            )
        return json.loads(answer.body)


def _report(item: dict) -> TaskReport:
    return TaskReport(
        JobId(item["job"]), item["attempt"], item["state"], item["result"]
    )
