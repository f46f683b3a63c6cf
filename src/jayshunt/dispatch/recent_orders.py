"""Keep two holders from giving orders for one VM shortly after each other.

The VMs of a holder's last orders are stored before the orders go out, with the
workers that they end. A successor leaves just these VMs alone for a while, may act
on all others at once, and knows which listed workers have gone.
"""

import json
from dataclasses import dataclass, field

from jayshunt.dispatch.errors import TermOver
from jayshunt.dispatch.records import ORDERED_KEY
from jayshunt.dispatch.store_models import Put
from jayshunt.ids import Revision, VmId, WorkerId
from jayshunt.platform.store import PlatformStore

# The list of workers keeps one that went silent for three heartbeats, 4.5 s.
ENDED_KEPT_S = 8.0


@dataclass(frozen=True, slots=True)
class VmOrder:
    """Hold when a VM was ordered, in steady seconds, and the worker it ends."""

    at_s: float
    worker: WorkerId | None


@dataclass
class RecentOrders:
    """Hold the last orders of earlier holders and the own ones."""

    turn_s: float
    left_alone_until_s: float = 0.0
    earlier: dict[VmId, VmOrder] = field(default_factory=dict)
    own: dict[VmId, VmOrder] = field(default_factory=dict)

    @classmethod
    def read(cls, store: PlatformStore, now_s: float, turn_s: float) -> "RecentOrders":
        """Read the last orders of earlier holders."""
        item = store.get(ORDERED_KEY)
        fields = {} if item is None else json.loads(item.value)
        earlier = {
            VmId(vm): VmOrder(now_s, WorkerId(worker) if worker else None)
            for vm, worker in fields.items()
        }
        return cls(turn_s, now_s + turn_s, earlier)

    def may_order(self, vm: VmId, now_s: float) -> bool:
        """Return whether an order for a VM may go out."""
        return vm not in self.earlier or now_s >= self.left_alone_until_s

    def has_ended(self, worker: WorkerId) -> bool:
        """Return whether an earlier holder was about to end a worker."""
        return any(order.worker == worker for order in self.earlier.values())

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
        for vm, worker in ordered.items():
            self.own[vm] = VmOrder(now_s, worker)
        recent = {
            vm: order.worker
            for vm, order in {**self.earlier, **self.own}.items()
            if now_s - order.at_s <= ENDED_KEPT_S
        }
        self.own = {vm: order for vm, order in self.own.items() if vm in recent}
        value = json.dumps(recent, sort_keys=True).encode()
        result = store.transact(condition, (Put(ORDERED_KEY, value),))
        if result.revision is None:
            raise TermOver("the term's key changed before orders for VMs")
