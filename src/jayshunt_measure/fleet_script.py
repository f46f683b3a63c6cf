"""Generate the demand and failures of a simulated fleet."""

import math
import random
from dataclasses import dataclass

DAY_S = 86_400
BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05
DAILY_SWING = 0.6
# Seconds from the start of the script, which is also that of the wave, to the failure
# of one rack.
WAVE_LOSS_S = 240.0
# Mean demand of a pool as a fraction of its VMs. A burst needs 1.25 times the pool, and
# twice the pool at the daily peak.
MEAN_RATIO = 0.25


@dataclass(frozen=True)
class FleetSize:
    """Describe a fleet; each pool has `workers_per_pool` VMs in racks of four."""

    zones: int
    pools: int
    workers_per_pool: int
    memory_gib: int
    target_s: float
    duration_s: int
    step_s: int
    drain_s: float = 10.0
    reboot_s: float = 50.0
    min_available_ratio: float = 0.5


@dataclass(frozen=True)
class Outage:
    """Represent the time in seconds during which one VM is down."""

    vm: int
    from_s: float
    to_s: float


@dataclass(frozen=True)
class Script:
    """Hold the demand and failures of a fleet, which are the same for each policy."""

    size: FleetSize
    rates: list[list[float]]
    zone_of: list[int]
    rack_of: list[int]
    pool_of: list[int]
    outages: tuple[Outage, ...]


def build_script(size: FleetSize, seed: int) -> Script:
    """Generate a script with rotating bursts, a daily cycle and failures."""
    rng = random.Random(seed)
    total = size.pools * size.workers_per_pool
    zone_of = [vm // size.pools % size.zones for vm in range(total)]
    pool_of = [vm % size.pools for vm in range(total)]
    rack_of, filled = [], [0] * size.zones
    for zone in zone_of:
        rack_of.append(zone * 10_000 + filled[zone] // 4)
        filled[zone] += 1
    return Script(
        size,
        _draw_rates(size, rng),
        zone_of,
        rack_of,
        pool_of,
        tuple(_draw_outages(size, rng, zone_of, rack_of)),
    )


def _draw_rates(size: FleetSize, rng: random.Random) -> list[list[float]]:
    """Return the arrival rate in VMs for each step and pool.

    At any time one queue in five has a burst. A queue has five times its mean rate
    for a fifth of the time and a twentieth of it otherwise, which nearly preserves the
    mean.
    """
    steps = size.duration_s // size.step_s
    groups = [
        list(range(first, size.pools, _group_count(size)))
        for first in range(_group_count(size))
    ]
    bursting: list[set[int]] = [set() for _ in range(steps)]
    for group in groups:
        turn, at_s = 0, 0.0
        while at_s < size.duration_s:
            length_s = rng.uniform(4, 36) * max(5, size.step_s)
            pool = group[turn % len(group)]
            first = int(at_s // size.step_s)
            last = min(steps, int((at_s + length_s) // size.step_s))
            for step in range(first, last):
                bursting[step].add(pool)
            at_s, turn = at_s + length_s, turn + 1
    mean = MEAN_RATIO * size.workers_per_pool
    rates = []
    for step in range(steps):
        day = step * size.step_s / DAY_S
        rates.append(
            [
                mean
                * (1 + DAILY_SWING * math.sin(2 * math.pi * (day - pool / size.pools)))
                * (BURST_FACTOR if pool in bursting[step] else QUIET_FACTOR)
                for pool in range(size.pools)
            ]
        )
    return rates


def _group_count(size: FleetSize) -> int:
    return max(1, size.pools // 5)


def _draw_outages(
    size: FleetSize, rng: random.Random, zone_of: list[int], rack_of: list[int]
) -> list[Outage]:
    """Generate failures at the expected rates, and at least one of each kind.

    14 of about 2,000 VMs fail per day, a rack every six weeks and a zone every
    eight months.
    """
    days, total = size.duration_s / DAY_S, len(zone_of)
    outages: list[Outage] = []

    def add_outages(vms: list[int], hours: float, from_s: float | None = None) -> None:
        if from_s is None:
            from_s = rng.uniform(0.1, 0.85) * size.duration_s
        outages.extend(Outage(vm, from_s, from_s + hours * 3600) for vm in vms)

    for _ in range(max(1, round(14 * days * total / 2000))):
        add_outages([rng.randrange(total)], rng.uniform(0.2, 1.0))
    for _ in range(max(1, round(days / 42))):
        rack = rng.choice(rack_of)
        add_outages([vm for vm in range(total) if rack_of[vm] == rack], 1.0)
    # The wave starts at the same time as the script, so this rack fails during it.
    add_outages(
        [vm for vm in range(total) if rack_of[vm] == rack_of[-1]], 0.5, WAVE_LOSS_S
    )
    for _ in range(max(1, round(days / 240))):
        zone = rng.randrange(size.zones)
        add_outages([vm for vm in range(total) if zone_of[vm] == zone], 0.5)
    return sorted(outages, key=lambda outage: outage.from_s)
