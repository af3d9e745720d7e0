"""Samples the workers with which a long-running task is compared.

Load pattern: thousands of workers, and hundreds of long-running tasks at once
when a system starts. Each task has costs of its own, as they depend on where
the others of its job are. Compared with all workers, 50 tasks took an owner
over a second, in which it answered nothing.
"""

from __future__ import annotations

import attrs

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

    def choose(self, views: list[WorkerView], image: str) -> list[WorkerView]:
        """Returns a sample, in which those that serve an image come first.

        Tasks that serve the same image are placed together where possible.

        Args:
          views: All workers that accept new tasks.
          image: The image of the task.
        """
        serving = [view for view in views if image in view.utilisation]
        first = self._next % len(views)
        self._next = first + MAX_COMPARED_WORKERS
        others = [*views[first:], *views[:first]][:MAX_COMPARED_WORKERS]
        chosen = dict.fromkeys([*serving[:MAX_COMPARED_WORKERS], *others])
        return list(chosen)
