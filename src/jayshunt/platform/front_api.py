"""Serve the callers' HTTP API for queues and jobs."""

import json
import logging
import time
from collections.abc import Callable

from jayshunt.checked import MAX_TEXT_CHARS
from jayshunt.dispatch.entry import EntryJobService
from jayshunt.dispatch.models import FleetConfig, QueueConfig
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import JobId, WorkspaceName
from jayshunt.platform.const import DEADLINE_HEADER
from jayshunt.platform.credentials import (
    AUTHORIZATION_FIELD,
    CHALLENGE,
    read_credential,
)
from jayshunt.platform.formats import (
    MAX_VALUES,
    MalformedSubmission,
    decode_submission,
    is_job_id,
)
from jayshunt.serving.connection import IncomingRequest
from jayshunt.workspaces.authentication import Authenticator, needs_key
from jayshunt.workspaces.models import Caller, Identity, RefusalReason, Refused

_LOGGER = logging.getLogger(__name__)

DEFAULT_DEADLINE_S = 3.0
# A longer deadline in a request is malformed, as are nan and inf.
MAX_DEADLINE_S = 3_600.0
# Fraction of the caller's deadline that processing may use; the rest is left for
# sending the response.
DEADLINE_FRACTION = 0.85
# The same for what a stopping server leaves to a request, so that it is answered before
# its connection is closed.
STOP_MARGIN_S = 0.3
MIN_TIMEOUT_S = 0.05
JSON_TYPE = ("Content-Type", "application/json")
# What a job within the limits of its fields takes while it is being stored.
MAX_KEPT_BYTES = 64 * 1024
# Refusals for lack of room, of the fleet or of the caller's workspace.
OVERLOAD_CODES = frozenset(
    {
        "queue_behind",
        "exceeds_workspace_limit",
        "workspace_rate",
        "jobs_exhaust_memory",
    }
)

# Refusals before it is known whether an earlier submission of the job was accepted.
UNCHECKED_CODES = frozenset({"bodies_exhaust_memory"})

Answer = tuple[int, dict | None, list[tuple[str, str]]]


