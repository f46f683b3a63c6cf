"""Serve the calls of other entries, the state dump, the metrics and readiness."""

import json
import logging
import threading
from collections.abc import Callable
from urllib.parse import parse_qsl

from jayshunt.checked import MAX_REASON_CHARS, describe_invalid
from jayshunt.dispatch.link import DispatcherLink, answer_call
from jayshunt.errors import DECODE_ERRORS, JayshuntError, Outcome
from jayshunt.serving.connection import IncomingRequest, count_values

_LOGGER = logging.getLogger(__name__)

PREFIX = "/dispatch/"
REFUSALS = "/dispatch/refusals"
WHERE = "/dispatch/where"
# A batch of notices has fewer, although the jobs in it are counted with their values.
MAX_VALUES = 20_000
STATUSES = {"malformed_job": 400, "unknown_name": 404, "unavailable": 503}


class PeerApi:
    """Serve the peers' port as a WSGI application."""

    def __init__(
        self,
        link: DispatcherLink,
        dump: Callable[[], dict],
        metrics: Callable[[], bytes],
    ) -> None:
        """Answer from `link`, with the state from `dump` and text from `metrics`."""
        self._link = link
        self._dump = dump
        self._metrics = metrics
        # The state is many times larger as objects than as an answer.
        self._state_lock = threading.Lock()

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answer one request of a peer or an operator's tool."""
        try:
            return self._answer(environ, start_response)
        except JayshuntError as error:
            # The memory for requests was exhausted before anything was done.
            start_response("503 -", [])
            return [str(error)[:MAX_REASON_CHARS].encode()]

    def _answer(self, environ: dict, start_response: Callable) -> list[bytes]:
        request: IncomingRequest = environ["jayshunt.request"]
        path = request.head.target
        if path == "/metrics":
            start_response("200 -", [("Content-Type", "text/plain; version=0.0.4")])
            with self._state_lock:
                return [self._metrics()]
        if path == "/dump":
            start_response("200 -", [("Content-Type", "application/json")])
            with self._state_lock:
                return [json.dumps(self._dump(), default=str).encode()]
        if path == REFUSALS:
            try:
                self._link.record_report(_decode(request))
            except DECODE_ERRORS as error:
                return _refuse(start_response, error)
            if self._link.handover_lease is not None:
                answer = {"refusals": {}, "end_lease": self._link.handover_lease}
                start_response("200 -", [("Content-Type", "application/json")])
                return [json.dumps(answer).encode()]
        if path.partition("?")[0] == WHERE:
            return self._answer_where(request, start_response)
        dispatcher = self._link.own_dispatcher
        if (
            not path.startswith(PREFIX)
            or dispatcher is None
            or not dispatcher.ready.is_set()
            or not dispatcher.term_valid()
        ):
            start_response("503 -", [])
            return [b""]
        try:
            answer = answer_call(
                dispatcher, path.removeprefix(PREFIX), _decode(request)
            )
        except JayshuntError as error:
            # 504 means that a write may have taken effect, 503 that none did.
            is_unknown = error.outcome is not Outcome.NOT_RUN
            start_response("504 -" if is_unknown else "503 -", [])
            return [str(error)[:MAX_REASON_CHARS].encode()]
        except DECODE_ERRORS as error:
            return _refuse(start_response, error)
        start_response("200 -", [("Content-Type", "application/json")])
        return [json.dumps(answer).encode()]

    def _answer_where(
        self, request: IncomingRequest, start_response: Callable
    ) -> list[bytes]:
        """Explain where a job would go.

        The status is 400 for a malformed job, 404 for an unknown queue or workspace and
        503 if no dispatcher answers. A GET has its question in the query.
        """
        try:
            answer = self._link.where(_decode_question(request))
            status = STATUSES.get(answer.get("code", ""), 200)
        except JayshuntError as error:
            reason = f"this entry is cut off from the dispatcher: {error.detail}"
            status, answer = 503, {"error": reason, "code": "unavailable"}
        except DECODE_ERRORS as error:
            reason = str(error)[:MAX_REASON_CHARS]
            status, answer = 400, {"error": reason, "code": "malformed"}
        start_response(f"{status} -", [("Content-Type", "application/json")])
        return [json.dumps(answer).encode()]


def _refuse(start_response: Callable, error: Exception) -> list[bytes]:
    """Refuse a call with a malformed body."""
    reason = describe_invalid(error)
    _LOGGER.warning("dispatch: malformed call of an entry", extra={"reason": reason})
    start_response("400 -", [])
    return [reason.encode()]


def _decode(request: IncomingRequest) -> object:
    """Decode a JSON body; raise ValueError if it has too many values."""
    if count_values(request.body) > MAX_VALUES:
        raise ValueError(f"more than {MAX_VALUES} values")
    request.charge_decoding(MAX_VALUES)
    return json.loads(request.body)


def _decode_question(request: IncomingRequest) -> dict:
    if request.head.method == "POST":
        return dict(_decode(request))
    query = request.head.target.partition("?")[2]
    return dict(parse_qsl(query))


class ReadyApi:
    """Serve the readiness check of this entry as a WSGI application."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Answer from `is_ready`."""
        self._is_ready = is_ready

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answer 200 while ready, 503 otherwise."""
        start_response("200 -" if self._is_ready() else "503 -", [])
        return [b""]
