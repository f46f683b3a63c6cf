"""Clients of the workers and of the advice service."""

import json
from collections.abc import Generator, Iterator

from jayshunt import http_client
from jayshunt.checked import MAX_REASON_CHARS, MAX_WHOLE, describe_invalid
from jayshunt.dispatch.messages import OrderSteps
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
from jayshunt.dispatch.record_models import MAX_CHECKPOINT_CHARS
from jayshunt.errors import DECODE_ERRORS, JayshuntError, Outcome
from jayshunt.http_client import HttpAnswer, HttpCall
from jayshunt.ids import WorkerId
from jayshunt.platform.const import (
    INSTANCE_HEADER,
    MAX_ENDS_LISTED,
    MAX_HOLD_WAIT_MS,
)
from jayshunt.platform.documents import AdvicePage, TicketRow

# Values of `reason` in a refusal. `late`: the lease of the order has expired. `old`:
# the worker already stopped or ended a run of this task with this or a higher number.
_REFUSALS = {
    "fence": OrderRefusal.FENCED,
    "old": OrderRefusal.SUPERSEDED,
    "late": OrderRefusal.LEASE_EXPIRED,
    "room": OrderRefusal.NO_CAPACITY,
    "ticket": OrderRefusal.NO_TICKET,
}
_RUN_ENDS = {end.value: end for end in RunEnd}
# Rows of running tasks with what they tell, by the task's name.
DecodedRows = dict[str, tuple[list, RunningRun]]


class WorkerClient:
    """Client of one worker instance.

    Calls are steps of a task in a TaskLoop, used with `yield from`. Every call names
    the instance, so that a restarted worker at the same address refuses it. Calls raise
    JayshuntError; its outcome is UNKNOWN if no response arrived or it can't be decoded,
    since the order may have been executed or may still be executed.
    """

    def __init__(self, worker: WorkerId, address: Address, token: int) -> None:
        """Create a client; `token` is the fencing token of the dispatcher's term."""
        self._base = f"http://{address}"
        self._headers = {
            INSTANCE_HEADER: worker,
            "Content-Type": "application/json",
        }
        self._token = token
        self._rows: DecodedRows = {}

    def start(self, order: StartOrder, timeout_s: float) -> OrderSteps:
        """Start a run of a task.

        The order also extends the lease that all runs of the worker share to
        `order.lease_until_ms`; the runs end when it expires. A refusal is returned,
        not raised.
        """
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
        return self._send_order("/run-start", body, timeout_s)

    def stop(self, task: TaskKey, run: int, timeout_s: float) -> OrderSteps:
        """Stop a run.

        Its capacity is free only when `poll_runs` lists the run as ended.
        """
        return self._send_order("/run-stop", {"task": task.name, "run": run}, timeout_s)

    def pace(
        self, task: TaskKey, run: int, percent: int, timeout_s: float
    ) -> OrderSteps:
        """Throttle a run to a percentage of its full speed."""
        body = {"task": task.name, "run": run, "percent": percent}
        return self._send_order("/pace", body, timeout_s)

    def poll_runs(
        self,
        noted_upto: int,
        lease_until_ms: int | None,
        wait_ms: int,
        timeout_s: float,
    ) -> Generator[HttpCall, HttpAnswer, RunReport | OrderAnswer]:
        """Extend the lease of all runs, and return the running and the ended runs.

        The lease is extended to `lease_until_ms` on the worker's clock, or left as
        it is for None. The worker may wait up to `wait_ms` for a run to end before
        it responds. `noted_upto` acknowledges ended runs: the worker stops listing
        those with numbers up to it.
        """
        body: dict = {"seenUpto": noted_upto}
        if lease_until_ms is not None:
            body["untilMs"] = lease_until_ms
        if wait_ms > 0:
            body["waitMs"] = min(int(wait_ms), MAX_HOLD_WAIT_MS)
        answer = yield self._call("/hold", body, timeout_s)
        if answer.status != 200:
            return _order_answer(answer)
        try:
            return self._decode_report(json.loads(answer.body))
        except DECODE_ERRORS as error:
            # A report without the malformed row would show its run as ended.
            raise JayshuntError(
                "unreadable_answer",
                step="worker/hold",
                peer=self._base.removeprefix("http://"),
                outcome=Outcome.UNKNOWN,
                detail=f"malformed report of runs: {error!r:.{MAX_REASON_CHARS}}",
            ) from error

    def _decode_report(self, fields: dict) -> RunReport:
        """Return a report; rows that are as in the last one are not decoded anew."""
        known, self._rows = self._rows, {}
        running = []
        for row in fields.get("running", ()):
            name = row[0]
            decoded = known.get(name)
            if decoded is None or decoded[0] != row:
                decoded = (row, _decode_running(row))
            self._rows[name] = decoded
            running.append(decoded[1])
        ended = tuple(_decode_ended(row) for row in fields.get("ended", ()))
        return RunReport(
            clock_ms=_whole(fields["clockMs"]),
            started_ms=_whole(fields.get("born", 0)),
            running=tuple(running),
            ended=ended,
            may_lack_ends=len(ended) >= MAX_ENDS_LISTED,
        )

    def _send_order(self, path: str, body: dict, timeout_s: float) -> OrderSteps:
        answer = yield self._call(path, body, timeout_s)
        return _order_answer(answer)

    def _call(self, path: str, body: dict, timeout_s: float) -> HttpCall:
        return HttpCall(
            "POST",
            self._base + path,
            timeout_s=timeout_s,
            step=f"worker{path}",
            body=json.dumps({**body, "fencingToken": self._token}).encode(),
            headers=self._headers,
        )


