"""Workers that take nothing more until a lasting task fits there.

Load pattern: short tasks come all the time and take each gap on every worker
before it is large enough for a lasting task, though what is short there keeps
more than enough room from it.
"""

from __future__ import annotations

import math

import attrs
import logbook

from lentilmount.scheduling.model import Task, TaskPhase
from lentilmount.scheduling.views import WorkerView

log = logbook.Logger('placing')

RESERVATION_SECONDS = 2.0
"""How long a worker is held for one task: short tasks have ended by then."""

MAX_RESERVED_SHARE = 0.05
"""Share of the workers that are held at once."""


@attrs.frozen
class _Hold:
    """A worker held for a task.

    Attributes:
      worker: The worker, or '' where none would do.
      until: Monotonic time until which the choice stands.
    """

    worker: str
    until: float


@attrs.define
class WorkerReservations:
    """Knows which worker is held for which task, from pass to pass."""

    _holds: dict[Task, _Hold] = attrs.Factory(dict)

    def expire(self, now: float) -> None:
        """Ends the holds of tasks that wait no more, and those of long ago."""
        self._holds = {
            task: hold
            for task, hold in self._holds.items()
            if task.phase is TaskPhase.WAITING and now < hold.until
        }

    def reserve(
        self, task: Task, views: list[WorkerView], now: float
    ) -> WorkerView | None:
        """Returns the worker that is held for a task, chosen if need be.

        Args:
          task: What no worker has room for now.
          views: The workers that take new work and are not held.
          now: Monotonic time.
        """
        hold = self._holds.get(task)
        if hold is not None:
            found = (v for v in views if v.worker.id == hold.worker)
            return next(found, None)
        held = sum(hold.worker != '' for hold in self._holds.values())
        if held >= math.ceil(MAX_RESERVED_SHARE * len(views)):
            return None
        chosen = _choose(task, views)
        name = chosen.worker.id if chosen is not None else ''
        if name:
            log.info(
                'Holding a worker for a lost task.',
                extra={'task': str(task.id), 'worker': name},
            )
        self._holds[task] = _Hold(name, now + RESERVATION_SECONDS)
        return chosen


def _choose(task: Task, views: list[WorkerView]) -> WorkerView | None:
    """Chooses the worker on which a task is likely to fit first."""
    reserved = task.spec.reserved
    able = [v for v in views if reserved.fits(v.soon) and v.accepts(task)]
    chosen = max(able, key=lambda view: view.free.cores, default=None)
    if chosen is not None and reserved.fits(chosen.free):
        # It is not room that the task waits for.
        return None
    return chosen
