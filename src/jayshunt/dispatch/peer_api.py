"""Serve the calls of other entries, the state dump, the metrics and readiness."""

import json
from collections.abc import Callable

from jayshunt.dispatch.link import DispatcherLink, answer_call
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.serving.connection import IncomingRequest

PREFIX = "/dispatch/"
REFUSALS = "/dispatch/refusals"


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

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answer one request of a peer or an operator's tool."""
        request: IncomingRequest = environ["jayshunt.request"]
        path = request.head.target
        if path == "/metrics":
            start_response("200 -", [("Content-Type", "text/plain; version=0.0.4")])
            return [self._metrics()]
        if path == "/dump":
            start_response("200 -", [("Content-Type", "application/json")])
            return [json.dumps(self._dump(), default=str).encode()]
        if path == REFUSALS:
            self._link.record_report(json.loads(request.body))
            if self._link.handover_lease is not None:
                answer = {"refusals": {}, "end_lease": self._link.handover_lease}
                start_response("200 -", [("Content-Type", "application/json")])
                return [json.dumps(answer).encode()]
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
                dispatcher, path.removeprefix(PREFIX), json.loads(request.body)
            )
        except JayshuntError as error:
            # 504 means that a write may have taken effect, 503 that none did.
            is_unknown = error.outcome is not Outcome.NOT_RUN
            start_response("504 -" if is_unknown else "503 -", [])
            return [str(error).encode()]
        start_response("200 -", [("Content-Type", "application/json")])
        return [json.dumps(answer).encode()]


class ReadyApi:
    """Serve the readiness check of this entry as a WSGI application."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Answer from `is_ready`."""
        self._is_ready = is_ready

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answer 200 while ready, 503 otherwise."""
        start_response("200 -" if self._is_ready() else "503 -", [])
        return [b""]
