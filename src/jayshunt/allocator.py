"""Configure the C library's allocator so that memory is returned after a load."""

import ctypes
import logging

_LOGGER = logging.getLogger(__name__)

# From glibc's malloc.h, the same on all architectures.
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
# Each arena keeps its own free memory, and by default there are eight for each core.
MAX_ARENAS = 2
# Larger blocks, such as bodies, are returned when they are freed. glibc would raise
# this threshold as soon as it has freed such a block.
MMAP_THRESHOLD_BYTES = 128 * 1024


def limit_free_memory() -> bool:
    """Limit the free memory that the allocator keeps; return whether it could.

    To be called before threads start. Does nothing without glibc.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        _LOGGER.info("allocator: the C library has no mallopt")
        return False
    options = ((M_ARENA_MAX, MAX_ARENAS), (M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES))
    return all([mallopt(option, value) == 1 for option, value in options])
