"""Measures how close placement comes to the upper bound under overload.

The production placer runs on simulated time with urgent, best-effort and
long-running jobs, some of which fail, while part of the workers leave for
good. Interference is left out, so that only the order and the choice of
workers are measured.
"""

from __future__ import annotations

import math
import random

import attrs

from benchmarks.bound import Item, measure_bound
from benchmarks.emulated import MEAN_LIFETIME_SECONDS, STEP_SECONDS, add_worker
from benchmarks.report import Report
from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Job, JobState, Task, Worker
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.reports import EndKind
from lentilmount.scheduling.specs import JobSpec, QueuePolicy, StepSpec
from lentilmount.scheduling.views import SERVING_CPU_SHARE

WINDOW_SECONDS = 1.0
SEEDS = range(1, 6)
QUICK_SEEDS = range(1, 2)
MAX_OF_BOUND = 1.0 + 1e-6


@attrs.frozen
class Load:
    """Workers and load of a replay.

    Attributes:
      workers: Number of workers.
      cores: Cores of each worker.
      leaving: Share of the workers that leave after a third of the time.
      seconds: Length of the replay.
      urgent_per_second: Arrival rate of urgent jobs.
      best_effort_per_second: Arrival rate of best-effort jobs.
      long_running_jobs: Number of long-running jobs, submitted at the start.
    """

    workers: int = 33
    cores: float = 16.0
    leaving: float = 0.3
    seconds: float = 40.0
    urgent_per_second: float = 2.0
    best_effort_per_second: float = 2.0
    long_running_jobs: int = 22

    def count_leaving(self) -> int:
        """Returns the number of workers that leave."""
        return round(self.leaving * self.workers)


LOADS = {
    'short of lasting': Load(long_running_jobs=12, leaving=0.0),
    'full': Load(leaving=0.0),
    'workers go': Load(),
}

URGENT = QueuePolicy('urgent', 'service', stretch=1.5, target_seconds=0.25)
BEST_EFFORT = QueuePolicy(
    'best-effort', 'service', priority=2, stretch=1.5, target_seconds=1.0
)
LONG_RUNNING = QueuePolicy('lasting', 'service', target_seconds=2.5)
POLICIES = (URGENT, BEST_EFFORT, LONG_RUNNING)


@attrs.define
class Credit:
    """Credit earned by the jobs of one queue.

    Attributes:
      credit: Credit earned.
      possible: Credit if all jobs had been in time.
    """

    credit: float = 0.0
    possible: float = 0.0

    @property
    def share(self) -> float:
        """Share of the possible credit that was earned."""
        return self.credit / self.possible if self.possible else 1.0


