"""Generate the load of the two deployments, scaled down to one machine."""

import random
from dataclasses import dataclass

ZONES = ("north", "south")
INSTANCES_PER_ZONE = 2
SLOTS = 5
TOTAL_SLOTS = len(ZONES) * INSTANCES_PER_ZONE * SLOTS
# Arrival rate of a class during its burst, as a multiple of the pool's capacity. In
# the deployments a burst is five times the mean of a queue and exceeds the capacity.
BURST_LOAD = 1.4
BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05
MARKED_RATIO = 0.3
RUN_SPREAD = 0.5


@dataclass(frozen=True)
class ClassShape:
    """Describe one class by its mean run time and target.

    Bursts are shortened to fit the run, so targets are less than half of a burst.
    Otherwise the queue at the end of a burst would matter more than the slots.
    """

    name: str
    run_ms: float
    target_ms: int


@dataclass(frozen=True)
class Shape:
    """Describe one deployment by its shared pool and five classes."""

    pool: str
    classes: tuple[ClassShape, ...]

    def target_ms(self, name: str) -> int:
        """Return the target of a class."""
        return next(c.target_ms for c in self.classes if c.name == name)


@dataclass(frozen=True)
class Arrival:
    """Represent a request to send at `at_s` seconds after the start of the case.

    A `marked` request must not be repeated.
    """

    number: int
    at_s: float
    work_class: str
    run_ms: float
    target_ms: int
    marked: bool


TETTEH = Shape(
    "hire",
    (
        ClassShape("kumasi-desk", 60, 400),
        ClassShape("takoradi-yard", 80, 500),
        ClassShape("tamale-depot", 100, 600),
        ClassShape("accra-dispatch", 80, 500),
        ClassShape("administration", 120, 700),
    ),
)
TEE = Shape(
    "tea",
    (
        ClassShape("front-desk", 50, 350),
        ClassShape("tastings", 70, 500),
        ClassShape("public-pages", 60, 400),
        ClassShape("groups", 100, 600),
        ClassShape("general-office", 110, 700),
    ),
)


def burst_arrivals(
    shape: Shape, seconds: float, seed: int, first: int = 0, count: int = 5
) -> list[Arrival]:
    """Return arrivals during which `count` classes have a burst one after another."""
    rng = random.Random(seed)
    length_s = seconds / count
    arrivals = []
    for turn in range(count):
        bursting = shape.classes[(first + turn) % len(shape.classes)]
        for item in shape.classes:
            mean_per_s = BURST_LOAD / BURST_FACTOR * TOTAL_SLOTS / (item.run_ms / 1000)
            factor = BURST_FACTOR if item is bursting else QUIET_FACTOR
            arrivals += _poisson(
                rng, item, mean_per_s * factor, turn * length_s, length_s
            )
    return _numbered(arrivals)


def steady_arrivals(
    shape: Shape, seconds: float, seed: int, load: float = 0.3
) -> list[Arrival]:
    """Return arrivals of all classes at a constant fraction of the capacity."""
    rng = random.Random(seed)
    arrivals = []
    for item in shape.classes:
        per_s = load * TOTAL_SLOTS / len(shape.classes) / (item.run_ms / 1000)
        arrivals += _poisson(rng, item, per_s, 0.0, seconds)
    return _numbered(arrivals)


def _poisson(
    rng: random.Random, item: ClassShape, per_s: float, start_s: float, length_s: float
) -> list[Arrival]:
    arrivals = []
    at_s = rng.expovariate(per_s)
    while at_s < length_s:
        run_ms = item.run_ms * rng.uniform(1 - RUN_SPREAD, 1 + RUN_SPREAD)
        marked = rng.random() < MARKED_RATIO
        arrivals.append(
            Arrival(0, start_s + at_s, item.name, run_ms, item.target_ms, marked)
        )
        at_s += rng.expovariate(per_s)
    return arrivals


def _numbered(arrivals: list[Arrival]) -> list[Arrival]:
    ordered = sorted(arrivals, key=lambda a: a.at_s)
    return [
        Arrival(n, a.at_s, a.work_class, a.run_ms, a.target_ms, a.marked)
        for n, a in enumerate(ordered)
    ]
