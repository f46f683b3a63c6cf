"""Name the limits of the inventory poller."""

POLL_INTERVAL_S = 2.0
CALL_TIMEOUT_S = 2.0
# Past this age the list no longer supports a decision to take a VM down.
STALE_AFTER_S = 60.0
