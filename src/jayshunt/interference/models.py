"""Define pairs of images, observations and estimates of interference."""

import math
from dataclasses import dataclass
from typing import NamedTuple, NewType

from jayshunt.dispatch.models import TaskKey

ImageName = NewType("ImageName", str)


class Pair(NamedTuple):
    """Identify an ordered pair of images: one disturbs, the other is disturbed.

    `is_filling` tells whether the tasks of the aggressor fill or serve. All tasks of
    an image and kind behave alike.
    """

    aggressor: ImageName
    is_filling: bool
    victim: ImageName


class Neighbor(NamedTuple):
    """Count tasks of an image beside a serving task.

    `amount` is the sum of their paces in the time that the report covers, where 1 is
    full pace.
    """

    image: ImageName
    is_filling: bool
    amount: float


@dataclass(frozen=True, slots=True)
class Observation:
    """Store the tail latency of a serving task, as a fraction of its target.

    `noise_factor` is 1 for a report of usual precision.
    """

    task: TaskKey
    image: ImageName
    ratio: float
    neighbors: tuple[Neighbor, ...]
    noise_factor: float = 1.0


class Prior(NamedTuple):
    """Describe what is expected without observations.

    An estimate returns to it with the time constant `decay_s`, in seconds.
    """

    mean: float
    sd: float
    decay_s: float


@dataclass(slots=True)
class Estimate:
    """Estimate an effect on the tail latency, as a fraction of the target.

    `evidence` counts observations, which decay. Times are monotonic seconds.
    """

    mean: float
    variance: float
    evidence: float
    updated_s: float

    @property
    def sd(self) -> float:
        """Return the standard deviation of the mean."""
        return math.sqrt(self.variance)

    @property
    def upper(self) -> float:
        """Return the mean plus its standard deviation, at least 0."""
        return max(0.0, self.mean + self.sd)

    @property
    def lower(self) -> float:
        """Return the mean less its standard deviation, at least 0."""
        return max(0.0, self.mean - self.sd)

    @classmethod
    def of_prior(cls, prior: Prior, now_s: float) -> "Estimate":
        """Return the estimate without observations."""
        return cls(prior.mean, prior.sd**2, 0.0, now_s)

    def decayed(self, prior: Prior, now_s: float) -> "Estimate":
        """Return the estimate as it is at a later time without observations."""
        kept = math.exp(-max(0.0, now_s - self.updated_s) / prior.decay_s)
        return Estimate(
            prior.mean + (self.mean - prior.mean) * kept,
            prior.sd**2 + (self.variance - prior.sd**2) * kept**2,
            self.evidence * kept,
            max(now_s, self.updated_s),
        )
