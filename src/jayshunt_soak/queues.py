"""Record the queues of each version of the configuration."""

from dataclasses import dataclass


@dataclass(frozen=True)
class StoredQueues:
    """Record to which pool one version of the configuration sends each queue.

    `stored_s` is a time in monotonic seconds before the version was stored. Queues are
    named after the pool that they had first.
    """

    stored_s: float
    pools: dict[str, str]
