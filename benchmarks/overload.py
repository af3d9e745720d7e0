"""How near to the bound the queue comes when more is asked for than there is.

The placer's real code decides for workers on a clock of its own: urgent jobs,
best-effort jobs and lasting ones, of which some fail, while a part of the
workers goes for good. Interference is left out, so what is measured is order
and place alone.
"""

from __future__ import annotations

import math
import random

import attrs

from benchmarks.bound import Item, measure_bound
from benchmarks.emulated import LASTING_SECONDS, STEP_SECONDS, add_worker
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
MOST_OF_BOUND = 1.0 + 1e-6


@attrs.frozen
class Load:
    """What is asked for.

    Attributes:
      workers: How many workers, of `cores` each.
      cores: Cores of a worker.
      leaving: Share of the workers that go after a third of the time.
      seconds: Length.
      urgent_per_second: Arrivals of urgent jobs.
      best_effort_per_second: Arrivals of best-effort jobs.
      lasting_jobs: Jobs that last, there from the start.
    """

    workers: int = 33
    cores: float = 16.0
    leaving: float = 0.3
    seconds: float = 40.0
    urgent_per_second: float = 2.0
    best_effort_per_second: float = 2.0
    lasting_jobs: int = 22

    def count_leaving(self) -> int:
        """Returns how many workers go."""
        return round(self.leaving * self.workers)


LOADS = {
    'short of lasting': Load(lasting_jobs=12, leaving=0.0),
    'full': Load(leaving=0.0),
    'workers go': Load(),
}

URGENT = QueuePolicy('urgent', 'service', stretch=1.5, target_seconds=0.25)
BEST_EFFORT = QueuePolicy(
    'best-effort', 'service', priority=2, stretch=1.5, target_seconds=1.0
)
LASTING = QueuePolicy('lasting', 'service', target_seconds=2.5)
POLICIES = (URGENT, BEST_EFFORT, LASTING)


@attrs.define
class Earned:
    """Credit of one class of jobs.

    Attributes:
      credit: What was earned.
      owed: What all in time would have earned.
    """

    credit: float = 0.0
    owed: float = 0.0

    @property
    def share(self) -> float:
        """Share of what was owed."""
        return self.credit / self.owed if self.owed else 1.0


