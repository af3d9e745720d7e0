"""What a task costs on a worker: who may stand beside whom, and where.

Load pattern: serving tasks that stay for a minute and mix, filling tasks of a
few seconds that find a place beside some images and not beside others, and
short tasks that take whatever gap holds them.
"""

from __future__ import annotations

import collections
import math

import attrs

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import (
    InterferenceModel,
    count_best_effort,
)
from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.offers import Price
from lentilmount.scheduling.views import WorkerView

SAME_JOB_COST = 0.05
SAME_RACK_COST = 0.02
SAME_ZONE_COST = 0.01
"""Costs of a lasting task for each task of its job on the same worker, rack
and zone: a worker lost takes one task of a job with it, a rack few."""

OPEN_COST = 2.0
"""Cost of the first serving task on a worker. What disturbs others has a
place where nothing serves, so as many workers as can be are kept so."""

OTHER_IMAGE_COST = 1.0
"""Cost of a serving task for each other serving image on a worker. What
disturbs one image may be harmless to another; where one image has a worker to
itself, every filling image that spares it has a place there."""

INTERFERENCE_COST = 10.0
"""Cost of a whole utilisation: an image that adds 0.06 is placed beside what
serves as gladly as on a worker where nothing serves."""

BESIDE_COST = 2.0
"""Cost of a whole utilisation that filling tasks add where a serving task may
go. Small: those end or move within seconds, and the serving task stays."""

FAR_COST = 4.0
"""Cost of a worker away from the rack with the data; above every other."""

SLOW_COST = 2.0
"""Cost for each time that a worker has lately been slower than expected."""

CROWDED_COST = 3.0
"""Cost of a filling task that finds no processor time left at all."""

MOST_CROWDED = 0.25
"""Share of its cores that a filling task may lack. Shared by more, the
processors do no more work, and every job on them ends later."""

EMPTY_COST = 0.6
"""Cost for a harmless image of a worker where nothing serves: those are kept
for the images that disturb what serves elsewhere."""


@attrs.frozen
class Costs:
    """Prices of workers, as a book and what was learned of images tell.

    Attributes:
      cluster: Where the tasks are.
      interference_model: Which images bear which.
    """

    cluster: ClusterState
    interference_model: InterferenceModel

    def make_price(self, task: Task) -> Price:
        """Returns what a task costs on each worker."""
        if task.spec.lasting:
            return self._make_lasting_cost(task)
        if task.spec.fills:
            return self._make_filling_cost(task)
        return lambda view: _measure_plain_cost(task, view)

    def _make_lasting_cost(self, task: Task) -> Price:
        hosts: collections.Counter[str] = collections.Counter()
        racks: collections.Counter[str] = collections.Counter()
        zones: collections.Counter[str] = collections.Counter()
        for other in task.job.tasks.values():
            worker = self.cluster.workers.get(other.worker)
            if worker is not None:
                hosts[worker.id] += 1
                racks[worker.rack] += 1
                zones[worker.entry.zone] += 1

        def cost(view: WorkerView) -> float:
            worker = view.worker
            price = view.free.cores / max(1.0, worker.entry.capacity.cores)
            price += SAME_JOB_COST * hosts[worker.id]
            price += SAME_RACK_COST * racks[worker.rack]
            price += SAME_ZONE_COST * zones[worker.entry.zone]
            price += SLOW_COST * (worker.slowdown - 1)
            if task.is_serving:
                price += self._measure_serving_cost(task, view)
            return price

        return cost

    def _measure_serving_cost(self, task: Task, view: WorkerView) -> float:
        price = 0.0 if view.is_serving else OPEN_COST
        others = view.utilisation.keys() - {task.spec.image}
        price += OTHER_IMAGE_COST * len(others)
        beside = count_best_effort(view.worker)
        return price + BESIDE_COST * self.interference_model.sum_interference(
            task, beside
        )

    def _make_filling_cost(self, task: Task) -> Price:
        image = task.spec.image

        def cost(view: WorkerView) -> float:
            if view.is_over:
                # Each new task would run at full pace until the next look
                # halts it, one after the other.
                return math.inf
            if not self.interference_model.allows(view.utilisation, image):
                return math.inf
            crowding = view.measure_crowding(task)
            if crowding > MOST_CROWDED:
                return math.inf
            price = EMPTY_COST
            if view.is_serving:
                interference = self.interference_model.measure_interference(
                    view.utilisation, image
                )
                price = INTERFERENCE_COST * interference
            price += CROWDED_COST * crowding
            price += _measure_distance(task, view.worker)
            return price + SLOW_COST * (view.worker.slowdown - 1)

        return cost


def _measure_plain_cost(task: Task, view: WorkerView) -> float:
    worker = view.worker
    capacity = max(1.0, worker.entry.capacity.cores)
    price = (view.free.cores - task.spec.demand.cores) / capacity
    price += _measure_distance(task, worker)
    return price + SLOW_COST * (worker.slowdown - 1)


def _measure_distance(task: Task, worker: Worker) -> float:
    if not task.spec.rack or worker.rack == task.spec.rack:
        return 0.0
    return FAR_COST
