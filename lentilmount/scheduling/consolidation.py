"""Bringing serving tasks of one image together while the service runs.

Load pattern: what bears one filling image may not bear the next, so a worker
that serves several images takes only the filling work that all of them bear,
often none. Tasks that are spread one a worker, and tasks that come when every
worker is nearly full, mix the images more and more. A single small task then
keeps the whole rest of a worker from what waits.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.demand import BestEffortDemand
from lentilmount.scheduling.model import Task, TaskPhase
from lentilmount.scheduling.views import (
    SERVING_CPU_SHARE,
    WorkerView,
    get_step_key,
)

MOVE_INTERVAL_SECONDS = 0.5
"""Between two searches for a move."""

MAX_TASKS_PER_MOVE = 3
"""Most tasks of an image that leave a worker at once."""

LEAST_GAIN_CORES = 2.0
"""Cores that filling work must gain for each task that moves. A move costs a
serving task about two seconds of its service."""

MIN_SERVED_SECONDS = 4.0
"""How long a task has served before it moves: twice as long as a move takes
from it."""

MOST_AWAY = 0.04
"""Share of the lasting cores that may be away for moves to go on. More are
away after a worker is lost; its tasks need what room there is."""

MOST_SEARCHED = 8
"""Moves of largest promise for which room is looked for."""


@attrs.frozen
class _Move:
    """Serving tasks of an image that may leave a worker.

    Attributes:
      source: The worker.
      image: The image.
      tasks: The tasks.
      promise: Cores that filling work gains on that worker.
    """

    source: WorkerView
    image: str
    tasks: tuple[Task, ...]
    promise: float


@attrs.define
class Consolidation:
    """Chooses serving tasks that would serve better elsewhere.

    Attributes:
      cluster: Where the tasks are.
      demand: Which images the filling work is of.
    """

    cluster: ClusterState
    demand: BestEffortDemand
    _looked_at: float = 0.0

    def is_due(self, now: float) -> bool:
        """Whether a move may be looked for again."""
        return now - self._looked_at >= MOVE_INTERVAL_SECONDS

    def choose(self, views: list[WorkerView], now: float) -> list[Task]:
        """Returns the tasks of the best move, if any is worth it.

        Args:
          views: The workers that take new work.
          now: Monotonic time.
        """
        self._looked_at = now
        self.demand.update(now)
        waits = any(task.spec.fills for task in self.cluster.ready.values())
        if not waits or self._measure_away() > MOST_AWAY:
            return []
        moves = [move for view in views for move in self._list_moves(view, now)]
        moves.sort(key=lambda move: -move.promise)
        best: list[Task] = []
        most = 0.0
        for move in moves[:MOST_SEARCHED]:
            gain = move.promise - self._measure_loss(move, views)
            if gain >= LEAST_GAIN_CORES * len(move.tasks) and gain > most:
                best, most = list(move.tasks), gain
        return best

    def _measure_away(self) -> float:
        """Returns the share of the lasting cores that serve nobody now."""
        total = away = 0.0
        for job in self.cluster.jobs.values():
            if job.state.is_final or not job.spec.steps[0].lasting:
                continue
            for task in job.tasks.values():
                total += task.spec.demand.cores
                if task.phase is not TaskPhase.RUNNING:
                    away += task.spec.demand.cores
        return away / total if total else 0.0

    def _list_moves(self, view: WorkerView, now: float) -> list[_Move]:
        """Lists what may leave a worker, if room for it is found."""
        moves = []
        borne = self.demand.measure_borne(view.utilisation)
        before = borne * max(0.0, view.spare_cores)
        for image in view.utilisation:
            tasks = tuple(
                task
                for task in view.worker.tasks.values()
                if task.is_serving and task.spec.image == image
            )
            if len(tasks) > MAX_TASKS_PER_MOVE:
                continue
            if not all(_may_move(task, tasks, now) for task in tasks):
                continue
            left = view.utilisation.keys() - {image}
            freed = SERVING_CPU_SHARE * sum(t.spec.demand.cores for t in tasks)
            after = self.demand.measure_borne(left)
            after *= max(0.0, view.spare_cores + freed)
            if after - before >= LEAST_GAIN_CORES * len(tasks):
                moves.append(_Move(view, image, tasks, after - before))
        return moves

    def _measure_loss(self, move: _Move, views: list[WorkerView]) -> float:
        """Returns the cores that filling work loses where the tasks go.

        More than any gain where there is no room for all of them beside
        their own image.
        """
        targets = [
            view
            for view in views
            if view is not move.source and move.image in view.utilisation
        ]
        rooms = {view.worker.id: view.free for view in targets}
        loss = 0.0
        for task in move.tasks:
            target = _find_room(task, targets, rooms)
            if target is None:
                return move.promise
            free = rooms[target.worker.id]
            rooms[target.worker.id] = free.subtract(task.spec.reserved)
            borne = self.demand.measure_borne(target.utilisation)
            loss += borne * SERVING_CPU_SHARE * task.spec.demand.cores
        return loss


def _find_room(
    task: Task, targets: list[WorkerView], rooms: dict[str, Room]
) -> WorkerView | None:
    for view in targets:
        has_room = task.spec.reserved.fits(rooms[view.worker.id])
        if has_room and view.can_start(task):
            return view
    return None


def _may_move(task: Task, together: Iterable[Task], now: float) -> bool:
    """Tells whether a serving task's step can do without it for a while.

    Args:
      task: The task.
      together: All tasks that would move, itself included.
      now: Monotonic time.
    """
    if not task.spec.lasting or not _is_settled(task, now):
        return False
    allowed = task.spec.may_miss
    if allowed is None:
        return True
    moving = sum(
        get_step_key(other) == get_step_key(task) for other in together
    )
    away = sum(
        not _is_settled(other, now)
        for other in task.job.tasks.values()
        if get_step_key(other) == get_step_key(task)
    )
    return away + moving <= allowed


def _is_settled(task: Task, now: float) -> bool:
    is_there = task.phase is TaskPhase.RUNNING and task.cpu_percent == 100
    return is_there and now - task.confirmed_at >= MIN_SERVED_SECONDS
