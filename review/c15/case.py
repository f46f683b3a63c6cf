"""Stop entries with SIGTERM while they take over, and wait for their end."""

import random
import signal
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from bed import TROUBLE, Bed, route, service  # noqa: E402
from fleet import Record  # noqa: E402

# Small deployments of one entry and three machines each, beside each other.
DEPLOYMENTS = 4
DURATION_S = 85.0
GRACE_S = 6.0
# From the write that makes an entry the dispatcher to the SIGTERM.
DELAY_S = (0.0, 0.03)
CALM_DELAY_S = (2.0, 3.0)


def wait_takeover(bed, known, end_s):
    """Wait until the store has a dispatcher other than `known`; return its record."""
    while time.monotonic() < end_s:
        value = bed.store.read("jayshunt/term")
        if value is not None and value != known:
            return value
        time.sleep(0.0005)
    return None


def start_deployment(record, number):
    """Start a deployment of one entry and three machines."""
    bed = Bed(record, names=f"front-{number}")
    for n in range(3):
        bed.fleet.add(f"m-{number}-{n}", "desk")
    services = [service("desk"), service("spare", spare=True)]
    bed.put_config([route("r-1", "/q/", "desk")], services)
    bed.start_entries(1)
    return bed


def play(bed, rng, hung):
    """Stop the entry of one deployment again and again."""
    entry, end_s, term = bed.entries[0], time.monotonic() + DURATION_S, None
    while (term := wait_takeover(bed, term, end_s)) is not None:
        time.sleep(rng.uniform(*(DELAY_S if TROUBLE else CALM_DELAY_S)))
        entry.send(signal.SIGTERM)
        sent_s = time.monotonic()
        while entry.process.poll() is None:
            if time.monotonic() - sent_s > GRACE_S:
                hung.append(entry.name)
                bed.record.add("still-there", name=entry.name, after_s=GRACE_S)
                entry.process.kill()
                entry.process.wait()
            time.sleep(0.01)
        fields = {"after_s": round(time.monotonic() - sent_s, 3)}
        fields["code"] = entry.process.returncode
        bed.record.add("entry-ends", name=entry.name, **fields)
        entry.start()


def main():
    """Return the exit status."""
    record, beds, hung = Record(HERE / "record.txt"), [], []
    try:
        for number in range(DEPLOYMENTS):
            beds.append(start_deployment(record, number))
        threads = [
            threading.Thread(target=play, args=(bed, random.Random(n), hung))
            for n, bed in enumerate(beds)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        signals = len(record.of("signal"))
        held = f"{len(hung)} processes were still there" if hung else "held"
        record.add("result", rule="Fault", held=held, signals=signals)
        print(f"Fault: {held}, {signals} signals")
        if not signals:
            return 2
        return 1 if hung else 0
    finally:
        for bed in beds:
            bed.stop()


if __name__ == "__main__":
    sys.exit(main())
