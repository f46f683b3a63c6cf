"""Track the waves of planned stops that the operator declared."""

import json
import logging
from dataclasses import dataclass, field

from jayshunt.checked import describe_invalid
from jayshunt.dispatch.errors import TermEnded
from jayshunt.dispatch.malformed import MalformedEntries
from jayshunt.dispatch.record_models import StoredWave
from jayshunt.dispatch.records import WAVE_PREFIX
from jayshunt.dispatch.store_models import Put
from jayshunt.dispatch.vms import Wave
from jayshunt.errors import DECODE_ERRORS
from jayshunt.ids import Revision, VmId
from jayshunt.platform.const import WAVE_PREFIX as DECLARED_PREFIX
from jayshunt.platform.const import WAVE_STATUS_PREFIX
from jayshunt.platform.formats import decode_wave, encode_wave_status
from jayshunt.platform.store import PlatformStore

_LOGGER = logging.getLogger(__name__)


@dataclass
class WaveState:
    """Track a declared wave and the VMs that had their upkeep."""

    wave: Wave
    done: set[VmId] = field(default_factory=set)
    is_completed: bool = False
    needs_write: bool = True

    def __post_init__(self) -> None:
        """Index the VMs of the wave, which every placement round looks up."""
        self._members = frozenset(self.wave.vms)

    def is_open_for(self, vm: VmId | None) -> bool:
        """Return whether a VM is due for upkeep in this wave."""
        return not self.is_completed and vm in self._members and vm not in self.done


class WaveBook:
    """Track the waves of one term and their records in the store."""

    def __init__(self) -> None:
        """Start without a wave."""
        self.states: dict[int, WaveState] = {}
        self._malformed = MalformedEntries()

    def includes(self, vm: VmId | None) -> bool:
        """Return whether a VM is due for upkeep in an unfinished wave."""
        return any(state.is_open_for(vm) for state in self.states.values())

    def open_states(self, existing_vms: set[VmId]) -> list[WaveState]:
        """Return the waves that still have VMs due, and mark the others completed.

        VMs that no longer exist, which are not in `existing_vms`, do not count.
        """
        for state in self.states.values():
            left = [
                vm
                for vm in state.wave.vms
                if vm in existing_vms and vm not in state.done
            ]
            if not left and not state.is_completed:
                state.is_completed = True
                state.needs_write = True
        return [state for state in self.states.values() if not state.is_completed]

    def mark_done(self, number: int, vm: VmId) -> None:
        """Record that a VM had its upkeep."""
        state = self.states[number]
        state.done.add(vm)
        state.needs_write = True

    def read(self, store: PlatformStore) -> None:
        """Read newly declared waves, with the progress of earlier terms."""
        items, _ = store.list(DECLARED_PREFIX)
        for item in items:
            if self._malformed.is_known(item.key, item.revision):
                continue
            wave = decode_wave(item.value, item.key.removeprefix(DECLARED_PREFIX))
            if wave is None:
                self._malformed.remember(item.key, item.revision)
                continue
            if wave.number in self.states:
                continue
            state = WaveState(wave)
            self._read_progress(store, state)
            self.states[wave.number] = state
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
        state.done = {VmId(vm) for vm in fields.done}
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
