"""Define store keys, intervals and limits of the configuration."""

CURRENT_KEY = "config/current"
HISTORY_PREFIX = "config/history/"
# Every history entry whose version is a multiple of this holds the whole document,
# so that any old version is reconstructed with at most this many reads.
CHECKPOINT_INTERVAL = 20
MAX_HISTORY_ENTRIES = 1_000

# Each member announces a new version to this many contacts and to the next member on
# the heartbeat ring. A member that receives no announcement learns of it from a
# heartbeat.
NOTICE_FAN_OUT = 4
WATCHERS_PER_ZONE = 2
FETCH_TIMEOUT_S = 0.8
NOTICE_TIMEOUT_S = 1.0
# Minimum interval between notices to a member whose heartbeats report an old version.
REMIND_INTERVAL_S = 1.0
RETRY_WAIT_S = 0.5
# How long a starting process waits for a version from its peers. The store may return
# a stale version, which the process would otherwise serve.
START_TIMEOUT_S = 2.0


def history_key(version: int) -> str:
    """Return the key of a version's history entry."""
    return f"{HISTORY_PREFIX}{version}"
