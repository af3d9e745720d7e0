"""What passes over the queue need to know of each worker, worked out once.

Load pattern: hundreds of tasks wait while a hundred starts and ends a second
call for a pass each. Worked out anew for each waiting task, or for each of 50
passes a second, the sums over workers' tasks take most of an owner's
processor.
"""

from __future__ import annotations

import collections
import math

import attrs

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import (
    InterferenceModel,
    count_best_effort,
)
from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.reports import WorkerEntry, WorkerState

SERVING_CPU_SHARE = 0.6
"""Share of its cores that a serving task is taken to use: its mean, and a part
of what its load swings up."""


REFRESH_SECONDS = 0.1
"""For how long what was worked out for a worker holds while nothing changes
there. What is learned of images at other workers changes the loads to expect;
the figures that it comes from cover half a second."""


@attrs.define(eq=False)
class WorkerView:
    """A worker as passes see it.

    Attributes:
      worker: The worker.
      free: What is not reserved.
      soon: What is not reserved once what is short there has ended.
      spare_cores: Cores that are left to filling tasks.
      best_effort_cores: Cores that the filling tasks there ask for.
      is_over: Whether a serving task there is over its target.
      utilisation: For each serving image, the highest utilisation to expect.
      same_step: Tasks by job, occurrence and step.
    """

    worker: Worker
    free: Room = attrs.Factory(Room)
    soon: Room = attrs.Factory(Room)
    spare_cores: float = 0.0
    best_effort_cores: float = 0.0
    is_over: bool = False
    utilisation: dict[str, float] = attrs.Factory(dict)
    same_step: collections.Counter[tuple[str, int, int]] = attrs.Factory(
        collections.Counter
    )
    _entry: WorkerEntry | None = None
    _changes: int = -1

    @property
    def is_serving(self) -> bool:
        """Whether some task there serves."""
        return bool(self.utilisation)

    @property
    def is_outdated(self) -> bool:
        """Whether something has changed at the worker itself."""
        worker = self.worker
        return (
            self._changes != worker.change_count
            or self._entry is not worker.entry
        )

    def refresh(self, interference_model: InterferenceModel) -> None:
        """Works everything out from the worker's tasks."""
        self._changes = self.worker.change_count
        self._entry = self.worker.entry
        self.is_over = any(
            map(interference_model.is_over, self.worker.tasks.values())
        )
        worker = self.worker
        self.free = worker.entry.capacity.subtract(worker.used)
        self.soon = worker.entry.capacity
        self.spare_cores = worker.entry.capacity.cores
        self.best_effort_cores = 0.0
        self.utilisation = {}
        self.same_step.clear()
        beside = count_best_effort(worker)
        for task in worker.tasks.values():
            self.same_step[get_step_key(task)] += 1
            self._add(task, beside, interference_model)

    def _add(
        self,
        task: Task,
        beside: dict[str, float],
        interference_model: InterferenceModel,
    ) -> None:
        cores = task.spec.demand.cores
        if task.spec.lasting and task.phase is not TaskPhase.STOPPING:
            self.soon = self.soon.subtract(task.spec.reserved)
        if task.spec.fills:
            self.best_effort_cores += cores * task.cpu_percent / 100
            return
        self.spare_cores -= cores * (
            SERVING_CPU_SHARE if task.is_serving else 1.0
        )
        if task.is_serving:
            image = task.spec.image
            expected = interference_model.predict_place(task, beside)
            known = self.utilisation.get(image, 0.0)
            self.utilisation[image] = max(known, expected)

    def can_start(self, task: Task) -> bool:
        """Tells whether a task may run beside what is there."""
        return task.spec.reserved.fits(self.free) and self.accepts(task)

    def accepts(self, task: Task) -> bool:
        """Tells whether a task may run here once there is room for it."""
        spec = task.spec
        if spec.label and spec.label not in self.worker.entry.labels:
            return False
        if self.worker.on_probation and self.worker.is_being_tested:
            return False
        most = spec.most_per_worker
        return not most or self.same_step[get_step_key(task)] < most

    def measure_crowding(self, task: Task) -> float:
        """Returns the share of a filling task's cores that it would lack."""
        wanted = self.best_effort_cores + task.spec.demand.cores
        if wanted <= 0:
            return 0.0
        return min(1.0, max(0.0, 1 - self.spare_cores / wanted))


@attrs.define(eq=False)
class Views:
    """The views of all workers, kept from pass to pass.

    Attributes:
      cluster: Where the workers are.
      interference_model: What was learned of images.
    """

    cluster: ClusterState
    interference_model: InterferenceModel
    _views: dict[str, WorkerView] = attrs.Factory(dict)
    _renewed_at: float = -math.inf

    def list_open(self, now: float) -> list[WorkerView]:
        """Lists the workers that take new work, up to date."""
        is_due = now - self._renewed_at >= REFRESH_SECONDS
        if is_due:
            self._renewed_at = now
            workers = self.cluster.workers
            gone = [name for name in self._views if name not in workers]
            for name in gone:
                del self._views[name]
        found = []
        for worker in self.cluster.workers.values():
            if not is_open(worker, now):
                continue
            view = self._views.get(worker.id)
            if view is None or view.worker is not worker:
                view = self._views[worker.id] = WorkerView(worker)
            if is_due or view.is_outdated:
                view.refresh(self.interference_model)
            found.append(view)
        return found


def is_open(worker: Worker, now: float) -> bool:
    """Tells whether a worker takes new work at all."""
    return (
        worker.is_registered
        and worker.reachable
        and worker.answers_commands
        and not worker.is_reported_unreachable
        and not worker.runs_unknown_tasks
        and worker.entry.state is WorkerState.READY
        and now >= worker.quarantined_until
    )


def get_step_key(task: Task) -> tuple[str, int, int]:
    """Returns the step and occurrence of a task."""
    return task.id.job, task.id.occurrence, task.id.step
