"""Track the slots and the health of each instance of a pool in one zone."""

import logging
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from jayshunt.admission.const import (
    EJECT_BASE_S,
    EJECT_CONSECUTIVE,
    EJECT_FAILED_RATIO,
    EJECT_LIMIT_S,
    EJECT_WINDOW,
    HEALTH_FAILURES,
    MAX_EJECTED_RATIO,
    SLOW_START_S,
)
from jayshunt.ids import VmId
from jayshunt.pools.models import Assignment

_LOGGER = logging.getLogger(__name__)


class HealthReport(Enum):
    """Represent the result of a health check.

    LEAVING: a 5xx answer whose JSON body has the state "leaving". FAILING: any other
    5xx answer, or none. SERVING: every other answer.
    """

    SERVING = "serving"
    LEAVING = "leaving"
    FAILING = "failing"


@dataclass
class InstanceState:
    """Hold the slots and the health of one instance.

    `ramp_from_s` is the start of the slow start and `ejected_until_s` the earliest
    time of readmission, each None if it does not apply. `stuck_slots` are held much
    longer than their class runs; `blocked_slots` may be in use under permits that
    the broker does not know. `outcomes` holds True for each failed request.
    `reason` explains the last ejection, or why an ejection was not made.
    """

    assignment: Assignment
    in_use: int = 0
    stuck_slots: int = 0
    leaving: bool = False
    failed_checks: int = 0
    ramp_from_s: float | None = None
    ejected_until_s: float | None = None
    ejections: int = 0
    consecutive_failures: int = 0
    outcomes: deque = field(default_factory=lambda: deque(maxlen=EJECT_WINDOW))
    blocked_slots: int = 0
    reason: str = ""

    @property
    def takes_work(self) -> bool:
        """Return whether the instance may get new work."""
        return not self.leaving and self.ejected_until_s is None

    def slot_limit(self, slots: int, now_s: float) -> int:
        """Return the number of slots that may be in use now."""
        if not self.takes_work:
            return 0
        if self.ramp_from_s is None:
            return slots
        ratio = (now_s - self.ramp_from_s) / SLOW_START_S
        if ratio >= 1:
            self.ramp_from_s = None
            return slots
        return max(1, int(slots * ratio))

    def is_failing(self) -> bool:
        """Return whether recent requests failed often enough to eject the instance."""
        if self.consecutive_failures >= EJECT_CONSECUTIVE:
            return True
        full = len(self.outcomes) == EJECT_WINDOW
        return full and sum(self.outcomes) >= EJECT_FAILED_RATIO * EJECT_WINDOW


class PoolInstances:
    """Track the instances of one pool; call with the broker's lock held."""

    def __init__(self) -> None:
        """Create a pool without instances."""
        self.states: dict[VmId, InstanceState] = {}
        self._removed: dict[VmId, InstanceState] = {}
        self._has_had_instances = False

    def update(self, assignments: tuple[Assignment, ...], now_s: float) -> None:
        """Replace the serving instances; new ones begin with a slow start.

        The instances of the first non-empty update get full load at once.
        The count of used slots is kept for a removed instance, so that no slot is
        granted twice if the instance comes back.
        """
        listed = {a.vm: a for a in assignments}
        for vm in [vm for vm in self.states if vm not in listed]:
            self._removed[vm] = self.states.pop(vm)
        for vm, assignment in listed.items():
            state = self.states.get(vm)
            if state is not None:
                state.assignment = assignment
                continue
            removed = self._removed.pop(vm, None)
            state = InstanceState(assignment, in_use=removed.in_use if removed else 0)
            if self._has_had_instances:
                state.ramp_from_s = now_s
            self.states[vm] = state
        self._removed = {vm: s for vm, s in self._removed.items() if s.in_use > 0}
        self._has_had_instances = self._has_had_instances or bool(listed)

    def find(self, vm: VmId) -> InstanceState | None:
        """Return an instance that serves, or a removed one with slots in use."""
        return self.states.get(vm) or self._removed.get(vm)

    def record_outcome(self, vm: VmId, failed: bool, now_s: float) -> None:
        """Record the outcome of a request; eject the instance if too many failed."""
        state = self.states.get(vm)
        if state is None:
            return
        state.outcomes.append(failed)
        state.consecutive_failures = state.consecutive_failures + 1 if failed else 0
        if state.ejected_until_s is None and state.is_failing():
            self._eject(state, "requests fail", now_s)
        if not failed and state.ramp_from_s is None:
            state.ejections = 0

    def record_health(self, vm: VmId, report: HealthReport, now_s: float) -> None:
        """Apply the result of a health check."""
        state = self.states.get(vm)
        if state is None:
            return
        if (report is HealthReport.LEAVING) != state.leaving:
            state.leaving = not state.leaving
            verb = "leaves" if state.leaving else "came back"
            _LOGGER.info("admission: instance %s %s", vm, verb)
            if not state.leaving:
                state.ramp_from_s = now_s
        if report is HealthReport.FAILING:
            state.failed_checks += 1
            if state.ejected_until_s is None and state.failed_checks >= HEALTH_FAILURES:
                self._eject(state, "health checks fail", now_s)
            return
        state.failed_checks = 0
        if state.ejected_until_s is not None and now_s >= state.ejected_until_s:
            state.ejected_until_s = None
            state.ramp_from_s = now_s
            state.consecutive_failures = 0
            state.outcomes.clear()
            _LOGGER.info("admission: instance %s readmitted, slow start", vm)

    def usable_slots(self, slots: int, now_s: float) -> int:
        """Return the number of usable slots of all instances, without stuck ones.

        Blocked slots are included.
        """
        return sum(
            max(0, state.slot_limit(slots, now_s) - state.stuck_slots)
            for state in self.states.values()
        )

    def _eject(self, state: InstanceState, reason: str, now_s: float) -> None:
        ejected = sum(s.ejected_until_s is not None for s in self.states.values())
        if ejected + 1 > MAX_EJECTED_RATIO * len(self.states):
            state.reason = f"{reason}, kept: half of the pool is ejected already"
            return
        pause_s = min(EJECT_LIMIT_S, EJECT_BASE_S * 2**state.ejections)
        state.ejections += 1
        state.ejected_until_s = now_s + pause_s
        state.reason = reason
        _LOGGER.warning(
            "admission: instance %s ejected for %.1f s: %s",
            state.assignment.vm,
            pause_s,
            reason,
        )
