"""Forecast the next turn of demand; pure functions without network or clock.

The expected load: pools take turns to burst, in a fixed order or each at its own
period. A forecast is made only from lengths or intervals that agree, and is trusted
by how often the same rule was right within the history. Irregular demand therefore
gives no forecast, and a surprise costs no more than without one.
"""

from collections import Counter
from collections.abc import Iterable
from statistics import median

from jayshunt.forecast.const import (
    AGREEING_SHARE,
    AGREEMENT_FRACTION,
    AGREEMENT_SLACK_S,
    MAX_GAP_S,
    MIN_CONFIDENCE,
    MIN_TURNS,
    OVERDUE_S,
    REMEMBERED,
    START_TOLERANCE_S,
)
from jayshunt.forecast.models import (
    Evidence,
    PeriodEvidence,
    SuccessionEvidence,
    Turn,
    TurnForecast,
)
from jayshunt.ids import PoolName


def forecast_turns(turns: list[Turn], now_s: float) -> dict[PoolName, TurnForecast]:
    """Return the trusted forecast of each pool's next turn.

    `turns` are sorted by start. A forecast turn that is overdue is left out.
    """
    confidence = _confidences(turns)
    found: dict[PoolName, TurnForecast] = {}
    for forecast in _predict(turns, confidence):
        known = found.get(forecast.pool)
        is_better = known is None or forecast.confidence > known.confidence
        is_due = forecast.start_s + OVERDUE_S >= now_s
        if forecast.confidence >= MIN_CONFIDENCE and is_due and is_better:
            found[forecast.pool] = forecast
    return found


def _confidences(turns: list[Turn]) -> dict[type, float]:
    """Return, by kind of evidence, the share of forecasts that would have been right.

    Each turn is compared with what the turns before it had forecast. Before any could
    be checked, the share is one half.
    """
    right: Counter = Counter()
    checked: Counter = Counter()
    for number in range(MIN_TURNS, len(turns)):
        actual = turns[number]
        for forecast in _predict(turns[:number], {}):
            kind = type(forecast.evidence)
            if kind is PeriodEvidence and forecast.pool != actual.pool:
                continue
            checked[kind] += 1
            is_close = abs(forecast.start_s - actual.start_s) <= START_TOLERANCE_S
            right[kind] += forecast.pool == actual.pool and is_close
    return {
        kind: (right[kind] + 1) / (checked[kind] + 2)
        for kind in (PeriodEvidence, SuccessionEvidence)
    }


def _predict(turns: list[Turn], confidence: dict[type, float]) -> list[TurnForecast]:
    """Return the forecasts that the turns give, trusted or not."""
    forecasts = _predict_successor(turns)
    for pool in sorted({turn.pool for turn in turns}):
        forecasts += _predict_by_period([t for t in turns if t.pool == pool])
    return [
        TurnForecast(
            turn.pool,
            turn.start_s,
            turn.end_s,
            turn.millicores,
            confidence.get(type(evidence), 0.0),
            evidence,
        )
        for turn, evidence in forecasts
    ]


def _predict_successor(turns: list[Turn]) -> list[tuple[Turn, Evidence]]:
    """Forecast the turn after the latest one from the order of earlier turns."""
    if len(turns) < MIN_TURNS:
        return []
    last = turns[-1]
    length_s = _agreed([turn.length_s for turn in turns[:-1]])
    if length_s is None:
        return []
    following = [
        after
        for before, after in zip(turns, turns[1:], strict=False)
        if before.pool == last.pool and after.start_s - before.end_s <= MAX_GAP_S
    ]
    if not following or len({turn.pool for turn in following}) > 1:
        return []
    pattern = following[-1]
    start_s = last.start_s + length_s
    turn = Turn(pattern.pool, start_s, start_s + length_s, pattern.millicores)
    return [(turn, SuccessionEvidence(last.pool, length_s))]


def _predict_by_period(turns: list[Turn]) -> list[tuple[Turn, Evidence]]:
    """Forecast a pool's next turn from equal intervals between its own turns."""
    if len(turns) <= MIN_TURNS:
        return []
    starts = [turn.start_s for turn in turns]
    interval_s = _agreed(b - a for a, b in zip(starts, starts[1:], strict=False))
    if interval_s is None:
        return []
    last, length_s = turns[-1], median(turn.length_s for turn in turns[:-1])
    start_s = last.start_s + interval_s
    turn = Turn(last.pool, start_s, start_s + length_s, last.millicores)
    return [(turn, PeriodEvidence(interval_s))]


def _agreed(values: Iterable[float]) -> float | None:
    """Return the median of the last values if most agree, None if not or too few."""
    known = list(values)[-REMEMBERED:]
    if len(known) < MIN_TURNS:
        return None
    middle = median(known)
    slack = AGREEMENT_FRACTION * middle + AGREEMENT_SLACK_S
    agreeing = sum(abs(value - middle) <= slack for value in known)
    return middle if agreeing >= AGREEING_SHARE * len(known) else None
