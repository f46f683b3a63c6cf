"""Name the keys and limits of claims."""

SHARDS = 64
RETENTION_S = 86_400.0
# 64 shards of this size stay within what the platform stores, and one write
# carries one shard.
MAX_SHARD_BYTES = 200_000
MAX_ANSWER_BYTES = 8 * 1024
# What a stored claim takes beside its answer: digests, ids, times and state.
CLAIM_OVERHEAD_BYTES = 260
# Headers of a kept answer; the others describe one connection or one moment.
KEPT_HEADERS = frozenset({"content-type", "content-encoding", "location", "etag"})
RETRY_AFTER_S = 1.0
# A request holds its slot while its claim is written; a slow store must not use
# up the slots.
CLAIM_TIMEOUT_S = 1.0
# A finish that could not be written is repeated this often, within the retention.
MAX_PENDING_FINISHES = 4_096
FLUSH_INTERVAL_S = 0.5


def shard_key(shard: int) -> str:
    """Return the key of one document of claims."""
    return f"claims/{shard}"
