"""Choice of the running tasks that get a copy on another worker.

Load pattern: long tails. A few in a hundred tasks take several times as long as
the others of their step, because their worker is slow or their input is long,
and a job waits for the last one. Nobody can tell which of the two it is before
another worker has tried. A copy that has run as long as the first run had by
then, and is not done, shows that the task itself is long; it is stopped then.

Copies add load. So they take only a bounded share of all processors, and only
room that no waiting task could use. See Dean and Barroso, The Tail at Scale
(2013), and Zaharia et al., Improving MapReduce Performance in Heterogeneous
Environments (2008).
"""

from __future__ import annotations

import math
from collections.abc import Iterator

import attrs

from lentilmount.policies import CopyPolicy
from lentilmount.scheduling.candidates import IsAllowed
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.costs import CostModel
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.ranking import is_restart_overdue
from lentilmount.scheduling.run_times import measure_run_seconds
from lentilmount.scheduling.sampling import WorkerSampler
from lentilmount.scheduling.views import (
    StepKey,
    WorkerView,
    WorkerViews,
    get_step_key,
)

REVIEW_SECONDS = 0.3
"""Interval between reviews of all running tasks: a fraction of the run time of
the shortest ones."""

MAX_WAITING_STEPS = 20
"""Number of steps that wait above which nothing is copied: there is no room to
spare then, and each step is compared with each worker."""

MAX_SEARCHES = 10
"""Number of slow tasks for which a review searches a worker, the slowest ones.
Each is compared with hundreds of workers, which takes some milliseconds."""


@attrs.frozen
class SlowTask:
    """A running task that takes much longer than usual.

    Attributes:
      task: The task.
      seconds: Its run time up to now.
      usual_seconds: The usual run time of such tasks.
    """

    task: Task
    seconds: float
    usual_seconds: float

    @property
    def slowness(self) -> float:
        """Run time as a multiple of the usual one."""
        return self.seconds / self.usual_seconds


@attrs.frozen
class CopyDecision:
    """Decision to copy a task.

    Attributes:
      slow: The task, and how slow it is.
      worker: Worker of the copy.
      first_worker: Id of the worker of the first run.
    """

    slow: SlowTask
    worker: Worker
    first_worker: str


@attrs.define
class Stragglers:
    """Finds slow tasks and decides which of them are copied.

    Attributes:
      policy: What is slow, and how many copies there may be.
      cluster: Jobs, tasks and workers.
      interference_model: Learned interference between images.
    """

    policy: CopyPolicy
    cluster: ClusterState
    interference_model: InterferenceModel
    _views: WorkerViews = attrs.field(init=False)
    _costs: CostModel = attrs.field(init=False)
    _sampler: WorkerSampler = attrs.Factory(WorkerSampler)
    _reviewed_at: float = -math.inf

    def __attrs_post_init__(self) -> None:
        """Creates the summaries of workers, which are refreshed when needed."""
        self._views = WorkerViews(self.cluster, self.interference_model)
        self._costs = CostModel(self.cluster, self.interference_model)

    def is_due(self, now: float) -> bool:
        """Returns whether a review is due; the next one is due later."""
        if now - self._reviewed_at < REVIEW_SECONDS:
            return False
        self._reviewed_at = now
        return True

    def list_slow(self, now: float) -> list[SlowTask]:
        """Lists the slow tasks that may be copied, the slowest first."""
        find_usual = self.cluster.copies.run_times.find_usual
        usual_by_step: dict[StepKey, float | None] = {}
        found = []
        for task in self._list_copyable():
            seconds = measure_run_seconds(task, now)
            step_key = get_step_key(task)
            if step_key not in usual_by_step:
                usual_by_step[step_key] = find_usual(task)
            usual = usual_by_step[step_key]
            if seconds is None or not usual:
                continue
            if seconds > self.policy.slowness * usual:
                found.append(SlowTask(task, seconds, usual))
        return sorted(found, key=lambda slow: slow.slowness, reverse=True)

    def _list_copyable(self) -> Iterator[Task]:
        allows = self.cluster.copies.allows
        for worker in self.cluster.workers.values():
            for task in worker.tasks.values():
                if _may_be_copied(task) and allows(task):
                    yield task

    def choose(self, now: float, is_allowed: IsAllowed) -> list[CopyDecision]:
        """Chooses copies and places them.

        Args:
          now: Monotonic time.
          is_allowed: Whether a task may run on a worker, by rules outside the
            cluster state.
        """
        cores_left = self._measure_cores_left()
        if cores_left <= 0:
            return []
        slow_tasks = self.list_slow(now)[:MAX_SEARCHES]
        views = self._list_spare(now) if slow_tasks else []
        self._sampler.begin_pass(views)
        chosen = []
        for slow in slow_tasks:
            task = slow.task
            cores = task.spec.reserved.cores
            view = None
            if cores <= cores_left:
                view = self._find_worker(task, views, is_allowed)
            if view is None:
                continue
            cores_left -= cores
            chosen.append(CopyDecision(slow, view.worker, task.worker))
            self.cluster.start_copy(task, view.worker, now)
            view.refresh(self.interference_model)
        return chosen

    def _measure_cores_left(self) -> float:
        """Returns how many more cores copies may take."""
        total = used = 0.0
        for worker in self.cluster.workers.values():
            if worker.is_registered:
                total += worker.entry.capacity.cores
            used += sum(
                task.spec.reserved.cores
                for task in worker.tasks.values()
                if task.newer is not None
            )
        return self.policy.max_share * total - used

    def _list_spare(self, now: float) -> list[WorkerView]:
        """Lists the workers with room that no waiting task could use."""
        ready = self.cluster.ready.values()
        waiting = {get_step_key(task): task for task in ready}
        if len(waiting) > MAX_WAITING_STEPS:
            return []
        if any(is_restart_overdue(task, now) for task in ready):
            # A worker may be reserved for it that gets no other tasks.
            return []
        return [
            view
            for view in self._views.list_open(now)
            if not view.worker.on_probation
            and not any(map(view.can_start, waiting.values()))
        ]

    def _find_worker(
        self, task: Task, views: list[WorkerView], is_allowed: IsAllowed
    ) -> WorkerView | None:
        cost_function = self._costs.make_cost_function(task)
        excluded = {task.worker, *task.failed_on}
        if self._sampler.is_needed(views):
            views = self._sampler.choose(task)
        fitting = (
            view
            for view in views
            if view.worker.id not in excluded
            and view.can_start(task)
            and is_allowed(task, view.worker)
        )
        return min(fitting, key=cost_function, default=None)

    def list_needless(self, now: float) -> list[Task]:
        """Lists the tasks of which the copy shows that they are long."""
        return [
            task
            for worker in self.cluster.workers.values()
            for task in worker.tasks.values()
            if _is_copy_needless(task, now)
        ]


def _may_be_copied(task: Task) -> bool:
    """Returns whether the state of a task lets it be copied, once at most.

    A copy that fails must not use up the attempts while the first run goes on.
    """
    if task.phase is not TaskPhase.RUNNING or task.is_copied or task.is_watched:
        return False
    if task.older is not None or task.newer is not None:
        return False
    return task.failures + 1 < task.job.spec.queue.max_attempts


def _is_copy_needless(task: Task, now: float) -> bool:
    older = task.older
    if older is None or task.phase is not TaskPhase.RUNNING:
        return False
    if older.phase is not TaskPhase.RUNNING:
        return False
    first_seconds = measure_run_seconds(older, task.placed_at)
    seconds = measure_run_seconds(task, now)
    if first_seconds is None or seconds is None:
        return False
    return seconds >= first_seconds
