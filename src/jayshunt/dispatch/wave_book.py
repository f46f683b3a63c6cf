"""Track the waves of planned stops that the operator declared."""

import json
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from jayshunt.checked import describe_invalid
from jayshunt.dispatch.errors import TermEnded
from jayshunt.dispatch.malformed import MalformedEntries
from jayshunt.dispatch.record_models import StoredWave
from jayshunt.dispatch.records import WAVE_PREFIX
from jayshunt.dispatch.store_models import Put
from jayshunt.dispatch.vm_inventory import VmInventory
from jayshunt.dispatch.vms import Wave
from jayshunt.errors import DECODE_ERRORS
from jayshunt.ids import Revision, VmId
from jayshunt.platform.const import WAVE_PREFIX as DECLARED_PREFIX
from jayshunt.platform.const import WAVE_STATUS_PREFIX
from jayshunt.platform.formats import decode_wave, encode_wave_status
from jayshunt.platform.store import PlatformStore

_LOGGER = logging.getLogger(__name__)

# The platform may not know of a wave for a moment. A VM counts as not of its wave only
# if that is still the answer this long after the first one.
NOT_OF_WAVE_S = 5.0
# A log line names at most this many VMs of a wave.
MAX_LOGGED_VMS = 10


class UpkeepEvidence(Enum):
    """List why a VM of a wave is not due any more."""

    ACCEPTED = "the platform accepted its upkeep"
    STORED = "an earlier term stored that it is done"
    NOT_OF_WAVE = "the platform says that it is not of the wave"
    GONE = "lists that are newer than the wave do not have it"


@dataclass
class WaveState:
    """Track a declared wave and the VMs of it that are not due any more.

    `read_s` is when the wave was read, in monotonic seconds: lists of VMs that are
    older may lack VMs that it names. `refused_s` is when the platform first answered
    that a VM is not of the wave.
    """

    wave: Wave
    read_s: float = 0.0
    done: dict[VmId, UpkeepEvidence] = field(default_factory=dict)
    refused_s: dict[VmId, float] = field(default_factory=dict)
    is_completed: bool = False
    needs_write: bool = True

    def __post_init__(self) -> None:
        """Index the VMs of the wave, which every placement round looks up."""
        self._members = frozenset(self.wave.vms)

    def is_open_for(self, vm: VmId | None) -> bool:
        """Return whether a VM is due for upkeep in this wave."""
        return not self.is_completed and vm in self._members and vm not in self.done

    def due(self) -> list[VmId]:
        """Return the VMs without evidence that they had their upkeep."""
        return [vm for vm in self.wave.vms if vm not in self.done]

    def redeclare(self, wave: Wave, now_s: float) -> None:
        """Apply a changed declaration, which keeps what was done."""
        self.wave, self.read_s = wave, now_s
        self._members = frozenset(wave.vms)
        self.refused_s.clear()
        self.is_completed, self.needs_write = False, True