class Replay:
    """Runs the placer on arrivals and losses that are drawn from a seed.

    Attributes:
      load: Workers and load.
      earned: Credit by queue.
    """

    def __init__(self, load: Load, seed: int):
        self.load = load
        self.earned = {policy.name: Credit() for policy in POLICIES}
        # Failures depend on placements, so they have their own generator:
        # arrivals must be the same for all policies.
        self._arrival_rng = random.Random(seed)
        self._failure_rng = random.Random(seed)
        self._cluster = ClusterState()
        self._placer = Placer(self._cluster, InterferenceModel())
        self._remaining_seconds: dict[Task, float] = {}
        self._jobs: list[Job] = []
        self._now = 0.0
        for number in range(load.workers):
            add_worker(self._cluster, f'w-{number}', Room(load.cores, 64_000))
        for _ in range(load.long_running_jobs):
            self._admit(LONG_RUNNING, self._draw_long_running())

    def run(self) -> None:
        """Runs the replay to its end."""
        load = self.load
        steps = round(load.seconds / STEP_SECONDS)
        for step in range(steps):
            self._now = step * STEP_SECONDS
            if step == steps // 3:
                for number in range(load.count_leaving()):
                    self._remove_worker(self._cluster.workers[f'w-{number}'])
            self._draw_arrivals()
            self._advance_tasks()
            for task, _ in self._placer.place(self._now, lambda *_: True):
                self._start_task(task)
        for job in self._jobs:
            self._count_credit(job)

    def list_arrivals(self) -> list[tuple[float, JobSpec]]:
        """Returns all jobs with their arrival times."""
        return [(job.accepted_at, job.spec) for job in self._jobs]

    def measure_credit_share(self) -> float:
        """Returns the mean share of credit over all queues."""
        shares = [earned.share for earned in self.earned.values()]
        return sum(shares) / len(shares)

    def measure_bound(self) -> float:
        """Returns an upper bound of `measure_credit_share` for any schedule."""
        possible = {
            name: e.possible for name, e in self.earned.items() if e.possible
        }
        without_jobs = len(self.earned) - len(possible)
        items = []
        for job in self._jobs:
            name = job.spec.queue.name
            if not self._is_counted(job):
                continue
            scale = 1 / possible[name]
            if job.spec.queue is LONG_RUNNING:
                items += self._list_windows(job, scale)
            else:
                items.append(self._make_item(job, scale))
        bound = measure_bound(items, self._list_capacity())
        return (bound + without_jobs) / len(self.earned)

    def _list_windows(self, job: Job, scale: float) -> list[Item]:
        work = _sum_cores(job) * SERVING_CPU_SHARE * WINDOW_SECONDS
        windows = range(len(self._list_capacity()))
        value = scale * WINDOW_SECONDS
        return [Item(work, value, window, window) for window in windows]

    def _make_item(self, job: Job, value: float) -> Item:
        work = sum(
            step.count * step.estimated_seconds * step.demand.cores
            for step in job.spec.steps
        )
        first = int(job.accepted_at / WINDOW_SECONDS)
        last = int((job.accepted_at + job.objective) / WINDOW_SECONDS)
        return Item(work, value, first, last)

    def _list_capacity(self) -> list[float]:
        load = self.load
        capacity = []
        for window in range(math.ceil(load.seconds / WINDOW_SECONDS)):
            is_after = window * WINDOW_SECONDS >= load.seconds / 3
            workers = load.workers - load.count_leaving() * is_after
            capacity.append(workers * load.cores * WINDOW_SECONDS)
        return capacity

    def _remove_worker(self, worker: Worker) -> None:
        worker.is_registered = False
        for task in self._cluster.end_worker_tasks(worker, self._now):
            self._remaining_seconds.pop(task, None)

    def _draw_arrivals(self) -> None:
        load = self.load
        if self._arrival_rng.random() < load.urgent_per_second * STEP_SECONDS:
            self._admit(URGENT, self._draw_steps(2, 10, 1.0, fills=False))
        if (
            self._arrival_rng.random()
            < load.best_effort_per_second * STEP_SECONDS
        ):
            self._admit(BEST_EFFORT, self._draw_steps(3, 20, 2.7, fills=True))

    def _draw_steps(
        self, max_steps: int, width: int, seconds: float, *, fills: bool
    ) -> tuple[StepSpec, ...]:
        cores = self._arrival_rng.uniform(1.0, 3.0)
        return tuple(
            StepSpec(
                self._arrival_rng.randint(1, width),
                Room(cores, 1000),
                estimated_seconds=seconds,
                after=(number - 1,) if number else (),
                image='f' if fills else '',
                fills=fills,
            )
            for number in range(self._arrival_rng.randint(1, max_steps))
        )

    def _draw_long_running(self) -> tuple[StepSpec, ...]:
        step = StepSpec(
            self._arrival_rng.randint(4, 16),
            Room(self._arrival_rng.uniform(2.0, 5.0), 4000),
            most_per_worker=self._arrival_rng.choice((0, 0, 1, 2)),
            lasting=True,
            image=self._arrival_rng.choice('xyz'),
        )
        return (step,)

    def _admit(self, policy: QueuePolicy, steps: tuple[StepSpec, ...]) -> None:
        spec = JobSpec(f'{policy.name}-{len(self._jobs)}', '', steps, policy)
        job = self._cluster.admit(spec, self._now, 0.0)
        job.accepted_at = self._now
        self._jobs.append(job)

    def _start_task(self, task: Task) -> None:
        self._cluster.confirm_start(task, task.run, self._now)
        self._remaining_seconds[task] = task.spec.estimated_seconds
        if task.spec.lasting:
            self._remaining_seconds[task] = self._failure_rng.expovariate(
                1 / MEAN_LIFETIME_SECONDS
            )

    def _advance_tasks(self) -> None:
        for worker in self._cluster.workers.values():
            if not worker.is_registered:
                continue
            speed = _compute_speed(worker)
            for task in list(worker.tasks.values()):
                self._advance_task(task, STEP_SECONDS * speed)

    def _advance_task(self, task: Task, best_effort_seconds: float) -> None:
        fills, is_long_running = task.spec.fills, task.spec.lasting
        self._remaining_seconds[task] -= (
            best_effort_seconds if fills else STEP_SECONDS
        )
        if is_long_running:
            share = STEP_SECONDS / task.spec.count
            self.earned[LONG_RUNNING.name].credit += share
        if self._remaining_seconds[task] <= 0:
            kind = EndKind.FAILED if is_long_running else EndKind.DONE
            self._cluster.end_run(task, kind, self._now)

    def _is_counted(self, job: Job) -> bool:
        """Returns whether a job can earn its full credit within the replay."""
        if job.spec.queue is LONG_RUNNING:
            return True
        return job.accepted_at + job.objective <= self.load.seconds

    def _count_credit(self, job: Job) -> None:
        earned = self.earned[job.spec.queue.name]
        if job.spec.queue is LONG_RUNNING:
            earned.possible += self.load.seconds
            return
        if not self._is_counted(job):
            return
        earned.possible += 1
        took = job.ended_at - job.accepted_at
        if job.state is JobState.COMPLETED and took <= job.objective:
            earned.credit += 1


