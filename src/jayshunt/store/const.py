"""Limits and timeouts of the store client."""

CALL_TIMEOUT_S = 2.0
WATCH_WAIT_S = 20.0
# The platform supports several hundred writes and about two thousand reads per second
# for the whole deployment. These totals leave headroom, since a process that does not
# know all others yet computes too large a share.
TOTAL_WRITES_PER_S = 300.0
TOTAL_READS_PER_S = 1_500.0
# Fraction of the total rates that the zone controllers divide among them. They write
# records and job documents.
CONTROLLER_FRACTION = 1 / 3
# The burst size of a process is its rate times this, but at least MIN_BURST_CALLS.
BURST_S = 2.0
MIN_BURST_CALLS = 8.0
# A call that would wait longer than this for the rate limiter is refused.
ADMIT_WAIT_S = 0.5
BACKOFF_FIRST_S = 0.1
BACKOFF_LIMIT_S = 5.0
MAX_VALUE_BYTES = 1_000_000
MAX_UPDATE_ATTEMPTS = 12
# A document keeps this many write ids, so that a writer whose response was lost finds
# its own id even after several other writes.
MAX_WRITE_IDS = 64
# Minimum interval between two group commits of one document.
BATCH_WINDOW_S = 0.02
MAX_READ_ATTEMPTS = 3
STALE_WAIT_S = 0.05
# Limit of the value cache. A zone's record (under 100 KB), its four job shards (at
# most 900 KB each) and the budgets that its controller reads fit in it.
MAX_CACHED_BYTES = 8 * 1024 * 1024
