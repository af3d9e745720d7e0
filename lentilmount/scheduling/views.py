"""Cached summaries of workers for the passes over the queue.

Load pattern: hundreds of tasks wait, while a hundred starts and run ends per
second each trigger a pass. Recomputing the sums over the tasks of a worker for
each waiting task, or in each of 50 passes per second, would take most of an
owner's CPU time.
"""

from __future__ import annotations

import collections
import heapq
import math

import attrs

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.crashes import is_on_trial
from lentilmount.scheduling.interference import (
    InterferenceModel,
    count_best_effort,
)
from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.reports import WorkerState

SERVING_CPU_SHARE = 0.6
"""Share of its cores that a serving task is assumed to use: its mean plus part
of the usual load increase."""

StepKey = tuple[str, int, int]
"""Job, occurrence and index of a step."""

REFRESH_SECONDS = 0.25
"""How long a summary is valid while the worker does not change. New
measurements of an image on other workers also change the expected utilisation;
each measurement covers half a second, and a worker's own report refreshes its
summary."""

MAX_REFRESHES = 250
"""Number of such summaries that are computed again in one pass, those of other
workers in the next ones. With thousands of workers all of them would take
longer than the rest of a pass."""


@attrs.define(eq=False)
class WorkerView:
    """Summary of a worker for placement.

    Attributes:
      worker: The worker.
      free: Unreserved resources.
      free_after_short_tasks: Unreserved resources once all short tasks there
        have ended.
      spare_cores: Cores available to best-effort tasks.
      best_effort_cores: Cores requested by the best-effort tasks there.
      is_over_target: Whether a serving task there exceeds its latency target.
      utilisation: Highest expected utilisation by serving image.
      lone_steps: Keys of the steps of tasks beside which no others are started,
        except for those of a gang. These are tasks on trial, and watched tasks
        whose starts the worker has not answered: if it crashed then, nobody
        could tell which of the starts it had carried out.
      step_counts: Number of tasks by job, occurrence and step.
      refreshed_at: Monotonic time of the last refresh that was due by time.
    """

    worker: Worker
    free: Room = attrs.Factory(Room)
    free_after_short_tasks: Room = attrs.Factory(Room)
    spare_cores: float = 0.0
    best_effort_cores: float = 0.0
    is_over_target: bool = False
    lone_steps: set[StepKey] = attrs.Factory(set)
    utilisation: dict[str, float] = attrs.Factory(dict)
    step_counts: collections.Counter[tuple[str, int, int]] = attrs.Factory(
        collections.Counter
    )
    refreshed_at: float = -math.inf
    _capacity: Room | None = None
    _change_count: int = -1

    @property
    def is_serving(self) -> bool:
        """Whether a serving task runs there."""
        return bool(self.utilisation)

    @property
    def is_outdated(self) -> bool:
        """Whether the worker has changed since the last refresh."""
        worker = self.worker
        return (
            self._change_count != worker.change_count
            or self._capacity != worker.entry.capacity
        )

    def refresh(self, interference_model: InterferenceModel) -> None:
        """Recomputes the summary from the worker's tasks."""
        self._change_count = self.worker.change_count
        self._capacity = self.worker.entry.capacity
        self.is_over_target = any(
            map(interference_model.is_over_target, self.worker.tasks.values())
        )
        self.lone_steps = {
            get_step_key(task)
            for task in self.worker.tasks.values()
            if task.is_watched and _must_be_alone(task)
        }
        worker = self.worker
        self.free = worker.entry.capacity.subtract(worker.used)
        self.free_after_short_tasks = worker.entry.capacity
        self.spare_cores = worker.entry.capacity.cores
        self.best_effort_cores = 0.0
        self.utilisation = {}
        self.step_counts.clear()
        neighbours = count_best_effort(worker)
        for task in worker.tasks.values():
            self.step_counts[get_step_key(task)] += 1
            self._add_task(task, neighbours, interference_model)

    def _add_task(
        self,
        task: Task,
        neighbours: dict[str, float],
        interference_model: InterferenceModel,
    ) -> None:
        cores = task.spec.demand.cores
        if task.spec.lasting and task.phase is not TaskPhase.STOPPING:
            self.free_after_short_tasks = self.free_after_short_tasks.subtract(
                task.spec.reserved
            )
        if task.spec.fills:
            self.best_effort_cores += cores * task.cpu_percent / 100
            return
        self.spare_cores -= cores * (
            SERVING_CPU_SHARE if task.is_serving else 1.0
        )
        if task.is_serving:
            image = task.spec.image
            expected = interference_model.predict_for_placement(
                task, neighbours
            )
            previous = self.utilisation.get(image, 0.0)
            self.utilisation[image] = max(previous, expected)

    def can_start(self, task: Task) -> bool:
        """Returns whether a task can be started there now."""
        return task.spec.reserved.fits(self.free) and self.accepts(task)

    def accepts(self, task: Task) -> bool:
        """Returns whether a task may run there, apart from free resources."""
        spec = task.spec
        if spec.label and spec.label not in self.worker.entry.labels:
            return False
        if self.worker.on_probation and self.worker.is_being_tested:
            return False
        lone_steps = self.lone_steps
        if spec.gang:
            lone_steps = lone_steps - {get_step_key(task)}
        elif task.is_watched and self.worker.awaits_starts:
            return False
        if lone_steps:
            return False
        most = spec.most_per_worker
        return not most or self.step_counts[get_step_key(task)] < most

    def measure_cpu_shortage(self, task: Task) -> float:
        """Returns the share of its cores that a best-effort task would lack."""
        requested = self.best_effort_cores + task.spec.demand.cores
        if requested <= 0:
            return 0.0
        return min(1.0, max(0.0, 1 - self.spare_cores / requested))


