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
    _views: list[WorkerView] = attrs.Factory(list)
    _by_image: dict[str, dict[WorkerView, None]] = attrs.Factory(dict)
    _by_rack: dict[str, dict[WorkerView, None]] = attrs.Factory(dict)

    def begin_pass(self, views: list[WorkerView]) -> None:
        """Notes the workers that accept new tasks in a pass."""
        self._views = views
        self._by_image, self._by_rack = {}, {}
        if self.is_needed(views):
            for view in views:
                self.add(view)

    def add(self, view: WorkerView) -> None:
        """Notes what serves on a worker, also after a task was placed there."""
        for image in view.utilisation:
            self._by_image.setdefault(image, {})[view] = None
        self._by_rack.setdefault(view.worker.rack, {})[view] = None

    def remove(self, view: WorkerView) -> None:
        """Drops a worker that is no longer among those of the pass."""
        for suitable in (*self._by_image.values(), *self._by_rack.values()):
            suitable.pop(view, None)

    def is_needed(self, views: list[WorkerView]) -> bool:
        """Returns whether there are too many workers to compare all."""
        return len(views) > MAX_COMPARED_WORKERS

    def choose(self, task: Task) -> list[WorkerView]:
        """Returns a sample, in which the workers that suit a task come first.

        Long-running tasks that serve the same image are placed together where
        possible, and others near their data.
        """
        views = self._views
        first = self._next % len(views)
        self._next = first + MAX_COMPARED_WORKERS
        end = first + MAX_COMPARED_WORKERS
        others = views[first:end] + views[: max(0, end - len(views))]
        spec = task.spec
        suitable = (
            self._by_image.get(spec.image, {})
            if spec.lasting
            else self._by_rack.get(spec.rack, {})
        )
        first_ones = itertools.islice(suitable, MAX_COMPARED_WORKERS)
        return list(dict.fromkeys([*first_ones, *others]))
