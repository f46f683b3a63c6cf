"""Define the limits and timeouts of connections between entries."""

# Each call in progress occupies a thread, also each open heartbeat or permit stream.
MAX_CONCURRENT_CALLS = 256
STOP_GRACE_S = 2.0
KEEPALIVE_TIME_MS = 10_000
KEEPALIVE_TIMEOUT_MS = 2_000
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
RECONNECT_BACKOFF_MS = 1_000
# A replaced connection is kept open for at least this long; by then the deadlines of
# its unary calls have passed. Heartbeat and permit streams have no deadline; those
# still open are ended when the connection is closed.
RETIRED_GRACE_S = 60.0
KEY_REFRESH_S = 2.0
