"""Simulate waves of upkeep and cancelled jobs beside workers that go away.

Three rules are added to those of `DepartureSimulation`: a wave is not completed while
a VM of it has not begun its upkeep (MIXED), a cancelled job runs nowhere after the time
in which its runs have to be stopped (UNASKED), and one VM of a wave is down at a time
(LIMIT).
"""

import json
import random
from concurrent.futures import Future
from dataclasses import dataclass, field
from types import SimpleNamespace

from jayshunt.dispatch.dispatcher import Dispatcher
from jayshunt.dispatch.models import Bounds, Resources, StartOrder, TaskKey
from jayshunt.dispatch.records import cancelled_key
from jayshunt.dispatch.store_models import Put
from jayshunt.dispatch.tests.builders import build_step
from jayshunt.dispatch.tests.departure_simulation import DepartureSimulation
from jayshunt.dispatch.tests.fakes import no_answer
from jayshunt.dispatch.tests.start_simulation import (
    STOP_S,
    Life,
    SimulatedVm,
    StartSimulation,
)
from jayshunt.dispatch.vms import DutyAnswer, DutyRefusal, VmState
from jayshunt.errors import JayshuntError, Outcome
from jayshunt.ids import JobId, VmId
from jayshunt.platform.const import WAVE_PREFIX, WAVE_STATUS_PREFIX

WIDE = build_step(task_count=1_200, resources=Resources(1, 1))
WAVE_S = (4.0, 9.0)
WIDE_S = (12.0, 20.0)
# After this long small jobs are cancelled, while the starts of a wide one are sent.
CANCEL_SMALL_S = (0.05, 0.6)
CANCEL_WIDE_S = (3.0, 6.0)
SMALL_CANCELS = 4
UPKEEP_S = 2.0
LOST_ANSWERS = 0.15
CANCEL_S = Bounds().cancel_ms / 1000
CONTACT_S = Bounds().contact_ms / 1000


class InlineExecutor:
    """Carry out calls at once, in place of a pool of threads."""

    def submit(self, call, *arguments) -> Future:
        """Return the result of a call."""
        future: Future = Future()
        try:
            future.set_result(call(*arguments))
        except Exception as error:
            future.set_exception(error)
        return future


@dataclass
class DrawnWave:
    """Represent a wave, the VMs that began their upkeep, and those that are in it.

    A VM that was not there when the wave was shown as completed is excused.
    """

    vms: tuple[VmId, ...]
    down: set[VmId] = field(default_factory=set)
    begun: set[VmId] = field(default_factory=set)
    excused: set[VmId] | None = None


