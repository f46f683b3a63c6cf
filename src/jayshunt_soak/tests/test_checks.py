"""Test that the checks of the soak detect each kind of violated guarantee."""

import json
import tempfile
import unittest
from pathlib import Path

from jayshunt_soak.checks import check
from jayshunt_soak.excerpt import excerpt
from jayshunt_soak.tests.builders import (
    JOB,
    TASK,
    acknowledged,
    build_job,
    crash,
    end,
    incarnation,
    resized,
    start,
)

GOOD = [
    incarnation("w1"),
    incarnation("w2", "rack-1"),
    start(1.0, 1),
    end(2.0, 1),
    acknowledged(2.1, 1),
]


class ChecksTest(unittest.TestCase):
    """Check each guarantee with events that keep it and events that violate it."""

    def broken(self, *events: dict, **changes) -> list[str]:
        """Return the kinds of the violated guarantees."""
        lines = check([build_job(**changes)], [*GOOD, *events])
        return sorted({line.partition(":")[0] for line in lines})

    def test_kept_guarantees_give_no_line(self) -> None:
        """Correct events must not be reported: a false alarm hides real faults."""
        self.assertEqual([], self.broken())

    def test_overlapping_runs(self) -> None:
        """Two workers that run a task at the same time perform its side effects twice.

        An example is a task that books a truck: two trucks are booked.
        """
        self.assertEqual(["twice"], self.broken(start(1.5, 2, "w2")))

    def test_run_after_a_killed_one_is_allowed(self) -> None:
        """A run ends when its process is killed, so a later run does not overlap."""
        killed = {"at_s": 1.5, "event": "killed", "process": "rack-0"}
        events = [incarnation("w1"), incarnation("w2", "rack-1"), start(1.0, 1), killed]
        events += [start(1.8, 2, "w2"), end(2.4, 2, worker="w2")]
        self.assertEqual([], check([build_job()], events))

    def test_run_after_an_acknowledged_end(self) -> None:
        """A task must not run again once an entry has acknowledged its success."""
        self.assertEqual(["done before"], self.broken(start(3.0, 2, "w2")))

    def test_run_after_an_end_acknowledged_past_its_lease(self) -> None:
        """An acknowledgment after the lease lapsed must not count.

        Seed 2003: a worker behind a silent path listed an end seconds late, after its
        lease had lapsed and the task had been started on another worker. If the lease
        lapsed before the end, the acknowledgment counts.
        """
        lapse = {"at_s": 5.0, "event": "lapse", "worker": "w1"}
        events = [
            incarnation("w1"),
            incarnation("w2", "rack-1"),
            start(1.0, 1),
            end(2.0, 1),
            lapse,
        ]
        events += [start(5.5, 2, "w2"), end(6.0, 2, worker="w2"), acknowledged(7.0, 1)]
        self.assertEqual([], check([build_job()], events))
        before = {**lapse, "at_s": 1.5}
        events[4] = before
        self.assertEqual(1, len(check([build_job()], events)))

    def test_refused_job_that_runs(self) -> None:
        """A job must not run if every answer to its caller was a refusal (not run)."""
        changes = {"accepted_s": None, "is_refused": True, "states": []}
        self.assertEqual(["refused"], self.broken(**changes))

    def test_job_that_nobody_submitted(self) -> None:
        """A worker must not run a job that no caller submitted."""
        stray = start(1.0, 1, task="00000000000000b2.0.0.0")
        self.assertEqual(["unasked"], self.broken(stray))

    def test_accepted_job_that_is_not_known(self) -> None:
        """An accepted job must not be answered as unknown later."""
        self.assertEqual(["lost"], self.broken(states=[(5.0, "gone")]))

    def test_accepted_job_that_does_not_end(self) -> None:
        """Every accepted job must end once all faults have ended."""
        self.assertEqual(["unfinished"], self.broken(states=[(9.0, "running")]))

    def test_completed_without_its_work(self) -> None:
        """A job must not be reported as completed while one of its tasks has failed."""
        job = build_job()
        events = [incarnation("w1"), start(1.0, 1), end(1.5, 1, "failed")]
        self.assertEqual(
            [f"incomplete: {TASK} never ended successfully"], check([job], events)
        )

    def test_step_before_its_predecessor(self) -> None:
        """A step must not start before the step whose result it needs is done."""
        step = build_job().steps[0]
        job = build_job(steps=[step, {**step, "after": [0]}])
        early = start(1.2, 1, "w2", f"{JOB}.0.1.0")
        done = {**early, "event": "end", "at_s": 3.0, "how": "done"}
        lines = check([job], [*GOOD, early, done])
        self.assertEqual(["order"], [line.partition(":")[0] for line in lines])

    def test_more_work_than_a_worker_has_room_for(self) -> None:
        """Entries must not place more on a worker than its CPU capacity.

        The guarantee must hold even if the workers themselves refuse nothing.
        """
        step = {**build_job().steps[0], "cpu": 9_000}
        self.assertEqual(["room"], self.broken(steps=[step]))

    def test_start_on_a_worker_that_has_shrunk(self) -> None:
        """A start must fit into the capacity that a worker had shortly before."""
        late = [resized(0.1, 500), start(3.5, 2), end(3.9, 2)]
        self.assertEqual([], check([build_job()], [*GOOD[:2], *late[:1], *GOOD[2:]]))
        events = [incarnation("w1"), late[0], start(3.7, 1), end(4.0, 1)]
        lines = check([build_job()], events)
        self.assertEqual(["room"], [line.partition(":")[0] for line in lines])

    def test_task_that_crashes_workers_without_end(self) -> None:
        """A task must not be started a third time after three crashes."""
        job = build_job(is_deadly=True, states=[(40.0, "failed")])
        events = [row for n in range(5) for row in crash(4.0 * n, n + 1, f"w{n}")]
        self.assertEqual([], check([job], events))
        events += crash(20.0, 6, "w5")
        lines = check([job], events)
        self.assertEqual(["budget"], [line.partition(":")[0] for line in lines])
        self.assertEqual(lines, check([job], events, [(5.0, 8.9)]))
        self.assertEqual([], check([job], events, [(5.0, 9.1)]))

    def test_job_may_fail_once_two_workers_crashed_under_it(self) -> None:
        """One crash must not fail a job that could be done."""
        job = build_job(states=[(40.0, "failed")])
        self.assertEqual(1, len(check([job], crash(1.0, 1, "w1"))))
        twice = [*crash(1.0, 1, "w1"), *crash(5.0, 2, "w2")]
        self.assertEqual([], check([job], twice))


class ExcerptTest(unittest.TestCase):
    """Check which log lines a failed soak shows."""

    def test_lines_of_the_named_task_and_worker_are_shown(self) -> None:
        """A failure in CI could not be traced, as its logs were in a scratch folder."""
        rows = [start(1.0, 7984, "i-ac9fea772b"), start(1.0, 1, "w3", "other")]
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "rack-0.events").write_text("\n".join(map(json.dumps, rows)))
            (folder / "entry-1.log").write_text(f"placed task={TASK} run=7985\nother")
            (folder / "entry-1.toml").write_text(TASK)
            lines = excerpt(folder, [f"twice: {TASK} run 7985 on i-ac9fea772b"])
        self.assertEqual(2, len(lines.splitlines()), lines)
        self.assertEqual("", excerpt(Path("absent"), []))


if __name__ == "__main__":
    unittest.main()
