"""Define limits of job dispatch; times are in seconds."""

# The dispatcher's lease in the store. It outlasts a store outage of 5.5 s. Other
# entries suspect and replace an unresponsive dispatcher before the lease expires.
TERM_LEASE_S = 7.0
# A dispatcher whose renewals stalled for longer was suspended; it attempts a renewal
# before it gives further orders. It is below suspicion.SUSPECT_AFTER_S, after which
# other entries may have ended its term.
RENEW_STALL_S = 1.9
TERM_RENEW_S = 0.8
# A renewal that took longer, of which 1.2 s are the timeout of the call, may have been
# interrupted by a suspension, and its answer may be older than the end of the term.
MAX_RENEWAL_S = 1.5
# The rates of the platform's clocks may differ by 2%.
CLOCK_SKEW = 0.02
# Subtracted from the time for which the dispatcher relies on its lease.
TERM_MARGIN_S = 0.25
CANDIDATE_RETRY_S = 0.3
# A predecessor whose lease expired, or that gave up its term, sends no more calls;
# its last calls may still arrive within this time.
PREDECESSOR_IN_FLIGHT_S = 1.0

# A wait for a worker of an earlier term is logged after this time. Workers that can be
# reached answer sooner.
LOGGED_WAIT_S = 1.0
# A stored start is sent only this long after it was placed or the term was renewed. A
# dispatcher that reaches no store may act beside its successor for longer.
STORED_START_VALID_S = 1.0
# A call that finds its worker down may reach the worker's next life this late.
LATE_CALL_S = 2.0
# Counted instead for a start without an answer while the worker's VM is listed, so that
# the worker may start again under its id.
HELD_START_S = 4.0
# The VM list may show the state of this long before it was requested.
VM_LIST_LAG_S = 1.0
# A worker that no VM list of the term has named may have joined its VM this long before
# a list shows it.
VM_LIST_JOIN_LAG_S = 3.0

# A worker's lease outlasts a takeover on suspicion after a dispatcher is lost without
# notice (see suspicion.py), but not one that waits for the term's lease to expire.
WORKER_LEASE_S = 5.5
# The fraction of the configured longest worker lease that is used.
MAX_LEASE_FRACTION = 0.95
# Added to the end of a worker's lease before it counts as expired.
LEASE_MARGIN_S = 0.3
POLL_WAIT_S = 1.0
POLL_TIMEOUT_SLACK_S = 0.7
POLL_RETRY_S = 0.25
ORDER_TIMEOUT_S = 0.7
# Changes of jobs' progress are collected for this long unless there are enough for a
# full write (commits.JOBS_PER_COMMIT).
COMMIT_BATCH_S = 0.03
# The store accepts 32 items per call, conditions and writes together. One is the
# condition on the term; the others are two for each job, so at most this many.
MAX_PUTS_PER_COMMIT = 30

# How often the dispatcher polls the store for jobs it was not notified of.
INTAKE_POLL_S = 0.7
WORKER_LIST_WAIT_S = 1.0
WORKER_LIST_REFRESH_S = 4.0
CONFIG_WATCH_S = 1.5
TERM_WATCH_S = 1.5
# How often the VM list is read while VMs are emptied or moving or workers are silent,
# and otherwise.
MACHINES_POLL_S = 1.0
MACHINES_IDLE_POLL_S = 3.0

# How long a call to the dispatcher may wait in an entry while there is none.
DISPATCHER_WAIT_S = 1.6
PEER_CALL_TIMEOUT_S = 0.6
STATUS_INTERVAL_S = 0.4
# Pause between unanswered polls of the dispatcher, which shows its loss sooner.
SILENT_INTERVAL_S = 0.1
# An entry that has reached neither the store nor the dispatcher for this long is
# isolated: it is not ready and refuses new jobs at once.
ISOLATED_AFTER_S = 1.5
NOTIFY_RETRY_S = 0.2
ACCEPT_TIMEOUT_S = 2.4
DEFAULT_RETRY_AFTER_S = 1

# A worker gets no new runs for SET_ASIDE_S when runs of this many different jobs
# have failed on it without a success in between.
FAILURES_SET_ASIDE = 3
SET_ASIDE_S = 12.0
# A worker is slow if the ratio of duration to estimate of each of its last
# speeds.MIN_RUNS runs exceeds the median of all workers by this factor.
SLOW_FACTOR = 3.0

# Finished jobs are kept this long beyond the retention time in the settings.
RETENTION_MARGIN_S = 60.0
RETENTION_CHECK_S = 1.0
