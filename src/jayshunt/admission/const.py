"""Name the limits of admission."""

# A queue longer than this adds memory, not completed work: admitted requests
# already wait for most of their slack.
QUEUE_LIMIT = 512
DEFAULT_RUN_MS = 20.0
DEFAULT_RUN_RATIO = 0.25
LEARNING_RATE = 0.1
# An instance that is this much slower than the class's mean is never counted as
# slower still, so that one late answer does not exclude it.
MAX_SLOWNESS = 8.0

# Predicted times are scaled up before they are compared with the slack, because
# run times vary around their learned mean.
WAIT_SAFETY_FACTOR = 1.1
RUN_SAFETY_FACTOR = 1.25
# Excess waits for at most this part of its time. A deeper queue serves no more
# while slots are short, and it makes the next class's burst wait behind it.
EXCESS_WAIT_RATIO = 0.65

# Deadlines are grouped by this width; within a bucket order is by arrival.
BUCKET_WIDTH_MS = 20.0
# 512 buckets of 20 ms cover 10 s; later deadlines share one last bucket.
BUCKET_COUNT = 512

USUAL_WINDOW_S = 120.0
RECENT_WINDOW_S = 0.25
SCALE_INTERVAL_S = 0.05
# Slot-seconds that a class may save up, as a time at its usual rate. A longer
# time lets one class delay the admitted excess of another for as long.
SHARE_DEPTH_S = 0.5
# Usual shares are scaled to this part of the slots when they add up to more.
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
# Reading the zone's record for each pool at each tick cost more than the ticks.
INSTANCES_REFRESH_S = 1.0
# Well below PAUSE_LIMIT_S, so that an idle broker is not taken for a paused one.
IDLE_TICK_S = 0.4
# A broker that did not run for this long may have been replaced. It is under
# the 1.6 s after which membership suspects an entry and the next one takes over.
PAUSE_LIMIT_S = 1.0
# A permit that was not used within this time is given back: a new broker counts
# the permits of an entry that was paused as free after their run time.

# A broker answers each request at once, if only that it is queued.
REPLY_LIMIT_MS = 150.0
REPLY_LIMIT_RATIO = 0.08
REPLY_MINIMUM_MS = 25.0
SPILL_BACKOFF_S = 0.1
RECOVER_TIMEOUT_S = 0.25
# A slot that is held for this many run times is stuck, and one whose request
# timed out stays counted for as long.
STUCK_RUN_FACTOR = 4.0
# An instance that answers late works on after the caller's timeout; with a shorter
# time, two slots too many were in use at an instance that answered 0.3 s late.
PERMIT_TTL_MINIMUM_MS = 1000.0
# Slots that an unreachable entry may use are counted as free after
# UNKNOWN_BLOCK_FACTOR learned run times of the slowest class: an entry that
# ended sends nothing more, and one that was paused gives back permits that it
# did not use in time.
UNKNOWN_MINIMUM_MS = 200.0
UNKNOWN_BLOCK_FACTOR = 2.0
UNKNOWN_DEFAULT_MS = 1000.0
CONNECT_PROBE_S = 0.1

# After a loss of slots, queued requests are refused only within this part of
# their time after arrival.
SHED_WITHIN_RATIO = 0.08

# A broker that lost its duty to another entry refuses with this code; the
# serving entry then asks the other one.
NOT_BROKER = "not_broker"
# Messages that wait for a stream are sent together up to this number.
STREAM_BATCH = 64
# After this time without any reply a stream is closed and opened anew.
STREAM_SILENCE_LIMIT_S = 1.0
# After this time of silence its queued requests ask other brokers.
QUEUED_SILENCE_LIMIT_S = 0.1
PEER_THREADS = 16
# A request's remaining time is corrected if it is off by more than this.
REMAINING_TOLERANCE_MS = 1.0
RANKINGS_KEPT = 1024
MAX_BROKERS_ASKED = 3
# An entry that found that it is not its turn does not look again for this time.
NOT_BROKER_CACHE_S = 0.1
# With these codes another zone may still serve the request.
SPILL_CODES = frozenset(
    {"overloaded", "no_instance", "queue_full", "broker_unavailable"}
)
# Another zone is asked only while a refusal would still be early.
SPILL_WITHIN_RATIO = 0.06
PEER_DOWN_S = 0.1
# A request that must not be refused any more asks again after this time.
RETRY_INTERVAL_S = 0.03

# Time between two looks at which instances must be checked.
HEALTH_STEP_S = 0.1
