"""Keep two holders from giving orders for one VM shortly after each other.

The VMs of a holder's last orders are stored before the orders go out, with the
workers that they end. A successor leaves just these VMs alone for a while, may act
on all others at once, and knows which listed workers have gone. A VM may be ordered
twice within that time: each of its workers stays listed for some seconds.
"""

import json
from dataclasses import dataclass

from jayshunt.dispatch.errors import TermOver
from jayshunt.dispatch.records import ORDERED_KEY
from jayshunt.dispatch.store_models import Put
from jayshunt.ids import Revision, VmId, WorkerId
from jayshunt.platform.store import PlatformStore

# The list of workers keeps one that went silent for three heartbeats, 4.5 s.
ORDER_KEPT_S = 8.0


@dataclass(frozen=True, slots=True)
class VmOrder:
    """Hold when a VM was ordered, in steady seconds, and the worker it ends."""

    vm: VmId
    at_s: float
    worker: WorkerId | None


@dataclass
class RecentOrders:
    """Hold the last orders of earlier holders and the own ones, the oldest first."""

    block_s: float
    blocked_until_s: float = 0.0
    earlier: tuple[VmOrder, ...] = ()
    own: tuple[VmOrder, ...] = ()

    @classmethod
    def read(cls, store: PlatformStore, now_s: float, block_s: float) -> "RecentOrders":
        """Read the last orders of earlier holders."""
        item = store.get(ORDERED_KEY)
        earlier = () if item is None else _decode(item.value, now_s)
        return cls(block_s, now_s + block_s, earlier)

    def may_order(self, vm: VmId, now_s: float) -> bool:
        """Return whether an order for a VM may go out."""
        return vm not in self.blocked(now_s)

    def blocked(self, now_s: float) -> set[VmId]:
        """Return the VMs that are left alone, as an earlier holder ordered them."""
        if now_s >= self.blocked_until_s:
            return set()
        return {order.vm for order in self.earlier}

    def has_ended(self, worker: WorkerId) -> bool:
        """Return whether an earlier holder was about to end a worker."""
        return any(order.worker == worker for order in self.earlier)

    def write(
        self,
        store: PlatformStore,
        condition: dict[str, Revision],
        ordered: dict[VmId, WorkerId | None],
        now_s: float,
    ) -> None:
        """Store that orders for these VMs are about to go out.

        Raise JayshuntError if that is not certain: then no order may go out.
        """
        new = tuple(VmOrder(vm, now_s, worker) for vm, worker in ordered.items())
        self.own = tuple(
            order for order in self.own if now_s - order.at_s <= ORDER_KEPT_S
        )
        self.own += new
        earlier = (o for o in self.earlier if now_s - o.at_s <= ORDER_KEPT_S)
        value = _encode((*earlier, *self.own))
        result = store.transact(condition, (Put(ORDERED_KEY, value),))
        if result.revision is None:
            raise TermOver("the term's key changed before orders for VMs")


def _encode(orders: tuple[VmOrder, ...]) -> bytes:
    """Return rows of VM and worker; a worker is empty if none was known."""
    return json.dumps([[order.vm, order.worker or ""] for order in orders]).encode()


def _decode(value: bytes, read_s: float) -> tuple[VmOrder, ...]:
    """Return stored orders as if they were given when they were read."""
    rows = json.loads(value)
    if isinstance(rows, dict):
        # The version before kept one worker for each VM.
        rows = rows.items()
    return tuple(
        VmOrder(VmId(vm), read_s, WorkerId(worker) if worker else None)
        for vm, worker in rows
    )
