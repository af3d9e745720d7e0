"""Reservations of workers for interrupted long-running tasks.

Load pattern: short tasks arrive all the time and fill each gap on every worker
before it is large enough for a long-running task, although the short tasks on
one worker occupy more than enough resources for it.
"""

from __future__ import annotations

import math

import attrs
import logbook

from lentilmount.scheduling.model import Task, TaskPhase
from lentilmount.scheduling.views import WorkerView

log = logbook.Logger('placing')

RESERVATION_SECONDS = 2.0
"""Duration of a reservation in seconds; short tasks have ended by then."""

MAX_RESERVED_SHARE = 0.05
"""Maximum share of the workers that are reserved at once."""


@attrs.frozen
class _Reservation:
    """Reservation of a worker for a task.

    Attributes:
      worker: Id of the worker, or '' if none is suitable.
      until: Monotonic time until which the choice is valid.
    """

    worker: str
    until: float


@attrs.define
class WorkerReservations:
    """Workers that accept no other task until a given task fits there."""

    _reservations: dict[Task, _Reservation] = attrs.Factory(dict)

    def expire(self, now: float) -> None:
        """Drops reservations that timed out or whose task no longer waits."""
        self._reservations = {
            task: reservation
            for task, reservation in self._reservations.items()
            if task.phase is TaskPhase.WAITING and now < reservation.until
        }

    def reserve(
        self, task: Task, views: list[WorkerView], now: float
    ) -> WorkerView | None:
        """Returns the worker reserved for a task, choosing one if necessary.

        Args:
          task: A task that fits on no worker now.
          views: Workers that accept new tasks and are not reserved.
          now: Monotonic time.

        Returns:
          The worker, or None if none is suitable or too many are reserved.
        """
        reservation = self._reservations.get(task)
        if reservation is not None:
            found = (v for v in views if v.worker.id == reservation.worker)
            view = next(found, None)
            if view is None or _may_fit(task, view):
                return view
            del self._reservations[task]
        reserved_count = sum(
            reservation.worker != ''
            for reservation in self._reservations.values()
        )
        if reserved_count >= math.ceil(MAX_RESERVED_SHARE * len(views)):
            return None
        chosen = _choose_worker(task, views)
        name = chosen.worker.id if chosen is not None else ''
        if name:
            log.info(
                'Holding a worker until an interrupted task fits there.',
                extra={'task': str(task.id), 'worker': name},
            )
        self._reservations[task] = _Reservation(name, now + RESERVATION_SECONDS)
        return chosen


def _choose_worker(task: Task, views: list[WorkerView]) -> WorkerView | None:
    """Chooses the worker where a task is likely to fit first."""
    suitable = [v for v in views if _may_fit(task, v) and v.accepts(task)]
    chosen = max(suitable, key=lambda view: view.free.cores, default=None)
    if chosen is not None and task.spec.reserved.fits(chosen.free):
        # The task fits already, so it waits for something else.
        return None
    return chosen


def _may_fit(task: Task, view: WorkerView) -> bool:
    """Returns whether a task fits once the short tasks there have ended."""
    return task.spec.reserved.fits(view.free_after_short_tasks)
