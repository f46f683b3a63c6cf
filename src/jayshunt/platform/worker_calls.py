"""Give orders to one worker in the platform's protocol."""

import json

from jayshunt import http_client
from jayshunt.dispatch.models import (
    Address,
    EndedRun,
    OrderAnswer,
    OrderRefusal,
    RunEnd,
    RunningRun,
    RunReport,
    StartOrder,
    TaskKey,
)
from jayshunt.errors import JayshuntError
from jayshunt.ids import WorkerId
from jayshunt.platform.const import INSTANCE_HEADER, MAX_HOLD_WAIT_MS

# The wire's `reason` says little: `late` means that the lease of the order is over,
# `old` that this run is not above one that was stopped or ended there.
_REFUSALS = {
    "fence": OrderRefusal.FENCED,
    "old": OrderRefusal.SUPERSEDED,
    "late": OrderRefusal.LEASE_EXPIRED,
    "room": OrderRefusal.NO_CAPACITY,
    "ticket": OrderRefusal.NO_TICKET,
}
_ENDS = {end.value: end for end in RunEnd}


class WorkerCalls:
    """Call one life of a worker; another life at its address refuses the call.

    Raise JayshuntError with outcome UNKNOWN if no answer came: the order may have
    been executed or may still be executed later.
    """

    def __init__(self, worker: WorkerId, address: Address, token: int) -> None:
        """Keep the address and the fencing token of the dispatcher's term."""
        self._base = f"http://{address}"
        self._headers = {
            INSTANCE_HEADER: worker,
            "Content-Type": "application/json",
        }
        self._token = token

    def start(self, order: StartOrder, timeout_s: float) -> OrderAnswer:
        """Order a run of a task."""
        body = {
            "task": order.task.name,
            "run": order.run,
            "spec": order.payload,
            "untilMs": order.lease_until_ms,
        }
        if order.checkpoint:
            body["saved"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return self._order("/run-start", body, timeout_s)

    def stop(self, task: TaskKey, run: int, timeout_s: float) -> OrderAnswer:
        """Order the end of a run; its capacity is free when the end is listed."""
        return self._order("/run-stop", {"task": task.name, "run": run}, timeout_s)

    def pace(
        self, task: TaskKey, run: int, percent: int, timeout_s: float
    ) -> OrderAnswer:
        """Let a run work at a share of its speed."""
        body = {"task": task.name, "run": run, "percent": percent}
        return self._order("/pace", body, timeout_s)

    def poll_runs(
        self,
        noted_upto: int,
        lease_until_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> RunReport | OrderAnswer:
        """Extend the lease of all runs and return what runs and what ended.

        Ends up to `noted_upto` are forgotten by the worker.
        """
        body: dict = {"seenUpto": noted_upto}
        if lease_until_ms is not None:
            body["untilMs"] = lease_until_ms
        if wait_ms > 0:
            body["waitMs"] = min(int(wait_ms), MAX_HOLD_WAIT_MS)
        answer = self._call("/hold", body, timeout_s)
        if answer.status != 200:
            return _order_answer(answer)
        fields = json.loads(answer.body)
        return RunReport(
            clock_ms=int(fields["clockMs"]),
            started_ms=int(fields.get("born", 0)),
            running=tuple(_running(row) for row in fields.get("running", ())),
            ended=tuple(_ended(row) for row in fields.get("ended", ())),
        )

    def _order(self, path: str, body: dict, timeout_s: float) -> OrderAnswer:
        return _order_answer(self._call(path, body, timeout_s))

    def _call(self, path: str, body: dict, timeout_s: float):
        return http_client.request(
            "POST",
            self._base + path,
            body=json.dumps({**body, "fencingToken": self._token}).encode(),
            headers=self._headers,
            timeout_s=timeout_s,
            step=f"worker{path}",
        )


def _order_answer(answer: http_client.HttpAnswer) -> OrderAnswer:
    try:
        fields = json.loads(answer.body) if answer.body else {}
    except ValueError:
        fields = {}
    clock_ms = fields.get("clockMs")
    match answer.status:
        case 200:
            return OrderAnswer(None, clock_ms)
        case 409:
            reason = _REFUSALS.get(fields.get("reason"), OrderRefusal.OTHER)
            return OrderAnswer(reason, clock_ms)
        case 421:
            return OrderAnswer(OrderRefusal.OTHER_INCARNATION, clock_ms)
        case 429 | 503:
            return OrderAnswer(OrderRefusal.UNHEALTHY, clock_ms)
        case _:
            return OrderAnswer(OrderRefusal.OTHER, clock_ms)


def _running(row: list) -> RunningRun:
    load = row[4] if len(row) > 4 and isinstance(row[4], (int, float)) else 0
    return RunningRun(TaskKey.parse(row[0]), int(row[1]), row[2] or "", row[3], load)


def _ended(row: list) -> EndedRun:
    saved = row[4] if len(row) > 4 and row[4] else ""
    return EndedRun(
        int(row[0]), TaskKey.parse(row[1]), int(row[2]), _ENDS[row[3]], saved
    )


class AdviceCalls:
    """Ask the service that knows which workers a queue's policy allows."""

    def __init__(self, address: Address) -> None:
        """Keep the address."""
        self._base = f"http://{address}"

    def ask(
        self, step_name: str, workers: tuple[WorkerId, ...], timeout_s: float
    ) -> tuple[dict[WorkerId, str], float]:
        """Return the ticket for each allowed worker and how long they are valid."""
        answer = http_client.request(
            "POST",
            self._base + "/advise",
            body=json.dumps({"step": step_name, "workers": list(workers)}).encode(),
            headers={"Content-Type": "application/json"},
            timeout_s=timeout_s,
            step="advice.ask",
        )
        if answer.status != 200:
            raise JayshuntError(
                "advice_refused", step="advice.ask", detail=f"status {answer.status}"
            )
        fields = json.loads(answer.body)
        tickets = {WorkerId(row[0]): str(row[1]) for row in fields["good"]}
        return tickets, fields.get("validMs", 0) / 1000
