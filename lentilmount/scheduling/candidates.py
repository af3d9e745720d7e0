"""Candidate workers for the tasks of one step, ordered by cost.

Load pattern: steps of tens of tasks on hundreds of workers, with hundreds of
starts per second. The tasks of a step are identical, so the cost of a worker
computed for one of them is valid for all until the worker changes. Computing it
for each task would take most of an owner's CPU time.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

import attrs

from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.views import WorkerView

CostFunction = Callable[[WorkerView], float]
"""Cost of a task on a worker; infinite if it must not be placed there."""

IsAllowed = Callable[[Task, Worker], bool]
"""Whether a task may run on a worker, by rules outside the cluster state."""


@attrs.define
class StepCandidates:
    """Costs of one step's tasks, computed once for each worker.

    Attributes:
      task: A task that represents all tasks of the step.
      is_allowed: Whether it may run on a worker, by rules outside the cluster
        state.
      cost_function: Its cost on a worker with enough free resources.
      has_excluded_workers: Whether those rules alone exclude a worker.
      is_sample: Whether only a sample of the workers was evaluated.
    """

    task: Task
    is_allowed: IsAllowed
    cost_function: CostFunction
    has_excluded_workers: bool = False
    is_sample: bool = False
    _views: list[WorkerView] = attrs.Factory(list)
    _costs: list[float] = attrs.Factory(list)
    _heap: list[tuple[float, int]] = attrs.Factory(list)

    def evaluate(self, views: list[WorkerView]) -> None:
        """Computes the costs of some workers, in place of those before."""
        task = self.task
        fitting = [view for view in views if view.can_start(task)]
        self._views = [v for v in fitting if self.is_allowed(task, v.worker)]
        self.has_excluded_workers = len(self._views) < len(fitting)
        self._costs = [self.cost_function(view) for view in self._views]
        self._heap = [
            (cost, number)
            for number, cost in enumerate(self._costs)
            if cost < math.inf
        ]
        heapq.heapify(self._heap)

    def refresh(self, view: WorkerView) -> None:
        """Recomputes the cost of a worker after a task was placed there."""
        if view not in self._views:
            return
        number = self._views.index(view)
        cost = (
            self.cost_function(view) if view.can_start(self.task) else math.inf
        )
        self._costs[number] = cost
        if cost < math.inf:
            heapq.heappush(self._heap, (cost, number))

    def find_cheapest(self) -> WorkerView | None:
        """Returns the cheapest worker, the first one among equals, or None."""
        while self._heap:
            cost, number = self._heap[0]
            if cost == self._costs[number]:
                return self._views[number]
            # Outdated entry: the cost of this worker was refreshed since.
            heapq.heappop(self._heap)
        return None