class WaveBook:
    """Track the waves of one term and their records in the store."""

    def __init__(self) -> None:
        """Start without a wave."""
        self.states: dict[int, WaveState] = {}
        self._malformed = MalformedEntries()

    def includes(self, vm: VmId | None) -> bool:
        """Return whether a VM is due for upkeep in an unfinished wave."""
        return any(state.is_open_for(vm) for state in tuple(self.states.values()))

    def names_unlisted(self, inventory: VmInventory) -> bool:
        """Return whether a VM that is due is missing from the list of VMs."""
        return any(
            vm not in inventory.vms
            for state in self.states.values()
            if not state.is_completed
            for vm in state.due()
        )

    def open_states(self, inventory: VmInventory) -> list[WaveState]:
        """Return the waves that still have VMs due, and mark the others completed.

        A VM that is not listed counts only as gone by lists that are newer than the
        wave. If it is listed later all the same, the wave is open again.
        """
        for state in self.states.values():
            due = state.due()
            if state.is_completed:
                self._reopen(state, [vm for vm in due if vm in inventory.vms])
            elif all(inventory.shows_absent(vm, state.read_s) for vm in due):
                self._complete(state)
        return [state for state in self.states.values() if not state.is_completed]

    def _complete(self, state: WaveState) -> None:
        state.is_completed = state.needs_write = True
        evidence = {
            vm: state.done.get(vm, UpkeepEvidence.GONE) for vm in state.wave.vms
        }
        counts = Counter(reason.name.lower() for reason in evidence.values())
        without = [
            vm
            for vm, reason in evidence.items()
            if reason in (UpkeepEvidence.GONE, UpkeepEvidence.NOT_OF_WAVE)
        ]
        _LOGGER.info(
            "dispatch: a wave has no VM left that is due",
            extra={
                "wave": state.wave.number,
                "vms": len(evidence),
                **counts,
                "without_upkeep": without[:MAX_LOGGED_VMS],
            },
        )

    def _reopen(self, state: WaveState, listed: list[VmId]) -> None:
        if not listed:
            return
        state.is_completed, state.needs_write = False, True
        _LOGGER.warning(
            "dispatch: a completed wave is open again, a VM of it is listed",
            extra={"wave": state.wave.number, "due": listed[:MAX_LOGGED_VMS]},
        )

    def mark_done(self, number: int, vm: VmId) -> None:
        """Record that the platform accepted the upkeep of a VM, or did so before."""
        state = self.states[number]
        state.done[vm] = UpkeepEvidence.ACCEPTED
        state.needs_write = True

    def record_not_of_wave(self, number: int, vm: VmId, now_s: float) -> None:
        """Record the answer that a VM is not of a wave, which counts if it lasts.

        The platform may have answered by a list of waves without this one, or with the
        declaration before.
        """
        state = self.states[number]
        since_s = state.refused_s.setdefault(vm, now_s)
        is_settled = now_s - since_s >= NOT_OF_WAVE_S
        if is_settled:
            state.done[vm] = UpkeepEvidence.NOT_OF_WAVE
            state.needs_write = True
        _LOGGER.warning(
            "dispatch: the platform says that a VM is not of its wave",
            extra={
                "wave": number,
                "vm": vm,
                "since_ms": round((now_s - since_s) * 1000),
                "is_settled": is_settled,
            },
        )

    def read(self, store: PlatformStore, now_s: Callable[[], float]) -> None:
        """Read the declared waves, new ones with the progress of earlier terms.

        `now_s` returns the monotonic time, which is taken once the waves are read.
        """
        items, _ = store.list(DECLARED_PREFIX)
        for item in items:
            if self._malformed.is_known(item.key, item.revision):
                continue
            wave = decode_wave(item.value, item.key.removeprefix(DECLARED_PREFIX))
            if wave is None:
                self._malformed.remember(item.key, item.revision)
                continue
            state = self.states.get(wave.number)
            if state is not None and state.wave == wave:
                continue
            if state is None:
                state = WaveState(wave, now_s())
                self._read_progress(store, state)
                self.states[wave.number] = state
            else:
                state.redeclare(wave, now_s())
            _LOGGER.info(
                "dispatch: a wave was declared",
                extra={
                    "wave": wave.number,
                    "vms": len(wave.vms),
                    "max_down": wave.max_down,
                    "deadline_s": wave.deadline_s,
                    "done": len(state.done),
                },
            )

    def _read_progress(self, store: PlatformStore, state: WaveState) -> None:
        """Read what earlier terms did of a wave, nothing if that is malformed.

        Upkeep that is ordered once more does nothing.
        """
        item = store.get(f"{WAVE_PREFIX}{state.wave.number}")
        if item is None:
            return
        try:
            fields = StoredWave.model_validate_json(item.value)
        except DECODE_ERRORS as error:
            self._malformed.log(item.key, item.revision, describe_invalid(error))
            return
        state.done = {VmId(vm): UpkeepEvidence.STORED for vm in fields.done}
        state.is_completed = fields.completed
        state.needs_write = False

    def write(self, store: PlatformStore, condition: dict[str, Revision]) -> None:
        """Store the changed waves and the status that the operator reads.

        Raise TermEnded if the term's key changed; nothing is stored then.
        """
        for number, state in self.states.items():
            if not state.needs_write:
                continue
            record = {"done": sorted(state.done), "completed": state.is_completed}
            status = encode_wave_status(number, state.is_completed)
            result = store.transact(
                condition,
                (
                    Put(f"{WAVE_PREFIX}{number}", json.dumps(record).encode()),
                    Put(f"{WAVE_STATUS_PREFIX}{number}", status),
                ),
            )
            if result.revision is None:
                raise TermEnded("the term's key changed before a wave was stored")
            state.needs_write = False
            if state.is_completed:
                _LOGGER.info("dispatch: a wave is completed", extra={"wave": number})
