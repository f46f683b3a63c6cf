"""Define turns of demand and forecasts of them."""

from dataclasses import dataclass

from jayshunt.ids import PoolName


@dataclass(frozen=True)
class Turn:
    """Describe a span in which a pool's demand was far above its mean.

    `millicores` is the work that arrived per second, in millicore seconds. Times are
    monotonic seconds. `is_open` means that the turn has not ended.
    """

    pool: PoolName
    start_s: float
    end_s: float
    millicores: float
    is_open: bool = False

    @property
    def length_s(self) -> float:
        """Return how long the turn has lasted, in seconds."""
        return self.end_s - self.start_s


@dataclass(frozen=True)
class PeriodEvidence:
    """Base a forecast on equal intervals between turns of the same pool."""

    interval_s: float


@dataclass(frozen=True)
class SuccessionEvidence:
    """Base a forecast on the pool whose turns followed those of another pool."""

    after: PoolName
    turn_length_s: float


Evidence = PeriodEvidence | SuccessionEvidence


@dataclass(frozen=True)
class TurnForecast:
    """Forecast the next turn of a pool.

    `confidence`, from 0 to 1, is the share of right forecasts among those that the
    same evidence would have given earlier.
    """

    pool: PoolName
    start_s: float
    end_s: float
    millicores: float
    confidence: float
    evidence: Evidence
