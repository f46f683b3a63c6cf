"""Define the limits of the decisions under overload; times are in seconds."""

# A job is worth little after its objective and nothing after this many times it.
USEFUL_FACTOR = 3.0

# A job that has not begun counts as safely in time only with this much spare time:
# run times vary by about a sixth, twice that covers most of them, and an order, its
# report and the write of the end take about 0.1 s.
SPARE_RUN_FRACTION = 0.3
SPARE_S = 0.1

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
