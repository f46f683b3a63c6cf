"""Learn the usual demand of each class for a pool's slots."""

import math
from dataclasses import dataclass

from jayshunt.admission.const import (
    RECENT_WINDOW_S,
    SCALE_INTERVAL_S,
    SHARE_DEPTH_S,
    SHARE_LIMIT_RATIO,
    USUAL_WINDOW_S,
)
from jayshunt.ids import ClassName


@dataclass
class ClassShare:
    """Hold the demand of one class, in slots, and the credit of its share.

    `usual_slots` and `recent_slots` are exponentially decaying means over a long
    and a short window; `corrected_usual_slots` corrects the former for a short time
    of observation. `credit_slot_s` is the content of the token bucket, in
    slot-seconds. `adopted_slots` is the usual demand that a predecessor learned.
    """

    started_s: float
    updated_s: float
    usual_slots: float = 0.0
    recent_slots: float = 0.0
    credit_slot_s: float = 0.0
    adopted_slots: float = 0.0

    def advance(self, now_s: float) -> None:
        """Apply the decay of the means up to now."""
        passed_s = now_s - self.updated_s
        if passed_s <= 0:
            return
        self.usual_slots *= math.exp(-passed_s / USUAL_WINDOW_S)
        self.recent_slots *= math.exp(-passed_s / RECENT_WINDOW_S)
        self.updated_s = now_s

    def corrected_usual_slots(self, now_s: float) -> float:
        """Return the usual demand, corrected for a short time of observation."""
        seen = 1 - math.exp(-max(1.0, now_s - self.started_s) / USUAL_WINDOW_S)
        if self.adopted_slots:
            return self.usual_slots + (1 - seen) * self.adopted_slots
        return self.usual_slots / seen


class UsualShares:
    """Decide which requests are covered by the usual share of their class.

    Demand is counted in slot-seconds and includes refused requests. The share of a
    class is a token bucket that fills at the rate of its usual demand; requests
    beyond it are excess.
    """

    def __init__(self) -> None:
        """Start without learned demand."""
        self._classes: dict[ClassName, ClassShare] = {}
        self._scale_updated_s = float("-inf")
        self._scaled_slots = 0.0
        self._scale_factor = 1.0

    def try_consume(
        self, work_class: ClassName, work_s: float, slots: float, now_s: float
    ) -> bool:
        """Record the demand of a request and take it from its class's share.

        Return False, without taking anything, if the share does not cover it.
        """
        share = self._classes.get(work_class)
        if share is None:
            share = ClassShare(now_s, now_s)
            self._classes[work_class] = share
        passed_s = now_s - share.updated_s
        share.advance(now_s)
        share.usual_slots += work_s / USUAL_WINDOW_S
        share.recent_slots += work_s / RECENT_WINDOW_S
        rate = share.corrected_usual_slots(now_s) * self._scale(slots, now_s)
        depth = max(rate * SHARE_DEPTH_S, work_s)
        share.credit_slot_s = min(depth, share.credit_slot_s + rate * passed_s)
        if share.credit_slot_s < work_s:
            return False
        share.credit_slot_s -= work_s
        return True

    def refund(self, work_class: ClassName, work_s: float) -> None:
        """Give back the slot-seconds of a request that was refused or cancelled."""
        share = self._classes.get(work_class)
        if share is not None:
            share.credit_slot_s += work_s

    def reserved_slots(
        self, work_class: ClassName, slots: float, now_s: float
    ) -> float:
        """Return the slots that the usual shares of other classes use now.

        The part of a share that its class does not use at present is available to
        the excess of other classes.
        """
        scale = self._scale(slots, now_s)
        reserved = 0.0
        for name, share in self._classes.items():
            if name != work_class:
                share.advance(now_s)
                reserved += min(
                    share.corrected_usual_slots(now_s) * scale, share.recent_slots
                )
        return reserved

    def usual_slots(self, now_s: float) -> dict[ClassName, float]:
        """Return each class's usual demand in slots."""
        return {
            name: share.corrected_usual_slots(now_s)
            for name, share in self._classes.items()
        }

    def recent_slots(self, now_s: float) -> dict[ClassName, float]:
        """Return each class's recent demand in slots."""
        for share in self._classes.values():
            share.advance(now_s)
        return {name: share.recent_slots for name, share in self._classes.items()}

    def adopt(self, work_class: ClassName, usual_slots: float, now_s: float) -> None:
        """Start a class from the usual demand that a predecessor learned."""
        if work_class not in self._classes:
            share = ClassShare(now_s, now_s)
            share.adopted_slots = usual_slots
            share.credit_slot_s = usual_slots * SHARE_DEPTH_S
            self._classes[work_class] = share

    def _scale(self, slots: float, now_s: float) -> float:
        """Return the factor, at most 1, that makes the shares fit into the slots.

        Usual demand changes over minutes, so the sum is cached for a short interval
        instead of being computed for each request.
        """
        stale = now_s - self._scale_updated_s > SCALE_INTERVAL_S
        if stale or slots != self._scaled_slots:
            self._scale_updated_s, self._scaled_slots = now_s, slots
            total = sum(
                share.corrected_usual_slots(now_s) for share in self._classes.values()
            )
            limit = SHARE_LIMIT_RATIO * slots
            self._scale_factor = min(1.0, limit / total) if total > 0 else 1.0
        return self._scale_factor