def _sum_cores(job: Job) -> float:
    return sum(s.count * s.demand.cores for s in job.spec.steps)


def _compute_speed(worker: Worker) -> float:
    """Returns the speed of best-effort tasks on the cores left by others."""
    requested = used = 0.0
    for task in worker.tasks.values():
        cores = task.spec.demand.cores
        if task.spec.fills:
            requested += cores
        else:
            used += cores * (SERVING_CPU_SHARE if task.spec.lasting else 1.0)
    spare = max(0.0, worker.entry.capacity.cores - used)
    return min(1.0, spare / requested) if requested else 1.0


def measure(quick: bool) -> Report:
    """Runs a replay of each load and seed."""
    report = Report('overload')
    seeds = QUICK_SEEDS if quick else SEEDS
    for name, load in LOADS.items():
        replays = []
        for seed in seeds:
            replay = Replay(load, seed)
            replay.run()
            replays.append(replay)
        _add_figures(report, name, replays)
    report.notes.append(
        "Worth is the mean of the queues' shares of what they were owed. The"
        ' bound takes work as a fluid, so no order of whole tasks reaches it.'
    )
    return report


def _add_figures(report: Report, name: str, replays: list[Replay]) -> None:
    count = len(replays)
    for policy in POLICIES:
        share = sum(r.earned[policy.name].share for r in replays) / count
        report.add(f'overload/{name}/{policy.name}', share, '')
    credit_share = (
        sum(replay.measure_credit_share() for replay in replays) / count
    )
    bound = sum(replay.measure_bound() for replay in replays) / count
    report.add(f'overload/{name}/worth', credit_share, '')
    report.add(f'overload/{name}/bound', bound, '')
    report.add(
        f'overload/{name}/of the bound',
        credit_share / bound,
        '',
        most=MAX_OF_BOUND,
    )
