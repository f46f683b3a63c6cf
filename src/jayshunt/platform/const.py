"""Name the platform's keys, paths and headers."""

SETTINGS_VARIABLE = "JAYSHUNT_CONFIG"

CONFIG_KEY = "op/config"
WAVE_PREFIX = "op/wave/"
WAVE_STATUS_PREFIX = "status/wave/"
WORKER_PREFIX = "servers/"

DEADLINE_HEADER = "X-Deadline-Ms"
INSTANCE_HEADER = "X-Expect-Instance"
HOLDER_HEADER = "X-Duty-Holder"
TOKEN_HEADER = "X-Fencing-Token"

# A hold may wait this long for the end of a task.
MAX_HOLD_WAIT_MS = 2_000
