"""Grant permits to take VMs down, counting a pool's VMs in all zones."""

import logging
from collections.abc import Callable

from jayshunt.clock import Clock
from jayshunt.errors import JayshuntError
from jayshunt.ids import Epoch, PoolName, VmId, ZoneName
from jayshunt.inventory.const import STALE_AFTER_S
from jayshunt.inventory.models import VmList
from jayshunt.maintenance.budget import (
    permit_content,
    read_budget,
    refusal_reason,
    report_content,
)
from jayshunt.maintenance.const import budget_key
from jayshunt.maintenance.models import Budget, Permit, PermitDenied, ZoneReport
from jayshunt.store.documents import Content, DocumentStore

_LOGGER = logging.getLogger(__name__)


class PermitLedger:
    """Add and remove permits in a pool's budget document by compare-and-swap.

    `fence` returns the fencing epoch of the zone's controller in this process,
    or None if it is not controller. A permit is granted before the VM's
    assignment changes and released after the VM serves again, so the budget never
    counts fewer VMs as down than there are.
    """

    def __init__(
        self,
        documents: DocumentStore,
        list_vms: Callable[[], VmList],
        min_ratio: Callable[[PoolName], float],
        fence: Callable[[], Epoch | None],
        clock: Clock,
    ) -> None:
        """Create a ledger on the stored budgets."""
        self._documents = documents
        self._list_vms = list_vms
        self._min_ratio = min_ratio
        self._fence = fence
        self._clock = clock

    def request(
        self, pool: PoolName, zone: ZoneName, vm: VmId, reason: str
    ) -> Permit | PermitDenied:
        """Request a permit to take one VM down.

        A repeated request by the same controller returns the same permit; a new
        controller gets a permit that replaces that of its predecessor.
        """
        fence, now_s, listed = self._fence(), self._clock.now_s(), self._list_vms()
        if fence is None:
            return PermitDenied(pool, vm, "not_controller", "the lease is not held")
        if now_s - listed.as_of_s > STALE_AFTER_S:
            age_s = now_s - listed.as_of_s
            return PermitDenied(
                pool, vm, "list_stale", f"the platform's list is {age_s:.0f} s old"
            )
        permit = Permit(pool, vm, zone, fence, reason, now_s)
        denied = ""

        def change(content: Content | None) -> Content | None:
            nonlocal denied, permit
            budget = read_budget(content)
            held = budget.permits.get(vm)
            denied = ""
            if held is None:
                denied = refusal_reason(
                    budget, pool, vm, self._min_ratio(pool), listed, now_s
                )
            elif held.fence > fence:
                denied = f"a newer controller holds the permit of {vm}"
            elif held.fence == fence:
                permit = held
                return None
            if denied:
                return None
            return _set_item(content, "permits", vm, permit_content(permit))

        try:
            self._documents.update(budget_key(pool), change)
        except JayshuntError as error:
            return PermitDenied(pool, vm, error.code, str(error))
        if denied:
            return PermitDenied(pool, vm, "budget", denied)
        _LOGGER.info("maintenance: permit for %s of %s: %s", vm, pool, reason)
        return permit

    def release(self, pool: PoolName, vms: set[VmId], fence: Epoch) -> None:
        """Release permits that this controller or an earlier one got."""

        def change(content: Content | None) -> Content | None:
            budget = read_budget(content)
            gone = {
                vm
                for vm, permit in budget.permits.items()
                if vm in vms and permit.fence <= fence
            }
            if not gone:
                return None
            permits = content["permits"].items()
            kept = {vm: permit for vm, permit in permits if vm not in gone}
            return {**content, "permits": kept}

        self._documents.update(budget_key(pool), change)

    def report(self, pool: PoolName, report: ZoneReport) -> Budget:
        """Write a zone's report unless a newer controller wrote one.

        Return the budget that is then stored.
        """

        def change(content: Content | None) -> Content | None:
            stored = (content or {}).get("reports", {}).get(report.zone)
            if stored is not None and stored["fence"] > report.fence:
                return None
            return _set_item(content, "reports", report.zone, report_content(report))

        return read_budget(self._documents.update(budget_key(pool), change).content)


def _set_item(content: Content | None, part: str, key: str, item: Content) -> Content:
    """Set one item and keep all others, including fields of newer versions."""
    content = content or {}
    return {**content, part: {**content.get(part, {}), key: item}}
