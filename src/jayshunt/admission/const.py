"""Define the limits, factors and intervals of admission.

Ratios of a request's time refer to the time left until its deadline at its arrival.
"""

# A longer queue would use more memory without completing more work, because
# admitted requests already wait for most of their remaining time.
QUEUE_LIMIT = 512
DEFAULT_RUN_MS = 20.0
DEFAULT_RUN_RATIO = 0.25
LEARNING_RATE = 0.1
# A run time counts as at most this many times the class's mean, so that one slow
# answer does not exclude an instance.
MAX_SLOWNESS = 8.0

# Predicted wait and run times are multiplied by these factors before they are
# compared with the remaining time, because run times vary around their learned mean.
WAIT_SAFETY_FACTOR = 1.1
RUN_SAFETY_FACTOR = 1.25
# A request beyond the usual share of its class may wait for at most this part of
# its time. A longer queue serves no more requests while slots are scarce, and the
# next burst of another class would wait behind it.
EXCESS_WAIT_RATIO = 0.65

# Width of a bucket of deadlines; within a bucket the order is by arrival.
BUCKET_WIDTH_MS = 20.0
# 512 buckets of 20 ms cover 10 s; later deadlines share the last bucket.
BUCKET_COUNT = 512

USUAL_WINDOW_S = 120.0
RECENT_WINDOW_S = 0.25
# The factor that scales the usual shares (SHARE_LIMIT_RATIO) is recomputed after this
# time, or when the number of slots changes.
SCALE_INTERVAL_S = 0.05
# Capacity of a class's token bucket, as seconds of its usual demand. An idle class
# accumulates up to this much and may then use it at once; with a larger capacity it
# could delay the admitted excess of another class for longer.
SHARE_DEPTH_S = 0.5
# If the usual shares add up to more than this part of the slots, they are scaled
# down to it.
SHARE_LIMIT_RATIO = 0.95

SLOW_START_S = 2.0
EJECT_CONSECUTIVE = 4
EJECT_WINDOW = 20
EJECT_FAILED_RATIO = 0.5
EJECT_BASE_S = 1.0
EJECT_LIMIT_S = 30.0
MAX_EJECTED_RATIO = 0.5

HEALTH_INTERVAL_S = 1.0
HEALTH_TIMEOUT_MS = 800
HEALTH_PATH = "/healthz"
HEALTH_FAILURES = 2

TICK_S = 0.05
# Reading the zone's record for each pool at each tick cost more than the ticks
# themselves.
INSTANCES_REFRESH_S = 1.0
# Well below PAUSE_LIMIT_S, so that an idle broker is not mistaken for a paused one.
IDLE_TICK_S = 0.4
# A broker whose process was paused for this long may have been replaced. The limit
# is below the 1.6 s after which membership suspects an entry and the next one takes
# over. An entry that holds permits releases those that it did not use in time
# (USE_WITHIN_MS of routing), because a new broker counts the slots of a paused entry
# as free once their requests should have ended.
PAUSE_LIMIT_S = 1.0

# A broker replies to each request at once, if only to say that it is queued. A peer
# that does not reply within REPLY_LIMIT_RATIO of the remaining time, bounded by
# REPLY_MINIMUM_MS and REPLY_LIMIT_MS, is treated as silent.
REPLY_LIMIT_MS = 150.0
REPLY_LIMIT_RATIO = 0.08
REPLY_MINIMUM_MS = 25.0
# A zone that granted no permit to a class is not asked again for it for this time,
# except for requests that were already admitted.
SPILL_BACKOFF_S = 0.1
RECOVER_TIMEOUT_S = 0.25
# A slot held for this many run times is stuck. A permit that is not released, for
# example because its request timed out, expires at the earliest this many run times
# after the request's deadline.
STUCK_RUN_FACTOR = 4.0
# A slow instance keeps working after the caller's timeout. With a shorter time to
# live, an instance that answered 0.3 s late had two slots too many in use.
PERMIT_TTL_MINIMUM_MS = 1000.0
# After a takeover with an unreachable entry, slots that it may use are blocked for
# BLOCK_RUN_FACTOR learned run times of the slowest class, or for BLOCK_DEFAULT_MS if
# no run time is known. Afterwards they are free: a process that ended sends nothing
# more, and one that was paused releases permits that it did not use in time.
# BLOCK_MINIMUM_MS is the lower bound of this time, and of the time after which a slot
# is stuck.
BLOCK_MINIMUM_MS = 200.0
BLOCK_RUN_FACTOR = 2.0
BLOCK_DEFAULT_MS = 1000.0
CONNECT_PROBE_TIMEOUT_S = 0.1

# After a loss of slots, a queued request may be refused only within this part of
# its time after arrival.
SHED_WITHIN_RATIO = 0.08

# An entry that is not, or no longer, the broker refuses with this code; the
# requesting entry then asks the next candidate.
NOT_BROKER = "not_broker"
# Maximum number of queued messages sent together on a stream.
STREAM_BATCH = 64
# A stream without any reply for this time is closed and reopened.
STREAM_SILENCE_LIMIT_S = 1.0
# After this time of silence, requests queued at the peer ask other brokers.
QUEUED_SILENCE_LIMIT_S = 0.1
PEER_THREADS = 16
# The remaining time in a request is updated if it is off by more than this.
REMAINING_TOLERANCE_MS = 1.0
RANKINGS_KEPT = 1024
MAX_BROKERS_ASKED = 3
# An entry that found another entry to be the broker does not check again for this
# time.
NOT_BROKER_CACHE_S = 0.1
# Refusals with these codes may be retried in another zone.
SPILL_CODES = frozenset(
    {"overloaded", "no_instance", "queue_full", "broker_unavailable"}
)
# Another zone is asked only within this part of the request's time, as long as a
# refusal would still be early.
SPILL_WITHIN_RATIO = 0.06
# A peer whose stream failed is not asked again for this time.
PEER_DOWN_S = 0.1
# Delay between retries of a request that must not be refused any more.
RETRY_INTERVAL_S = 0.03

# Interval at which the health checker looks for instances that are due.
HEALTH_STEP_S = 0.1
