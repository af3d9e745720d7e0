"""Cost of placing a task on a worker, from interference and location.

Load pattern: serving tasks that run for a minute and mix images, best-effort
tasks of a few seconds that only some serving images tolerate, and short tasks
that use any gap that is large enough.
"""

from __future__ import annotations

import collections
import math

import attrs

from lentilmount.scheduling.candidates import CostFunction
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import (
    InterferenceModel,
    count_best_effort,
)
from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.views import WorkerView

SAME_JOB_COST = 0.05
SAME_RACK_COST = 0.02
SAME_ZONE_COST = 0.01
"""Cost of a long-running task for each task of its job on the same worker, rack
or zone, so that the loss of a worker or rack stops only few tasks of a job."""

FIRST_SERVING_COST = 2.0
"""Cost of the first serving task on a worker. Best-effort tasks that interfere
can only run where no serving task does, so as many workers as possible are kept
free of serving tasks."""

OTHER_IMAGE_COST = 1.0
"""Cost of a serving task for each other serving image on a worker. A
best-effort image that interferes with one serving image may be harmless to
another; on a worker with a single serving image, all that are harmless to it
can run."""

INTERFERENCE_COST = 10.0
"""Cost of interference that raises the utilisation by 1. An image that adds
0.06 costs as much beside serving tasks as on a worker without any."""

NEIGHBOUR_COST = 2.0
"""Cost of a serving task on a worker where best-effort tasks raise its
utilisation by 1. It is small because those end or move within seconds, while
the serving task stays."""

REMOTE_DATA_COST = 4.0
"""Cost of a worker outside the rack with the data, above every other cost."""

SLOWDOWN_COST = 2.0
"""Cost per unit of a worker's recent slowdown above 1."""

CPU_SHORTAGE_COST = 3.0
"""Cost of a best-effort task for which no processor time is left at all."""

MAX_CPU_SHORTAGE = 0.25
"""Maximum share of its cores that a best-effort task may lack. With more
sharing the processors do no more work and every job on them ends later."""

NON_SERVING_COST = 0.6
"""Cost of a best-effort task on a worker without serving tasks. Those workers
are kept for the images that interfere with serving tasks elsewhere."""


@attrs.define
class JobSpread:
    """Cost of a long-running task beside the others of its job."""

    _by_worker: collections.Counter[str] = attrs.Factory(collections.Counter)
    _by_rack: collections.Counter[str] = attrs.Factory(collections.Counter)
    _by_zone: collections.Counter[str] = attrs.Factory(collections.Counter)

    def add(self, worker: Worker) -> None:
        """Records that a task of the job is on a worker."""
        self._by_worker[worker.id] += 1
        self._by_rack[worker.rack] += 1
        self._by_zone[worker.entry.zone] += 1

    def measure(self, worker: Worker) -> float:
        """Returns the cost of one more task of the job on a worker."""
        return (
            SAME_JOB_COST * self._by_worker[worker.id]
            + SAME_RACK_COST * self._by_rack[worker.rack]
            + SAME_ZONE_COST * self._by_zone[worker.entry.zone]
        )


@attrs.frozen
class CostModel:
    """Costs of placing tasks on workers.

    They depend on the cluster state and the learned interference.

    Attributes:
      cluster: Cluster state that contains the tasks.
      interference_model: Learned interference between images.
    """

    cluster: ClusterState
    interference_model: InterferenceModel

    def make_cost_function(self, task: Task) -> CostFunction:
        """Returns a function from workers to the cost of a task there."""
        if task.spec.lasting:
            return self._make_long_running_cost(task)
        if task.spec.fills:
            return self._make_best_effort_cost(task)
        return lambda view: _get_plain_cost(task, view)

    def _make_long_running_cost(self, task: Task) -> CostFunction:
        cost = self.make_lone_cost(task)
        spread = self.make_spread(task)
        return lambda view: cost(view) + spread.measure(view.worker)

    def make_spread(self, task: Task) -> JobSpread:
        """Returns where the other tasks of a long-running task's job are."""
        spread = JobSpread()
        for other in task.job.tasks.values():
            worker = self.cluster.workers.get(other.worker)
            if worker is not None:
                spread.add(worker)
        return spread

    def make_lone_cost(self, task: Task) -> CostFunction:
        """Returns the cost of a long-running task apart from its job."""

        def cost(view: WorkerView) -> float:
            worker = view.worker
            total = view.free.cores / max(1.0, worker.entry.capacity.cores)
            total += SLOWDOWN_COST * (worker.slowdown - 1)
            if task.is_serving:
                total += self._get_serving_cost(task, view)
            return total

        return cost

    def _get_serving_cost(self, task: Task, view: WorkerView) -> float:
        total = 0.0 if view.is_serving else FIRST_SERVING_COST
        others = view.utilisation.keys() - {task.spec.image}
        total += OTHER_IMAGE_COST * len(others)
        neighbours = count_best_effort(view.worker)
        return (
            total
            + NEIGHBOUR_COST
            * self.interference_model.sum_interference(task, neighbours)
        )

    def _make_best_effort_cost(self, task: Task) -> CostFunction:
        image = task.spec.image

        def cost(view: WorkerView) -> float:
            if view.is_over_target:
                # Each new task would run unthrottled until the next poll
                # suspends it, one after the other.
                return math.inf
            if not self.interference_model.allows(view.utilisation, image):
                return math.inf
            shortage = view.measure_cpu_shortage(task)
            if shortage > MAX_CPU_SHORTAGE:
                return math.inf
            total = NON_SERVING_COST
            if view.is_serving:
                interference = self.interference_model.measure_interference(
                    view.utilisation, image
                )
                total = INTERFERENCE_COST * interference
            total += CPU_SHORTAGE_COST * shortage
            total += _get_data_cost(task, view.worker)
            return total + SLOWDOWN_COST * (view.worker.slowdown - 1)

        return cost


def _get_plain_cost(task: Task, view: WorkerView) -> float:
    worker = view.worker
    capacity = max(1.0, worker.entry.capacity.cores)
    total = (view.free.cores - task.spec.demand.cores) / capacity
    total += _get_data_cost(task, worker)
    return total + SLOWDOWN_COST * (worker.slowdown - 1)


def _get_data_cost(task: Task, worker: Worker) -> float:
    if not task.spec.rack or worker.rack == task.spec.rack:
        return 0.0
    return REMOTE_DATA_COST
