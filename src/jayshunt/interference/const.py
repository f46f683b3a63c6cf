"""Define the settings of interference; latencies are fractions of the target."""

# Pairs that are kept, by last use. 64 KB of the stored summary hold fewer.
MAX_PAIRS = 2_000
# Serving tasks whose own deviation from their image is kept, by last use.
MAX_TASK_OFFSETS = 2_000

# What is learned returns to the prior with these time constants: the effect of a pair
# changes within seconds, the load of a serving image more slowly.
PAIR_DECAY_S = 10.0
BASE_DECAY_S = 30.0
# Prior means and standard deviations. A filling neighbor at full pace may well double
# the latency of a serving task; serving neighbors disturb each other less.
FILLING_PRIOR_MEAN = 0.05
FILLING_PRIOR_SD = 0.3
SERVING_PRIOR_SD = 0.1
BASE_PRIOR_MEAN = 0.4
BASE_PRIOR_SD = 0.3
OFFSET_PRIOR_SD = 0.1
# The reported tail latency covers half a second and is rough: a fixed part and a part
# in proportion to the latency.
NOISE_FIXED = 0.05
NOISE_PER_RATIO = 0.1
# A neighbor that is warming up disturbs differently; such a report counts less.
WARMING_NOISE_FACTOR = 2.0
# A single report moves an estimate by at most this many standard deviations.
MAX_SURPRISE_SD = 3.0
# From this evidence on a pair is known.
KNOWN_EVIDENCE = 3.0
# A known pair is harmful if its effect is at least this and HARMFUL_SDS standard
# deviations. With less effect, a known task is throttled only when all tasks are.
HARMFUL_RATIO = 0.1
HARMFUL_SDS = 2.0
# Placement uses a pair from less evidence, as a throttled pair shows little of it.
PLACEMENT_EVIDENCE = 1.0
# The cost of a neighbor of which nothing is known; less than the least known harm, so
# that a pair is tried rather than put beside a harmful one.
UNKNOWN_HARM = 0.01

# A report covers this time before it, and an order for a pace works after this delay.
REPORT_WINDOW_S = 0.5
PACE_DELAY_S = 0.1

# While a serving task is at or above THROTTLE_FROM, filling tasks are throttled until
# the model expects it to be below AIM_BELOW. They recover while it stays below that.
THROTTLE_FROM = 0.85
AIM_BELOW = 0.8
# All filling tasks stop once a target has been missed for this long. With a poll of
# 1 s, the interval of decisions (0.4 s) and the window, this keeps the 4 s of the
# promise.
STOP_ALL_AFTER_S = 1.0
# Reports are rough, so a miss lasts until a report is clearly below the target.
MISS_CLEARED_BELOW = 0.9
# A longer time between two reports hides when the miss began.
MAX_REPORT_GAP_S = 2.0
# Until a report can show the effect of the last change of pace.
SETTLE_S = 0.6
# Filling tasks recover at the earliest this long after they were throttled, and by at
# most this many points for each report.
RECOVER_AFTER_S = 1.0
STEP_UP_PERCENT = 50
# Smaller changes of pace are not worth an order.
MIN_CHANGE_PERCENT = 5
# An order for a pace may be lost; a stop is sent again at this interval, this many
# times in one miss. A target may be missed for long for other reasons.
RESEND_S = 1.0
MAX_RESENDS = 2

# A filling task is moved if its pace was at most this for so long.
MOVE_MAX_PACE = 50
MOVE_AFTER_S = 5.0
# Effects change within seconds, so the pace gained counts for this time only.
MOVE_HORIZON_S = 10.0
# Work lost by a stop with a checkpoint and the next start.
RESTART_S = 3.0
MOVE_INTERVAL_S = 5.0
# A check looks at all filling tasks, and paces change at this interval.
MOVE_CHECK_INTERVAL_S = 0.4
MOVE_TIMEOUT_S = 15.0
NO_RETURN_S = 30.0
# Stops by Jayshunt count together if they are less than this apart: the longest
# `noticeMs` of the deployments and a margin.
STOPS_COUNT_S = 6.0
