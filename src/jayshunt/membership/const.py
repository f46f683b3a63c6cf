"""Name the periods and limits of membership."""

HEARTBEAT_INTERVAL_S = 0.5
MONITOR_COUNT = 3
# Monitors are chosen from this many successors on the ring, so that a member finds
# whom it monitors without looking at the whole ring.
RING_WINDOW = 12
STEP_INTERVAL_S = 0.2

# A pause of 1 s leaves at most 1.5 s between two heartbeats, which causes no
# suspicion. A loss is declared at 2.4 s, so that one more step and the spreading
# of the news fit in the 3 s goal.
SUSPECT_AFTER_S = 1.6
LOST_AFTER_S = 2.4
# Probes start early enough for a first answer before the suspicion. Evidence from
# another monitor is at most one heartbeat, one probe interval and the call old
# (1.4 s), which is less than SUSPECT_AFTER_S.
PROBE_AFTER_S = 1.2
PROBE_INTERVAL_S = 0.8
PROBE_TIMEOUT_S = 0.4
# A member that got a new monitor first has to learn of it and to connect.
NEW_MONITOR_GRACE_S = 2.0
# A suspicion that nobody refuted ends as a loss, also at members that missed the
# monitors' verdict: 1.6 s of silence, the spread of the suspicion and this time stay
# within 3 s. A refutation takes two spreads of news, a few tenths of a second.
SUSPECT_TIMEOUT_S = 1.2
# Each member that still holds a suspicion tells the suspect itself once, in case
# that the news missed it.
SUSPECT_NOTIFY_AFTER_S = 0.5
# A step that runs later than this shows that this process itself was paused.
PAUSE_THRESHOLD_S = 0.5

EXCHANGE_INTERVAL_S = 5.0
# While a member knows nobody else it asks its seeds more often, so that a start
# does not wait for a whole exchange interval.
JOIN_INTERVAL_S = 0.25
# Lost members are contacted again so that both sides of a healed partition meet.
RECONTACT_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 1.0
# Exchanges with a contact in another region that fail in a row before it is suspected.
REGION_FAILURE_THRESHOLD = 2

# News and configuration notices go to members of this set, which stays the same
# while its members live.
CONTACT_COUNT = 8
# News is forwarded to this many contacts and to the next member on the ring. Random
# targets alone miss some members (e^-3 with three); each of those gets the news from
# its predecessor.
GOSSIP_FAN_OUT = 3
# While news spreads, digests differ for a moment; only a lasting difference
# starts an exchange.
DIGEST_MISMATCH_THRESHOLD = 2

# A lost member stays visible this long, then only its last incarnation is kept so
# that old news does not bring it back.
FORGET_AFTER_S = 600.0
MAX_TOMBSTONES = 1024

STREAM_RETRY_S = 0.5
# A monitor that hears nothing repeats its probe each PROBE_INTERVAL_S; a new stream
# gets this long to be heard before it is replaced again.
RECONNECT_INTERVAL_S = 3.0
