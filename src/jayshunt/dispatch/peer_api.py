"""Serve the calls of other entries, the state dump and the metrics."""

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
        """Keep what answers."""
        self._link = link
        self._dump = dump
        self._metrics = metrics

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answer one call."""
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
            # 504 says that a write may have taken effect, 503 that nothing did.
            is_unknown = error.outcome is not Outcome.NOT_RUN
            start_response("504 -" if is_unknown else "503 -", [])
            return [str(error).encode()]
        start_response("200 -", [("Content-Type", "application/json")])
        return [json.dumps(answer).encode()]


class ReadyApi:
    """Say whether this entry wants new connections."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Keep the condition."""
        self._is_ready = is_ready

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answer 200 while ready, 503 otherwise."""
        start_response("200 -" if self._is_ready() else "503 -", [])
        return [b""]
