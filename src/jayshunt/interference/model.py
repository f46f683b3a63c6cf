"""Learn how much the tasks of one image slow down those of another.

The tail latency of a serving task, as a fraction of its target, is modelled as the sum
of a base of its image, an offset of the task itself, and one effect for each neighbor
in proportion to its pace. A Kalman filter with independent estimates credits what a
report differs from the expectation to these parts, in proportion to how uncertain each
is and to the pace of the neighbor. A report costs one update for each different image
on the worker.
"""

import math

from jayshunt.dispatch.models import TaskKey
from jayshunt.interference import const
from jayshunt.interference.models import (
    Estimate,
    ImageName,
    Observation,
    Pair,
    Prior,
)
from jayshunt.interference.summary import MAX_NAME_CHARS, InterferenceSummary

_BASE_PRIOR = Prior(const.BASE_PRIOR_MEAN, const.BASE_PRIOR_SD, const.BASE_DECAY_S)
_OFFSET_PRIOR = Prior(0.0, const.OFFSET_PRIOR_SD, const.PAIR_DECAY_S)
_FILLING_PRIOR = Prior(
    const.FILLING_PRIOR_MEAN, const.FILLING_PRIOR_SD, const.PAIR_DECAY_S
)
_SERVING_PRIOR = Prior(0.0, const.SERVING_PRIOR_SD, const.PAIR_DECAY_S)


def _prior_of(pair: Pair) -> Prior:
    return _FILLING_PRIOR if pair.is_filling else _SERVING_PRIOR


def is_known(estimate: Estimate) -> bool:
    """Return whether a pair has enough recent observations to act on them."""
    return estimate.evidence >= const.KNOWN_EVIDENCE


def is_harmful(estimate: Estimate) -> bool:
    """Return whether a pair is known to slow the victim down."""
    return (
        is_known(estimate)
        and estimate.mean >= const.HARMFUL_RATIO
        and estimate.mean >= const.HARMFUL_SDS * estimate.sd
    )


class InterferenceModel:
    """Estimate the effect of each pair of images, with evidence and age.

    The pairs used least recently are dropped beyond `MAX_PAIRS`. Times are monotonic
    seconds.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self.pairs: dict[Pair, Estimate] = {}
        self._bases: dict[ImageName, Estimate] = {}
        self._offsets: dict[TaskKey, Estimate] = {}
        self.observations = 0

    def expect(self, pair: Pair, now_s: float) -> Estimate:
        """Return the expected effect of one neighbor at full pace."""
        prior = _prior_of(pair)
        found = self.pairs.get(pair)
        if found is None:
            return Estimate.of_prior(prior, now_s)
        return found.decayed(prior, now_s)

    def expect_base(self, image: ImageName, now_s: float) -> Estimate:
        """Return the expected ratio of latency to target without neighbors."""
        found = self._bases.get(image)
        if found is None:
            return Estimate.of_prior(_BASE_PRIOR, now_s)
        return found.decayed(_BASE_PRIOR, now_s)

    def learn(self, observation: Observation, now_s: float) -> float:
        """Update the estimates of all parts of an observed tail latency.

        Return the latency as a fraction of the target, with the noise of the report
        reduced by what the model expects.
        """
        self.observations += 1
        base = self.expect_base(observation.image, now_s)
        offset = self._offsets.get(observation.task)
        offset = (
            Estimate.of_prior(_OFFSET_PRIOR, now_s)
            if offset is None
            else offset.decayed(_OFFSET_PRIOR, now_s)
        )
        amounts: dict[Pair, float] = {}
        for neighbor in observation.neighbors:
            pair = Pair(neighbor.image, neighbor.is_filling, observation.image)
            amounts[pair] = amounts.get(pair, 0.0) + neighbor.amount
        effects = {pair: self.expect(pair, now_s) for pair in amounts}
        parts = [(base, 1.0), (offset, 1.0)]
        parts += [(effects[pair], amount) for pair, amount in amounts.items()]
        _update(parts, observation.ratio, observation.noise_factor)
        base.evidence += 1.0
        _keep(self._bases, observation.image, base, const.MAX_PAIRS)
        _keep(self._offsets, observation.task, offset, const.MAX_TASK_OFFSETS)
        for pair, amount in amounts.items():
            effects[pair].evidence += min(1.0, amount)
            _keep(self.pairs, pair, effects[pair], const.MAX_PAIRS)
        return sum(part.mean * amount for part, amount in parts)

    def summarize(self, now_s: float, saved_at_s: float) -> InterferenceSummary:
        """Return the estimates for a successor.

        `saved_at_s` is in seconds since the Unix epoch.
        """
        return InterferenceSummary(
            saved_at_s,
            {
                pair: self.expect(pair, now_s)
                for pair in self.pairs
                if max(len(pair.aggressor), len(pair.victim)) <= MAX_NAME_CHARS
            },
            {
                image: self.expect_base(image, now_s)
                for image in self._bases
                if len(image) <= MAX_NAME_CHARS
            },
        )

    def merge(
        self,
        pairs: dict[Pair, Estimate],
        bases: dict[ImageName, Estimate],
        now_s: float,
        age_s: float,
    ) -> None:
        """Add estimates that are `age_s` old, unless more evidence is here already."""
        for pair, stored in pairs.items():
            estimate = _aged(stored, _prior_of(pair), now_s, age_s)
            if estimate.evidence > self.expect(pair, now_s).evidence:
                _keep(self.pairs, pair, estimate, const.MAX_PAIRS)
        for image, stored in bases.items():
            estimate = _aged(stored, _BASE_PRIOR, now_s, age_s)
            if estimate.evidence > self.expect_base(image, now_s).evidence:
                _keep(self._bases, image, estimate, const.MAX_PAIRS)


def _update(
    parts: list[tuple[Estimate, float]], ratio: float, noise_factor: float
) -> None:
    """Move the parts, each with its amount, towards an observed sum."""
    expected = sum(part.mean * amount for part, amount in parts)
    noise = const.NOISE_FIXED + const.NOISE_PER_RATIO * max(0.0, expected)
    spread = sum(part.variance * amount**2 for part, amount in parts)
    total = spread + (noise * noise_factor) ** 2
    limit = const.MAX_SURPRISE_SD * math.sqrt(total)
    surprise = max(-limit, min(limit, ratio - expected))
    for part, amount in parts:
        gain = part.variance * amount / total
        part.mean += gain * surprise
        part.variance -= gain * amount * part.variance


def _aged(stored: Estimate, prior: Prior, now_s: float, age_s: float) -> Estimate:
    """Return a stored estimate as it is now, on this process's clock."""
    estimate = Estimate(stored.mean, stored.variance, stored.evidence, now_s - age_s)
    return estimate.decayed(prior, now_s)


def _keep(entries: dict, key, estimate: Estimate, limit: int) -> None:
    """Store an estimate as the one used last; drop the one used least recently."""
    entries.pop(key, None)
    entries[key] = estimate
    if len(entries) > limit:
        del entries[next(iter(entries))]
