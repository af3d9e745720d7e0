"""Candidate workers for the tasks of one step, by cost.

Load pattern: steps of tens of tasks on hundreds of workers, with hundreds of
starts per second. The tasks of a step are identical, so the cost of a worker
computed for one of them is valid for all until the worker changes. Computing it
for each task would take most of an owner's CPU time.
"""

from __future__ import annotations

import bisect
import heapq
import math
from collections.abc import Callable
from typing import Protocol

import attrs

from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.views import WorkerView

CostFunction = Callable[[WorkerView], float]
"""Cost of a task on a worker; infinite if it must not be placed there."""

IsAllowed = Callable[[Task, Worker], bool]
"""Whether a task may run on a worker, by rules outside the cluster state."""

IsOpen = Callable[[Task, WorkerView], bool]
"""Whether a task may take room on a worker where it fits."""


class Candidates(Protocol):
    """Workers that were evaluated for the tasks of one step.

    Attributes:
      has_excluded_workers: Whether rules outside the cluster state alone
        exclude a worker.
      has_headroom_only: Whether the last search found only workers whose room
        is kept for other tasks.
      is_sample: Whether only a sample of the workers was evaluated.
    """

    has_excluded_workers: bool
    has_headroom_only: bool
    is_sample: bool

    def evaluate(self, views: list[WorkerView]) -> None:
        """Computes the costs of some workers, in place of those before."""

    def refresh(self, view: WorkerView) -> None:
        """Recomputes the cost of a worker after a task was placed there."""

    def find_cheapest(self, task: Task) -> WorkerView | None:
        """Returns the cheapest worker for a task of the step, or None."""


@attrs.define
class StepCandidates:
    """Costs of one step's tasks, computed once for each worker.

    Attributes:
      task: A task that represents all tasks of the step.
      is_allowed: Whether it may run on a worker, by rules outside the cluster
        state.
      cost_function: Its cost on a worker with enough free resources.
      has_excluded_workers: Whether those rules alone exclude a worker.
      has_headroom_only: Always false: these tasks keep no headroom.
      is_sample: Whether only a sample of the workers was evaluated.
    """

    task: Task
    is_allowed: IsAllowed
    cost_function: CostFunction
    has_excluded_workers: bool = False
    has_headroom_only: bool = False
    is_sample: bool = False
    _views: list[WorkerView] = attrs.Factory(list)
    _costs: list[float] = attrs.Factory(list)
    _heap: list[tuple[float, int]] = attrs.Factory(list)

    def evaluate(self, views: list[WorkerView]) -> None:
        """Computes the costs of some workers, in place of those before."""
        fitting = [view for view in views if view.can_start(self.task)]
        self._views = _list_allowed(self.task, fitting, self.is_allowed)
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

    def find_cheapest(self, _: Task) -> WorkerView | None:
        """Returns the cheapest worker, the first one among equals, or None."""
        while self._heap:
            cost, number = self._heap[0]
            if cost == self._costs[number]:
                return self._views[number]
            # Outdated entry: the cost of this worker was refreshed since.
            heapq.heappop(self._heap)
        return None


class SpreadCost(Protocol):
    """Cost of a task beside the others of its job; see `costs`."""

    def measure(self, worker: Worker) -> float:
        """Returns the cost on a worker."""

    def add(self, worker: Worker) -> None:
        """Records that a task of the job was placed on a worker."""


@attrs.define
class LongRunningCandidates:
    """Costs of a long-running step's tasks, computed once for each worker.

    Load pattern: hundreds of long-running tasks are lost with an availability
    zone and must run again within seconds. Their cost depends on where the
    others of their job are, so that part alone is computed for each of them.

    Attributes:
      task: A task that represents all tasks of the step.
      is_allowed: See `StepCandidates`.
      cost_function: Its cost on a worker with enough free resources, apart from
        the other tasks of its job.
      spread: Cost of the other tasks of its job.
      keeps_headroom: Returns whether a task may take room on a worker.
      has_excluded_workers: See `Candidates`.
      has_headroom_only: See `Candidates`.
      is_sample: See `Candidates`.
    """

    task: Task
    is_allowed: IsAllowed
    cost_function: CostFunction
    spread: SpreadCost
    keeps_headroom: IsOpen
    has_excluded_workers: bool = False
    has_headroom_only: bool = False
    is_sample: bool = False
    _views: list[WorkerView] = attrs.Factory(list)
    _costs: list[float] = attrs.Factory(list)
    _order: list[tuple[float, int]] = attrs.Factory(list)

    def evaluate(self, views: list[WorkerView]) -> None:
        """Computes the costs of some workers, in place of those before."""
        fitting = [view for view in views if view.can_start(self.task)]
        self._views = _list_allowed(self.task, fitting, self.is_allowed)
        self.has_excluded_workers = len(self._views) < len(fitting)
        self._costs = [self.cost_function(view) for view in self._views]
        self._order = sorted(
            (cost, number) for number, cost in enumerate(self._costs)
        )

    def refresh(self, view: WorkerView) -> None:
        """Recomputes the cost of a worker after a task was placed there."""
        self.spread.add(view.worker)
        if view not in self._views:
            return
        number = self._views.index(view)
        self._order.remove((self._costs[number], number))
        if view.can_start(self.task):
            self._costs[number] = self.cost_function(view)
            bisect.insort(self._order, (self._costs[number], number))

    def find_cheapest(self, task: Task) -> WorkerView | None:
        """Returns the cheapest worker that keeps its headroom, or None.

        It is the first one among equals.
        """
        best = (math.inf, -1)
        for cost, number in self._order:
            if cost > best[0]:
                # The other tasks of the job can only add to the rest.
                break
            view = self._views[number]
            found = (cost + self.spread.measure(view.worker), number)
            if found < best and self.keeps_headroom(task, view):
                best = found
        is_found = best[0] < math.inf
        self.has_headroom_only = not is_found and bool(self._order)
        return self._views[best[1]] if is_found else None


def _list_allowed(
    task: Task, views: list[WorkerView], is_allowed: IsAllowed
) -> list[WorkerView]:
    return [view for view in views if is_allowed(task, view.worker)]
