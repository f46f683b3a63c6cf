"""Convert assignment records to and from their stored form."""

from jayshunt.ids import Epoch, PoolName, RackName, VmId, ZoneName
from jayshunt.pools.models import (
    Assignment,
    AssignmentRecord,
    AssignmentState,
    VmKind,
)
from jayshunt.store.documents import Content


def record_content(record: AssignmentRecord) -> Content:
    """Return the stored form of a record."""
    return {
        "zone": record.zone,
        "epoch": record.epoch,
        "assignments": {
            vm: {
                "pool": a.pool,
                "state": a.state.value,
                "epoch": a.epoch,
                "address": a.address,
                "rack": a.rack,
                "kind": a.kind.value,
                "next_pool": a.next_pool,
                "reason": a.reason,
            }
            for vm, a in record.assignments.items()
        },
    }


def read_record(zone: ZoneName, content: Content | None) -> AssignmentRecord:
    """Return the record of a stored form; an empty one if there is none."""
    if content is None:
        return AssignmentRecord(zone)
    return AssignmentRecord(
        ZoneName(content["zone"]),
        Epoch(content["epoch"]),
        {
            VmId(vm): Assignment(
                vm=VmId(vm),
                pool=PoolName(item["pool"]),
                state=AssignmentState(item["state"]),
                epoch=Epoch(item["epoch"]),
                address=item["address"],
                rack=RackName(item["rack"]),
                kind=VmKind(item["kind"]),
                next_pool=PoolName(item["next_pool"]) if item["next_pool"] else None,
                reason=item["reason"],
            )
            for vm, item in content["assignments"].items()
        },
    )