class WaveSimulation(DepartureSimulation):
    """Declare waves, also for VMs that are new or never exist, and cancel jobs.

    The jobs that are cancelled are small ones right after a wide one was accepted, and
    the wide ones. `mixed`, `unasked` and `over_limit` are what breaks the three rules.
    """

    def __init__(self, seed: int, has_phases: bool = True) -> None:
        """Begin without a wave."""
        self._draws_waves = random.Random(f"{seed}-waves")
        self.waves: dict[int, DrawnWave] = {}
        self.cancelled_s: dict[JobId, float] = {}
        self.mixed: list[str] = []
        self.unasked: list[str] = []
        self.over_limit: list[str] = []
        super().__init__(seed, has_phases)
        self.after(self._draws_waves.uniform(*WAVE_S), self._draw_wave)
        self.after(self._draws_waves.uniform(*WIDE_S), self._draw_wide_job)

    # --- the platform ---

    def run_term(self, dispatcher: Dispatcher) -> None:
        """Let a dispatcher carry out waves too, but leave moves to the simulation."""
        super().run_term(dispatcher)
        platform = SimpleNamespace(
            list=self.list_vms, upkeep=self.take_down, is_complete=True
        )
        fleet = dispatcher.fleet
        fleet._machines = fleet.departures._machines = platform
        fleet.departures._callers = InlineExecutor()
        fleet._plan_moves = lambda config, now_s: None

    def _read_vms(self, dispatcher: Dispatcher) -> None:
        try:
            dispatcher.fleet._round()
        except JayshuntError:
            return

    def take_down(self, name: VmId, number: int, token: int) -> DutyAnswer:
        """Carry out an order for upkeep; some answers are lost."""
        answer = self._take_down(name, self.waves[number])
        if self._draws_waves.random() < LOST_ANSWERS:
            raise no_answer(Outcome.UNKNOWN)
        return answer

    def _take_down(self, name: VmId, wave: DrawnWave) -> DutyAnswer:
        vm = self._find_vm(name)
        if vm is None:
            return DutyAnswer(DutyRefusal.OTHER)
        if name not in wave.vms:
            return DutyAnswer(DutyRefusal.NOT_OF_WAVE)
        if name in wave.begun and vm.life is not None:
            return DutyAnswer(None)
        if vm.life is None or vm in self.leaving:
            return DutyAnswer(DutyRefusal.BUSY)
        if wave.down:
            self.over_limit.append(f"{self.now_s():.2f} {name} beside {wave.down}")
        wave.begun.add(name)
        wave.down.add(name)
        pool = vm.end().worker.pool
        self.down_states[vm] = VmState.UPKEEP
        self.impair(f"{name} goes into upkeep")
        self.counts["upkeeps"] += 1

        def come_back() -> None:
            wave.down.discard(name)
            vm.begin(pool)

        self.after(UPKEEP_S, come_back)
        return DutyAnswer(None)

    def _find_vm(self, name: VmId) -> SimulatedVm | None:
        """Return the VM of a name, None if there is none."""
        found = (vm for vm in self.vms if f"vm-{vm.number}" == name)
        return next((vm for vm in found if vm not in self.gone), None)

    # --- waves ---

    def _draw_wave(self) -> None:
        """Declare a wave of a VM or two, of which some were added just now."""
        draws = self._draws_waves
        names = []
        if draws.random() < 0.5:
            self.add_vm()
            names.append(VmId(f"vm-{self.vms[-1].number}"))
        if draws.random() < 0.6:
            vm = draws.choice([vm for vm in self.vms if vm not in self.gone])
            names.append(VmId(f"vm-{vm.number}"))
        if draws.random() < 0.2:
            names.append(VmId("vm-never"))
        number = len(self.waves) + 1
        wave = self.waves[number] = DrawnWave(tuple(dict.fromkeys(names)))
        fields = {"wave": number, "machines": wave.vms, "deadlineS": 30, "maxCount": 1}
        self.store.transact({}, (Put(f"{WAVE_PREFIX}{number}", _encode(fields)),))
        self._note(f"wave {number} is declared: {wave.vms}")
        self.after(draws.uniform(*WAVE_S), self._draw_wave)

    def _check_waves(self) -> None:
        for number, wave in self.waves.items():
            item = self.store.items.get(f"{WAVE_STATUS_PREFIX}{number}")
            if item is None or json.loads(item.value)["state"] != "completed":
                continue
            present = {name for name in wave.vms if self._find_vm(name) is not None}
            if wave.excused is None:
                wave.excused = set(wave.vms) - present
                self.counts["completed waves"] += 1
            broken = present - wave.begun - wave.excused
            if broken:
                wave.excused |= broken
                self.mixed.append(f"{self.now_s():.2f} wave {number}: {broken}")

    # --- jobs ---

    def _draw_wide_job(self) -> None:
        """Accept a job of many tasks; cancel small jobs, and later the wide one."""
        draws = self._draws_waves
        self.drawn_steps = (WIDE,)
        StartSimulation.add_job(self)
        wide = next(reversed(self.steps))
        self.counts["wide jobs"] += 1
        self.after(draws.uniform(*CANCEL_SMALL_S), self._cancel_small)
        self.after(draws.uniform(*CANCEL_WIDE_S), lambda: self._cancel_job(wide))
        self.after(draws.uniform(*WIDE_S), self._draw_wide_job)

    def _cancel_small(self) -> None:
        running = {
            task.job
            for vm in self.vms
            if vm.life is not None
            for task in vm.life.server.runs
            if self.steps[task.job] is not WIDE
        }
        for job in sorted(running - self.cancelled)[:SMALL_CANCELS]:
            self._cancel_job(job)

    def _cancel_job(self, job: JobId) -> None:
        self.cancelled.add(job)
        self.cancelled_s[job] = self.now_s()
        self.store.transact({}, (Put(cancelled_key(job), b"{}"),))
        self.dispatcher.notify_cancelled(job)
        self._note(f"{job} is cancelled")
        self.counts["cancels"] += 1

    def check_start(self, life: Life, order: StartOrder, believed_ms: int) -> None:
        """Check too that the job was not cancelled a while ago."""
        super().check_start(life, order, believed_ms)
        self._check_run(life, order.task, CANCEL_S, "starts")

    def _check_run(self, life: Life, task: TaskKey, after_s: float, what: str) -> None:
        """Check that a job was not cancelled, or within `after_s` of calm."""
        cancelled_s = self.cancelled_s.get(task.job)
        if cancelled_s is None:
            return
        since_s = max(cancelled_s, self._impaired_s + CONTACT_S)
        if self.now_s() - since_s > after_s:
            text = f"{self.now_s():.2f} {task.job} {what}, cancelled {cancelled_s:.2f}"
            self.unasked.append(text)
            del self.cancelled_s[task.job]

    def _observe(self) -> None:
        """Check waves and cancelled jobs by the truth."""
        super()._observe()
        self._check_waves()
        if not self.cancelled_s:
            return
        for vm in self.vms:
            if vm.life is None or not (vm.hears and vm.is_heard):
                continue
            for task in {key.job: key for key in vm.life.server.runs}.values():
                self._check_run(vm.life, task, CANCEL_S + STOP_S, "runs")


def _encode(fields: dict) -> bytes:
    return json.dumps(fields).encode()
