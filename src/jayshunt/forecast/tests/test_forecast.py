"""Test when a turn of demand is foreseen, and what that gives callers."""

import unittest

from jayshunt.forecast.arrivals import ArrivalHistory
from jayshunt.forecast.const import BIN_S, LEAD_S
from jayshunt.forecast.forecaster import DemandForecaster
from jayshunt.forecast.tests.builders import (
    HIGH_PER_S,
    POOLS,
    WORK,
    build_history,
    build_turns,
    play,
)
from jayshunt.forecast.turns import forecast_turns
from jayshunt.ids import PoolName

STEP_S = 0.25
# A VM that serves a pool takes this time to reach another one.
MOVE_S = 2.0


def starved_work(turns: list, until_s: float, demand_now) -> float:
    """Return the fraction of work that arrives before capacity for it does.

    `demand_now(pool, now_s)` is what the system asks capacity for; it gets it `MOVE_S`
    later.
    """
    high = HIGH_PER_S * WORK
    orders: list[dict[PoolName, float]] = []
    missing = arrived = 0.0
    for number in range(int(until_s / STEP_S)):
        now_s = number * STEP_S
        orders.append({pool: demand_now(pool, now_s) for pool in POOLS})
        served = orders[max(0, number - int(MOVE_S / STEP_S))]
        for pool, start_s, end_s in turns:
            if start_s <= now_s < end_s:
                arrived += high
                missing += max(0.0, high - served[pool])
    return missing / arrived


class ReactionAndForecast:
    """Ask for capacity by the present demand and, if given, by a forecast."""

    def __init__(self, turns: list, until_s: float, forecaster) -> None:
        """Play the arrivals of the turns."""
        self._turns = turns
        self._arrivals = play(turns, until_s)
        self._next = 0
        self._forecaster = forecaster

    def __call__(self, pool: PoolName, now_s: float) -> float:
        """Return the millicores to have for a pool."""
        while self._next < len(self._arrivals) and (
            self._arrivals[self._next][0] <= now_s
        ):
            at_s, arrived = self._arrivals[self._next]
            self._forecaster.record(arrived, at_s, WORK)
            self._next += 1
        is_high = any(p == pool and s + STEP_S <= now_s < e for p, s, e in self._turns)
        present = HIGH_PER_S * WORK if is_high else 0.0
        return max(present, 1.2 * self._forecaster.millicores(pool, now_s))


class NoForecast(DemandForecaster):
    """Forecast nothing, as if the part were off."""

    def millicores(self, pool: PoolName, now_s: float) -> float:
        """Return 0."""
        return 0.0


class ForecastTest(unittest.TestCase):
    """Turns are foreseen from lengths and orders that agree, and only from these."""

    def test_next_turn_is_known_once_the_order_repeats(self) -> None:
        """A forecast of another pool or time would order VMs where none is needed."""
        for length_s in (4.0, 7.0):
            turns = build_turns([length_s] * 7)
            now_s = 6 * length_s - LEAD_S
            history = build_history(turns, now_s)
            found = forecast_turns(history.find_turns(now_s), now_s)
            self.assertEqual([POOLS[2]], list(found), msg=f"{length_s} s")
            self.assertAlmostEqual(6 * length_s, found[POOLS[2]].start_s, delta=1.0)

    def test_irregular_turns_give_no_forecast(self) -> None:
        """A forecast without a pattern costs VMs that nobody needs."""
        turns = build_turns([2.0, 9.0, 3.5, 12.0, 2.0, 7.0, 14.0, 2.5])
        for now_s in (20.0, 30.0, 40.0, 50.0):
            history = build_history(turns, now_s)
            self.assertEqual({}, forecast_turns(history.find_turns(now_s), now_s))

    def test_pool_that_falls_silent_is_given_up(self) -> None:
        """A pool without callers must not keep VMs because it once had a pattern."""
        turns = [t for t in build_turns([4.0] * 8) if t[:2] != (POOLS[1], 20.0)]
        history = build_history(turns, 22.0)
        self.assertNotIn(POOLS[1], forecast_turns(history.find_turns(22.0), 22.0))

    def test_wrong_forecasts_lose_trust(self) -> None:
        """A rule that was wrong must not be followed again at once."""
        turns = build_turns([4.0] * 6, (*POOLS, POOLS[0], POOLS[2]))
        history = build_history(turns, 22.0)
        self.assertEqual({}, forecast_turns(history.find_turns(22.0), 22.0))

    def test_capacity_is_there_when_a_foreseen_turn_begins(self) -> None:
        """Callers of the first two seconds of a turn wait for VMs that are moving."""
        turns = build_turns([4.0] * 12)
        reaction = starved_work(
            turns, 48.0, ReactionAndForecast(turns, 48.0, NoForecast())
        )
        forecast = starved_work(
            turns, 48.0, ReactionAndForecast(turns, 48.0, DemandForecaster())
        )
        hindsight = starved_work(
            turns,
            48.0,
            lambda pool, now_s: HIGH_PER_S
            * WORK
            * any(p == pool and s <= now_s + MOVE_S < e for p, s, e in turns),
        )
        static = starved_work(turns, 48.0, lambda *_: HIGH_PER_S * WORK / len(POOLS))
        self.assertLess(forecast, 0.75 * reaction)
        self.assertLess(forecast, static)
        self.assertLess(hindsight, forecast)

    def test_rise_is_extrapolated_by_the_time_of_a_move(self) -> None:
        """Callers of a queue whose demand rises for seconds wait for late VMs."""
        history = ArrivalHistory()
        for number, jobs in enumerate((5, 5, 15, 30, 45, 60)):
            for job in range(jobs):
                at_s = number * BIN_S + job * BIN_S / jobs
                history.record(POOLS[0], at_s, WORK)
        now_s = 6 * BIN_S
        present = 105 * WORK
        self.assertGreater(history.rising_millicores(POOLS[0], now_s), 1.5 * present)
        self.assertLessEqual(history.rising_millicores(POOLS[0], now_s), 3 * present)

    def test_steady_demand_seldom_seems_to_rise(self) -> None:
        """A rise seen in chance would fetch VMs again and again."""
        turns = build_turns([60.0], POOLS[:1])
        rises = 0
        for seed in range(20):
            history = build_history(turns, 50.0, seed)
            rises += sum(
                history.rising_millicores(POOLS[0], 10.0 + n) > 0 for n in range(40)
            )
        self.assertLess(rises, 0.05 * 800)

    def test_irregular_turns_cost_no_more_than_without_a_forecast(self) -> None:
        """A surprise must not starve callers more than reaction alone."""
        turns = build_turns([2.0, 9.0, 3.5, 12.0, 2.0, 7.0])
        for_reaction = ReactionAndForecast(turns, 35.0, NoForecast())
        for_forecast = ReactionAndForecast(turns, 35.0, DemandForecaster())
        self.assertEqual(
            starved_work(turns, 35.0, for_reaction),
            starved_work(turns, 35.0, for_forecast),
        )
