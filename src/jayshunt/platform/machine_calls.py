"""Client of the platform's VM service: list, move and take down VMs for upkeep."""

import json

from jayshunt import http_client
from jayshunt.dispatch.models import Address
from jayshunt.dispatch.vms import DutyAnswer, DutyRefusal, Vm, VmState
from jayshunt.errors import DECODE_ERRORS, JayshuntError, Outcome
from jayshunt.ids import EntryId, PoolName, VmId, WorkerId, ZoneName
from jayshunt.platform.const import FENCING_TOKEN_HEADER, HOLDER_HEADER
from jayshunt.platform.formats import decode_resources, rack_of

CALL_TIMEOUT_S = 1.5
_STATES = {state.value: state for state in VmState}
_REFUSALS = {
    "fence": DutyRefusal.FENCED,
    "busy": DutyRefusal.BUSY,
    "wave": DutyRefusal.NOT_OF_WAVE,
}


class VmServiceClient:
    """Client of the service that owns the VMs.

    An order carries the name of this entry and the fencing token of its term as the
    dispatcher, so that the service refuses orders of a former dispatcher. The answer
    to an order is a DutyAnswer; DutyRefusal gives the reason of a refusal.
    """

    def __init__(self, address: Address, entry: EntryId) -> None:
        """Create a client that sends orders under the name of this entry."""
        self._base = f"http://{address}"
        self._entry = entry
        self.calls = 0

    def list(self) -> tuple[Vm, ...]:
        """Return every VM with its pool, state and current worker, from all pages."""
        vms: list[Vm] = []
        path = "/machines"
        while True:
            answer = self._call("GET", path, None, {})
            try:
                fields = json.loads(answer.body)
                vms += [_decode_vm(row) for row in fields["machines"]]
                next_token = fields.get("nextToken")
            except DECODE_ERRORS as error:
                # A list without the malformed row would show its VM as gone.
                raise JayshuntError(
                    "unreadable_answer",
                    step="machines/machines",
                    outcome=Outcome.UNKNOWN,
                    retry_after_s=1.0,
                    detail=f"malformed list of VMs: {error!r}",
                ) from error
            if not next_token:
                return tuple(vms)
            path = f"/machines?pageToken={next_token}"

    def move(self, vm: VmId, pool: PoolName, token: int) -> DutyAnswer:
        """Move a VM to a pool; the platform ends all its runs immediately."""
        return self._post_order("/machine-move", {"machine": vm, "pool": pool}, token)

    def upkeep(self, vm: VmId, wave: int, token: int) -> DutyAnswer:
        """Take a VM down for the upkeep of a wave; its runs end immediately."""
        return self._post_order("/machine-upkeep", {"machine": vm, "wave": wave}, token)

    def _post_order(self, path: str, body: dict, token: int) -> DutyAnswer:
        headers = {HOLDER_HEADER: self._entry, FENCING_TOKEN_HEADER: str(token)}
        answer = self._call("POST", path, body, headers)
        if answer.status == 200:
            return DutyAnswer(None)
        if answer.status == 409:
            return DutyAnswer(_decode_refusal(answer.body))
        return DutyAnswer(DutyRefusal.OTHER)

    def _call(
        self, method: str, path: str, body: dict | None, headers: dict[str, str]
    ) -> http_client.HttpAnswer:
        self.calls += 1
        step = f"machines{path.partition('?')[0]}"
        answer = http_client.request(
            method,
            self._base + path,
            body=None if body is None else json.dumps(body).encode(),
            headers={**headers, "Content-Type": "application/json"},
            timeout_s=CALL_TIMEOUT_S,
            step=step,
        )
        if answer.status in (200, 400, 409):
            return answer
        raise JayshuntError(
            "machines_refused",
            step=step,
            retry_after_s=1.0,
            detail=f"status {answer.status}",
        )


def _decode_refusal(body: bytes) -> DutyRefusal:
    """Return the reason of a refused order, OTHER if it can't be decoded."""
    try:
        return _REFUSALS.get(json.loads(body).get("reason"), DutyRefusal.OTHER)
    except DECODE_ERRORS:
        return DutyRefusal.OTHER


def _decode_vm(row: dict) -> Vm:
    return Vm(
        vm=VmId(row["machine"]),
        pool=PoolName(row["pool"]),
        state=_STATES.get(row.get("state"), VmState.DOWN),
        zone=ZoneName(row.get("zone", "")),
        rack=rack_of(row.get("labels", ())),
        labels=frozenset(row.get("labels", ())),
        capacity=decode_resources(row.get("capacity", {})),
        worker=WorkerId(row["id"]) if row.get("id") else None,
    )
