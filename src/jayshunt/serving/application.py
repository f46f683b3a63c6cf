"""Serve callers' requests and job calls as a WSGI application."""

import logging
import threading
import uuid
from collections import Counter
from collections.abc import Callable, Iterable

from werkzeug.exceptions import HTTPException
from werkzeug.wrappers import Request, Response

from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import RequestId
from jayshunt.routing.messages import CallerAnswer, CallerRequest
from jayshunt.serving.caller_request import read_caller_request, read_request_id
from jayshunt.serving.connection import BODYLESS_STATUS, Headers, IncomingRequest
from jayshunt.serving.const import CLASS_PREFIX, JOBS_PREFIX, REQUEST_ID_HEADER
from jayshunt.serving.problems import problem_parts

_LOGGER = logging.getLogger(__name__)

ResponseParts = tuple[int, Headers, bytes]


def ignore_cancel(_request: CallerRequest) -> None:
    """Ignore the disconnect of a caller; its request runs to completion."""


def new_request_id() -> RequestId:
    """Return a new id for a request whose caller supplied none."""
    return RequestId(uuid.uuid4().hex)


class CallerApplication:
    """WSGI application that calls the router or, for job paths, the job service.

    `cancel` is called when the caller disconnects: from the watcher's thread, or
    from the serving thread before `send` if the caller has already disconnected. It
    must not block.
    """

    def __init__(
        self,
        send: Callable[[CallerRequest], CallerAnswer],
        answer_job: Callable[[Request], Response],
        cancel: Callable[[CallerRequest], None] = ignore_cancel,
    ) -> None:
        """Set the router's `send` and `cancel` and the handler of job paths."""
        self._send = send
        self._answer_job = answer_job
        self._cancel = cancel
        self._lock = threading.Lock()
        self._in_flight: Counter[RequestId] = Counter()

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request; errors become problem responses, nothing is raised."""
        incoming: IncomingRequest = environ["jayshunt.request"]
        request_id = None
        try:
            request_id = read_request_id(incoming.head) or new_request_id()
            status, headers, body = self._answer(incoming, environ, request_id)
        except JayshuntError as error:
            _LOGGER.info(
                "serving: request failed: %s", error, extra={"request": request_id}
            )
            status, headers, body = problem_parts(error)
        except Exception:
            _LOGGER.exception(
                "serving: unexpected error in a request", extra={"request": request_id}
            )
            status, headers, body = problem_parts(
                JayshuntError("internal_error", step="serving", outcome=Outcome.UNKNOWN)
            )
        headers.append((REQUEST_ID_HEADER, request_id or new_request_id()))
        start_response(str(status), headers)
        return (body,)

    def _answer(
        self, incoming: IncomingRequest, environ: dict, request_id: RequestId
    ) -> ResponseParts:
        target = incoming.head.target
        if target.startswith(CLASS_PREFIX):
            request = read_caller_request(incoming, request_id)
            return _answer_parts(self._serve(incoming, request), incoming.head.method)
        if target.startswith(JOBS_PREFIX):
            return self._answer_job_path(environ)
        raise JayshuntError(
            "not_found", step="serving.path", detail=f"no such path {target[:200]!r}"
        )

    def _serve(self, incoming: IncomingRequest, request: CallerRequest) -> CallerAnswer:
        with self._lock:
            self._in_flight[request.request] += 1
        try:
            incoming.cancellation.on_cancel(lambda: self._cancel_unshared(request))
            answer = self._send(request)
        finally:
            with self._lock:
                self._in_flight[request.request] -= 1
                if not self._in_flight[request.request]:
                    del self._in_flight[request.request]
        _LOGGER.debug(
            "serving: answered %s", answer.status, extra={"request": request.request}
        )
        return answer

    def _cancel_unshared(self, request: CallerRequest) -> None:
        """Cancel a request unless another request in flight has the same id.

        Callers choose the ids, so that two may choose the same one. The router
        cancels by id and would also cancel the other caller's request.
        """
        with self._lock:
            is_shared = self._in_flight[request.request] > 1
        if not is_shared:
            self._cancel(request)

    def _answer_job_path(self, environ: dict) -> ResponseParts:
        try:
            response = self._answer_job(Request(environ))
        except HTTPException as error:
            raise JayshuntError(
                "bad_request", step="serving.jobs", detail=error.description or ""
            ) from error
        return response.status_code, list(response.headers), response.get_data()


def _answer_parts(answer: CallerAnswer, method: str) -> ResponseParts:
    keeps_length = method == "HEAD" or answer.status in BODYLESS_STATUS
    headers = [
        (name, value)
        for name, value in answer.headers
        if keeps_length or name.lower() != "content-length"
    ]
    return answer.status, headers, answer.body
