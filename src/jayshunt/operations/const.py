"""Name the limits of what operators read."""

WINDOW_S = 60.0
SLICE_S = 10.0
# A class is met if this part of its requests got an answer within the target.
MET_RATIO = 0.99
# Bounds grow by a tenth, so that a percentile is at most 10% too high.
BUCKET_GROWTH = 1.1
BUCKET_COUNT = 160
FIRST_BUCKET_MS = 0.5
METRIC_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0)
MAX_REFUSAL_CODES = 24
PEER_TIMEOUT_S = 1.5
SAMPLE_INTERVAL_S = 10.0
# A day of samples; an entry restarts more rarely than that on average.
MAX_SAMPLES = 8_640
MAX_EVENTS = 512
SECRET_WORDS = ("token", "password", "secret", "private", "authorization", "key_file")
REDACTED = "(redacted)"
