"""Define the intervals, timeouts and limits of membership."""

HEARTBEAT_INTERVAL_S = 0.5
MONITOR_COUNT = 3
# A member's monitors are among this many successors on the ring, so the members that
# it monitors are among this many predecessors, without a scan of the whole ring.
RING_WINDOW = 12
STEP_INTERVAL_S = 0.2

# A process that pauses for 1 s leaves at most 1.5 s between two heartbeats, which
# causes no suspicion. A loss is declared after 2.4 s, so that one more step and the
# gossip of the loss fit within the goal of 3 s.
SUSPECT_AFTER_S = 1.6
LOST_AFTER_S = 2.4
# Probes start early enough for a first answer to arrive before the suspicion.
# Evidence from another monitor is at most 1.4 s old (one heartbeat interval, one
# probe interval and the call), which is less than SUSPECT_AFTER_S.
PROBE_AFTER_S = 1.2
PROBE_INTERVAL_S = 0.8
PROBE_TIMEOUT_S = 0.4
# A new monitor suspects a member at the earliest this long after its assignment: the
# member first has to receive the change and to connect to the monitor.
NEW_MONITOR_GRACE_S = 2.0
# A suspicion that is not refuted within this time becomes a loss, also on members
# that missed the monitors' update: 1.6 s without heartbeats, the gossip of the
# suspicion and this timeout stay within 3 s. A refutation needs two rounds of gossip
# through the deployment, which take a few tenths of a second.
SUSPECT_TIMEOUT_S = 1.2
# Each member with a suspicion of this age sends it to the suspect once, in case the
# gossip did not reach the suspect.
SUSPECT_NOTIFY_AFTER_S = 0.5
# A step that is late by at least this shows that this process itself was paused.
PAUSE_THRESHOLD_S = 0.5

EXCHANGE_INTERVAL_S = 5.0
# A member that knows no other member contacts its seeds at this shorter interval, so
# that a start does not wait for a whole exchange interval.
JOIN_INTERVAL_S = 0.25
# Lost members and seeds are contacted at this interval so that both sides of a healed
# partition find each other again.
RECONTACT_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 1.0
# A contact in another region is suspected after this many successive failed exchanges.
REGION_FAILURE_THRESHOLD = 2

# Each member sends updates and configuration notices to a set of this many contacts,
# which changes only when a member joins or is lost.
CONTACT_COUNT = 8
# Updates are forwarded to this many random contacts and to the successor on the ring.
# Random targets alone miss some members (a fraction of e^-3 with three targets); each
# of those receives the update from its predecessor.
GOSSIP_FAN_OUT = 3
# Digests differ briefly while updates spread; only this many successive heartbeats
# with a different digest start an exchange.
DIGEST_MISMATCH_THRESHOLD = 2

# A lost member stays listed this long. After that only its last record is kept, as a
# tombstone, so that outdated updates do not add it again.
FORGET_AFTER_S = 600.0
MAX_TOMBSTONES = 1024

STREAM_RETRY_S = 0.5
# A monitor that receives no heartbeats repeats its probe every PROBE_INTERVAL_S; a new
# stream gets this long to deliver heartbeats before it is replaced again.
RECONNECT_INTERVAL_S = 3.0
