"""Define the timeouts, limits and headers of routing."""

CONNECT_TIMEOUT_MS = 500
# Instances close idle connections, and middleboxes drop their state silently.
IDLE_LIMIT_S = 15.0
IDLE_LIMIT_INTERVAL_S = 1.0
# Each zone's broker uses one connection to an instance for health checks.
HEALTH_CONNECTIONS = 1
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
MAX_ANSWER_BYTES = 64 * 1024 * 1024

MAX_ATTEMPTS = 3
# Each request adds this part of a retry to the budget, so that a failing pool does
# not get a multiple of its load. A new entry has sent too few requests to fill the
# budget; the initial budget covers the failures of an instance until its ejection.
RETRY_BUDGET_RATIO = 0.1
RETRY_BUDGET_LIMIT = 20.0
RETRY_BUDGET_START = 10.0
BACKOFF_BASE_MS = 10.0
BACKOFF_LIMIT_MS = 200.0
# An attempt of a repeatable request is limited to this part of the remaining time,
# which leaves the rest for another attempt, but not to less than
# ATTEMPT_RUN_FACTOR learned run times.
ATTEMPT_TIME_RATIO = 0.5
ATTEMPT_RUN_FACTOR = 5.0
# A request that was sent may finish this many run times after its target: a late
# answer is worth more to its caller than an unknown outcome, and the slot of an
# abandoned request stays in use anyway. A timeout set by the caller is not extended.
LATE_RUN_FACTOR = 2.0
MINIMUM_GRACE_MS = 50.0
# An admitted request may wait past its deadline for up to this part of its time.
LATE_WAIT_RATIO = 1.0
# A permit that was not used within this time is released unused. A new broker counts
# slots of a paused entry as free after 200 ms at the earliest.
USE_WITHIN_MS = 200.0
# With less time than this an upstream cannot answer in time, whatever it runs.
MINIMUM_SEND_MS = 2.0
# Answers with these statuses indicate a fault of the instance, not of the request.
FAULT_STATUSES = frozenset({500, 502, 503, 504})

REQUEST_ID_HEADER = "jayshunt-request-id"
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    }
)