@attrs.define(eq=False)
class WorkerViews:
    """Summaries of all workers, kept between passes.

    Attributes:
      cluster: Cluster state that contains the workers.
      interference_model: Learned interference between images.
    """

    cluster: ClusterState
    interference_model: InterferenceModel
    _views: dict[str, WorkerView] = attrs.Factory(dict)

    def list_open(self, now: float) -> list[WorkerView]:
        """Lists up-to-date views of the workers that accept new tasks."""
        workers = self.cluster.workers
        for name in self._views.keys() - workers.keys():
            del self._views[name]
        found = [
            self._get_view(worker)
            for worker in workers.values()
            if is_open(worker, now)
        ]
        for view in self._choose_due(found, now):
            view.refreshed_at = now
            view.refresh(self.interference_model)
        for view in found:
            if view.is_outdated:
                view.refresh(self.interference_model)
        return found

    def _get_view(self, worker: Worker) -> WorkerView:
        view = self._views.get(worker.id)
        if view is None or view.worker is not worker:
            view = self._views[worker.id] = WorkerView(worker)
        return view

    def _choose_due(
        self, views: list[WorkerView], now: float
    ) -> list[WorkerView]:
        """Returns the views to refresh by time, the oldest ones if too many."""
        due = [v for v in views if now - v.refreshed_at >= REFRESH_SECONDS]
        if len(due) <= MAX_REFRESHES:
            return due
        return heapq.nsmallest(
            MAX_REFRESHES, due, key=lambda view: view.refreshed_at
        )


def is_open(worker: Worker, now: float) -> bool:
    """Returns whether a worker accepts new tasks at all."""
    return (
        worker.is_registered
        and worker.reachable
        and not worker.is_entry_outdated
        and worker.answers_commands
        and not worker.is_reported_unreachable
        and not worker.runs_unknown_tasks
        and worker.entry.state is WorkerState.READY
        and not worker.entry.is_cordoned
        and not worker.is_registration_outdated(now)
        and now >= worker.quarantined_until
    )


def _must_be_alone(task: Task) -> bool:
    """Returns whether no other task may be started beside a watched one."""
    return task.phase is TaskPhase.STARTING or is_on_trial(task)


def get_step_key(task: Task) -> StepKey:
    """Returns the key of a task's step: job, occurrence and step index."""
    return task.id.job, task.id.occurrence, task.id.step
