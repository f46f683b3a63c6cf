"""Environment variable, store keys and HTTP headers of the platform."""

SETTINGS_VARIABLE = "JAYSHUNT_CONFIG"

CONFIG_KEY = "op/config"
WAVE_PREFIX = "op/wave/"
WAVE_STATUS_PREFIX = "status/wave/"
WORKER_PREFIX = "servers/"

DEADLINE_HEADER = "X-Deadline-Ms"
INSTANCE_HEADER = "X-Expect-Instance"
HOLDER_HEADER = "X-Duty-Holder"
FENCING_TOKEN_HEADER = "X-Fencing-Token"

# A worker lists at most this many ends in an answer, those with the lowest numbers.
MAX_ENDS_LISTED = 500
# Longest long-poll wait for the end of a run that a `/hold` call may request.
MAX_HOLD_WAIT_MS = 2_000
