"""Emulates workers on which tasks interfere with each other.

The tail latency of a serving task follows 1 / (1 - u), the law that fits the
reports of real workers best; u is the sum of its own oscillating load and the
pressure of each best-effort task on the same worker. All randomness comes from
a seed, and neither the network nor real time is used.
"""

from __future__ import annotations

import math
import random

from benchmarks.emulated import (
    MEAN_LIFETIME_SECONDS,
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

POLL_SECONDS = 0.5
TARGET_MS = 50.0
MAX_TAIL_RATIO = 15.0
HARM_SECONDS = 4.0
STOP_SECONDS = 0.3
MOVE_AFTER_SECONDS = 1.5
BUSY_SHARE = 0.6
"""Probability that the next phase of a best-effort task is busy."""


class Emulation:
    """Emulates workers and arrivals under the measured policy."""

    def __init__(self, load: Load, seed: int):
        self.load = load
        self.random = random.Random(seed)
        self.cluster = ClusterState()
        self.interference_model = InterferenceModel()
        self.placer = Placer(self.cluster, self.interference_model)
        self.throttler = Throttler(self.interference_model)
        self.now = 0.0
        self.running: dict[str, dict[Task, Running]] = {}
        self.ends: dict[str, list[EndReport]] = {}
        self.jobs: list[Job] = []
        self.outcome = Outcome()
        self._counted_seconds = 0.0
        self._serving_seconds = 0.0
        self._halted_since: dict[Task, float] = {}
        self._pending_throttles: list[tuple[float, Task, int]] = []
        self._phases: dict[str, float] = {}
        self.serving_images = [f's{n}' for n in range(5)]
        self.best_effort_images = [f'f{n}' for n in range(9)]
        self.pressure = self._draw_pressures()
        self.images_by_popularity = self.best_effort_images[:]
        self.random.shuffle(self.images_by_popularity)

    def _draw_pressures(self) -> dict[tuple[str, str], float]:
        pressure = {}
        heavy = round(self.load.heavy * len(self.best_effort_images))
        for number, best_effort in enumerate(self.best_effort_images):
            for serving in self.serving_images:
                value = self.random.uniform(0.0, 0.015)
                if number < heavy and self.random.random() < 0.55:
                    value = self.random.uniform(0.06, 0.22)
                pressure[serving, best_effort] = value
        return pressure

    def use_policy(
        self, interference_model: InterferenceModel, throttler: Throttler
    ) -> None:
        """Replaces the policy, to compare it with the default one."""
        self.interference_model = interference_model
        self.placer = Placer(self.cluster, interference_model)
        self.throttler = throttler

    # Workers and jobs.

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
        rng = self.random
        step = StepSpec(
            count=6,
            demand=Room(
                round(rng.uniform(5.0, 8.0) * self.load.cores / 32, 1), 13_000
            ),
            lasting=True,
            image=rng.choice(self.serving_images),
            target_ms=TARGET_MS,
        )
        self._admit((step,), 2.0)

    def _draw_best_effort_image(self) -> str:
        weights = [1 / (n + 1) for n in range(len(self.best_effort_images))]
        return self.random.choices(self.images_by_popularity, weights)[0]

    def _admit_steps(self, fills: bool) -> None:
        rng = self.random
        count = 1 + (rng.random() < 0.6) + (fills and rng.random() < 0.4)
        image = self._draw_best_effort_image() if fills else ''
        steps = []
        for number in range(count):
            width = max(1, round(rng.gauss(8 if fills else 6, 4)))
            cores = rng.uniform(2.5, 4.5) * self.load.cores / 32
            seconds = rng.uniform(0.9, 2.6) if fills else 0.64
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

    # Progress over time.

    def run(self) -> Outcome:
        """Runs the emulation to its end."""
        self._add_workers()
        for _ in range(self.load.serving_jobs):
            self._admit_serving()
        end = self.load.seconds + 12.0
        next_poll = 0.0
        while self.now < end:
            if self.now < self.load.seconds:
                self._draw_arrivals()
            self._advance()
            for worker in list(self.cluster.workers.values()):
                if self.ends[worker.id]:
                    self._poll_worker(worker)
            if self.now >= next_poll:
                next_poll = self.now + POLL_SECONDS
                for worker in list(self.cluster.workers.values()):
                    self._poll_worker(worker)
                self._check_learned_pairs()
            self._move_halted()
            self._place()
            self.now = round(self.now + STEP_SECONDS, 6)
        self._summarize()
        return self.outcome

    def _draw_arrivals(self) -> None:
        for fills, rate in (
            (True, self.load.best_effort_per_second),
            (False, self.load.other_per_second),
        ):
            if self.random.random() < rate * STEP_SECONDS:
                self._admit_steps(fills)

    def _place(self) -> None:
        for task, worker in self.placer.place(self.now, lambda *_: True):
            self.cluster.confirm_start(task, task.run, self.now)
            seconds = task.spec.estimated_seconds
            remaining_seconds = self.random.expovariate(
                1 / MEAN_LIFETIME_SECONDS
            )
            if not task.spec.lasting:
                done = float(task.checkpoint or 0)
                remaining_seconds = (
                    seconds * self.random.uniform(0.8, 1.2) - done
                )
            phase = self._phases.setdefault(
                task.id.job, self.random.uniform(0, math.tau)
            )
            self.running[worker.id][task] = Running(
                task, remaining_seconds, phase=phase
            )

    def _get_load(self, running: Running) -> float:
        angle = math.tau * self.now / self.load.swing_seconds + running.phase
        return 0.45 * (1 + 0.5 * math.sin(angle))

    def _advance(self) -> None:
        for at, task, percent in [
            p for p in self._pending_throttles if p[0] <= self.now
        ]:
            found = self.running.get(task.worker, {}).get(task)
            if found is not None:
                found.percent = percent
            self._pending_throttles.remove((at, task, percent))
        for worker in self.cluster.workers.values():
            self._advance_worker(worker)

    def _advance_worker(self, worker: Worker) -> None:
        running_here = self.running[worker.id]
        best_effort = [r for r in running_here.values() if r.task.spec.fills]
        spare = worker.entry.capacity.cores
        for running in running_here.values():
            cores = running.task.spec.demand.cores
            if running.task.is_serving:
                spare -= cores * self._get_load(running)
                self._measure_serving(running, best_effort)
            elif not running.task.spec.fills:
                spare -= cores
        requested = sum(
            r.task.spec.demand.cores * r.percent / 100 for r in best_effort
        )
        speed = min(1.0, max(0.05, spare / requested)) if requested else 1.0
        for running in list(running_here.values()):
            self._switch_phase(running)
            share = 1.0
            if running.task.spec.fills:
                share = speed * running.percent / 100
            running.remaining_seconds -= STEP_SECONDS * share
            if running.remaining_seconds <= 0:
                kind = EndKind.DONE
                if running.task.spec.lasting:
                    kind = EndKind.FAILED
                self._end_run(worker, running, kind, '')
            elif self.now >= running.stop_at:
                spec = running.task.spec
                done = str(
                    max(0.0, spec.estimated_seconds - running.remaining_seconds)
                )
                self._end_run(worker, running, EndKind.STOPPED, done)

    def _switch_phase(self, running: Running) -> None:
        """Draws the next busy or quiet phase when the current one is over."""
        if self.now < running.switch_at:
            return
        running.busy = self.random.random() < BUSY_SHARE
        running.switch_at = self.now + self.random.uniform(1.0, 4.0)

    def _measure_serving(
        self, running: Running, best_effort: list[Running]
    ) -> None:
        image = running.task.spec.image
        pressure = sum(
            self.pressure[image, f.task.spec.image] * f.pressure
            for f in best_effort
        )
        load = self._get_load(running)
        used = min(0.99, load + pressure)
        ratio = min(MAX_TAIL_RATIO, IDLE_TAIL_RATIO / (1 - used))
        running.tail_ratios.append(ratio)
        if self.now >= self.load.seconds:
            return
        self._serving_seconds += STEP_SECONDS
        if ratio < 1:
            running.over_target_since = math.inf
            self._counted_seconds += STEP_SECONDS
            return
        running.over_target_since = min(running.over_target_since, self.now)
        self._counted_seconds -= 3 * STEP_SECONDS
        over = self.now - running.over_target_since
        if HARM_SECONDS <= over < HARM_SECONDS + STEP_SECONDS:
            self.outcome.harm_periods += 1

    def _end_run(
        self, worker: Worker, running: Running, kind: EndKind, done: str
    ) -> None:
        del self.running[worker.id][running.task]
        number = len(self.ends[worker.id]) + 1
        task = running.task
        self.ends[worker.id].append(
            EndReport(number, str(task.id), task.run, kind, done)
        )

    # Reports to the policy, and its commands.

    def _poll_worker(self, worker: Worker) -> None:
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
            self._halted_since.pop(task, None)
        self.interference_model.observe(worker, self.now)
        for task, percent in self.throttler.plan(worker, self.now).items():
            self._throttle(task, percent)

    def _measure(self, running: Running) -> float | None:
        if not running.task.is_serving:
            used = BUSY_USAGE if running.busy else QUIET_USAGE
            cores = running.task.spec.demand.cores
            return cores * 10 * running.percent * used
        if not running.tail_ratios:
            return None
        mean = sum(running.tail_ratios) / len(running.tail_ratios)
        return float(round(mean * TARGET_MS * self.random.gauss(1, 0.08)))

    def _throttle(self, task: Task, percent: int) -> None:
        task.previous_cpu_percent = task.cpu_percent
        task.cpu_percent = percent
        task.throttled_at = self.now
        self._pending_throttles.append((self.now + 0.1, task, percent))
        if percent == 0:
            self._halted_since.setdefault(task, self.now)
        else:
            self._halted_since.pop(task, None)

    def _move_halted(self) -> None:
        for task, since in list(self._halted_since.items()):
            if self.now - since < MOVE_AFTER_SECONDS:
                continue
            del self._halted_since[task]
            running = self.running.get(task.worker, {}).get(task)
            if running is not None and task.phase is TaskPhase.RUNNING:
                self.cluster.begin_stop(task)
                running.stop_at = self.now + STOP_SECONDS
                self.outcome.moves += 1

    def _check_learned_pairs(self) -> None:
        if self.outcome.known_after < math.inf:
            return
        harmless = [
            pair for pair, value in self.pressure.items() if value < 0.02
        ]
        learned = {
            (serving, best_effort)
            for serving, best_effort, mean in self.interference_model.export()
            if mean < 0.03
        }
        if len(learned & set(harmless)) >= 0.9 * len(harmless):
            self.outcome.known_after = self.now

    def _summarize(self) -> None:
        possible = earned = 0.0
        for job in self.jobs:
            if not job.spec.steps[0].fills:
                continue
            credit = 0.3 + sum(
                s.count * s.demand.cores * s.estimated_seconds / 100
                for s in job.spec.steps
            )
            possible += credit
            if job.state is JobState.COMPLETED and self._is_in_time(job):
                earned += credit
        self.outcome.filling = earned / possible if possible else 1.0
        self.outcome.serving = self._counted_seconds / self._serving_seconds

    def _is_in_time(self, job: Job) -> bool:
        ended = max(task.last_ended_at for task in job.tasks.values())
        return ended - job.accepted_at <= job.objective
