"""Answer callers' requests and jobs."""

import logging
import uuid
from collections.abc import Callable

from werkzeug.exceptions import HTTPException
from werkzeug.wrappers import Request, Response

from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import ClassName, IdempotencyKey, RequestId
from jayshunt.routing.messages import CallerAnswer, CallerRequest
from jayshunt.serving.const import (
    CLASS_PREFIX,
    KEY_HEADER,
    REPEAT_HEADER,
    REPEATABLE_METHODS,
    REQUEST_ID_HEADER,
    TIMEOUT_HEADER,
)
from jayshunt.serving.problems import problem_response

_LOGGER = logging.getLogger(__name__)


class CallerApplication:
    """Route callers' paths; a WSGI application."""

    def __init__(
        self,
        send: Callable[[CallerRequest], CallerAnswer],
        answer_job: Callable[[Request], Response],
        max_body_bytes: int,
    ) -> None:
        """Take the router's `send` and the handler of job paths."""
        self._send = send
        self._answer_job = answer_job
        self._max_body_bytes = max_body_bytes

    def __call__(self, environ: dict, start_response: Callable):
        """Answer one request."""
        request = Request(environ)
        request_id = RequestId(
            request.headers.get(REQUEST_ID_HEADER) or uuid.uuid4().hex
        )
        try:
            response = self._answer(request, request_id)
        except JayshuntError as error:
            _LOGGER.info("serving: refused: %s", error, extra={"request": request_id})
            response = problem_response(error)
        except HTTPException as error:
            response = error.get_response(environ)
        except Exception:
            _LOGGER.exception(
                "serving: request failed inside", extra={"request": request_id}
            )
            response = problem_response(
                JayshuntError("internal_error", step="serving", outcome=Outcome.UNKNOWN)
            )
        response.headers[REQUEST_ID_HEADER] = request_id
        return response(environ, start_response)

    def _answer(self, request: Request, request_id: RequestId) -> Response:
        if request.path.startswith(CLASS_PREFIX):
            answer = self._send(self._read_request(request, request_id))
            response = Response(answer.body, answer.status)
            response.headers.clear()
            response.headers.extend(answer.headers)
            response.headers["Content-Length"] = str(len(answer.body))
            return response
        if request.path.startswith("/v1/jobs"):
            return self._answer_job(request)
        raise JayshuntError(
            "not_found", step="serving.path", detail=f"no such path {request.path!r}"
        )

    def _read_request(self, request: Request, request_id: RequestId) -> CallerRequest:
        work_class, _, path = request.path.removeprefix(CLASS_PREFIX).partition("/")
        query = request.query_string.decode("latin-1")
        return CallerRequest(
            request=request_id,
            work_class=ClassName(work_class),
            method=request.method,
            target=f"/{path}" + (f"?{query}" if query else ""),
            headers=_forwarded(request),
            body=self._read_body(request),
            repeatable=_is_repeatable(request),
            key=_key(request),
            timeout_ms=_timeout_ms(request),
        )

    def _read_body(self, request: Request) -> bytes:
        length = request.content_length or 0
        if length > self._max_body_bytes:
            raise JayshuntError(
                "body_too_large",
                step="serving.body",
                detail=f"at most {self._max_body_bytes} bytes are allowed",
            )
        request.max_content_length = self._max_body_bytes
        return request.get_data(cache=False)


def _forwarded(request: Request) -> tuple[tuple[str, str], ...]:
    own = {REPEAT_HEADER, TIMEOUT_HEADER, REQUEST_ID_HEADER}
    return tuple((n, v) for n, v in request.headers if n not in own)


def _is_repeatable(request: Request) -> bool:
    mark = request.headers.get(REPEAT_HEADER)
    if mark is None:
        return request.method in REPEATABLE_METHODS
    if mark not in ("never", "safe"):
        raise _bad_header(REPEAT_HEADER, mark, "never or safe")
    return mark == "safe"


def _key(request: Request) -> IdempotencyKey | None:
    value = request.headers.get(KEY_HEADER)
    if value is None:
        return None
    if not 1 <= len(value) <= 128 or not value.isprintable():
        raise _bad_header(KEY_HEADER, value[:32], "1 to 128 printable characters")
    return IdempotencyKey(value)


def _timeout_ms(request: Request) -> float | None:
    value = request.headers.get(TIMEOUT_HEADER)
    if value is None:
        return None
    if not value.isdigit() or int(value) < 1:
        raise _bad_header(TIMEOUT_HEADER, value[:32], "a whole number above 0")
    return float(value)


def _bad_header(name: str, value: str, allowed: str) -> JayshuntError:
    return JayshuntError(
        "bad_request",
        step="serving.headers",
        detail=f"{name}: {value!r} is not allowed; it takes {allowed}",
    )
