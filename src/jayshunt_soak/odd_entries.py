"""Draw entries of the store as another program may write them, and what must hold."""

import random
import signal

from jayshunt.dispatch.records import HANDOFF_KEY, ORDERED_KEY, SUSPECT_KEY
from jayshunt.dispatch.tests.odd_entries import (
    ODD_NAMES,
    ODD_TEXTS,
    STORED_WAVE,
    SUSPICION,
    WAVE,
    WORKER,
    all_odd_entries,
)
from jayshunt.platform.const import WAVE_PREFIX, WORKER_PREFIX
from jayshunt_soak.testbed import Program

ENTRIES_PER_FAULT = 12
# A process that was stopped or killed by the soak ends with one of these.
EXPECTED_STATUSES = (0, -signal.SIGKILL, -signal.SIGTERM)
# A loop that an error ended is started again, and the error comes back with its cause.
UNEXPECTED_ERROR = "unexpected error"


def draw_entries(seed: int) -> dict[str, bytes]:
    """Return odd workers, waves and records of ours by key."""
    rng = random.Random(seed)
    found: dict[str, bytes] = {}
    for number in range(ENTRIES_PER_FAULT):
        name = rng.choice(ODD_NAMES) if rng.random() < 0.2 else f"odd-{seed}-{number}"
        found[WORKER_PREFIX + name] = rng.choice(all_odd_entries(WORKER))
        wave = f"{WAVE_PREFIX}{rng.randrange(1_000, 2_000)}"
        found[wave] = rng.choice(all_odd_entries(WAVE))
    records = [text.encode() for text in ODD_TEXTS]
    records += all_odd_entries(SUSPICION) + all_odd_entries(STORED_WAVE)
    found[rng.choice((HANDOFF_KEY, ORDERED_KEY, SUSPECT_KEY))] = rng.choice(records)
    return found


def check_survival(entries: list[Program]) -> list[str]:
    """Return the entries that ended by themselves or had an unexpected error."""
    broken: list[str] = []
    for entry in entries:
        odd = [s for s in entry.statuses if s not in EXPECTED_STATUSES]
        broken += [f"{entry.name} ended by itself, status {status}" for status in odd]
        if entry.log.exists() and UNEXPECTED_ERROR in entry.log.read_text():
            broken.append(f"{entry.name} had an unexpected error")
    return broken
