"""Bringing the book in line with what a worker lists."""

from __future__ import annotations

import math
from collections.abc import Iterator

import attrs

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.reports import (
    EndKind,
    EndReport,
    RunReport,
    WorkerReport,
)
from lentilmount.scheduling.specs import TaskId

IDLE_USAGE = 0.02
"""Share of its demand below which a task counts as standing still."""


@attrs.frozen
class StaleRun:
    """A run that a worker lists and that should not be there."""

    worker: str
    task: str
    run: int


@attrs.define
class ReconcileResult:
    """What a look at a worker changed.

    Attributes:
      ended: Tasks that ended, and how.
      adopted: Tasks found running that were not known to run there.
      expired: Tasks whose start was not carried out and no longer can be.
      stale_runs: Runs to be stopped.
      unknown_tasks: Jobs that this owner does not know.
      last_end_number: The last end that may be forgotten once all is written.
    """

    ended: list[tuple[Task, EndKind]] = attrs.Factory(list)
    adopted: list[Task] = attrs.Factory(list)
    expired: list[Task] = attrs.Factory(list)
    stale_runs: list[StaleRun] = attrs.Factory(list)
    unknown_tasks: list[str] = attrs.Factory(list)
    last_end_number: int = 0


class Reconciler:
    """Takes looks at workers into a book."""

    def __init__(self, cluster: ClusterState):
        self._cluster = cluster

    def reconcile(
        self, worker: Worker, report: WorkerReport, asked_at: float, now: float
    ) -> ReconcileResult:
        """Takes in what a worker says it runs.

        Args:
          worker: Who answered.
          report: The answer.
          asked_at: Monotonic time at which the call was sent.
          now: Monotonic time of the answer.
        """
        result = ReconcileResult()
        listed: set[TaskId] = set()
        for end in report.ended:
            self._take_end(worker, end, result, now)
        for row in report.running:
            task = self._take_running(worker, row, result, now)
            if task is not None:
                listed.add(task.id)
        for task in self._list_vanished(worker, listed, asked_at):
            if task.phase is TaskPhase.STARTING:
                self._cluster.requeue(task)
                result.expired.append(task)
                continue
            self._cluster.end_run(task, EndKind.LAPSED, now)
            result.ended.append((task, EndKind.LAPSED))
        worker.runs_unknown_tasks = bool(result.unknown_tasks)
        worker.has_stale_runs = bool(result.stale_runs)
        worker.change_count += 1
        return result

    def _list_vanished(
        self, worker: Worker, listed: set[TaskId], asked_at: float
    ) -> Iterator[Task]:
        # A start may have been carried out after the list was made; only a
        # list that was asked for after the start was confirmed proves that
        # the run is gone.
        # The same holds for a stop, which also prevents a start that has not
        # reached the worker yet, and for the time by which a start must begin.
        for task in list(worker.tasks.values()):
            if task.id in listed:
                continue
            known_at = {
                TaskPhase.STARTING: task.start_expired_at,
                TaskPhase.RUNNING: task.confirmed_at,
                TaskPhase.STOPPING: min(task.stopped_at, task.start_expired_at),
            }
            if known_at.get(task.phase, math.inf) < asked_at:
                yield task

    def _find(self, name: str) -> Task | None:
        task_id = TaskId.parse(name)
        if task_id is None:
            return None
        job = self._cluster.jobs.get(task_id.job)
        return job.tasks.get(task_id) if job is not None else None

    def _take_end(
        self,
        worker: Worker,
        end: EndReport,
        result: ReconcileResult,
        now: float,
    ) -> None:
        result.last_end_number = max(result.last_end_number, end.number)
        task = self._find(end.task)
        if task is None:
            return
        self._cluster.mark_started(task.job)
        here = task.worker == worker.id and task.run == end.run
        if not here:
            self._take_late_end(task, end, result, now)
            return
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        self._stop(self._cluster.end_run(task, end.kind, now), result)
        result.ended.append((task, end.kind))

    def _stop(self, tasks: list[Task], result: ReconcileResult) -> None:
        for task in tasks:
            result.stale_runs.append(
                StaleRun(task.worker, str(task.id), task.run)
            )

    def _take_late_end(
        self, task: Task, end: EndReport, result: ReconcileResult, now: float
    ) -> None:
        """Takes in an end that the book had not placed at that worker.

        It may be older than what the book knows: a worker lists it until it
        is acknowledged, and is perhaps heard after the others.
        """
        self._supersede(task, end.run)
        if task.phase is TaskPhase.WAITING and end.run > task.run:
            task.run = end.run
            if end.checkpoint:
                task.checkpoint = end.checkpoint
            self._cluster.dirty[task.job.spec.id] = None
        if task.job.state.is_final:
            return
        task.job.was_placed = True
        if task.spec.lasting:
            return
        is_new = end.run not in task.failed_runs
        if end.kind is EndKind.FAILED and is_new:
            self._stop(self._cluster.record_failure(task, end.run, now), result)
            result.ended.append((task, end.kind))
        elif end.kind is EndKind.DONE and task.phase is TaskPhase.WAITING:
            self._stop(self._cluster.complete(task, now), result)
            result.ended.append((task, end.kind))

    def _take_running(
        self,
        worker: Worker,
        row: RunReport,
        result: ReconcileResult,
        now: float,
    ) -> Task | None:
        task = self._find(row.task)
        if task is None:
            result.unknown_tasks.append(row.task)
            return None
        self._cluster.mark_started(task.job)
        self._supersede(task, row.run)
        idle = task.phase in (TaskPhase.WAITING, TaskPhase.GIVEN_UP)
        if idle and row.run >= task.run:
            self._adopt(task, worker, row, now)
            result.adopted.append(task)
        if task.worker != worker.id or task.run != row.run:
            result.stale_runs.append(StaleRun(worker.id, row.task, row.run))
            return None
        if task.confirmed_at == 0.0:
            # Taken over from a row, and heard of for the first time.
            task.confirmed_at = now
            result.adopted.append(task)
        self._update(task, row, now)
        return task

    def _supersede(self, task: Task, run: int) -> None:
        """Forgets an older placement of a task that has a newer run.

        The previous owner starts a run only when the one before is surely
        over, but its last rows may tell of the older one. Held on to, the
        newer run would be stopped, or its end missed and the task run again.
        """
        if task.phase.is_placed and run > task.run:
            self._cluster.requeue(task)

    def _adopt(
        self, task: Task, worker: Worker, row: RunReport, now: float
    ) -> None:
        task.run = row.run
        task.phase = TaskPhase.RUNNING
        task.worker = worker.id
        task.placed_at = now
        task.confirmed_at = now
        task.stopped_at = math.inf
        worker.add(task)
        self._cluster.ready.pop(task.id, None)
        self._cluster.mark_placed(task.job)
        if task.job.state.is_final:
            self._cluster.begin_stop(task)

    def _update(self, task: Task, row: RunReport, now: float) -> None:
        self._cluster.confirm_start(task, row.run, now)
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        task.usage = row.usage
        if self._stands_still(task):
            task.idle_since = min(task.idle_since, now)
        else:
            task.idle_since = math.inf

    def _stands_still(self, task: Task) -> bool:
        if task.is_serving or task.usage is None or task.cpu_percent == 0:
            return False
        allowed = 1000 * task.spec.demand.cores * task.cpu_percent / 100
        return task.usage < IDLE_USAGE * allowed
