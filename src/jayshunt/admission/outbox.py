"""Take messages for a stream out of its queue."""

import queue

from jayshunt.admission.const import STREAM_BATCH


def take_batch(outbox: queue.SimpleQueue) -> list:
    """Wait for one message and return it with those that wait behind it."""
    items = [outbox.get()]
    while len(items) < STREAM_BATCH:
        try:
            items.append(outbox.get_nowait())
        except queue.Empty:
            break
    return items
