"""Client of the platform's VM service: list, move and take down VMs for upkeep."""

import json
import logging
from dataclasses import replace
from urllib.parse import quote

from jayshunt import http_client
from jayshunt.checked import MAX_TEXT_CHARS, describe_invalid
from jayshunt.dispatch.models import Address
from jayshunt.dispatch.vms import DutyAnswer, DutyRefusal, Vm, VmState
from jayshunt.errors import DECODE_ERRORS, JayshuntError, Outcome
from jayshunt.ids import EntryId, PoolName, VmId, WorkerId, ZoneName
from jayshunt.platform.const import FENCING_TOKEN_HEADER, HOLDER_HEADER
from jayshunt.platform.documents import MachinePage, MachineRow
from jayshunt.platform.formats import rack_of, resources_of

_LOGGER = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.5
# Far above the pages of the largest fleet; a list without an end must not be read on.
MAX_PAGES = 1_000
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
    `is_complete` is False if a row of the last list told not even its VM.
    """

    def __init__(self, address: Address, entry: EntryId) -> None:
        """Create a client that sends orders under the name of this entry."""
        self._base = f"http://{address}"
        self._entry = entry
        self.calls = 0
        self.is_complete = True
        self._known: dict[VmId, Vm] = {}
        self._malformed: set[str] = set()

    def list(self) -> tuple[Vm, ...]:
        """Return every VM with its pool, state and current worker, from all pages."""
        vms: list[Vm] = []
        malformed: set[str] = set()
        is_complete = True
        path = "/machines"
        for _ in range(MAX_PAGES):
            answer = self._call("GET", path, None, {})
            try:
                page = MachinePage.model_validate_json(answer.body)
            except DECODE_ERRORS as error:
                raise _unreadable(describe_invalid(error)) from error
            for row in page.machines:
                vm = self._decode_row(row, malformed)
                if vm is not None:
                    vms.append(vm)
                is_complete &= vm is not None
            if not page.nextToken:
                self._malformed = malformed
                self.is_complete = is_complete
                return tuple(vms)
            path = f"/machines?pageToken={quote(page.nextToken, errors='replace')}"
        raise _unreadable(f"more than {MAX_PAGES} pages")

    def _decode_row(self, row: object, malformed: set[str]) -> Vm | None:
        """Return the VM of a row, None if the row is malformed and names none.

        The VM of a malformed row stays as it was, or is down if it was never listed: it
        would seem gone otherwise, and its waves complete. A malformed row is logged
        unless it was in the last list too; those of this list are added to `malformed`.
        """
        try:
            vm = _vm(MachineRow.model_validate(row))
            self._known[vm.vm] = vm
            return vm
        except DECODE_ERRORS as error:
            reason = describe_invalid(error)
        name = row.get("machine") if isinstance(row, dict) else None
        name = name if isinstance(name, str) else ""
        entry = f"{name[:MAX_TEXT_CHARS]} {reason}"
        if entry not in self._malformed | malformed:
            _LOGGER.warning(
                "platform: ignoring a malformed row of the list of VMs",
                extra={"vm": name[:MAX_TEXT_CHARS], "reason": reason},
            )
        malformed.add(entry)
        try:
            named = MachineRow(machine=name, pool="unknown")
        except DECODE_ERRORS:
            return None
        return replace(self._known.get(VmId(name)) or _vm(named), is_readable=False)

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
        is_not_run = answer.status in (429, 503)
        raise JayshuntError(
            "machines_refused",
            step=step,
            outcome=Outcome.NOT_RUN if is_not_run else Outcome.UNKNOWN,
            retry_after_s=1.0,
            detail=f"status {answer.status}",
        )


def _decode_refusal(body: bytes) -> DutyRefusal:
    """Return the reason of a refused order, OTHER if it can't be decoded."""
    try:
        return _REFUSALS.get(json.loads(body).get("reason"), DutyRefusal.OTHER)
    except DECODE_ERRORS:
        return DutyRefusal.OTHER


def _vm(row: MachineRow) -> Vm:
    return Vm(
        vm=VmId(row.machine),
        pool=PoolName(row.pool),
        state=_STATES.get(row.state, VmState.DOWN),
        zone=ZoneName(row.zone),
        rack=rack_of(row.labels),
        labels=frozenset(row.labels),
        capacity=resources_of(row.capacity),
        worker=WorkerId(row.id) if row.id else None,
        is_readable=row.state in _STATES,
    )


def _unreadable(reason: str) -> JayshuntError:
    return JayshuntError(
        "unreadable_answer",
        step="machines/machines",
        outcome=Outcome.UNKNOWN,
        retry_after_s=1.0,
        detail=f"malformed list of VMs: {reason}",
    )
