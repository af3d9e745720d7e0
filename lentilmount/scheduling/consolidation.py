"""Consolidation of serving tasks by image while the service runs.

Load pattern: an image that tolerates one best-effort image may not tolerate the
next, so a worker that serves several images accepts only best-effort tasks that
all of them tolerate, often none. Images mix more and more through tasks that
are spread over workers and tasks that arrive when every worker is nearly full.
A single small task then keeps the rest of a worker from waiting best-effort
tasks.
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
"""Minimum time between two searches for a move, in seconds."""

MAX_TASKS_PER_MOVE = 3
"""Maximum number of tasks of an image that leave a worker at once."""

MIN_GAIN_CORES = 2.0
"""Cores that best-effort tasks must gain for each moved task. A move interrupts
a serving task for about two seconds."""

MIN_SERVED_SECONDS = 4.0
"""Time in seconds that a task must have served before it moves: twice the
interruption by a move."""

MAX_INTERRUPTED_SHARE = 0.04
"""Share of the long-running tasks' cores that may be interrupted for moves to
continue. More are interrupted after the loss of a worker, and its tasks need
the free resources."""

MAX_MOVES_EVALUATED = 8
"""Number of moves for which a target is searched, those of largest potential
gain."""


@attrs.frozen
class _Move:
    """Serving tasks of one image that may leave a worker.

    Attributes:
      source: Current worker.
      image: Image of the tasks.
      tasks: The tasks.
      potential_gain: Cores that best-effort tasks gain on that worker.
    """

    source: WorkerView
    image: str
    tasks: tuple[Task, ...]
    potential_gain: float


@attrs.define
class Consolidator:
    """Chooses serving tasks to move to workers that serve their image.

    Attributes:
      cluster: Cluster state that contains the tasks.
      demand: Demand of best-effort tasks by image.
    """

    cluster: ClusterState
    demand: BestEffortDemand
    _searched_at: float = 0.0

    def is_due(self, now: float) -> bool:
        """Returns whether the next search for a move is due."""
        return now - self._searched_at >= MOVE_INTERVAL_SECONDS

    def choose(self, views: list[WorkerView], now: float) -> list[Task]:
        """Returns the tasks of the best move, or none if no move is worth it.

        Args:
          views: Workers that accept new tasks.
          now: Monotonic time.
        """
        self._searched_at = now
        self.demand.update(now)
        has_waiting_tasks = any(
            task.spec.fills for task in self.cluster.ready.values()
        )
        if (
            not has_waiting_tasks
            or self._measure_interrupted_share() > MAX_INTERRUPTED_SHARE
        ):
            return []
        moves = [move for view in views for move in self._list_moves(view, now)]
        moves.sort(key=lambda move: -move.potential_gain)
        best: list[Task] = []
        best_gain = 0.0
        for move in moves[:MAX_MOVES_EVALUATED]:
            gain = move.potential_gain - self._measure_loss(move, views)
            if gain >= MIN_GAIN_CORES * len(move.tasks) and gain > best_gain:
                best, best_gain = list(move.tasks), gain
        return best

    def _measure_interrupted_share(self) -> float:
        """Returns the share of cores of long-running tasks that are down."""
        total = interrupted = 0.0
        for job in self.cluster.jobs.values():
            if job.state.is_final or not job.spec.steps[0].lasting:
                continue
            for task in job.tasks.values():
                total += task.spec.demand.cores
                if task.phase is not TaskPhase.RUNNING:
                    interrupted += task.spec.demand.cores
        return interrupted / total if total else 0.0

    def _list_moves(self, view: WorkerView, now: float) -> list[_Move]:
        """Lists moves off a worker, without checking for a target."""
        moves = []
        tolerated = self.demand.measure_tolerated_share(view.utilisation)
        before = tolerated * max(0.0, view.spare_cores)
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
            remaining_images = view.utilisation.keys() - {image}
            freed = SERVING_CPU_SHARE * sum(t.spec.demand.cores for t in tasks)
            after = self.demand.measure_tolerated_share(remaining_images)
            after *= max(0.0, view.spare_cores + freed)
            if after - before >= MIN_GAIN_CORES * len(tasks):
                moves.append(_Move(view, image, tasks, after - before))
        return moves

    def _measure_loss(self, move: _Move, views: list[WorkerView]) -> float:
        """Returns the cores that best-effort tasks lose on the target workers.

        If the other workers of the image do not have room for all tasks, the
        result is the potential gain, so that the move is not worth it.
        """
        targets = [
            view
            for view in views
            if view is not move.source and move.image in view.utilisation
        ]
        free_by_worker = {view.worker.id: view.free for view in targets}
        loss = 0.0
        for task in move.tasks:
            target = _find_target(task, targets, free_by_worker)
            if target is None:
                return move.potential_gain
            free = free_by_worker[target.worker.id]
            free_by_worker[target.worker.id] = free.subtract(task.spec.reserved)
            tolerated = self.demand.measure_tolerated_share(target.utilisation)
            loss += tolerated * SERVING_CPU_SHARE * task.spec.demand.cores
        return loss


def _find_target(
    task: Task, targets: list[WorkerView], free_by_worker: dict[str, Room]
) -> WorkerView | None:
    for view in targets:
        has_capacity = task.spec.reserved.fits(free_by_worker[view.worker.id])
        if has_capacity and view.can_start(task):
            return view
    return None


def _may_move(task: Task, moving_tasks: Iterable[Task], now: float) -> bool:
    """Returns whether a task's step can do without it for a while.

    Args:
      task: A serving task.
      moving_tasks: All tasks that would move, including this one.
      now: Monotonic time.
    """
    if not task.spec.lasting or not _has_served_long_enough(task, now):
        return False
    allowed = task.spec.may_miss
    if allowed is None:
        return True
    moving = sum(
        get_step_key(other) == get_step_key(task) for other in moving_tasks
    )
    interrupted = sum(
        not _has_served_long_enough(other, now)
        for other in task.job.tasks.values()
        if get_step_key(other) == get_step_key(task)
    )
    return interrupted + moving <= allowed


def _has_served_long_enough(task: Task, now: float) -> bool:
    is_serving_fully = (
        task.phase is TaskPhase.RUNNING and task.cpu_percent == 100
    )
    return is_serving_fully and now - task.confirmed_at >= MIN_SERVED_SECONDS
