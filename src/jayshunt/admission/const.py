"""Name the limits of admission."""

QUEUE_LIMIT = 512
DEFAULT_RUN_MS = 20.0
LEARNING_RATE = 0.1
PERMIT_TTL_FACTOR = 2.0
