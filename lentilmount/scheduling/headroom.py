"""Room that lasting tasks leave to short urgent work for a while.

Load pattern: lasting tasks ask for more than there is and stay for a minute;
urgent jobs of a second or two come several times a second and may be late by
less than one. Placed at once, the lasting tasks that wait take every core that
is freed, and urgent work waits until one of them ends, ten seconds and more.
"""

from __future__ import annotations

import math

import attrs

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task
from lentilmount.scheduling.ranking import (
    RESTART_OVERDUE_SECONDS,
    Outlook,
    find_outlook,
    is_urgent,
)
from lentilmount.scheduling.views import WorkerView

MAX_HEADROOM_WAIT_SECONDS = RESTART_OVERDUE_SECONDS
"""How long a lasting task leaves room to urgent work that is expected: as long
as urgent work goes before it."""

AVERAGE_SECONDS = 4.0
"""Time over which the demand of urgent work is averaged."""

NOTE_SECONDS = 0.1
"""Between two sums over all tasks."""

BURST_FACTOR = 1.3
"""Room kept for urgent work, over its mean demand: it comes in bursts."""


@attrs.define
class Headroom:
    """Knows how much room urgent work is likely to need.

    Attributes:
      cluster: Jobs, tasks and workers.
    """

    cluster: ClusterState
    _demand: float = 0.0
    _running: float = 0.0
    _noted_at: float = -math.inf

    def update(self, now: float) -> None:
        """Takes in how many cores urgent work runs on or waits for."""
        passed = now - self._noted_at
        if passed < NOTE_SECONDS:
            return
        self._noted_at = now
        self._running = sum(
            task.spec.demand.cores
            for worker in self.cluster.workers.values()
            for task in worker.tasks.values()
            if is_urgent(task)
        )
        # What cannot be in time any more has no claim on room.
        waiting = sum(
            task.spec.demand.cores
            for task in self.cluster.ready.values()
            if is_urgent(task) and find_outlook(task, now) is Outlook.IN_TIME
        )
        if math.isinf(passed):
            return
        weight = 1 - math.exp(-passed / AVERAGE_SECONDS)
        self._demand += weight * (self._running + waiting - self._demand)

    def keeps_room(
        self, step: list[Task], views: list[WorkerView], now: float
    ) -> bool:
        """Tells whether a lasting step leaves what is free to urgent work.

        Args:
          step: Its tasks that are ready.
          views: The workers that take new work.
          now: Monotonic time.
        """
        since = min(max(t.last_ended_at, t.job.accepted_at) for t in step)
        if now - since >= MAX_HEADROOM_WAIT_SECONDS:
            return False
        free = sum(view.free.cores for view in views)
        expected = max(0.0, BURST_FACTOR * self._demand - self._running)
        return free - step[0].spec.demand.cores < expected
