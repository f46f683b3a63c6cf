"""Call the platform's agent on a worker."""

import json
from typing import Protocol

from jayshunt import http_client
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import JobId, WorkerId
from jayshunt.jobs.const import TASK_LEASE_S, WORKER_TIMEOUT_S
from jayshunt.jobs.messages import (
    Fence,
    StartOrder,
    TaskId,
    TaskReport,
    TaskState,
    WorkerAnswer,
    WorkerOrders,
)
from jayshunt.jobs.sizes import Size

STEP = "jobs.worker"


class WorkerCalls(Protocol):
    """Interface for calls to workers; implemented by `WorkerClient` and test fakes."""

    def sync(
        self, worker: WorkerId, address: str, fence: Fence, orders: WorkerOrders
    ) -> WorkerAnswer:
        """Send all orders for a worker and return its reports on all attempts."""


class WorkerClient:
    """HTTP client for the agent on a worker; one call covers all tasks of a worker."""

    def sync(
        self, worker: WorkerId, address: str, fence: Fence, orders: WorkerOrders
    ) -> WorkerAnswer:
        """Send all orders for a worker and return its reports on all attempts.

        Raise JayshuntError `stale_epoch` if the worker has seen a higher epoch and
        `stale_call` if it has seen a later call of the same epoch. Errors have
        outcome UNKNOWN if the orders may have reached the worker.
        """
        answer = http_client.request(
            "POST",
            f"http://{address}/tasks/sync",
            body=json.dumps(_orders_content(fence, orders)).encode(),
            timeout_s=WORKER_TIMEOUT_S,
            step=STEP,
        )
        if answer.status == 409:
            code = json.loads(answer.body)["error"]
            raise JayshuntError(code, step=STEP, peer=worker)
        if answer.status != 200:
            raise JayshuntError(
                "worker_refused",
                step=STEP,
                peer=worker,
                outcome=Outcome.UNKNOWN,
                detail=f"status {answer.status}",
            )
        return _read_answer(worker, json.loads(answer.body))


def _orders_content(fence: Fence, orders: WorkerOrders) -> dict:
    return {
        "epoch": fence.epoch,
        "sequence": fence.sequence,
        "lease_ttl_s": TASK_LEASE_S,
        "renew": _task_ids(orders.renew),
        "start": [_start_content(order) for order in orders.start],
        "stop": _task_ids(orders.stop),
        "checkpoint": _task_ids(orders.checkpoint),
        "forget": _task_ids(orders.forget),
    }


def _task_ids(tasks: tuple[TaskId, ...]) -> list[list]:
    return [[task.job, task.attempt] for task in tasks]


def _start_content(order: StartOrder) -> dict:
    return {
        "job": order.task.job,
        "attempt": order.task.attempt,
        "boot": order.boot,
        "command": order.command,
        "cpu_cores": order.size.cpu_cores,
        "memory_bytes": order.size.memory_bytes,
        "accelerators": order.size.accelerators,
        "checkpoint": order.checkpoint,
    }


def _read_answer(worker: WorkerId, content: dict) -> WorkerAnswer:
    return WorkerAnswer(
        worker,
        content["boot"],
        _read_size(content["capacity"]),
        content["can_checkpoint"],
        tuple(_read_report(item) for item in content["tasks"]),
    )


def _read_report(item: dict) -> TaskReport:
    return TaskReport(
        TaskId(JobId(item["job"]), item["attempt"]),
        TaskState(item["state"]),
        item["result"],
        item["checkpoint"],
        _read_size(item["usage"]) if item.get("usage") else None,
    )


def _read_size(item: dict) -> Size:
    return Size(item["cpu_cores"], item["memory_bytes"], item.get("accelerators", 0))