class Replay:
    """Arrivals and losses drawn from a seed, and what the placer makes of them.

    Attributes:
      load: What is asked for.
      earned: Credit by queue.
    """

    def __init__(self, load: Load, seed: int):
        self.load = load
        self.earned = {policy.name: Earned() for policy in POLICIES}
        # Failures depend on what is placed; arrivals must not depend on them.
        self._random = random.Random(seed)
        self._failures = random.Random(seed)
        self._cluster = ClusterState()
        self._placer = Placer(self._cluster, InterferenceModel())
        self._left: dict[Task, float] = {}
        self._jobs: list[Job] = []
        self._now = 0.0
        for number in range(load.workers):
            add_worker(self._cluster, f'w-{number}', Room(load.cores, 64_000))
        for _ in range(load.lasting_jobs):
            self._admit(LASTING, self._draw_lasting())

    def run(self) -> None:
        """Plays it to the end."""
        load = self.load
        steps = round(load.seconds / STEP_SECONDS)
        for step in range(steps):
            self._now = step * STEP_SECONDS
            if step == steps // 3:
                for number in range(load.count_leaving()):
                    self._lose(self._cluster.workers[f'w-{number}'])
            self._draw_arrivals()
            self._work()
            for task, _ in self._placer.place(self._now, lambda *_: True):
                self._begin(task)
        for job in self._jobs:
            self._count(job)

    def list_arrivals(self) -> list[tuple[float, JobSpec]]:
        """Lists all jobs, each with the time at which it came."""
        return [(job.accepted_at, job.spec) for job in self._jobs]

    def measure_worth(self) -> float:
        """Returns the mean of the queues' shares."""
        shares = [earned.share for earned in self.earned.values()]
        return sum(shares) / len(shares)

    def measure_bound(self) -> float:
        """Returns the most that any order could make of the mean share."""
        owed = {name: e.owed for name, e in self.earned.items() if e.owed}
        free = len(self.earned) - len(owed)
        items = []
        for job in self._jobs:
            name = job.spec.queue.name
            if not self._is_counted(job):
                continue
            scale = 1 / owed[name]
            if job.spec.queue is LASTING:
                items += self._list_windows(job, scale)
            else:
                items.append(self._make_item(job, scale))
        most = measure_bound(items, self._list_capacity())
        return (most + free) / len(self.earned)

    def _list_windows(self, job: Job, scale: float) -> list[Item]:
        work = _measure_cores(job) * SERVING_CPU_SHARE * WINDOW_SECONDS
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

    def _lose(self, worker: Worker) -> None:
        worker.is_registered = False
        for task in self._cluster.end_worker_tasks(worker, self._now):
            self._left.pop(task, None)

    def _draw_arrivals(self) -> None:
        load = self.load
        if self._random.random() < load.urgent_per_second * STEP_SECONDS:
            self._admit(URGENT, self._draw_steps(2, 10, 1.0, fills=False))
        if self._random.random() < load.best_effort_per_second * STEP_SECONDS:
            self._admit(BEST_EFFORT, self._draw_steps(3, 20, 2.7, fills=True))

    def _draw_steps(
        self, most: int, width: int, seconds: float, *, fills: bool
    ) -> tuple[StepSpec, ...]:
        cores = self._random.uniform(1.0, 3.0)
        return tuple(
            StepSpec(
                self._random.randint(1, width),
                Room(cores, 1000),
                estimated_seconds=seconds,
                after=(number - 1,) if number else (),
                image='f' if fills else '',
                fills=fills,
            )
            for number in range(self._random.randint(1, most))
        )

    def _draw_lasting(self) -> tuple[StepSpec, ...]:
        step = StepSpec(
            self._random.randint(4, 16),
            Room(self._random.uniform(2.0, 5.0), 4000),
            most_per_worker=self._random.choice((0, 0, 1, 2)),
            lasting=True,
            image=self._random.choice('xyz'),
        )
        return (step,)

    def _admit(self, policy: QueuePolicy, steps: tuple[StepSpec, ...]) -> None:
        spec = JobSpec(f'{policy.name}-{len(self._jobs)}', '', steps, policy)
        job = self._cluster.admit(spec, self._now, 0.0)
        job.accepted_at = self._now
        self._jobs.append(job)

    def _begin(self, task: Task) -> None:
        self._cluster.confirm_start(task, task.run, self._now)
        self._left[task] = task.spec.estimated_seconds
        if task.spec.lasting:
            self._left[task] = self._failures.expovariate(1 / LASTING_SECONDS)

    def _work(self) -> None:
        for worker in self._cluster.workers.values():
            if not worker.is_registered:
                continue
            speed = _measure_speed(worker)
            for task in list(worker.tasks.values()):
                self._go_on(task, STEP_SECONDS * speed)

    def _go_on(self, task: Task, filling_seconds: float) -> None:
        fills, lasts = task.spec.fills, task.spec.lasting
        self._left[task] -= filling_seconds if fills else STEP_SECONDS
        if lasts:
            share = STEP_SECONDS / task.spec.count
            self.earned[LASTING.name].credit += share
        if self._left[task] <= 0:
            kind = EndKind.FAILED if lasts else EndKind.DONE
            self._cluster.end_run(task, kind, self._now)

    def _is_counted(self, job: Job) -> bool:
        """Whether all of what a job may earn falls into the time played."""
        if job.spec.queue is LASTING:
            return True
        return job.accepted_at + job.objective <= self.load.seconds

    def _count(self, job: Job) -> None:
        earned = self.earned[job.spec.queue.name]
        if job.spec.queue is LASTING:
            earned.owed += self.load.seconds
            return
        if not self._is_counted(job):
            return
        earned.owed += 1
        took = job.ended_at - job.accepted_at
        if job.state is JobState.COMPLETED and took <= job.objective:
            earned.credit += 1


def _measure_cores(job: Job) -> float:
    return sum(s.count * s.demand.cores for s in job.spec.steps)


def _measure_speed(worker: Worker) -> float:
    """Returns how fast filling tasks get on with what the others leave."""
    wanted = used = 0.0
    for task in worker.tasks.values():
        cores = task.spec.demand.cores
        if task.spec.fills:
            wanted += cores
        else:
            used += cores * (SERVING_CPU_SHARE if task.spec.lasting else 1.0)
    spare = max(0.0, worker.entry.capacity.cores - used)
    return min(1.0, spare / wanted) if wanted else 1.0


def measure(quick: bool) -> Report:
    """Plays each load with some seeds."""
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
    worth = sum(replay.measure_worth() for replay in replays) / count
    bound = sum(replay.measure_bound() for replay in replays) / count
    report.add(f'overload/{name}/worth', worth, '')
    report.add(f'overload/{name}/bound', bound, '')
    report.add(
        f'overload/{name}/of the bound', worth / bound, '', most=MOST_OF_BOUND
    )
