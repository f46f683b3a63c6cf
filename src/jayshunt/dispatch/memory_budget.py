"""Divide the memory of an entry's VM between what callers can make it hold.

The platform ends a process that exceeds `limits.memoryMb`, so that every limit on what
clients can make an entry hold is derived here from that setting. `docs/reference.md`
lists the shares.
"""

from dataclasses import dataclass

# Used where the settings do not name the memory.
DEFAULT_MEMORY_MB = 300
# The interpreter, the libraries and the code of an entry that holds nothing.
PROCESS_BYTES = 64 * 1024**2
# Shares of what is left. The rest is for workers, lists of the store and logs, and for
# memory that the allocator does not return.
JOBS_SHARE = 0.25
CONNECTIONS_SHARE = 0.15
PEER_CONNECTIONS_SHARE = 0.1
REQUESTS_SHARE = 0.25
# An open connection: its thread and objects (22 KB), the kernel's buffer of unread
# bytes (16 KB), that of another connection that waits to be accepted, up to 12 KB of a
# head or of pipelined requests, and what is parsed from a head of usual size.
CONNECTION_BYTES = 80 * 1024
# Other entries keep connections to the dispatcher and wait for each answer, so that
# nothing is pipelined.
PEER_CONNECTION_BYTES = 40 * 1024
# Used where the settings do not name the descriptors. The platform reserves some of
# them for files. The rest is shared by open connections, idle connections to workers
# and calls in flight.
DEFAULT_MAX_FDS = 4_100
RESERVED_FDS = 200
CONNECTION_FDS_SHARE = 0.35
PEER_FDS_SHARE = 0.15
WORKER_FDS_SHARE = 0.45
# An open connection, and a call to the store or the dispatcher for its request: curl
# takes two descriptors besides the connection.
FDS_PER_CONNECTION = 4


@dataclass(frozen=True, slots=True)
class ServerShare:
    """Store which parts of the connections and of the memory one server may use.

    The connections of the peers' server are counted apart, as each entry has some.
    """

    connections: float
    requests: float


CALLERS_SHARE = ServerShare(connections=0.85, requests=0.7)
READINESS_SHARE = ServerShare(connections=0.15, requests=0.05)
PEERS_SHARE = ServerShare(connections=0.0, requests=0.25)
# Below this, health checks, tools and peers could not call at the same time.
MIN_CONNECTIONS = 12


@dataclass(frozen=True)
class MemoryBudget:
    """Store how many bytes of memory each kind of load may take in one entry.

    `jobs_bytes` is for the jobs that the dispatcher holds, `connections_bytes` for the
    threads and buffers of open connections, `peer_connections_bytes` for those of other
    entries, and `requests_bytes` for the heads and bodies of requests in progress, with
    their copies and the objects decoded from them.
    """

    jobs_bytes: int
    connections_bytes: int
    peer_connections_bytes: int
    requests_bytes: int


def divide_memory(memory_mb: int) -> MemoryBudget:
    """Return the budget of an entry with `memory_mb` MB of memory, 0 if not known.

    For example, 300 MB leave 59 MB for jobs, 35 MB and 23 MB for connections and 59 MB
    for requests.
    """
    total_bytes = (memory_mb or DEFAULT_MEMORY_MB) * 1024**2
    free_bytes = max(0, total_bytes - PROCESS_BYTES)
    return MemoryBudget(
        jobs_bytes=int(free_bytes * JOBS_SHARE),
        connections_bytes=int(free_bytes * CONNECTIONS_SHARE),
        peer_connections_bytes=int(free_bytes * PEER_CONNECTIONS_SHARE),
        requests_bytes=int(free_bytes * REQUESTS_SHARE),
    )


def max_connections(budget: MemoryBudget, max_fds: int, share: ServerShare) -> int:
    """Return how many connections a server may have; `max_fds` is 0 if not known.

    For example, with 300 MB and 4,100 descriptors the callers' server may have 289, and
    the peers' server 585.
    """
    if share is PEERS_SHARE:
        by_memory = budget.peer_connections_bytes // PEER_CONNECTION_BYTES
        fds = int(_shared_fds(max_fds) * PEER_FDS_SHARE)
        return max(MIN_CONNECTIONS, min(by_memory, fds))
    fds = int(_shared_fds(max_fds) * CONNECTION_FDS_SHARE)
    by_memory = budget.connections_bytes // CONNECTION_BYTES
    total = min(by_memory, fds // FDS_PER_CONNECTION)
    return max(MIN_CONNECTIONS, int(total * share.connections))


def max_idle_worker_connections(max_fds: int) -> int:
    """Return how many idle connections to workers may be kept."""
    return int(_shared_fds(max_fds) * WORKER_FDS_SHARE)


def max_request_bytes(budget: MemoryBudget, share: ServerShare) -> int:
    """Return how many bytes of memory the requests at a server may take."""
    return int(budget.requests_bytes * share.requests)


def _shared_fds(max_fds: int) -> int:
    return max(0, (max_fds or DEFAULT_MAX_FDS) - RESERVED_FDS)
