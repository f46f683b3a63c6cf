"""Build histories of arrivals in which pools take turns."""

import random

from jayshunt.forecast.arrivals import ArrivalHistory
from jayshunt.ids import PoolName

POOLS = tuple(PoolName(name) for name in ("desk", "yard", "depot", "trucks"))
HIGH_PER_S = 20.0
LOW_PER_S = 0.25
WORK = 1_000.0


def build_turns(
    lengths_s: list[float], pools: tuple[PoolName, ...] = POOLS
) -> list[tuple[PoolName, float, float]]:
    """Return turns of the given lengths, one after the other, in the pools' order."""
    turns: list[tuple[PoolName, float, float]] = []
    start_s = 0.0
    for number, length_s in enumerate(lengths_s):
        turns.append((pools[number % len(pools)], start_s, start_s + length_s))
        start_s += length_s
    return turns


def play(
    turns: list[tuple[PoolName, float, float]], until_s: float, seed: int = 1
) -> list[tuple[float, PoolName]]:
    """Return the times and pools of random arrivals, by time."""
    rng = random.Random(seed)
    arrivals: list[tuple[float, PoolName]] = []
    for pool in POOLS:
        spans = [(start, end) for name, start, end in turns if name == pool]
        at_s = 0.0
        while at_s < until_s:
            at_s += rng.expovariate(HIGH_PER_S)
            is_high = any(start <= at_s < end for start, end in spans)
            if at_s < until_s and (is_high or rng.random() < LOW_PER_S / HIGH_PER_S):
                arrivals.append((at_s, pool))
    return sorted(arrivals)


def build_history(
    turns: list[tuple[PoolName, float, float]], until_s: float, seed: int = 1
) -> ArrivalHistory:
    """Return the history of the arrivals of some turns."""
    history = ArrivalHistory()
    for at_s, pool in play(turns, until_s, seed):
        history.record(pool, at_s, WORK)
    return history
