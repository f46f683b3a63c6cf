"""Define the sizes, times and names of a soak; times are seconds by default."""

HOST = "127.0.0.1"
POOLS = ("desk", "yard")
# The workers of this pool start whatever they are told to, beyond their capacity too.
UNGUARDED_POOL = "yard"
SPARE = "spare"
# Kinds of VMs, which are labels of their workers. Each pool starts with both.
KINDS = ("a", "b")
# The queue of this pool needs no key; entries must ignore keys sent there.
PUBLIC_POOL = "yard"
WORKSPACES = ("river", "mountain")
# Each configuration adds one key to each workspace and withdraws the oldest, so that
# this many are in force.
KEPT_VERSIONS = 4
QUEUE_HOST = "soak.example"

ENTRIES = 4
RACKS = 3
VMS_PER_RACK = 4
MILLICORES_PER_VM = 8_000
MEMORY_MB_PER_VM = 32_000

# Settings of the entries and the platform, shorter than on the users' sites so that
# a run is short.
HEARTBEAT_S = 0.5
MAX_MISSED_HEARTBEATS = 3
# How long a worker that crashed under a task is down.
CRASH_DOWN_S = 1.2
# How long a worker that starts again under its id is down.
RESTART_DOWN_S = (0.05, 0.6)
# How long new connections to a worker that starts again take from then on. Orders that
# wait for one reach the next incarnation.
CONNECT_DELAYS_S = (0.0, 0.25)
# How long entries are paused while workers start again, and how long these are down.
UNSEEN_PAUSE_S = 0.6
UNSEEN_DOWN_S = 0.1
# How long a worker is back before it is cut off, and for how long: also beyond the
# longest lease.
RECUT_BACK_S = (0.1, 3.0)
RECUT_CUT_S = (3.0, 12.0)
# How long calls to a worker that is down wait for its next incarnation.
KEPT_CALL_S = 2.0
# The clock of an incarnation begins anywhere below this.
MAX_CLOCK_MS = 9_000_000
# How late a worker carries out an order that it left unanswered, and the share of such
# orders.
LATE_ORDER_S = (0.3, 5.0)
LATE_ORDER_RATIO = 0.5
# How long a call on a connection to a former incarnation stays unanswered.
SILENT_CONNECTION_S = 10.0
# Capacities of shrunk workers relative to their full size.
SHRUNK_SHARES = (0.3, 0.05, 0.6)
# `contactMs` of the users' sites.
CONTACT_S = 3.0
# A worker that has shrunk may be filled to its former capacity for CONTACT_S and one
# heartbeat.
SHRINK_GRACE_S = CONTACT_S + HEARTBEAT_S
# Duration of the move of a VM to another pool.
MOVE_S = 0.6
# Setting `stopMs` of the entries, and how long a worker takes to stop a run.
STOP_MS = 200
STOP_TAKES_S = 0.18
# Longest lease of a worker.
HOLD_MAX_MS = 10_000
# How long a lasting task may be without a run in calm times, from when on after its
# last run, and how long it must have been calm before.
MAX_IDLE_S = 3.0
IDLE_COUNTS_AFTER_S = 6.0
CALM_BEFORE_S = 4.0
# Time without faults at the end: long enough for the rule on idle tasks, and 4 s more.
CALM_S = CALM_BEFORE_S + MAX_IDLE_S + 4.0
# Settings `configApplyMs` and `revokeMs` of the entries.
CONFIG_APPLY_S = 3.0
REVOKE_S = 5.0
# Setting `status_s` of the entries.
STATUS_S = 120

CALL_TIMEOUT_S = 3.0
RESTART_DELAY_S = 0.3
STOP_GRACE_S = 6.0
# Time in which every accepted job must end after the last fault. A worker that was
# unreachable delays its jobs by 10 s (HOLD_MAX_MS), and a holder's lease lasts 4 s.
SETTLE_TIMEOUT_S = 45.0
# The lowest rate of a worker's clock relative to the monotonic clock that the
# platform allows.
MIN_CLOCK_RATE = 0.98
