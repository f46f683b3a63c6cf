"""Collect queued messages of a stream into batches."""

import queue

from jayshunt.admission.const import STREAM_BATCH


def take_batch(outbox: queue.SimpleQueue) -> list:
    """Wait for a message and return it with those queued behind it, in a batch."""
    items = [outbox.get()]
    while len(items) < STREAM_BATCH:
        try:
            items.append(outbox.get_nowait())
        except queue.Empty:
            break
    return items
