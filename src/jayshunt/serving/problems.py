"""Convert errors to problem responses (RFC 9457)."""

import json
import math

from werkzeug.wrappers import Response

from jayshunt.errors import JayshuntError
from jayshunt.serving.const import DEFAULT_STATUS, PROBLEM_TYPE, STATUS_OF_CODE


def problem_parts(
    error: JayshuntError, status: int | None = None
) -> tuple[int, list[tuple[str, str]], bytes]:
    """Return status, headers and body of the problem response to an error.

    `status` replaces the status of the error's code.
    """
    if status is None:
        status = STATUS_OF_CODE.get(error.code, DEFAULT_STATUS)
    content = {
        "type": f"urn:jayshunt:error:{error.code}",
        "title": error.code.replace("_", " "),
        "status": status,
        "detail": error.detail,
        "code": error.code,
        "step": error.step,
        "peer": error.peer,
        "outcome": error.outcome.value,
        "retry_after_s": error.retry_after_s,
    }
    body = (json.dumps(content) + "\n").encode()
    headers = [("Content-Type", PROBLEM_TYPE), ("Content-Length", str(len(body)))]
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(math.ceil(error.retry_after_s))))
    return status, headers, body


def problem_response(error: JayshuntError) -> Response:
    """Return the problem response to an error."""
    status, headers, body = problem_parts(error)
    return Response(body, status, headers)
