"""Samples the workers with which a task is compared.

Load pattern: thousands of workers, hundreds of long-running tasks at once when
a system starts, and tens of steps a second. Compared with all workers, 50
long-running tasks took an owner over a second, in which it answered nothing,
and each step some 15 ms, so that a pass of several steps came half a second
after the one before.
"""

from __future__ import annotations

import itertools

import attrs

from lentilmount.scheduling.model import Task
from lentilmount.scheduling.views import WorkerView

MAX_COMPARED_WORKERS = 500
"""Number of workers from which only a sample of them is compared. The best of a
sample of that size is almost as good as the best of thousands."""


@attrs.define
class WorkerSampler:
    """Chooses samples that cover all workers in turn."""

    _next: int = 0

    def is_needed(self, views: list[WorkerView]) -> bool:
        """Returns whether there are too many workers to compare all."""
        return len(views) > MAX_COMPARED_WORKERS

    def choose(self, views: list[WorkerView], task: Task) -> list[WorkerView]:
        """Returns a sample, in which the workers that suit a task come first.

        Args:
          views: All workers that accept new tasks.
          task: The task.
        """
        first = self._next % len(views)
        self._next = first + MAX_COMPARED_WORKERS
        others = [*views[first:], *views[:first]][:MAX_COMPARED_WORKERS]
        suitable = itertools.islice(
            (view for view in views if _suits(view, task)), MAX_COMPARED_WORKERS
        )
        return list(dict.fromkeys([*suitable, *others]))


def _suits(view: WorkerView, task: Task) -> bool:
    """Returns whether a worker is likely to be among the cheapest for a task.

    Long-running tasks that serve the same image are placed together where
    possible, and others near their data.
    """
    spec = task.spec
    if spec.lasting:
        return spec.image in view.utilisation
    return bool(spec.rack) and view.worker.rack == spec.rack
