"""Define the keys and limits of claims."""

SHARDS = 64
RETENTION_S = 86_400.0
# 64 shards of this size fit into the platform's store; each write carries a whole
# shard.
MAX_SHARD_BYTES = 200_000
MAX_ANSWER_BYTES = 8 * 1024
# Size of a stored claim without its answer: digests, ids, times and state.
CLAIM_OVERHEAD_BYTES = 260
# Headers that are stored with an answer; the others describe one connection or one
# moment.
KEPT_HEADERS = frozenset({"content-type", "content-encoding", "location", "etag"})
RETRY_AFTER_S = 1.0
# A request holds its slot while its claim is written; the timeout prevents a slow
# store from exhausting the slots.
CLAIM_TIMEOUT_S = 1.0
# Up to this number of outcomes that could not be written are retried at this
# interval, until they are written or their claims are evicted.
MAX_PENDING_FINISHES = 4_096
FLUSH_INTERVAL_S = 0.5


def shard_key(shard: int) -> str:
    """Return the store key of the document with a shard's claims."""
    return f"claims/{shard}"
