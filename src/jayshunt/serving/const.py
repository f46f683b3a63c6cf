"""Define the headers, limits and status codes of the HTTP server."""

CLASS_PREFIX = "/v1/classes/"
JOBS_PREFIX = "/v1/jobs"
REPEAT_HEADER = "Jayshunt-Repeat"
KEY_HEADER = "Idempotency-Key"
TIMEOUT_HEADER = "Jayshunt-Timeout-Ms"
REQUEST_ID_HEADER = "Jayshunt-Request-Id"
# Applies to request ids and idempotency keys.
MAX_ID_CHARS = 128
# RFC 9110, section 9.2.2: these methods are idempotent.
REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
# CONNECT opens a tunnel and TRACE echoes credentials; no class serves them.
REFUSED_METHODS = frozenset({"CONNECT", "TRACE"})
PROBLEM_TYPE = "application/problem+json"

# Callers' heads stay below 4 KB in practice; common servers allow 8 to 16 KB.
MAX_HEAD_BYTES = 16 * 1024
MAX_HEADER_COUNT = 100
MAX_TRAILER_BYTES = 4 * 1024
MAX_CHUNK_LINE_BYTES = 128
# Longer heads are charged to the memory for requests.
FREE_HEAD_BYTES = 4 * 1024
# A byte of a request takes up so much memory while it is received, with its copies.
RECEIVED_FACTOR = 2.5
# A byte of JSON takes up so much as text, and each value this much as an object.
TEXT_FACTOR = 8
VALUE_BYTES = 180
# How much is read at a time, which bounds the pipelined bytes that a connection holds.
READ_HEAD_BYTES = 8 * 1024
READ_BODY_BYTES = 64 * 1024
# The framing of a chunked body may take up as much as the body, and at least this.
MIN_FRAMING_BYTES = 4 * 1024
# A part of the memory for requests is kept for those that take up less than this, with
# what is decoded from them.
SMALL_REQUEST_BYTES = 32 * 1024
SMALL_REQUESTS_SHARE = 0.1
# How long a request waits for memory after a slow sender was closed for it.
ROOM_WAIT_S = 1.0
# From so many connections below the limit on, each new one closes the idlest one.
MAX_CONNECTION_RESERVE = 32
# How long a new connection waits until one was closed for it.
CLOSE_WAIT_S = 0.05
# A new connection, and one that has sent a request or received an answer for a shorter
# time, is not closed for another one.
MIN_OCCUPIED_S = 0.2
# A last answer arrives within this time.
MIN_LINGER_S = 0.05
# The latest refusals and closed connections are logged together at this interval.
PRESSURE_LOG_INTERVAL_S = 1.0
# A thread without a connection ends after this time.
THREAD_IDLE_S = 5.0
KEPT_THREADS = 4
# After its last answer, a connection is still read for this long. Closing it with
# unread bytes sends a reset, which can discard the answer before the caller
# reads it.
LINGER_S = 0.5
# At most about this many unread bytes are read meanwhile.
LINGER_BYTES = 256 * 1024
# A caller sends its first request right after it has connected. While the server
# closes idle connections, a new one stays open for this long, because a close
# could race with that request.
FIRST_REQUEST_S = 0.5
# How many refusals of connections over the limit may be written at a time; further
# connections are closed without one.
MAX_PENDING_REFUSALS = 32
ACCEPT_POLL_S = 0.05
MAX_ACCEPT_QUEUE = 512
TLS_CHECK_INTERVAL_S = 1.0

STATUS_OF_CODE = {
    "bad_request": 400,
    "unauthorized": 401,
    "not_found": 404,
    "unknown_class": 404,
    "unknown_job": 404,
    "unknown_pool": 404,
    "unknown_version": 404,
    "method_not_allowed": 405,
    "request_timeout": 408,
    "already_run": 409,
    "class_runs_jobs": 409,
    "class_runs_requests": 409,
    "config_conflict": 409,
    "in_progress": 409,
    "key_reused": 422,
    "larger_than_quota": 422,
    "unknown_team": 404,
    "outcome_unknown": 409,
    "revision_conflict": 409,
    "body_too_large": 413,
    "target_too_long": 414,
    "expectation_failed": 417,
    "can_never_run": 422,
    "config_rejected": 422,
    "head_too_large": 431,
    "cancelled": 499,
    "internal_error": 500,
    "coding_not_supported": 501,
    "no_answer": 502,
    "upstream_failed": 502,
    "upstream_timeout": 504,
    "version_not_supported": 505,
}
# Status of the codes that are not listed above.
DEFAULT_STATUS = 503
