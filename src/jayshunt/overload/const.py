"""Define the limits of the decisions under overload; times are in seconds."""

# A job is worth little after its objective and nothing after this many times it.
USEFUL_FACTOR = 3.0

# A job that has not begun counts as safely in time only with this much spare time:
# run times vary by about a sixth, twice that covers most of them, and an order, its
# report and the write of the end take about 0.1 s.
SPARE_RUN_FRACTION = 0.3
SPARE_S = 0.1

# The place of a late job is computed again after this time. Late jobs are the most in
# an overload, and they wait for all jobs that can be in time.
LATE_RANK_S = 0.1

# Share of recent sizes of a queue's jobs above which a job counts as large.
LARGE_QUANTILE = 0.9
SIZES_REMEMBERED = 64
MIN_SIZES = 10
# Large jobs are to be served half as often as all jobs of their queue. The order aims
# a little higher, as some of the jobs that begin in time end late.
LARGE_SHARE = 0.65
# A queue is served at least this share as often as all queues of its pool, also if
# the others have a higher priority.
QUEUE_SHARE = 0.25
# Served and submitted jobs are counted with weights that halve in this time, about
# the length of a queue's burst.
SHARE_HALF_LIFE_S = 4.0
# A group that is owed less than this many jobs is not preferred.
MIN_OWED = 0.3

# How long a VM takes until it serves another pool.
MOVE_S = 2.0
# Share of a pool's cores that placement fills while work waits, before it was observed,
# and the bounds of what is observed.
PACKED_SHARE = 0.85
MIN_PACKED_SHARE = 0.5
# Weight of the latest observation of that share, made five times a second at most.
PACKED_WEIGHT = 0.2

# Share of a pool's capacity that is given to callers who return after a refusal. The
# rest is for callers who come for the first time.
RETURN_SHARE = 0.5
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 30
# Refused callers are remembered for this long after their return time, the latest ones.
REMEMBER_REFUSED_S = 30.0
MAX_REFUSED = 10_000
# A caller may return this much before its time, as clocks and networks vary.
EARLY_RETURN_S = 0.2
# A pool has lost capacity if it has less than this share of what it had at a refusal.
KEPT_CAPACITY_SHARE = 0.8
