"""Name the limits of the dispatch of jobs; times are seconds unless named."""

# The dispatcher's lease in the store. It bridges an outage of the store of 5.5 s; a
# silent holder is replaced earlier, by suspicion of the other entries.
TERM_LEASE_S = 7.0
# A holder whose renewals stalled for longer was suspended, and asks the store first.
RENEW_STALL_S = 2.3
TERM_RENEW_S = 0.8
# The platform's clocks may differ by 2% in speed.
CLOCK_SKEW = 0.02
TERM_MARGIN_S = 0.25
CANDIDATE_RETRY_S = 0.3
# A predecessor whose lease ran out, or that gave up, acts no longer; its last calls
# may still arrive within this time.
PREDECESSOR_IN_FLIGHT_S = 1.0

# A lease on a worker outlives the change to a successor after a silent loss.
WORKER_LEASE_S = 5.5
# The longest lease a worker grants is a setting; this part of it is used.
MAX_LEASE_FRACTION = 0.95
LEASE_MARGIN_S = 0.3
POLL_WAIT_S = 1.0
POLL_TIMEOUT_SLACK_S = 0.7
POLL_RETRY_S = 0.25
ORDER_TIMEOUT_S = 0.7
# Ends are stored in one write for all jobs that had one in this time.
COMMIT_BATCH_S = 0.03
# The store takes 32 entries a call; one is the condition on the term.
MAX_PUTS_PER_COMMIT = 30

# How often the holder looks for jobs that no entry told it of.
INTAKE_POLL_S = 0.7
WORKER_LIST_WAIT_S = 1.0
WORKER_LIST_REFRESH_S = 4.0
CONFIG_WATCH_S = 1.5
TERM_WATCH_S = 1.5
MACHINES_POLL_S = 1.0
MACHINES_IDLE_POLL_S = 3.0

# An entry holds a call for the dispatcher this long while there is none.
DISPATCHER_WAIT_S = 1.6
PEER_CALL_TIMEOUT_S = 0.6
STATUS_INTERVAL_S = 0.4
NOTIFY_RETRY_S = 0.2
ACCEPT_TIMEOUT_S = 2.4
DEFAULT_RETRY_AFTER_S = 1

# A worker is set aside when this many of its last runs failed, over several jobs.
FAILURES_SET_ASIDE = 3
SET_ASIDE_S = 12.0
# A run far over its estimate on one worker, while others of its step ended, marks
# the worker as slow.
SLOW_FACTOR = 3.0

# Finished jobs are readable for the time in the settings and this long after it.
RETENTION_MARGIN_S = 60.0
RETENTION_CHECK_S = 10.0