def _order_answer(answer: HttpAnswer) -> OrderAnswer:
    clock_ms, reason = _decode_refusal(answer.body)
    match answer.status:
        case 200:
            return OrderAnswer(None, clock_ms)
        case 409:
            return OrderAnswer(_REFUSALS.get(reason, OrderRefusal.OTHER), clock_ms)
        case 421:
            return OrderAnswer(OrderRefusal.OTHER_INCARNATION, clock_ms)
        case 429 | 503:
            return OrderAnswer(OrderRefusal.UNHEALTHY, clock_ms)
        case _:
            return OrderAnswer(OrderRefusal.OTHER, clock_ms)


def _decode_refusal(body: bytes) -> tuple[int | None, str]:
    """Return the worker's clock and the reason, None and "" where malformed.

    The status alone tells whether the order was carried out.
    """
    try:
        fields = json.loads(body) if body else {}
        reason = fields.get("reason", "")
        clock_ms = fields.get("clockMs")
        clock_ms = None if clock_ms is None else _whole(clock_ms)
    except DECODE_ERRORS:
        return None, ""
    return clock_ms, reason if isinstance(reason, str) else ""


def _whole(value: object) -> int:
    """Return a whole number; raise ValueError above the largest that JSON holds."""
    number = int(value)
    if not 0 <= number <= MAX_WHOLE:
        raise ValueError(f"not from 0 to {MAX_WHOLE}")
    return number


def _decode_running(row: list) -> RunningRun:
    load = row[4] if len(row) > 4 and isinstance(row[4], (int, float)) else 0
    if not 0 <= load <= MAX_WHOLE:
        load = 0
    checkpoint = _read_checkpoint(row[2])
    run, percent = _whole(row[1]), _whole(row[3])
    return RunningRun(TaskKey.parse(row[0]), run, checkpoint, percent, load)


def _read_checkpoint(value: object) -> str:
    """Return a checkpoint, or an empty text, as without one, if it cannot be stored.

    The record of the job's progress could not be read back with it.
    """
    text = str(value or "")
    if len(text) > MAX_CHECKPOINT_CHARS:
        return ""
    try:
        text.encode()
    except UnicodeEncodeError:
        return ""
    return text


def _decode_ended(row: list) -> EndedRun:
    return EndedRun(
        _whole(row[0]),
        TaskKey.parse(row[1]),
        _whole(row[2]),
        _RUN_ENDS[row[3]],
        _read_checkpoint(row[4] if len(row) > 4 else ""),
    )


class AdviceClient:
    """Client of the service that decides which workers a queue's policy allows."""

    def __init__(self, address: Address) -> None:
        """Create a client of the service at an address."""
        self._base = f"http://{address}"

    def ask(
        self, step_name: str, workers: tuple[WorkerId, ...], timeout_s: float
    ) -> tuple[dict[WorkerId, str], float]:
        """Return a ticket for each allowed worker and their validity in seconds."""
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
        try:
            page = AdvicePage.model_validate_json(answer.body)
        except DECODE_ERRORS as error:
            raise JayshuntError(
                "unreadable_answer",
                step="advice.ask",
                detail=f"malformed advice: {describe_invalid(error)}",
            ) from error
        return dict(_tickets(page.good)), page.validMs / 1000


def _tickets(rows: list) -> Iterator[tuple[WorkerId, str]]:
    """Yield the workers and tickets of the rows; a malformed row names no worker."""
    for row in rows:
        try:
            worker, ticket, *_ = row
            checked = TicketRow(worker=worker, ticket=ticket)
        except DECODE_ERRORS:
            continue
        yield WorkerId(checked.worker), checked.ticket
