"""Define the cases of the serving measurement and their faults."""

import signal
from collections.abc import Callable
from dataclasses import dataclass

from jayshunt_measure.serving_load import Callers
from jayshunt_measure.serving_shapes import (
    INSTANCES_PER_ZONE,
    SLOTS,
    TEE,
    TETTEH,
    ZONES,
    Shape,
)
from jayshunt_measure.serving_testbed import ServingTestbed
from jayshunt_standins.store import StoreFaults

LATE_S = 0.3
CANCEL_WAVE_SIZE = 100


@dataclass
class FaultContext:
    """Hold the objects that a fault acts on."""

    testbed: ServingTestbed
    shape: Shape
    callers: Callers
    turn: int

    @property
    def zone(self) -> str:
        """Return the zone in which the fault is injected."""
        return ZONES[self.turn % len(ZONES)]

    @property
    def vm(self) -> str:
        """Return the instance that fails, another one for each case."""
        number = self.turn // len(ZONES) % INSTANCES_PER_ZONE
        return f"{self.shape.pool}-{self.zone}-{number}"


@dataclass(frozen=True)
class Fault:
    """Describe one fault; `slots_lost` is the capacity that it removes."""

    name: str
    begin: Callable[[FaultContext], None]
    end: Callable[[FaultContext], None]
    slots_lost: float = 0.0


@dataclass(frozen=True)
class Case:
    """Describe one run of a load with its faults."""

    name: str
    shape: Shape
    faults: tuple[Fault, ...] = ()
    turns: int = 1


def _instance_fault(name: str, slots_lost: float = SLOTS, **faults: object) -> Fault:
    return Fault(
        name,
        lambda context: context.testbed.set_faults(context.vm, **faults),
        lambda context: context.testbed.set_faults(context.vm),
        slots_lost,
    )


def _kill_broker(context: FaultContext) -> None:
    entry = context.testbed.broker_of(context.zone, context.shape.pool)
    context.callers.killed.add(entry.name)
    context.testbed.kill_entry(entry)


def _pause_broker(context: FaultContext) -> None:
    entry = context.testbed.broker_of(context.zone, context.shape.pool)
    context.testbed.rotation.discard(entry.name)
    context.testbed.signal_entry(entry, signal.SIGSTOP)


def _resume_broker(context: FaultContext) -> None:
    entry = context.testbed.broker_of(context.zone, context.shape.pool)
    context.testbed.signal_entry(entry, signal.SIGCONT)
    context.testbed.rotation.add(entry.name)


def _stop_entry(context: FaultContext) -> None:
    context.testbed.stop_entry(
        context.testbed.broker_of(context.zone, context.shape.pool)
    )


def _break_store(context: FaultContext) -> None:
    context.testbed.store.faults = StoreFaults(down=True)


def _repair_store(context: FaultContext) -> None:
    context.testbed.store.faults = StoreFaults()


def _no_action(_context: FaultContext) -> None:
    """Do nothing: the fault ends by itself or by the restart after the case."""


SILENT = _instance_fault("connection_silent", silent=True)
RESET_BEFORE = _instance_fault("reset_before_first_byte", reset_before=True)
RESET_AFTER = _instance_fault("reset_after_first_byte", reset_after=True)
ERRORS = _instance_fault("every_answer_an_error", errors=True)
# A request of 80 ms then occupies its slot for 380 ms. That costs 4 of the 5 slots.
LATE = _instance_fault("answers_late", 4.0, late_s=LATE_S)
LEAVING = _instance_fault("upstream_leaving", leaving=True)
RACK_LOST = _instance_fault("rack_lost", down=True)
BROKER_KILLED = Fault("broker_killed", _kill_broker, _no_action)
BROKER_PAUSED = Fault("broker_paused", _pause_broker, _resume_broker)
ENTRY_STOPPED = Fault("planned_stop", _stop_entry, _no_action)
STORE_DOWN = Fault("store_down", _break_store, _repair_store)
CANCEL_WAVE = Fault(
    "cancel_wave",
    lambda context: context.callers.cancel_in_flight(CANCEL_WAVE_SIZE),
    _no_action,
)

# The cases alternate between the shapes, and within a shape between faults of
# instances and of entries, so that an instance has recovered before the next fault
# in its pool.
SINGLE = (
    SILENT,
    RESET_BEFORE,
    BROKER_KILLED,
    BROKER_PAUSED,
    RESET_AFTER,
    ERRORS,
    ENTRY_STOPPED,
    STORE_DOWN,
    LATE,
    RACK_LOST,
    CANCEL_WAVE,
    LEAVING,
)
PAIRS = (
    (ERRORS, BROKER_KILLED),
    (RACK_LOST, ENTRY_STOPPED),
    (SILENT, CANCEL_WAVE),
)


def all_cases() -> list[Case]:
    """Return no fault for both shapes, each fault alone, and pairs."""
    cases = [
        Case("no_fault_tetteh", TETTEH, turns=len(TETTEH.classes)),
        Case("no_fault_tee", TEE, turns=len(TEE.classes)),
    ]
    shapes = (TETTEH, TEE)
    faults = [(fault,) for fault in SINGLE] + list(PAIRS)
    for number, chosen in enumerate(faults):
        name = "+".join(fault.name for fault in chosen)
        cases.append(Case(name, shapes[number % 2], chosen))
    return cases
