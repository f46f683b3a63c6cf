"""Check recorded events against rules."""


def runs_of(events: list[dict]) -> list[dict]:
    """Return every run with its worker, start, end and how it ended.

    A run that the record shows no end of ended with its worker's life, or goes on.
    """
    runs: dict[tuple, dict] = {}
    for row in events:
        if row["event"] == "start":
            runs[row["who"], row["task"], row["run"]] = {
                "worker": row["who"],
                "task": row["task"],
                "run": row["run"],
                "start_s": row["at_s"],
                "end_s": None,
                "how": None,
                "n": None,
            }
        elif row["event"] == "end":
            run = runs[row["who"], row["task"], row["run"]]
            run["end_s"], run["how"], run["n"] = row["at_s"], row["how"], row["n"]
        elif row["event"] == "killed":
            for run in runs.values():
                if run["worker"] == row["worker"] and run["end_s"] is None:
                    run["end_s"], run["how"] = row["at_s"], "crashed"
    return list(runs.values())


def noted_ends(events: list[dict]) -> set[tuple]:
    """Return the ends that were taken note of: worker and number.

    An end is left out if the lease of its worker lapsed before it was noted.
    """
    ended_s: dict[tuple, float] = {}
    lapses_s: dict[str, list[float]] = {}
    noted: set[tuple] = set()
    for row in events:
        who = row["who"]
        if row["event"] == "end":
            ended_s[who, row["n"]] = row["at_s"]
        elif row["event"] == "lapse":
            lapses_s.setdefault(who, []).append(row["at_s"])
        elif row["event"] == "noted":
            for number, *_ in row["ends"]:
                since_s = ended_s[who, number]
                if not any(since_s <= at_s for at_s in lapses_s.get(who, ())):
                    noted.add((who, number))
    return noted


def find_twice(events: list[dict]) -> list[str]:
    """Return what breaks TWICE: runs side by side, or a start after a noted `done`."""
    noted = noted_ends(events)
    by_task: dict[str, list[dict]] = {}
    for run in runs_of(events):
        by_task.setdefault(run["task"], []).append(run)
    broken = []
    for task, runs in by_task.items():
        runs.sort(key=lambda run: run["start_s"])
        for n, first in enumerate(runs):
            for later in runs[n + 1 :]:
                names = f"{first['worker']} and {later['worker']}"
                if first["end_s"] is None or later["start_s"] < first["end_s"]:
                    broken.append(f"{task}: two runs at once, on {names}")
                elif first["how"] == "done" and (first["worker"], first["n"]) in noted:
                    after_s = later["start_s"] - first["end_s"]
                    broken.append(
                        f"{task}: started {after_s:.2f} s after `done`, on {names}"
                    )
    return broken
