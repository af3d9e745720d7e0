"""Estimates of how long new work waits, by queue and kind of work.

Load pattern: urgent tasks and best-effort tasks of several queues arrive in
bursts, and take longer or shorter than declared, by image and by neighbours.
The wait is the work that goes before a new job, as such work really took, over
the cores at work on that kind and those that are free for it. A job whose
completion is of no use any more yields to a new one (see `ranking`), so its
work does not count.

The cores are shared by weighted max-min fairness over the queues: what one of
them leaves unused goes to the others. Source: Bertsekas and Gallager, "Data
Networks", 1992.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable, Mapping

import attrs

from lentilmount.policies import AdmissionPolicy
from lentilmount.resources import Room
from lentilmount.scheduling.admission import (
    Estimates,
    QueueEstimate,
    WorkKind,
    find_kind,
    measure_task_work,
)
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Job, Task, TaskPhase, Worker
from lentilmount.scheduling.ranking import get_release_time
from lentilmount.scheduling.reports import EndKind
from lentilmount.scheduling.specs import TaskId
from lentilmount.scheduling.views import StepKey, get_step_key

UPDATE_SECONDS = 0.25
"""Minimum time between two sums over all jobs. A ready task that is seen in two
of them waits."""

WARM_UP_SECONDS = 1.5
"""Time after a takeover without estimates: not all workers have answered, and
what waits was not placed because there was no owner."""

AVERAGING_SECONDS = 10.0
"""Time constant of the learned run times."""

PRIOR_CORE_SECONDS = 50.0
"""Core-seconds of runs as declared that count beside the measured ones."""

USABLE_SECONDS = 1.0
"""Time constant in which free room counts as not usable while tasks wait."""

MAX_WAIT_SECONDS = 60.0
"""Longest wait that is estimated."""

QueueKind = tuple[str, WorkKind]
"""Name of a queue and kind of work."""


@attrs.define
class RunTimeRatio:
    """Occupied core-seconds of runs, relative to the declared work done.

    Runs without a result count as well: their work is done again.
    """

    _taken: float = 0.0
    _declared: float = 0.0

    def record(self, taken: float, declared: float) -> None:
        """Adds the core-seconds of a run, and those of its result."""
        self._taken += taken
        self._declared += declared

    def decay(self, factor: float) -> None:
        """Lowers the weight of what was recorded."""
        self._taken *= factor
        self._declared *= factor

    @property
    def value(self) -> float:
        """The ratio; 1 if runs take as long as declared."""
        taken = self._taken + PRIOR_CORE_SECONDS
        return taken / (self._declared + PRIOR_CORE_SECONDS)


def divide(
    work: Mapping[str, float], weights: Mapping[str, float], rate: float
) -> dict[str, float]:
    """Returns the seconds after which the work of each queue is begun.

    Args:
      work: Core-seconds that wait, by queue; above 0.
      weights: Weights by queue; 1 for a queue that is not listed.
      rate: Cores that are at work on all queues together.
    """

    def measure_level(queue: str) -> float:
        return work[queue] / weights.get(queue, 1.0)

    active = sum(weights.get(queue, 1.0) for queue in work)
    level = elapsed = 0.0
    waits = {}
    for queue in sorted(work, key=measure_level):
        elapsed += (measure_level(queue) - level) * active / rate
        level = measure_level(queue)
        active -= weights.get(queue, 1.0)
        waits[queue] = elapsed
    return waits


@attrs.define
class _Sums:
    """Sums over all jobs and workers at one time.

    Attributes:
      work: Core-seconds that wait, by queue and kind.
      queues: Queues and kinds of the jobs that are not over.
      running: Cores at work, by kind.
      free: Cores that are free for tasks that wait, by kind.
      ready: Ready tasks of jobs that can still be of use, by kind.
    """

    work: dict[QueueKind, float]
    queues: set[QueueKind]
    running: dict[WorkKind, float]
    free: dict[WorkKind, float]
    ready: dict[WorkKind, dict[TaskId, Task]]


@attrs.define
class WaitingTimes:
    """Estimates the waiting times of new work of one service.

    Attributes:
      cluster: State of jobs, tasks and workers.
      policy: The operators' policy.
      cores: Cores at work, free cores, and those of them that tasks can use, by
        kind of work.
    """

    cluster: ClusterState
    policy: AdmissionPolicy
    cores: dict[WorkKind, tuple[float, float, float]] = attrs.Factory(dict)
    _ratios: collections.defaultdict[QueueKind, RunTimeRatio] = attrs.field(
        factory=lambda: collections.defaultdict(RunTimeRatio)
    )
    _usable: dict[WorkKind, float] = attrs.Factory(dict)
    _ready: dict[WorkKind, set[TaskId]] = attrs.Factory(dict)
    _began_at: float | None = None
    _updated_at: float = -math.inf
    _estimates: dict[str, dict[WorkKind, QueueEstimate]] = attrs.Factory(dict)

    def record_end(self, task: Task, kind: EndKind, now: float) -> None:
        """Records how long a run took that this owner has started."""
        work_kind = find_kind(task.spec)
        if work_kind is None or not task.placed_at:
            return
        taken = max(0.0, now - task.placed_at) * task.spec.demand.cores
        is_done = kind is EndKind.DONE
        declared = measure_task_work(task.spec) if is_done else 0.0
        key = (task.job.spec.queue.name, work_kind)
        self._ratios[key].record(taken, declared)

    def restart(self) -> None:
        """Forgets the estimates; there are none until the owner has placed."""
        self._began_at = None
        self._estimates = {}

    def update(self, now: float) -> Estimates:
        """Returns the estimates, updated if they are not recent."""
        elapsed = now - self._updated_at
        if elapsed < UPDATE_SECONDS:
            return self._estimates
        if self._began_at is None:
            self._began_at = now
            elapsed = 0.0
        self._updated_at = now
        for ratio in self._ratios.values():
            ratio.decay(math.exp(-elapsed / AVERAGING_SECONDS))
        sums = self._sum(now)
        self._estimates = {}
        if now - self._began_at >= WARM_UP_SECONDS:
            for kind in WorkKind:
                is_waiting = self._is_waiting(kind, sums)
                self._update_usable(kind, is_waiting, elapsed)
                self._estimate(kind, is_waiting, sums)
        self._ready = {kind: set(tasks) for kind, tasks in sums.ready.items()}
        return self._estimates

    def _is_waiting(self, kind: WorkKind, sums: _Sums) -> bool:
        """Returns whether tasks were ready at the last update already."""
        return not self._ready.get(kind, set()).isdisjoint(sums.ready[kind])

    def _update_usable(
        self, kind: WorkKind, is_waiting: bool, elapsed: float
    ) -> None:
        """Learns which share of the free room best-effort tasks can use.

        What stays free while they wait is beside tasks that do not tolerate
        them. Others can use all room that is large enough.
        """
        is_unusable = is_waiting and kind is WorkKind.BEST_EFFORT
        target = 0.0 if is_unusable else 1.0
        usable = self._usable.get(kind, 1.0)
        weight = 1 - math.exp(-elapsed / USABLE_SECONDS)
        self._usable[kind] = usable + weight * (target - usable)

    def _estimate(self, kind: WorkKind, is_waiting: bool, sums: _Sums) -> None:
        usable = self._usable[kind] * sums.free[kind]
        rate = sums.running[kind] + usable
        self.cores[kind] = (sums.running[kind], sums.free[kind], usable)
        if rate <= 0:
            return
        work = {}
        if is_waiting:
            work = {
                queue: seconds
                for (queue, k), seconds in sums.work.items()
                if k is kind and seconds > 0
            }
        waits = divide(work, self.policy.weights, rate)
        total = sum(map(self._get_weight, work))
        for queue, queue_kind in sums.queues:
            if queue_kind is not kind:
                continue
            weight = self._get_weight(queue)
            active = total if queue in work else total + weight
            share = rate * weight / active
            self._estimates.setdefault(queue, {})[kind] = QueueEstimate(
                min(waits.get(queue, 0.0), MAX_WAIT_SECONDS),
                share / self._ratios[queue, kind].value,
            )

    def _get_weight(self, queue: str) -> float:
        return self.policy.weights.get(queue, 1.0)

    def _sum(self, now: float) -> _Sums:
        sums = _Sums(
            collections.defaultdict(float),
            set(),
            dict.fromkeys(WorkKind, 0.0),
            dict.fromkeys(WorkKind, 0.0),
            {kind: {} for kind in WorkKind},
        )
        placed: collections.Counter[StepKey] = collections.Counter()
        spares = [
            (worker, self._add_worker(worker, placed, sums))
            for worker in self.cluster.workers.values()
            if worker.reachable
        ]
        useful: dict[Job, set[int]] = {}
        for job in self.cluster.jobs.values():
            if not job.state.is_final:
                useful[job] = self._list_useful_occurrences(job, now)
                self._add_job(job, useful[job], placed, sums)
        for task in self.cluster.ready.values():
            kind = find_kind(task.spec)
            is_useful = task.id.occurrence in useful.get(task.job, ())
            if kind is not None and is_useful:
                sums.ready[kind][task.id] = task
        sizes = {k: _measure_mean(t.values()) for k, t in sums.ready.items()}
        for worker, best_effort_cores in spares:
            _add_free_cores(worker, best_effort_cores, sizes, sums)
        return sums

    def _list_useful_occurrences(self, job: Job, now: float) -> set[int]:
        """Lists the occurrences that can be completed while they are of use."""
        paths: dict[int, float] = {}
        for (occurrence, step), count in job.remaining.items():
            if count:
                path = job.critical_paths[step]
                paths[occurrence] = max(paths.get(occurrence, 0.0), path)
        longest = self.policy.useful_multiple * job.objective
        return {
            occurrence
            for occurrence, path in paths.items()
            if now + path - get_release_time(job, occurrence) <= longest
        }

    def _add_job(
        self,
        job: Job,
        useful: set[int],
        placed: Mapping[StepKey, int],
        sums: _Sums,
    ) -> None:
        """Adds the work of the tasks of a job that are not placed."""
        queue = job.spec.queue.name
        for (occurrence, number), count in job.remaining.items():
            step = job.spec.steps[number]
            kind = find_kind(step)
            if kind is None:
                continue
            key = (queue, kind)
            sums.queues.add(key)
            if count and occurrence in useful:
                waiting = count - placed[job.spec.id, occurrence, number]
                work = waiting * measure_task_work(step)
                sums.work[key] += work * self._ratios[key].value

    def _add_worker(
        self,
        worker: Worker,
        placed: collections.Counter[StepKey],
        sums: _Sums,
    ) -> float:
        """Adds the tasks of a worker; returns its best-effort cores."""
        best_effort = reserved = 0.0
        for task in worker.tasks.values():
            spec = task.spec
            if spec.lasting or task.phase is TaskPhase.STOPPING:
                continue
            placed[get_step_key(task)] += 1
            if spec.fills:
                best_effort += spec.demand.cores
            else:
                reserved += spec.demand.cores
        sums.running[WorkKind.BEST_EFFORT] += best_effort
        sums.running[WorkKind.RESERVED] += reserved
        return best_effort


def _add_free_cores(
    worker: Worker,
    best_effort_cores: float,
    sizes: Mapping[WorkKind, Room],
    sums: _Sums,
) -> None:
    """Adds the cores of a worker that are free for tasks of given sizes."""
    free = worker.entry.capacity.subtract(worker.used)
    spare = Room(free.cores - best_effort_cores, free.memory_mb)
    rooms = {WorkKind.RESERVED: free, WorkKind.BEST_EFFORT: spare}
    for kind, room in rooms.items():
        sums.free[kind] += _measure_usable_cores(room, sizes[kind])


def _measure_mean(tasks: Iterable[Task]) -> Room:
    """Returns the mean demand of tasks; nothing if there are none."""
    demands = [task.spec.demand for task in tasks]
    if not demands:
        return Room()
    return Room(
        sum(demand.cores for demand in demands) / len(demands),
        round(sum(demand.memory_mb for demand in demands) / len(demands)),
    )


def _measure_usable_cores(free: Room, size: Room) -> float:
    """Returns the cores of whole tasks of a size that fit into a room."""
    if size.cores <= 0:
        return max(0.0, free.cores)
    fitting = free.cores / size.cores
    if size.memory_mb:
        fitting = min(fitting, free.memory_mb / size.memory_mb)
    return max(0, math.floor(fitting)) * size.cores
