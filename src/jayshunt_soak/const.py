"""Name the sizes, times and names of a soak; times are seconds unless named."""

HOST = "127.0.0.1"
POOLS = ("desk", "yard")
SPARE = "spare"
QUEUE_HOST = "soak.example"

ENTRIES = 4
RACKS = 3
VMS_PER_RACK = 4
CORES_PER_VM = 8_000
MEMORY_MB_PER_VM = 32_000

# The rules' own figures, shorter than on the users' sites so that a run is short.
HEARTBEAT_S = 0.5
SILENT_BEATS = 3
MOVE_S = 0.6
STOP_MS = 200
HOLD_MAX_MS = 10_000
STATUS_S = 120

CALL_TIMEOUT_S = 3.0
RESTART_S = 0.3
GRACE_S = 6.0
# After the last fault every accepted job has this long to end. A worker that was
# out of reach holds its jobs back for 10 s, a holder's lease runs 4 s.
SETTLE_S = 45.0
# The slowest clock of a worker against the steady clock, as the platform allows.
SLOWEST_CLOCK = 0.98
