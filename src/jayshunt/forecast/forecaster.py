"""Forecast the demand of pools at the time at which a VM ordered now would serve."""

import logging
from dataclasses import dataclass, field

from jayshunt.forecast.arrivals import ArrivalHistory
from jayshunt.forecast.const import LEAD_S, REFRESH_S
from jayshunt.forecast.models import TurnForecast
from jayshunt.forecast.turns import forecast_turns
from jayshunt.ids import PoolName

_LOGGER = logging.getLogger(__name__)


@dataclass
class DemandForecaster:
    """Keep the arrivals of jobs and the forecast turn of each pool.

    Nothing is stored for it: a successor of the dispatcher rebuilds the history from
    the acceptance times of the stored jobs. `forecasts` are those of the last
    refresh, and `made` counts the forecast turns.
    """

    history: ArrivalHistory = field(default_factory=ArrivalHistory)
    forecasts: dict[PoolName, TurnForecast] = field(default_factory=dict)
    made: int = 0
    _refresh_after_s: float = 0.0

    def record(self, pool: PoolName, accepted_s: float, work: float) -> None:
        """Record an accepted job; `work` is in millicore seconds."""
        self.history.record(pool, accepted_s, work)

    def millicores(self, pool: PoolName, now_s: float) -> float:
        """Return the demand of a pool that is forecast for `LEAD_S` from now.

        0 means that none is forecast, and only the demand that is there counts.
        """
        self._refresh(now_s)
        return max(
            self._turn_millicores(pool, now_s),
            self.history.rising_millicores(pool, now_s),
        )

    def _turn_millicores(self, pool: PoolName, now_s: float) -> float:
        forecast = self.forecasts.get(pool)
        if forecast is None:
            return 0.0
        is_near = forecast.start_s <= now_s + LEAD_S < forecast.end_s + LEAD_S
        return forecast.millicores * forecast.confidence if is_near else 0.0

    def _refresh(self, now_s: float) -> None:
        if now_s < self._refresh_after_s:
            return
        self._refresh_after_s = now_s + REFRESH_S
        self.history.forget_old(now_s)
        found = forecast_turns(self.history.find_turns(now_s), now_s)
        for pool, forecast in found.items():
            known = self.forecasts.get(pool)
            if known is None or abs(known.start_s - forecast.start_s) > LEAD_S:
                self.made += 1
                _log_forecast(forecast, now_s)
        self.forecasts = found


def _log_forecast(forecast: TurnForecast, now_s: float) -> None:
    _LOGGER.info(
        "dispatch: demand is forecast to rise",
        extra={
            "pool": forecast.pool,
            "in_s": round(forecast.start_s - now_s, 1),
            "for_s": round(forecast.end_s - forecast.start_s, 1),
            "millicores": round(forecast.millicores),
            "confidence": round(forecast.confidence, 2),
            "evidence": str(forecast.evidence),
        },
    )
