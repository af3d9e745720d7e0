"""The workers that may take the tasks of one step, the cheapest first.

Load pattern: steps of tens of tasks on hundreds of workers, hundreds of starts
a second. The tasks of a step are alike, so what a worker asks for one of them
holds for all until that worker changes. Asked for each task anew, choosing
workers takes most of an owner's processor.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

import attrs

from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.views import WorkerView

Price = Callable[[WorkerView], float]
"""What a task costs on a worker; infinite where it may not go."""

Allows = Callable[[Task, Worker], bool]
"""Whether a task may go to a worker for reasons that lie outside the book."""


@attrs.define
class Offers:
    """Prices of one step's tasks, worked out once for each worker.

    Attributes:
      task: Stands for all tasks of the step.
      allows: Whether it may go to a worker, by reasons outside the book.
      cost: What it costs on a worker where there is room for it.
      is_held_back: Whether only such a reason keeps it from some worker.
    """

    task: Task
    allows: Allows
    cost: Price
    is_held_back: bool = False
    _views: list[WorkerView] = attrs.Factory(list)
    _prices: list[float] = attrs.Factory(list)
    _heap: list[tuple[float, int]] = attrs.Factory(list)

    def ask_all(self, views: list[WorkerView]) -> None:
        """Asks all workers."""
        task = self.task
        fitting = [view for view in views if view.can_start(task)]
        self._views = [v for v in fitting if self.allows(task, v.worker)]
        self.is_held_back = len(self._views) < len(fitting)
        self._prices = [self.cost(view) for view in self._views]
        self._heap = [
            (price, number)
            for number, price in enumerate(self._prices)
            if price < math.inf
        ]
        heapq.heapify(self._heap)

    def refresh(self, view: WorkerView) -> None:
        """Asks a worker again that has taken a task of the step."""
        if view not in self._views:
            return
        number = self._views.index(view)
        price = self.cost(view) if view.can_start(self.task) else math.inf
        self._prices[number] = price
        if price < math.inf:
            heapq.heappush(self._heap, (price, number))

    def find_cheapest(self) -> WorkerView | None:
        """Returns the cheapest worker, the first of equals; None for none."""
        while self._heap:
            price, number = self._heap[0]
            if price == self._prices[number]:
                return self._views[number]
            # An offer that the worker has replaced since.
            heapq.heappop(self._heap)
        return None
