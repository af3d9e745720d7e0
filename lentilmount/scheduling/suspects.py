"""Tasks that may have crashed the workers they were started on.

A worker that is lost leaves suspects, the tasks that it had just started. They
are cleared once it answers again, and its crash counts against them once it is
proved.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from lentilmount.scheduling.crashes import find_watched_start, record_start
from lentilmount.scheduling.model import (
    Job,
    Task,
    TaskPhase,
    WatchedStart,
    Worker,
    make_unregistered_worker,
)


@attrs.frozen
class CrashSuspects:
    """Finds, clears and counts the suspects of the workers of a service.

    Attributes:
      jobs: All jobs by id.
      workers: All workers by id.
      dirty: Ids of the jobs whose state row must be written; values are unused.
    """

    jobs: dict[str, Job]
    workers: dict[str, Worker]
    dirty: dict[str, None]

    def add(self, worker: Worker, tasks: list[Task], now: float) -> None:
        """Notes which tasks may have crashed a worker that was lost."""
        for task in tasks:
            if find_watched_start(task, worker) is None:
                record_start(task, worker)
            task.watched_starts[task.run].lost_at = now
            if worker.suspects.get(task, task.run) != task.run:
                self.clear(worker, [task])
            worker.suspects[task] = task.run

    def restore_start(
        self, task: Task, run: int, start: WatchedStart, now: float
    ) -> None:
        """Restores a watched start from a state row.

        Args:
          task: The task, whose placement is restored.
          run: Run of the start.
          start: The start.
          now: Monotonic time.
        """
        task.watched_starts[run] = start
        if task.run == run and task.worker == start.worker:
            return
        worker = self.workers.get(start.worker)
        if worker is None:
            worker = make_unregistered_worker(start.worker, start.address)
            self.workers[worker.id] = worker
        start.lost_at = worker.lost_at = now
        worker.suspects[task] = run

    def add_inherited(
        self, worker: Worker, started_ms: int | None, now: float
    ) -> None:
        """Finds the suspects of a worker by the first report to this owner.

        Suspects that were started on the incarnation that has reported have not
        crashed it.

        Args:
          worker: The worker.
          started_ms: Start time of that incarnation; None if it is not known.
          now: Monotonic time.
        """
        if started_ms is None:
            return
        unchanged = (0, started_ms)
        crashed = []
        for task in worker.tasks.values():
            start = find_watched_start(task, worker)
            if start is not None and start.started_ms not in unchanged:
                crashed.append(task)
        cleared = []
        for task, run in worker.suspects.items():
            start = task.watched_starts.get(run)
            if start is None or start.started_ms in unchanged:
                cleared.append(task)
        self.clear(worker, cleared)
        self.add(worker, crashed, now)

    def clear(self, worker: Worker, tasks: Iterable[Task]) -> None:
        """Records that tasks have not crashed a worker, or nobody can tell."""
        for task in list(tasks):
            task.watched_starts.pop(worker.suspects.pop(task), None)
            if task.job.spec.id in self.jobs:
                self.dirty[task.job.spec.id] = None

    def confirm_crash(self, worker: Worker) -> list[Task]:
        """Counts the crash of a worker against the tasks that may be the cause.

        Returns:
          These tasks.
        """
        suspects = [
            task
            for task, run in worker.suspects.items()
            if task.phase is not TaskPhase.DONE and run > task.cleared_run
        ]
        for task in suspects:
            task.crashed_runs.add(worker.suspects[task])
        self.clear(worker, worker.suspects)
        return suspects

    def clear_task(self, task: Task) -> None:
        """Records that a task has run without crashing its worker."""
        task.cleared_run = task.run
        if task.is_watched:
            task.is_watched = False
            task.crashed_runs.clear()
            task.watched_starts.clear()
            self.dirty[task.job.spec.id] = None
