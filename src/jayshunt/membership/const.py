"""Name the periods and limits of membership."""

EXCHANGE_INTERVAL_S = 5.0
# While a member knows nobody else it asks its seeds more often, so that a start
# does not wait for a whole exchange interval.
JOIN_INTERVAL_S = 0.25
CALL_TIMEOUT_S = 1.0
# News is forwarded to this many random members; the digest in each heartbeat
# finds the few that it misses.
NEWS_FAN_OUT = 3
