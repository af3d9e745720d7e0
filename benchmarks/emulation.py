"""An emulator of hosts on which tasks disturb each other, for one policy.

Its law is the one that the looks of real workers fit best: the tail of a task
that serves follows 1 / (1 - u), where u is its own swinging load and the press
of each filling task beside it. Everything is drawn from a seed; no network,
no real time.
"""

from __future__ import annotations

import math
import random

from benchmarks.emulated import (
    LASTING_SECONDS,
    STEP_SECONDS,
    Load,
    Outcome,
    Running,
    add_worker,
)
from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import (
    IDLE_TAIL_RATIO,
    InterferenceModel,
)
from lentilmount.scheduling.model import (
    BUSY_USAGE,
    QUIET_USAGE,
    Job,
    JobState,
    Task,
    TaskPhase,
    Worker,
)
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.reconciliation import Reconciler
from lentilmount.scheduling.reports import (
    EndKind,
    EndReport,
    RunReport,
    WorkerReport,
)
from lentilmount.scheduling.specs import JobSpec, QueuePolicy, StepSpec
from lentilmount.scheduling.throttling import Throttler

LOOK_SECONDS = 0.5
TARGET_MS = 50.0
MOST_RATIO = 15.0
HARM_SECONDS = 4.0
STOP_SECONDS = 0.3
MOVE_AFTER_SECONDS = 1.5
BUSY_SHARE = 0.6
"""Share of the time in which a filling task is busy."""


