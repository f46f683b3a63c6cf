"""Name the limits of the store's client."""

CALL_TIMEOUT_S = 2.0
WATCH_WAIT_S = 20.0
# The platform supports several hundred writes and about two thousand reads a second
# for the whole deployment. These totals leave room for processes that do not know
# all others yet.
TOTAL_WRITES_PER_S = 300.0
TOTAL_READS_PER_S = 1_500.0
# Zone controllers write records and job documents; they divide this part.
CONTROLLER_PART = 1 / 3
# A process may save up its share of this time for a burst.
BURST_S = 2.0
MIN_BURST_CALLS = 8.0
# A call over the rate waits this long for its turn before it is refused.
ADMIT_WAIT_S = 0.5
BACKOFF_FIRST_S = 0.1
BACKOFF_LIMIT_S = 5.0
MAX_VALUE_BYTES = 1_000_000
MAX_UPDATE_ATTEMPTS = 12
# A document remembers this many write ids, so that a writer whose answer was lost
# finds its own even after several other writers.
REMEMBERED_WRITE_IDS = 64
GATHER_S = 0.02
STALE_RETRIES = 3
STALE_WAIT_S = 0.05
# A zone's record, its job shards and the budgets that its controller reads fit in
# this (record under 100 KB, four shards of at most 900 KB).
MAX_KNOWN_BYTES = 8 * 1024 * 1024
