"""Prevent orders for one VM by two dispatchers shortly after each other.

A dispatcher stores the VMs of its last orders, with the workers that the orders end and
the age of each order, before it sends the next ones. Its successor gives no order for a
VM until its last order is old enough, may order all others at once, and knows which
listed workers were to end. A VM may have several stored orders, because each of its
past workers stays listed for some seconds.
"""

import json
import logging
from dataclasses import dataclass

from jayshunt.checked import describe_invalid
from jayshunt.dispatch.errors import TermEnded
from jayshunt.dispatch.record_models import STORED_ORDERS
from jayshunt.dispatch.records import ORDERED_KEY
from jayshunt.dispatch.store_models import Put
from jayshunt.errors import DECODE_ERRORS
from jayshunt.ids import Revision, VmId, WorkerId
from jayshunt.platform.store import PlatformStore

_LOGGER = logging.getLogger(__name__)

# Orders are stored for longer than the worker list keeps a silent worker, which is
# three heartbeats, 4.5 s.
ORDER_KEPT_S = 8.0


@dataclass(frozen=True, slots=True)
class VmOrder:
    """Represent an order for a VM: its monotonic time and the worker that it ends.

    An earlier dispatcher's order may be older than `at_s`, but not younger.
    """

    vm: VmId
    at_s: float
    worker: WorkerId | None


@dataclass
class RecentOrders:
    """Track the last orders of earlier dispatchers and of this one, oldest first.

    Orders for the VMs of `earlier` are blocked until `block_s` after their last order,
    and for all VMs until `unknown_until_s`.
    """

    block_s: float
    unknown_until_s: float = 0.0
    earlier: tuple[VmOrder, ...] = ()
    own: tuple[VmOrder, ...] = ()

    @classmethod
    def read(cls, store: PlatformStore, now_s: float, block_s: float) -> "RecentOrders":
        """Read the stored orders of earlier dispatchers.

        If they are malformed, any VM may have been ordered just now.
        """
        item = store.get(ORDERED_KEY)
        if item is None:
            return cls(block_s)
        try:
            return cls(block_s, earlier=_decode(item.value, now_s))
        except DECODE_ERRORS as error:
            _LOGGER.warning(
                "dispatch: ignoring malformed orders for VMs",
                extra={"reason": describe_invalid(error)},
            )
            return cls(block_s, unknown_until_s=now_s + block_s)

    def may_order(self, vm: VmId, now_s: float) -> bool:
        """Return whether an order for a VM may be sent."""
        return vm not in self.blocked(now_s)

    def blocked(self, now_s: float) -> set[VmId]:
        """Return the VMs that an earlier dispatcher ordered too recently."""
        return {order.vm for order in self.earlier if now_s < order.at_s + self.block_s}

    def ends_worker(self, worker: WorkerId) -> bool:
        """Return whether an earlier dispatcher recorded an order that ends a worker."""
        return any(order.worker == worker for order in self.earlier)

    def write(
        self,
        store: PlatformStore,
        condition: dict[str, Revision],
        ordered: dict[VmId, WorkerId | None],
        now_s: float,
    ) -> None:
        """Store that orders for these VMs are about to be sent.

        Raise JayshuntError if the write failed or its outcome is unknown, and
        TermEnded if the term's key changed; no order may be sent then.
        """
        new = tuple(VmOrder(vm, now_s, worker) for vm, worker in ordered.items())
        self.own = tuple(
            order for order in self.own if now_s - order.at_s <= ORDER_KEPT_S
        )
        self.own += new
        earlier = (o for o in self.earlier if now_s - o.at_s <= ORDER_KEPT_S)
        value = _encode((*earlier, *self.own), now_s)
        result = store.transact(condition, (Put(ORDERED_KEY, value),))
        if result.revision is None:
            raise TermEnded("the term's key changed before orders for VMs")


def _encode(orders: tuple[VmOrder, ...], now_s: float) -> bytes:
    """Return JSON rows of VM, worker and age in seconds; "" is an unknown worker."""
    rows = [
        [order.vm, order.worker or "", round(max(0.0, now_s - order.at_s), 2)]
        for order in orders
    ]
    return json.dumps(rows).encode()


def _decode(value: bytes, read_s: float) -> tuple[VmOrder, ...]:
    """Return the stored orders; their age was measured before the read.

    A row of an entry of the previous version has no age and counts as new.
    """
    return tuple(
        VmOrder(VmId(vm), read_s - (age[0] if age else 0.0), WorkerId(worker) or None)
        for vm, worker, *age in STORED_ORDERS.validate_json(value, strict=True)
    )
