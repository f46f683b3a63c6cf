"""Store keys, limits and intervals of the jobs package."""

SHARDS_PER_ZONE = 4
# An entry puts new jobs into the same shard for this long, so that jobs accepted at
# the same time share a write. Spread over all shards, each would need its own.
SHARD_ROTATION_S = 0.1
MAX_OPEN_JOBS = 2_000
# The store refuses values above 1 MB. The margin is for changes of the jobs that a
# shard already contains.
MAX_SHARD_BYTES = 900_000
# Every write of a shard includes its finished jobs, so they get only a third of it.
MAX_FINISHED_BYTES = 300_000
FINISHED_RETENTION_S = 3_600.0
# Approximate size of a stored job without its command: names, times, worker and
# reason.
JOB_OVERHEAD_BYTES = 420
MAX_REASON_CHARS = 200
# The command of an ended job is truncated to this length, enough to recognize it.
MAX_FINAL_COMMAND_CHARS = 64

# Lease of a running task. It must outlast the takeover by a new zone controller: 5 s
# until the old controller's lease ends, about 3 s to start a process and one
# scheduler step. The value is more than three times that.
TASK_LEASE_S = 30.0
# Allowance for a worker's clock that runs slower than the scheduler's: the worker may
# end a lease this much later.
LEASE_MARGIN_S = 3.0
# Grace period after the leases of an unresponsive worker ended. Within it the worker
# may come back and report the outcome of a job that is not repeatable; afterwards the
# job ends as unknown.
UNKNOWN_GRACE_S = 60.0
WORKER_TIMEOUT_S = 2.0
# Interval of the calls to a worker. It doubles while nothing changes on the worker,
# so that the end of short jobs is detected soon and long jobs cost few calls: 107
# workers at the longest interval take 27 calls per second of the zone controller.
MIN_CALL_INTERVAL_S = 1.0
MAX_CALL_INTERVAL_S = 4.0
MAX_CONCURRENT_CALLS = 32

SCHEDULE_INTERVAL_S = 0.5
# Notices that arrive within this time are combined into one step or one message.
NOTICE_BATCH_WINDOW_S = 0.02
# Every shard is read at least this often, in case a notice was lost.
REFRESH_INTERVAL_S = 2.0
# An entry answers polling callers from a cached shard for this long, so that they
# share a read.
READ_CACHE_S = 0.5
# Longest time between plans while jobs wait, so that changes caused only by time,
# such as the end of a quarantine, take effect.
PLAN_INTERVAL_S = 5.0
NOTICE_TIMEOUT_S = 0.5
NOTICE_ATTEMPTS = 2

# A job fails for good after this many workers restarted under it.
MAX_RESTARTS = 4
# A worker that was given a job under which another one restarted gets no other job
# for this time.
TRIAL_S = 2.0
# A job fails for good after it failed on this many healthy workers.
MAX_FAILED_WORKERS = 3
# A worker is suspect after failures of at least this many jobs of this many teams in
# a row.
QUARANTINE_JOBS = 3
QUARANTINE_TEAMS = 2
QUARANTINE_S = 300.0
# At most this share of a pool's workers, but at least one worker, is quarantined at
# once: if more fail, the workers are not the cause.
MAX_QUARANTINED_RATIO = 0.25


def shard_key(zone: str, shard: int) -> str:
    """Return the store key of a shard of a zone's jobs."""
    return f"jobs/{zone}/{shard}"


def epoch_key(zone: str) -> str:
    """Return the store key of the fencing epoch of a zone's scheduler."""
    return f"zones/{zone}/jobs-epoch"
