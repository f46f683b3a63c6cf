"""Name the headers and limits towards callers."""

CLASS_PREFIX = "/v1/classes/"
REPEAT_HEADER = "Jayshunt-Repeat"
KEY_HEADER = "Idempotency-Key"
TIMEOUT_HEADER = "Jayshunt-Timeout-Ms"
REQUEST_ID_HEADER = "Jayshunt-Request-Id"
# RFC 9110, section 9.2.2: these methods are idempotent.
REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
PROBLEM_TYPE = "application/problem+json"
STATUS_OF_CODE = {
    "bad_request": 400,
    "unknown_class": 404,
    "unknown_job": 404,
    "not_found": 404,
    "unauthorized": 401,
    "body_too_large": 413,
    "class_runs_jobs": 409,
    "class_runs_requests": 409,
    "in_progress": 409,
    "already_run": 409,
    "outcome_unknown": 409,
    "revision_conflict": 409,
    "upstream_timeout": 504,
    "upstream_failed": 502,
    "no_answer": 502,
    "can_never_run": 422,
    "config_rejected": 422,
}
DEFAULT_STATUS = 503
