"""Define limits and intervals of statistics, metrics and reports."""

# Statistics cover the last WINDOW_S, in slices of SLICE_S.
WINDOW_S = 60.0
SLICE_S = 10.0
# A class meets its target if this fraction of its requests is answered within it.
MET_RATIO = 0.99
# Ratio of consecutive bucket bounds; a percentile is overestimated by at most 10%.
BUCKET_GROWTH = 1.1
BUCKET_COUNT = 160
FIRST_BUCKET_MS = 0.5
METRIC_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)
MAX_REFUSAL_CODES = 24
PEER_TIMEOUT_S = 1.5
SAMPLE_INTERVAL_S = 10.0
# One day of samples; older ones are dropped. On average an entry runs for longer than
# that.
MAX_SAMPLES = 8_640
# Number of roll-outs, and of moves, that the report keeps.
MAX_EVENTS = 512
SECRET_WORDS = ("token", "password", "secret", "private", "authorization", "key_file")
REDACTED = "(redacted)"
