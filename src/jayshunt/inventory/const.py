"""Define the intervals and timeouts of the inventory poller."""

POLL_INTERVAL_S = 2.0
CALL_TIMEOUT_S = 2.0
# A list older than this must not be the basis for taking a VM down.
STALE_AFTER_S = 60.0