class FrontApi:
    """WSGI application for the port that callers connect to."""

    def __init__(
        self,
        entry: EntryJobService,
        config: Callable[[], FleetConfig | None],
        observe: Callable[[str, int, float], None],
        authenticator: Authenticator,
    ) -> None:
        """Create the application.

        `config` returns the configuration in force, None before the first one.
        `observe` is called with method, status and duration (s) of each response.
        `authenticator` checks the keys of calls to queues that are not public.
        """
        self._entry = entry
        self._config = config
        self._observe = observe
        self._authenticator = authenticator

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Handle one request; an exception becomes an error response."""
        request: IncomingRequest = environ["jayshunt.request"]
        http_method = request.head.method
        started_s = time.monotonic()
        try:
            status, body, headers = self._answer(request, environ)
        except JayshuntError as error:
            status, body, headers = _error_answer(error)
        except Exception:
            _LOGGER.exception("entry: unexpected error in a call")
            # Part of the call may have been carried out.
            status, body, headers = 504, {"error": "internal_error"}, []
        self._observe(http_method, status, time.monotonic() - started_s)
        data = b"" if body is None else json.dumps(body).encode()
        start_response(f"{status} -", [JSON_TYPE, *headers])
        return [data]

    def _answer(self, request: IncomingRequest, environ: dict) -> Answer:
        if request.head.method != "POST":
            request.release_body(environ)
        config = self._config()
        if config is None:
            return 503, {"error": "no configuration yet"}, [("Retry-After", "1")]
        host = environ.get("HTTP_HOST", "").partition(":")[0]
        path = request.head.target.partition("?")[0]
        queue = config.queue_of(host, path)
        if queue is None:
            _LOGGER.info(
                "entry: no such queue",
                extra={
                    "host": host[:MAX_TEXT_CHARS],
                    "path": path[:MAX_TEXT_CHARS],
                    "version": config.version,
                },
            )
            return 404, {"error": "no such queue"}, []
        rest = path[len(queue.path_prefix) :].strip("/")
        # Before anything else of the call is read, so that a caller without a key
        # costs no decoding.
        match self._identify(config, queue, request):
            case Refused(reason):
                return self._answer_refused(request.head.method, rest, reason)
            case Caller(workspace):
                return self._answer_caller(request, environ, queue, rest, workspace)

    def _identify(
        self, config: FleetConfig, queue: QueueConfig, request: IncomingRequest
    ) -> Identity:
        """Return who calls; on a public queue, a key is ignored."""
        if not needs_key(config, queue):
            return Caller()
        credential = read_credential(request.head.values(AUTHORIZATION_FIELD))
        return self._authenticator.check(config, credential)

    def _answer_refused(self, method: str, rest: str, reason: RefusalReason) -> Answer:
        if reason is not RefusalReason.UNCONFIRMED_CONFIG:
            return 401, {"error": reason.value}, [CHALLENGE]
        # A 503 means that the job never runs.
        is_unknown = method == "POST" and self._entry.is_outcome_unknown(JobId(rest))
        status = 504 if is_unknown else 503
        return status, {"error": reason.value}, [("Retry-After", "1")]

    def _answer_caller(
        self,
        request: IncomingRequest,
        environ: dict,
        queue: QueueConfig,
        rest: str,
        workspace: WorkspaceName,
    ) -> Answer:
        timeout_s = _timeout_s(environ, request.time_left_s)
        if rest and not is_job_id(rest):
            return _answer_invalid_id(request.head.method)
        match request.head.method, rest:
            case "GET", "":
                return self._waiting_count(queue, timeout_s)
            case "POST", job if job:
                return self._submit(
                    request, environ, queue, JobId(job), workspace, timeout_s
                )
            case "GET", job:
                return self._state(JobId(job), workspace, timeout_s)
            case "DELETE", job:
                return self._cancel(JobId(job), workspace, timeout_s)
        return 400, {"error": "a job id or another method is needed"}, []

    def _waiting_count(self, queue: QueueConfig, timeout_s: float) -> Answer:
        return 200, {"waiting": self._entry.waiting(queue.queue, timeout_s)}, []

    def _submit(
        self,
        request: IncomingRequest,
        environ: dict,
        queue: QueueConfig,
        job: JobId,
        workspace: WorkspaceName,
        timeout_s: float,
    ) -> Answer:
        try:
            request.charge_decoding(MAX_VALUES)
            spec = decode_submission(job, queue.queue, request.body, workspace)
            request.release_body(environ, min(len(request.body), MAX_KEPT_BYTES))
        except MalformedSubmission as error:
            _LOGGER.info(
                "entry: malformed job", extra={"job": job, "reason": str(error)}
            )
            return 400, {"error": str(error)}, []
        self._entry.submit(spec, queue, timeout_s)
        return 200, {}, []

    def _state(self, job: JobId, workspace: WorkspaceName, timeout_s: float) -> Answer:
        state = self._entry.state(job, workspace, timeout_s)
        if state is None:
            return 410, {"error": "no such job"}, []
        return 200, {"state": state.value}, []

    def _cancel(self, job: JobId, workspace: WorkspaceName, timeout_s: float) -> Answer:
        if self._entry.cancel(job, workspace, timeout_s):
            return 200, {}, []
        return 410, {"error": "no such job"}, []


def _answer_invalid_id(method: str) -> Answer:
    """Return the response to a call for an id that no job can have."""
    if method == "POST":
        return 400, {"error": "a job id has 16 hexadecimal digits"}, []
    return 410, {"error": "no such job"}, []


def _timeout_s(environ: dict, time_left_s: float) -> float:
    header = "HTTP_" + DEADLINE_HEADER.upper().replace("-", "_")
    try:
        deadline_s = float(environ.get(header, DEFAULT_DEADLINE_S * 1000)) / 1000
    except ValueError:
        deadline_s = DEFAULT_DEADLINE_S
    if not 0 < deadline_s <= MAX_DEADLINE_S:
        deadline_s = DEFAULT_DEADLINE_S
    timeout_s = min(deadline_s * DEADLINE_FRACTION, time_left_s - STOP_MARGIN_S)
    return max(MIN_TIMEOUT_S, timeout_s)


def _error_answer(error: JayshuntError) -> Answer:
    """Return the response to a failed call.

    503 and 429 mean that nothing ran; 504 means that the outcome is unknown.
    """
    headers: list[tuple[str, str]] = []
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, round(error.retry_after_s)))))
    status = 503
    if error.outcome is not Outcome.NOT_RUN or error.code in UNCHECKED_CODES:
        status = 504
    elif error.code in OVERLOAD_CODES:
        status = 429
    elif error.code == "id_taken":
        status = 409
    return status, {"error": error.code, "detail": error.detail}, headers
