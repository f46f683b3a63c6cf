"""Name the keys and limits of jobs."""

SHARDS_PER_ZONE = 4
MAX_OPEN_JOBS = 2_000
TASK_LEASE_S = 10.0
WORKER_TIMEOUT_S = 2.0
SCHEDULE_INTERVAL_S = 0.5
MAX_ATTEMPTS = 3


def shard_key(zone: str, shard: int) -> str:
    """Return the key of one document of jobs."""
    return f"jobs/{zone}/{shard}"
