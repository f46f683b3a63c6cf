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
REQUESTS_SHARE = 0.25


@dataclass(frozen=True)
class MemoryBudget:
    """Store how many bytes of memory each kind of load may take in one entry.

    `jobs_bytes` is for the jobs that the dispatcher holds, `connections_bytes` for the
    threads and buffers of open connections, and `requests_bytes` for the heads and
    bodies of requests in progress, with their copies and the objects decoded from them.
    """

    jobs_bytes: int
    connections_bytes: int
    requests_bytes: int


def divide_memory(memory_mb: int) -> MemoryBudget:
    """Return the budget of an entry with `memory_mb` MB of memory, 0 if not known.

    For example, 300 MB leave 59 MB for jobs, 35 MB for connections and 59 MB for
    requests.
    """
    total_bytes = (memory_mb or DEFAULT_MEMORY_MB) * 1024**2
    free_bytes = max(0, total_bytes - PROCESS_BYTES)
    return MemoryBudget(
        jobs_bytes=int(free_bytes * JOBS_SHARE),
        connections_bytes=int(free_bytes * CONNECTIONS_SHARE),
        requests_bytes=int(free_bytes * REQUESTS_SHARE),
    )
