"""Name the keys and limits of jobs."""

SHARDS_PER_ZONE = 4
# An entry accepts into one shard for this long; jobs spread over all shards at
# every moment would each take a write of their own.
SHARD_SLICE_S = 0.1
MAX_OPEN_JOBS = 2_000
# The store refuses values above 1 MB; a shard keeps a margin for the changes of
# jobs that are already in it.
MAX_SHARD_BYTES = 900_000
# Every write of a shard carries its finished jobs, so they get a third of it.
MAX_FINISHED_BYTES = 300_000
FINISHED_RETENTION_S = 3_600.0
# What a stored job takes beside its command: names, times, worker and reason.
JOB_OVERHEAD_BYTES = 420
MAX_REASON_CHARS = 200
# A finished job keeps this much of its command, enough to recognize it.
KEPT_COMMAND_CHARS = 64

# Long enough for a new zone controller to take over: 5 s until the old lease ends,
# about 3 s to start a process, one step, and as much again.
TASK_LEASE_S = 30.0
# A worker's clock may run this much slower than the scheduler's.
LEASE_MARGIN_S = 3.0
# A silent worker may come back after its leases ended and tell what became of a
# job that must not be repeated; after this time the job ends as unknown.
UNKNOWN_AFTER_S = 60.0
WORKER_TIMEOUT_S = 2.0
# One call per worker each period. The period doubles while nothing changes on the
# worker, so that short jobs end soon and long ones cost little: 107 workers at the
# longest period take 27 calls a second of the zone controller.
SYNC_FIRST_S = 1.0
SYNC_LONGEST_S = 4.0
MAX_SYNCS_AT_ONCE = 32

SCHEDULE_INTERVAL_S = 0.5
# Notices of new jobs within this time are handled by one step.
GATHER_NOTICES_S = 0.02
# Every shard is read at least this often, in case a notice got lost.
REFRESH_INTERVAL_S = 2.0
# Callers that poll their jobs share the reads of an entry.
READ_CACHE_S = 0.5
# A quarantine that ended and other effects of time show at the next plan.
PLAN_INTERVAL_S = 5.0
NOTICE_TIMEOUT_S = 0.5
NOTICE_ATTEMPTS = 2

# A job that failed on this many workers that are not themselves faulty fails.
MAX_FAILED_WORKERS = 3
QUARANTINE_JOBS = 3
QUARANTINE_TEAMS = 2
QUARANTINE_S = 300.0
# Past this part of a pool the cause is not the single worker.
MAX_QUARANTINED_RATIO = 0.25


def shard_key(zone: str, shard: int) -> str:
    """Return the key of one document of jobs."""
    return f"jobs/{zone}/{shard}"


def epoch_key(zone: str) -> str:
    """Return the key of the fencing epoch of a zone's scheduler."""
    return f"zones/{zone}/jobs-epoch"
