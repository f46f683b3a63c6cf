"""Convert assignment records to and from their stored form."""

import json
import zlib
from dataclasses import asdict

from jayshunt.errors import JayshuntError
from jayshunt.ids import Epoch, PoolName, RackName, VmId, ZoneName
from jayshunt.maintenance.models import WaveProgress
from jayshunt.pools.const import MAX_RECORD_BYTES
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
        "fence": record.fence,
        "waves": {name: asdict(wave) for name, wave in record.waves.items()},
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
                "changed_s": a.changed_s,
                "wave": a.wave,
                "done_waves": list(a.done_waves),
            }
            for vm, a in record.assignments.items()
        },
    }


def read_record(zone: ZoneName, content: Content | None) -> AssignmentRecord:
    """Return the record from its stored form, or an empty one if there is none.

    Fields that an older version of the program did not write get their defaults.
    """
    if content is None:
        return AssignmentRecord(zone)
    return AssignmentRecord(
        zone=ZoneName(content["zone"]),
        epoch=Epoch(content["epoch"]),
        fence=Epoch(content.get("fence", 0)),
        waves={
            name: WaveProgress(**{**wave, "failed": tuple(wave["failed"])})
            for name, wave in content.get("waves", {}).items()
        },
        assignments={
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
                changed_s=item.get("changed_s", 0.0),
                wave=item.get("wave", ""),
                done_waves=tuple(item.get("done_waves", ())),
            )
            for vm, item in content["assignments"].items()
        },
    )


def pack_record(record: AssignmentRecord) -> bytes:
    """Return a record, compressed, for a message between entries."""
    return zlib.compress(json.dumps(record_content(record)).encode())


def unpack_record(zone: ZoneName, packed: bytes) -> AssignmentRecord:
    """Return the record of a message.

    Raise JayshuntError if it cannot be decompressed or is larger than
    MAX_RECORD_BYTES, and ValueError if it is not JSON.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(packed, MAX_RECORD_BYTES)
    except zlib.error as error:
        raise JayshuntError(
            "record_unreadable", step="pools.apply", detail=str(error)
        ) from error
    if decompressor.unconsumed_tail:
        raise JayshuntError("record_too_large", step="pools.apply")
    return read_record(zone, json.loads(text))
