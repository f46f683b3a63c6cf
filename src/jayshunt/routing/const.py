"""Name the limits of routing."""

CONNECT_TIMEOUT_MS = 500
# Instances close idle connections, and middleboxes forget them silently.
IDLE_LIMIT_S = 15.0
IDLE_LIMIT_INTERVAL_S = 1.0
# Each zone's broker keeps one connection to an instance for health checks.
HEALTH_CONNECTIONS = 1
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
MAX_ANSWER_BYTES = 64 * 1024 * 1024

MAX_ATTEMPTS = 3
# Retries may add this part of all requests, so that a failing pool is not hit
# by a multiple of its load. The reserve covers the failures of an instance until
# it is ejected, when an entry has sent too little to have earned retries.
RETRY_BUDGET_RATIO = 0.1
RETRY_BUDGET_LIMIT = 20.0
RETRY_BUDGET_START = 10.0
BACKOFF_BASE_MS = 10.0
BACKOFF_LIMIT_MS = 200.0
# A repeatable request leaves this part of its time for a second attempt, unless
# its instance needs longer by experience.
ATTEMPT_TIME_RATIO = 0.5
ATTEMPT_RUN_FACTOR = 5.0
# A request that started may end this many run times after its target: a late
# answer is worth more to its caller than an unknown outcome, and the slot of a
# request that was given up stays counted. A caller's own timeout is kept.
LATE_RUN_FACTOR = 2.0
MINIMUM_GRACE_MS = 50.0
# An admitted request waits for up to this part of its time past its deadline.
LATE_WAIT_RATIO = 1.0
# A permit that was not used within this time is given back. A new broker counts
# unknown permits of a paused entry as free after 200 ms at the earliest.
USE_WITHIN_MS = 200.0
# Below this an upstream cannot answer in time even if it runs nothing.
MINIMUM_SEND_MS = 2.0
# Answers with these statuses say that the instance, not the request, is at fault.
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
