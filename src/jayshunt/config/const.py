"""Name the keys and limits of the configuration."""

CURRENT_KEY = "config/current"
HISTORY_PREFIX = "config/history/"
# Every entry of this many versions holds the whole document, so that an old version
# is found with at most this many reads.
CHECKPOINT_INTERVAL = 20
MAX_HISTORY_ENTRIES = 1_000

# Each member announces a new version to this many contacts and to the next member
# on the ring. Members that all announcements miss learn of it from a heartbeat.
NOTICE_FAN_OUT = 4
WATCHERS_PER_ZONE = 2
FETCH_TIMEOUT_S = 0.8
NOTICE_TIMEOUT_S = 1.0
# A member that is behind is told at most this often.
REMIND_INTERVAL_S = 1.0
RETRY_WAIT_S = 0.5
# A process that starts gives its peers this long before it serves an old version
# from a store that may answer stale.
START_TIMEOUT_S = 2.0


def history_key(version: int) -> str:
    """Return the key of a version's history entry."""
    return f"{HISTORY_PREFIX}{version}"
