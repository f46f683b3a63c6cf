"""Keep two holders from giving orders for one VM shortly after each other.

The VMs of a holder's last orders are stored before the orders go out. A successor
leaves just these alone for a while and may act on all others at once.
"""

import json
from dataclasses import dataclass, field

from jayshunt.dispatch.errors import TermOver
from jayshunt.dispatch.models import Put
from jayshunt.dispatch.records import ORDERED_KEY
from jayshunt.ids import Revision, VmId
from jayshunt.platform.store import PlatformStore


@dataclass
class RecentOrders:
    """Hold the VMs that an earlier holder ordered, and the own last orders."""

    turn_s: float
    left_alone: frozenset[VmId] = frozenset()
    left_alone_until_s: float = 0.0
    ordered_s: dict[VmId, float] = field(default_factory=dict)

    @classmethod
    def read(cls, store: PlatformStore, now_s: float, turn_s: float) -> "RecentOrders":
        """Read the last orders of the earlier holder."""
        item = store.get(ORDERED_KEY)
        vms = [] if item is None else json.loads(item.value)
        return cls(turn_s, frozenset(VmId(vm) for vm in vms), now_s + turn_s)

    def may_order(self, vm: VmId, now_s: float) -> bool:
        """Return whether an order for a VM may go out."""
        return vm not in self.left_alone or now_s >= self.left_alone_until_s

    def write(
        self,
        store: PlatformStore,
        condition: dict[str, Revision],
        vms: list[VmId],
        now_s: float,
    ) -> None:
        """Store that orders for these VMs are about to go out.

        Raise JayshuntError if that is not certain: then no order may go out.
        """
        for vm in vms:
            self.ordered_s[vm] = now_s
        recent = [
            vm
            for vm, ordered_s in self.ordered_s.items()
            if now_s - ordered_s <= self.turn_s
        ]
        if now_s < self.left_alone_until_s:
            recent += [vm for vm in self.left_alone if vm not in recent]
        self.ordered_s = {vm: self.ordered_s.get(vm, now_s) for vm in recent}
        value = json.dumps(sorted(recent)).encode()
        result = store.transact(condition, (Put(ORDERED_KEY, value),))
        if result.revision is None:
            raise TermOver("the term's key changed before orders for VMs")
