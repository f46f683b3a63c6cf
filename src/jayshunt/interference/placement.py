"""Estimate the harm that a step would do and suffer on a worker."""

from dataclasses import dataclass, field

from jayshunt.dispatch.free_capacity import CandidateWorker, Load
from jayshunt.dispatch.models import StepSpec
from jayshunt.dispatch.placement_policy import count_neighbors
from jayshunt.interference import const
from jayshunt.interference.model import InterferenceModel
from jayshunt.interference.models import Estimate, ImageName, Pair


@dataclass
class NeighborHarm:
    """Compute the neighbor cost of workers in one placement round.

    Estimates are computed once for each pair and round, because a round compares each
    long-running task with each worker. `highest` holds, by image and kind of a step,
    the highest known harm on a worker that had room for it.
    """

    model: InterferenceModel
    now_s: float
    highest: dict[tuple[str, bool], float] = field(default_factory=dict)
    _effects: dict[Pair, float | None] = field(default_factory=dict)
    _weights: dict[ImageName, float] = field(default_factory=dict)

    def neighbor_cost(self, step: StepSpec, candidate: CandidateWorker) -> float:
        """Return the expected harm both ways; the lowest is best.

        A neighbor without evidence counts as `UNKNOWN_HARM`, so that without any
        evidence the order is that of `count_neighbors`. Known harm is rounded, so that
        noise does not decide against packing.
        """
        unknown = count_neighbors(step, candidate)
        if not unknown and not candidate.load.serving:
            return 0.0
        harm, known, strain = self._sum_harm(step, candidate.load)
        if harm:
            key = (step.image, step.fills)
            self.highest[key] = max(harm, self.highest.get(key, 0.0))
        return round(harm, 1) + const.UNKNOWN_HARM * (unknown - known + strain)

    def known_harm(self, step: StepSpec, load: Load) -> float:
        """Return the known harm, both ways, of a step and the tasks on a worker.

        It is a sum of fractions of targets, weighted by the victims' slack.
        """
        return self._sum_harm(step, load)[0]

    def _sum_harm(self, step: StepSpec, load: Load) -> tuple[float, int, float]:
        """Return the known harm, the number of known neighbors and their strain.

        Only neighbors counted by `count_neighbors` are returned in the number. The
        strain is the latency of unknown victims without neighbors, so that a pair is
        tried where the target is farthest.
        """
        harm, known, strain = 0.0, 0, 0.0
        image = ImageName(step.image)
        if not image or not (step.fills or step.target_ms):
            return harm, known, strain
        for (name, is_filling), count in load.images.items():
            other = ImageName(name)
            if step.target_ms:
                effect = self._effect(Pair(other, is_filling, image))
                harm += count * (effect or 0.0) * self._weight(image)
                known += count * (is_filling and effect is not None)
            if not is_filling:
                effect = self._effect(Pair(image, step.fills, other))
                harm += count * (effect or 0.0) * self._weight(other)
                if step.fills and effect is None:
                    strain += count * (self._weight(other) - 1.0)
                known += count * (step.fills and effect is not None)
        return harm, known, strain

    def _effect(self, pair: Pair) -> float | None:
        """Return the known effect of a pair, 0 if it is small, None if unknown."""
        if pair not in self._effects:
            self._effects[pair] = _known_effect(self.model.expect(pair, self.now_s))
        return self._effects[pair]

    def _weight(self, victim: ImageName) -> float:
        """Return how much harm to an image counts: more if its target is near."""
        if victim not in self._weights:
            base = self.model.expect_base(victim, self.now_s)
            ratio = max(0.0, min(1.0, base.mean)) if base.evidence else 0.0
            self._weights[victim] = 1.0 + ratio
        return self._weights[victim]


def _known_effect(estimate: Estimate) -> float | None:
    if estimate.evidence < const.PLACEMENT_EVIDENCE:
        return None
    return estimate.mean if estimate.mean >= const.HARMFUL_RATIO else 0.0
