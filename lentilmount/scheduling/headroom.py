"""Headroom that long-running tasks leave to urgent tasks for a limited time.

Load pattern: long-running tasks request more than the capacity and run for a
minute. Urgent jobs of a second or two arrive several times per second and may
be late by less than a second. If waiting long-running tasks were placed at
once, they would take every core that becomes free, and urgent tasks would wait
10 s or more until one of them ends.
"""

from __future__ import annotations

import math

import attrs

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task
from lentilmount.scheduling.ranking import (
    RESTART_OVERDUE_SECONDS,
    Timeliness,
    is_urgent,
    predict_timeliness,
)
from lentilmount.scheduling.views import WorkerView

MAX_HEADROOM_WAIT_SECONDS = RESTART_OVERDUE_SECONDS
"""How long a long-running task leaves free cores to expected urgent tasks: as
long as urgent tasks go before it."""

AVERAGING_SECONDS = 4.0
"""Time constant in seconds of the average demand of urgent tasks."""

UPDATE_INTERVAL_SECONDS = 0.1
"""Minimum time between two sums over all tasks, in seconds."""

BURST_FACTOR = 1.3
"""Reserved cores relative to the mean demand of urgent tasks, which arrive in
bursts."""


@attrs.define
class Headroom:
    """Estimate of the cores that urgent tasks are about to need.

    Attributes:
      cluster: Jobs, tasks and workers.
    """

    cluster: ClusterState
    _demand: float = 0.0
    _running: float = 0.0
    _updated_at: float = -math.inf

    def update(self, now: float) -> None:
        """Updates the average of the cores requested by urgent tasks."""
        elapsed = now - self._updated_at
        if elapsed < UPDATE_INTERVAL_SECONDS:
            return
        self._updated_at = now
        self._running = sum(
            task.spec.demand.cores
            for worker in self.cluster.workers.values()
            for task in worker.tasks.values()
            if is_urgent(task)
        )
        # Tasks that cannot be in time any more get no headroom.
        waiting = sum(
            task.spec.demand.cores
            for task in self.cluster.ready.values()
            if is_urgent(task)
            and predict_timeliness(task, now) is Timeliness.IN_TIME
        )
        if math.isinf(elapsed):
            return
        weight = 1 - math.exp(-elapsed / AVERAGING_SECONDS)
        self._demand += weight * (self._running + waiting - self._demand)

    def should_keep_free(
        self, step: list[Task], views: list[WorkerView], now: float
    ) -> bool:
        """Returns whether a long-running step must leave free cores unused.

        Args:
          step: Ready tasks of the step.
          views: Workers that accept new tasks.
          now: Monotonic time.
        """
        since = min(max(t.last_ended_at, t.job.accepted_at) for t in step)
        if now - since >= MAX_HEADROOM_WAIT_SECONDS:
            return False
        free = sum(view.free.cores for view in views)
        expected = max(0.0, BURST_FACTOR * self._demand - self._running)
        return free - step[0].spec.demand.cores < expected