class Emulation:
    """Hosts, arrivals, and the policy that is measured."""

    def __init__(self, load: Load, seed: int):
        self.load = load
        self.random = random.Random(seed)
        self.cluster = ClusterState()
        self.interference_model = InterferenceModel()
        self.placer = Placer(self.cluster, self.interference_model)
        self.pacer = Throttler(self.interference_model)
        self.now = 0.0
        self.running: dict[str, dict[Task, Running]] = {}
        self.ends: dict[str, list[EndReport]] = {}
        self.jobs: list[Job] = []
        self.outcome = Outcome()
        self._counted = 0.0
        self._owed = 0.0
        self._halted: dict[Task, float] = {}
        self._paces: list[tuple[float, Task, int]] = []
        self._phases: dict[str, float] = {}
        self.serving_images = [f's{n}' for n in range(5)]
        self.filling_images = [f'f{n}' for n in range(9)]
        self.press = self._draw_press()
        self.popular = self.filling_images[:]
        self.random.shuffle(self.popular)

    def _draw_press(self) -> dict[tuple[str, str], float]:
        press = {}
        heavy = round(self.load.heavy * len(self.filling_images))
        for number, filling in enumerate(self.filling_images):
            for serving in self.serving_images:
                value = self.random.uniform(0.0, 0.015)
                if number < heavy and self.random.random() < 0.55:
                    value = self.random.uniform(0.06, 0.22)
                press[serving, filling] = value
        return press

    def use_policy(
        self, interference_model: InterferenceModel, pacer: Throttler
    ) -> None:
        """Plays another policy, to compare with."""
        self.interference_model = interference_model
        self.placer = Placer(self.cluster, interference_model)
        self.pacer = pacer

    # Hosts and jobs.

    def _add_workers(self) -> None:
        for number in range(self.load.workers):
            scale = 1.5 if number % 3 == 2 else 1.0
            worker = add_worker(
                self.cluster,
                f'w{number}',
                Room(self.load.cores * scale, int(128_000 * scale)),
                f'z{number % 4}',
                ('a', f'r{number // 8}'),
            )
            self.running[worker.id] = {}
            self.ends[worker.id] = []

    def _admit(self, steps: tuple[StepSpec, ...], stretch: float) -> None:
        policy = QueuePolicy(
            'queue',
            'service',
            priority=2 if steps[0].fills else 0,
            max_attempts=2,
            stretch=stretch,
            target_seconds=1.0 if steps[0].fills else 0.25,
        )
        spec = JobSpec(f'{len(self.jobs):016x}', '', steps, policy, self.now)
        self.jobs.append(self.cluster.admit(spec, self.now, self.now))

    def _admit_serving(self) -> None:
        draw = self.random
        step = StepSpec(
            count=6,
            demand=Room(
                round(draw.uniform(5.0, 8.0) * self.load.cores / 32, 1), 13_000
            ),
            lasting=True,
            image=draw.choice(self.serving_images),
            target_ms=TARGET_MS,
        )
        self._admit((step,), 2.0)

    def _draw_filling_image(self) -> str:
        weights = [1 / (n + 1) for n in range(len(self.filling_images))]
        return self.random.choices(self.popular, weights)[0]

    def _admit_steps(self, fills: bool) -> None:
        draw = self.random
        count = 1 + (draw.random() < 0.6) + (fills and draw.random() < 0.4)
        image = self._draw_filling_image() if fills else ''
        steps = []
        for number in range(count):
            width = max(1, round(draw.gauss(8 if fills else 6, 4)))
            cores = draw.uniform(2.5, 4.5) * self.load.cores / 32
            seconds = draw.uniform(0.9, 2.6) if fills else 0.64
            steps.append(
                StepSpec(
                    count=width,
                    demand=Room(round(cores, 1), 6_400),
                    estimated_seconds=seconds,
                    after=(number - 1,) if number else (),
                    checkpointing=fills,
                    image=image,
                    fills=fills,
                )
            )
        self._admit(tuple(steps), 2.0 if fills else 1.5)

    # Time.

    def run(self) -> Outcome:
        """Plays it and returns what came out."""
        self._add_workers()
        for _ in range(self.load.serving_jobs):
            self._admit_serving()
        end = self.load.seconds + 12.0
        next_look = 0.0
        while self.now < end:
            if self.now < self.load.seconds:
                self._arrive()
            self._advance()
            for worker in list(self.cluster.workers.values()):
                if self.ends[worker.id]:
                    self._look(worker)
            if self.now >= next_look:
                next_look = self.now + LOOK_SECONDS
                for worker in list(self.cluster.workers.values()):
                    self._look(worker)
                self._check_known()
            self._move_halted()
            self._place()
            self.now = round(self.now + STEP_SECONDS, 6)
        self._sum_up()
        return self.outcome

    def _arrive(self) -> None:
        for fills, rate in (
            (True, self.load.filling_per_second),
            (False, self.load.plain_per_second),
        ):
            if self.random.random() < rate * STEP_SECONDS:
                self._admit_steps(fills)

    def _place(self) -> None:
        for task, worker in self.placer.place(self.now, lambda *_: True):
            self.cluster.confirm_start(task, task.run, self.now)
            seconds = task.spec.estimated_seconds
            left = self.random.expovariate(1 / LASTING_SECONDS)
            if not task.spec.lasting:
                done = float(task.checkpoint or 0)
                left = seconds * self.random.uniform(0.8, 1.2) - done
            phase = self._phases.setdefault(
                task.id.job, self.random.uniform(0, math.tau)
            )
            self.running[worker.id][task] = Running(task, left, phase=phase)

    def _get_load(self, running: Running) -> float:
        angle = math.tau * self.now / self.load.swing_seconds + running.phase
        return 0.45 * (1 + 0.5 * math.sin(angle))

    def _advance(self) -> None:
        for at, task, percent in [p for p in self._paces if p[0] <= self.now]:
            found = self.running.get(task.worker, {}).get(task)
            if found is not None:
                found.percent = percent
            self._paces.remove((at, task, percent))
        for worker in self.cluster.workers.values():
            self._advance_worker(worker)

    def _advance_worker(self, worker: Worker) -> None:
        here = self.running[worker.id]
        filling = [r for r in here.values() if r.task.spec.fills]
        spare = worker.entry.capacity.cores
        for running in here.values():
            cores = running.task.spec.demand.cores
            if running.task.is_serving:
                spare -= cores * self._get_load(running)
                self._serve(running, filling)
            elif not running.task.spec.fills:
                spare -= cores
        wanted = sum(
            r.task.spec.demand.cores * r.percent / 100 for r in filling
        )
        speed = min(1.0, max(0.05, spare / wanted)) if wanted else 1.0
        for running in list(here.values()):
            self._switch(running)
            share = 1.0
            if running.task.spec.fills:
                share = speed * running.percent / 100
            running.left -= STEP_SECONDS * share
            if running.left <= 0:
                kind = EndKind.DONE
                if running.task.spec.lasting:
                    kind = EndKind.FAILED
                self._end(worker, running, kind, '')
            elif self.now >= running.stop_at:
                spec = running.task.spec
                done = str(max(0.0, spec.estimated_seconds - running.left))
                self._end(worker, running, EndKind.STOPPED, done)

    def _switch(self, running: Running) -> None:
        """Lets busy and quiet spells take turns."""
        if self.now < running.switch_at:
            return
        running.busy = self.random.random() < BUSY_SHARE
        running.switch_at = self.now + self.random.uniform(1.0, 4.0)

    def _serve(self, running: Running, filling: list[Running]) -> None:
        image = running.task.spec.image
        press = sum(
            self.press[image, f.task.spec.image] * f.press for f in filling
        )
        load = self._get_load(running)
        used = min(0.99, load + press)
        ratio = min(MOST_RATIO, IDLE_TAIL_RATIO / (1 - used))
        running.ratios.append(ratio)
        if self.now >= self.load.seconds:
            return
        self._owed += STEP_SECONDS
        if ratio < 1:
            running.over_since = math.inf
            self._counted += STEP_SECONDS
            return
        running.over_since = min(running.over_since, self.now)
        self._counted -= 3 * STEP_SECONDS
        over = self.now - running.over_since
        if HARM_SECONDS <= over < HARM_SECONDS + STEP_SECONDS:
            self.outcome.harms += 1

    def _end(
        self, worker: Worker, running: Running, kind: EndKind, done: str
    ) -> None:
        del self.running[worker.id][running.task]
        number = len(self.ends[worker.id]) + 1
        task = running.task
        self.ends[worker.id].append(
            EndReport(number, str(task.id), task.run, kind, done)
        )

    # What the policy sees and does.

    def _look(self, worker: Worker) -> None:
        rows = tuple(
            RunReport(str(t.id), t.run, '', 100, self._measure(running))
            for t, running in self.running[worker.id].items()
        )
        ended = tuple(self.ends[worker.id])
        self.ends[worker.id] = []
        report = WorkerReport(1, 0, rows, ended)
        result = Reconciler(self.cluster).reconcile(
            worker, report, self.now, self.now
        )
        for task, _ in result.ended:
            self.interference_model.forget(task)
            self._halted.pop(task, None)
        self.interference_model.observe(worker, self.now)
        for task, percent in self.pacer.plan(worker, self.now).items():
            self._pace(task, percent)

    def _measure(self, running: Running) -> float | None:
        if not running.task.is_serving:
            used = BUSY_USAGE if running.busy else QUIET_USAGE
            cores = running.task.spec.demand.cores
            return cores * 10 * running.percent * used
        if not running.ratios:
            return None
        mean = sum(running.ratios) / len(running.ratios)
        return float(round(mean * TARGET_MS * self.random.gauss(1, 0.08)))

    def _pace(self, task: Task, percent: int) -> None:
        task.previous_cpu_percent = task.cpu_percent
        task.cpu_percent = percent
        task.throttled_at = self.now
        self._paces.append((self.now + 0.1, task, percent))
        if percent == 0:
            self._halted.setdefault(task, self.now)
        else:
            self._halted.pop(task, None)

    def _move_halted(self) -> None:
        for task, since in list(self._halted.items()):
            if self.now - since < MOVE_AFTER_SECONDS:
                continue
            del self._halted[task]
            running = self.running.get(task.worker, {}).get(task)
            if running is not None and task.phase is TaskPhase.RUNNING:
                self.cluster.begin_stop(task)
                running.stop_at = self.now + STOP_SECONDS
                self.outcome.moves += 1

    def _check_known(self) -> None:
        if self.outcome.known_after < math.inf:
            return
        good = [pair for pair, value in self.press.items() if value < 0.02]
        known = {
            (serving, filling)
            for serving, filling, mean in self.interference_model.export()
            if mean < 0.03
        }
        if len(known & set(good)) >= 0.9 * len(good):
            self.outcome.known_after = self.now

    def _sum_up(self) -> None:
        owed = done = 0.0
        for job in self.jobs:
            if not job.spec.steps[0].fills:
                continue
            worth = 0.3 + sum(
                s.count * s.demand.cores * s.estimated_seconds / 100
                for s in job.spec.steps
            )
            owed += worth
            if job.state is JobState.COMPLETED and self._is_in_time(job):
                done += worth
        self.outcome.filling = done / owed if owed else 1.0
        self.outcome.serving = self._counted / self._owed

    def _is_in_time(self, job: Job) -> bool:
        ended = max(task.last_ended_at for task in job.tasks.values())
        return ended - job.accepted_at <= job.objective
