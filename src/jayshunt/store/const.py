"""Name the limits of the store's client."""

CALL_TIMEOUT_S = 2.0
WATCH_WAIT_S = 20.0
# One process stays below its share of the platform's several hundred writes and
# two thousand reads a second; at 60 entries this is 1,200 calls a second.
MAX_CALLS_PER_S = 20.0
BURST_CALLS = 40.0
BACKOFF_FIRST_S = 0.1
BACKOFF_LIMIT_S = 5.0
MAX_VALUE_BYTES = 1_000_000
MAX_UPDATE_ATTEMPTS = 12
# A document remembers this many write ids, so that a writer whose answer was lost
# finds its own even after several other writers.
REMEMBERED_WRITE_IDS = 32
GATHER_S = 0.02
