"""Cancel jobs right after another caller handed in a job of many work units."""

import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

from bed import TROUBLE, Bed, route, service  # noqa: E402

MACHINES = 4
SMALL_JOBS = 20
CANCELLED_JOBS = 8
WIDE_COUNT = 10_000
WIDE_CPU = 6
# SYSTEM.md: "One way, 0.9 ms between zones".
WAY_S = 0.0018
CANCEL_AFTER_S = 0.5
# The bounds in the settings of the entries: `cancel_ms` and `stopMs`.
ALLOWED_S = 3.0 + 0.9
WATCH_S = 25.0


def submit(bed, job, count, work):
    """Hand in a job of one step; return whether it was accepted."""
    step = {"count": count, "cpu": work["cpu"], "memMb": work["memMb"]}
    body = {"spec": json.dumps([work]), "steps": [{**step, "estimateMs": work["ms"]}]}
    return bed.submit(f"/q/{job}", body)


def cancel(bed, job):
    """Cancel a job at one entry after the other; return when it was acknowledged."""
    for entry in bed.entries:
        found = entry.call("DELETE", f"/q/{job}")
        if found is not None and found[0] in (200, 202, 204, 410):
            return time.monotonic() - bed.record.started_s
    return None


def find_runs(bed, job):
    """Return the start and the end of each run of a job, the end None so far."""
    runs = {}
    for row in bed.record.rows:
        if row["what"] in ("start", "end") and row["task"].startswith(job):
            runs.setdefault((row["task"], row["run"]), {})[row["what"]] = row["at_s"]
    return runs


def main():
    """Return the exit status."""
    bed = Bed(HERE / "record.txt")
    bed.fleet.way_s = WAY_S
    for n in range(MACHINES):
        bed.fleet.add(f"m-{n}", "desk")
    services = [service("desk"), service("spare", spare=True)]
    bed.put_config([route("r-1", "/q/", "desk")], services)
    bed.start_entries(3)
    try:
        if not bed.wait_ready():
            return 2
        small = [f"{n:016x}" for n in range(1, SMALL_JOBS + 1)]
        work = {"ms": 60_000, "cpu": 100, "memMb": 100}
        if not all([submit(bed, job, 1, work) for job in small]):
            return 2
        time.sleep(4.0)
        wide = {"ms": 40_000, "cpu": WIDE_CPU, "memMb": 1}
        if not submit(bed, "f" * 16, WIDE_COUNT, wide):
            return 2
        time.sleep(CANCEL_AFTER_S)
        cancelled = {job: cancel(bed, job) for job in small[:CANCELLED_JOBS] if TROUBLE}
        time.sleep(WATCH_S)
        now_s, late = time.monotonic() - bed.record.started_s, 0
        for job, acked_s in cancelled.items():
            for (task, run), times in find_runs(bed, job).items():
                after_s = round(times.get("end", now_s) - (acked_s or now_s), 3)
                bed.record.add("cancelled", task=task, run=run, ended_after_s=after_s)
                late += after_s > ALLOWED_S
        started = len(find_runs(bed, "f" * 16))
        held = f"broken for {late} work units" if late else "held"
        bed.record.add("result", rule="UNASKED", held=held, wide_starts=started)
        print(f"UNASKED: {held}, {started} starts of the wide job")
        return 1 if late else 0
    finally:
        bed.stop()


if __name__ == "__main__":
    sys.exit(main())
