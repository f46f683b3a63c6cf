"""Name the limits of connections between entries."""

# Permits waiting at a broker each hold a thread until they are granted.
MAX_CONCURRENT_CALLS = 256
STOP_GRACE_S = 2.0
KEEPALIVE_TIME_MS = 10_000
KEEPALIVE_TIMEOUT_MS = 2_000
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
RECONNECT_BACKOFF_MS = 1_000
# Calls on a replaced connection have ended by their own deadlines after this time.
RETIRED_GRACE_S = 60.0
KEY_REFRESH_S = 2.0
