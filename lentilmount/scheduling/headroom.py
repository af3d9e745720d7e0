"""Headroom that long-running tasks leave to urgent tasks.

Load pattern: long-running tasks request more than the capacity and run for a
minute. Urgent jobs of a second or two arrive several times per second and may
be late by less than a second. If waiting long-running tasks were placed at
once, they would take every core that becomes free, and urgent tasks would wait
10 s or more until one of them ends.

Urgent tasks may be larger than long-running ones. Then the gap that one
long-running task leaves is too small for them, and the free cores of all
workers together say nothing. So headroom is counted in slots: places on single
workers that are large enough for an urgent task. Where slots are short, some
workers are held until several long-running tasks have ended there.
"""

from __future__ import annotations

import math

import attrs

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task
from lentilmount.scheduling.ranking import (
    RESTART_OVERDUE_SECONDS,
    Timeliness,
    has_never_run,
    is_urgent,
    predict_timeliness,
)
from lentilmount.scheduling.views import WorkerView

MAX_HEADROOM_WAIT_SECONDS = RESTART_OVERDUE_SECONDS
"""How long an interrupted long-running task leaves slots to expected urgent
tasks: as long as urgent tasks go before it. New ones leave them as long as the
urgent tasks are expected."""

AVERAGING_SECONDS = 4.0
"""Time constant in seconds of the average demand of urgent tasks."""

UPDATE_INTERVAL_SECONDS = 0.25
"""Minimum time between two sums over all tasks, in seconds."""

BURST_FACTOR = 1.3
"""Reserved slots relative to the mean number of urgent tasks, which arrive in
bursts."""

ROUNDING = 1e-6
"""Tolerance of sums and averages, in tasks."""

MAX_HELD_SHARE = 0.1
"""Maximum share of the workers that are held until they have a slot."""


@attrs.define
class Headroom:
    """Estimate of the slots that urgent tasks are about to need.

    Attributes:
      cluster: Jobs, tasks and workers.
    """

    cluster: ClusterState
    _tasks: float = 0.0
    _cores: float = 0.0
    _memory_mb: float = 0.0
    _running: int = 0
    _updated_at: float = -math.inf
    _kept: int = 0
    _slots: dict[str, int] = attrs.Factory(dict)
    _free_slots: int = 0
    _held: frozenset[str] = frozenset()

    def update(self, now: float) -> None:
        """Updates the averages of the urgent tasks and of their sizes."""
        elapsed = now - self._updated_at
        if elapsed < UPDATE_INTERVAL_SECONDS:
            return
        self._updated_at = now
        running = [
            task
            for worker in self.cluster.workers.values()
            for task in worker.tasks.values()
            if is_urgent(task)
        ]
        self._running = len(running)
        # Tasks that cannot be in time any more get no headroom.
        waiting = [
            task
            for task in self.cluster.ready.values()
            if is_urgent(task)
            and predict_timeliness(task, now) is Timeliness.IN_TIME
        ]
        if math.isinf(elapsed):
            return
        weight = 1 - math.exp(-elapsed / AVERAGING_SECONDS)
        demands = [task.spec.demand for task in (*running, *waiting)]
        cores = sum(demand.cores for demand in demands)
        memory_mb = sum(demand.memory_mb for demand in demands)
        self._tasks += weight * (len(demands) - self._tasks)
        self._cores += weight * (cores - self._cores)
        self._memory_mb += weight * (memory_mb - self._memory_mb)

    def _count_slots_to_keep(self) -> int:
        """Returns how many slots to keep beside the running urgent tasks."""
        expected = BURST_FACTOR * self._tasks - self._running
        return max(0, math.ceil(expected - ROUNDING))

    def begin_pass(self, views: list[WorkerView]) -> None:
        """Counts the slots of all workers and chooses those to hold.

        Args:
          views: Workers that accept new tasks.
        """
        self._slots = {v.worker.id: self._count_slots(v.free) for v in views}
        self._free_slots = sum(self._slots.values())
        self._kept = self._count_slots_to_keep()
        missing = self._kept - self._free_slots
        most = math.ceil(MAX_HELD_SHARE * len(views))
        self._held = frozenset()
        if missing > 0:
            by_gap = sorted(views, key=self._measure_gap, reverse=True)
            chosen = by_gap[: min(missing, most)]
            self._held = frozenset(view.worker.id for view in chosen)

    def refresh(self, view: WorkerView) -> None:
        """Counts the slots of a worker again after a task was placed there."""
        slots = self._count_slots(view.free)
        self._free_slots += slots - self._slots.get(view.worker.id, 0)
        self._slots[view.worker.id] = slots

    def _count_slots(self, free: Room) -> int:
        """Returns how many urgent tasks of the mean size fit."""
        if self._tasks <= ROUNDING:
            return 0
        by_cores = free.cores * self._tasks / max(ROUNDING, self._cores)
        by_memory = free.memory_mb * self._tasks / max(1.0, self._memory_mb)
        return max(0, int(min(by_cores, by_memory) + ROUNDING))

    def _measure_gap(self, view: WorkerView) -> float:
        """Returns the free cores of a worker beside its slots."""
        size = self._cores / max(ROUNDING, self._tasks)
        return view.free.cores - self._slots[view.worker.id] * size

    def allows(self, task: Task, view: WorkerView, now: float) -> bool:
        """Returns whether a long-running task may take room on a worker.

        Args:
          task: The task, which fits there.
          view: The worker.
          now: Monotonic time.
        """
        if not self._kept or not _yields(task, now):
            return True
        if view.worker.id in self._held:
            return False
        after = self._count_slots(view.free.subtract(task.spec.reserved))
        lost = self._slots.get(view.worker.id, 0) - after
        return lost <= 0 or self._free_slots - lost >= self._kept


def _yields(task: Task, now: float) -> bool:
    """Returns whether a long-running task leaves slots to urgent tasks."""
    if has_never_run(task):
        return True
    return now - task.last_ended_at < MAX_HEADROOM_WAIT_SECONDS
