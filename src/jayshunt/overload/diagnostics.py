"""Log and describe the decisions under overload."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from jayshunt.dispatch.free_capacity import CandidateWorker
from jayshunt.ids import PoolName
from jayshunt.overload.models import PoolRoom
from jayshunt.overload.service_order import ServiceOrder

_LOGGER = logging.getLogger(__name__)

LOG_INTERVAL_S = 1.0


def rooms_of(
    candidates: dict[PoolName, Iterable[CandidateWorker]],
) -> dict[PoolName, PoolRoom]:
    """Return the cores and free cores of the candidate workers of each pool."""
    rooms: dict[PoolName, PoolRoom] = {}
    for pool, workers in candidates.items():
        cores = sum(w.worker.capacity.cpu_millicores for w in workers) / 1000
        free = sum(max(0, w.free.cpu_millicores) for w in workers) / 1000
        rooms[pool] = PoolRoom(cores, free)
    return rooms


@dataclass
class OrderLog:
    """Log how waiting jobs can still end, at most once a second, if not all safely."""

    _next_s: float = 0.0

    def write(self, order: ServiceOrder, now_s: float) -> None:
        """Log the counts of a round."""
        counts = order.prospects
        if now_s < self._next_s or not any(list(counts.values())[1:]):
            return
        self._next_s = now_s + LOG_INTERVAL_S
        _LOGGER.info(
            "overload: prospects of waiting jobs",
            extra={prospect.name.lower(): n for prospect, n in counts.items()},
        )


def describe_order(order: ServiceOrder | None) -> dict | None:
    """Return the state of the service order for the state dump, None if it is off."""
    if order is None:
        return None
    return {
        "prospects": {p.name.lower(): n for p, n in order.prospects.items()},
        "shares": {
            "/".join(map(str, key)): round(count.share, 3)
            for key, count in order.shares.counts.items()
        },
    }
