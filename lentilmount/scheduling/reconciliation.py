"""Reconciliation of the cluster state with the reports of workers."""

from __future__ import annotations

import math
from collections.abc import Iterator

import attrs

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.copies import find_ended, find_run
from lentilmount.scheduling.crashes import is_cleared, record_start
from lentilmount.scheduling.hangs import observe_run
from lentilmount.scheduling.history import ChangeKind, ChangeReason
from lentilmount.scheduling.model import FinishedRun, Task, TaskPhase, Worker
from lentilmount.scheduling.reports import (
    EndKind,
    EndReport,
    RunReport,
    StaleRun,
    WorkerReport,
)
from lentilmount.scheduling.specs import TaskId

STOP_EFFECT_SECONDS = 1.2
"""Time in seconds from the acceptance of a stop until no report lists its run:
0.9 s for the longest stop of the platform, and 0.3 s for the report."""


@attrs.define
class ReconcileResult:
    """Changes made by one report of a worker.

    Attributes:
      ended: Tasks whose run ended, and how.
      adopted: Running tasks that were not known to run on the worker.
      expired: Tasks whose start was not carried out before its deadline.
      stale_runs: Runs to be stopped.
      stale: Resources of those among them that the worker lists.
      overdue_stops: Tasks to be stopped again: the worker lists them although
        it has accepted their stop.
      unknown_tasks: Formatted ids of running tasks whose job is unknown to this
        owner.
      last_end_number: Number of the newest end in the report. Ends up to it may
        be acknowledged once all changes are persisted.
    """

    ended: list[tuple[Task, EndKind]] = attrs.Factory(list)
    adopted: list[Task] = attrs.Factory(list)
    expired: list[Task] = attrs.Factory(list)
    stale_runs: list[StaleRun] = attrs.Factory(list)
    stale: Room = attrs.Factory(Room)
    overdue_stops: list[Task] = attrs.Factory(list)
    unknown_tasks: list[str] = attrs.Factory(list)
    last_end_number: int = 0


class Reconciler:
    """Applies reports of workers to the cluster state."""

    def __init__(self, cluster: ClusterState):
        self._cluster = cluster

    def reconcile(
        self,
        worker: Worker,
        report: WorkerReport,
        requested_at: float,
        now: float,
    ) -> ReconcileResult:
        """Applies a report of a worker to the cluster state.

        Args:
          worker: Worker that sent the report.
          report: The report.
          requested_at: Monotonic time at which the report was requested.
          now: Monotonic time at which it arrived.
        """
        result = ReconcileResult()
        listed: set[TaskId] = set()
        stale_tasks: list[Task] = []
        finished_runs: dict[tuple[TaskId, int], FinishedRun] = {}
        unknown_runs: dict[tuple[str, int], float] = {}
        for end in report.ended:
            self._apply_end(worker, end, result, now)
        for run_report in report.running:
            task = self._apply_running(
                worker, run_report, requested_at, result, now
            )
            if task is None:
                run = (run_report.task, run_report.run)
                unknown_runs[run] = worker.unknown_runs.get(run, now)
                self._check_unknown(worker, run, unknown_runs[run], result)
                continue
            self._check_stop(task, worker, requested_at, result, now)
            if task.job.state.is_final:
                key = (task.id, run_report.run)
                finished_runs[key] = worker.finished_runs.get(
                    key, FinishedRun(task, now)
                )
            if self._is_listed(task, worker, run_report):
                listed.add(task.id)
            else:
                stale_tasks.append(task)
        # A task that is missing may be done, with an end that is not listed.
        missing = (
            self._list_missing_tasks(worker, listed, requested_at)
            if report.has_all_ends
            else ()
        )
        for task in missing:
            other, number = task.older or task.newer, task.run
            if task.phase is TaskPhase.STARTING:
                self._cluster.requeue(task, ChangeReason.START_EXPIRED)
                result.expired.append(find_ended(task, other, number))
                continue
            if task.confirmed_at == 0.0:
                # Inherited; the worker may have crashed since.
                task.is_watched = True
            self._cluster.end_run(
                task, EndKind.LAPSED, now, ChangeReason.ABSENT
            )
            ended = find_ended(task, other, number)
            result.ended.append((ended, EndKind.LAPSED))
        self._hold_stale_tasks(worker, stale_tasks, result, now)
        worker.runs_unknown_tasks = bool(result.unknown_tasks)
        worker.unknown_runs = unknown_runs
        worker.has_stale_runs = bool(result.stale_runs)
        worker.finished_runs = finished_runs
        worker.set_stale(result.stale)
        return result

    def _list_missing_tasks(
        self, worker: Worker, listed: set[TaskId], requested_at: float
    ) -> Iterator[Task]:
        # A start may be carried out after the report was made. Only a report
        # requested after the start was confirmed proves that the run is gone.
        # The same applies to a stop, which also prevents a start that has not
        # reached the worker yet, and to the deadline of a start.
        for task in list(worker.tasks.values()):
            if task.id in listed:
                continue
            settled_at = {
                TaskPhase.STARTING: task.start_expired_at,
                TaskPhase.RUNNING: task.confirmed_at,
                TaskPhase.STOPPING: min(task.stopped_at, task.start_expired_at),
            }
            if settled_at.get(task.phase, math.inf) < requested_at:
                yield task

    def _apply_end(
        self,
        worker: Worker,
        end: EndReport,
        result: ReconcileResult,
        now: float,
    ) -> None:
        result.last_end_number = max(result.last_end_number, end.number)
        task = self._cluster.find_task(end.task)
        if task is None:
            return
        task = find_run(task, worker.id, end.run)
        self._cluster.mark_started(task.job)
        is_current_run = task.worker == worker.id and task.run == end.run
        if not is_current_run:
            self._cluster.record_change(
                task,
                ChangeKind.OTHER_END,
                ChangeReason(end.kind.value),
                end.run,
                worker.id,
            )
            self._apply_unexpected_end(task.newer or task, end, result, now)
            return
        if end.checkpoint:
            task.checkpoint = end.checkpoint
        other = task.older or task.newer
        self._add_stale_runs(self._cluster.end_run(task, end.kind, now), result)
        result.ended.append((find_ended(task, other, end.run), end.kind))

    def _add_stale_runs(
        self, tasks: list[Task], result: ReconcileResult
    ) -> None:
        for task in tasks:
            self._cluster.record_change(
                task, ChangeKind.STALE, ChangeReason.SUPERSEDED
            )
            result.stale_runs.append(
                StaleRun(task.worker, str(task.id), task.run)
            )

    def _apply_unexpected_end(
        self, task: Task, end: EndReport, result: ReconcileResult, now: float
    ) -> None:
        """Applies the end of a run that is not the current one on that worker.

        The end may be older than the current state: a worker repeats it until
        it is acknowledged, and reports of workers arrive in any order.
        """
        if task.phase.is_placed and self._cluster.copies.allows(task):
            task.skipped = max(task.skipped, end.run - task.run)
        else:
            self._drop_older_placement(task, end.run)
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
            self._add_stale_runs(
                self._cluster.record_failure(task, end.run, now), result
            )
            result.ended.append((task, end.kind))
        elif end.kind is EndKind.DONE and task.phase is not TaskPhase.DONE:
            complete = (
                self._cluster.complete_elsewhere
                if task.phase.is_placed
                else self._cluster.complete_task
            )
            self._add_stale_runs(complete(task, now), result)
            result.ended.append((task, end.kind))

    def _apply_running(
        self,
        worker: Worker,
        run_report: RunReport,
        requested_at: float,
        result: ReconcileResult,
        now: float,
    ) -> Task | None:
        task = self._cluster.find_task(run_report.task)
        if task is None:
            return None
        self._cluster.mark_started(task.job)
        task = find_run(task, worker.id, run_report.run)
        self._drop_older_placement(task, run_report.run)
        is_unplaced = task.phase in (TaskPhase.WAITING, TaskPhase.GIVEN_UP)
        if is_unplaced and run_report.run >= task.run:
            self._cluster.record_change(
                task,
                ChangeKind.ADOPTED,
                ChangeReason.LISTED,
                run_report.run,
                worker.id,
            )
            self._adopt(task, worker, run_report, now)
            result.adopted.append(task)
        if task.worker != worker.id or task.run != run_report.run:
            self._cluster.record_change(
                task,
                ChangeKind.STALE,
                ChangeReason.LISTED,
                run_report.run,
                worker.id,
            )
            result.stale_runs.append(
                StaleRun(worker.id, run_report.task, run_report.run)
            )
            return task
        if task.confirmed_at == 0.0:
            # Restored from a state row and reported for the first time.
            self._cluster.record_change(
                task, ChangeKind.CONFIRMED, ChangeReason.LISTED
            )
            task.confirmed_at = now
            result.adopted.append(task)
        self._update(task, run_report, requested_at, now)
        return task

    def _check_unknown(
        self,
        worker: Worker,
        run: tuple[str, int],
        listed_at: float,
        result: ReconcileResult,
    ) -> None:
        """Has the run of an unknown task stopped if that is certainly right."""
        name, number = run
        result.unknown_tasks.append(name)
        if self._cluster.is_needless(name, listed_at):
            result.stale_runs.append(StaleRun(worker.id, name, number))

    def _check_stop(
        self,
        task: Task,
        worker: Worker,
        requested_at: float,
        result: ReconcileResult,
        now: float,
    ) -> None:
        """Notes if a stop that was accepted should have ended a listed run."""
        is_stopping = task.phase is TaskPhase.STOPPING
        # An older report may be late, by a slow link.
        is_newer = requested_at > task.stop_accepted_at
        is_due = now - task.stop_accepted_at > STOP_EFFECT_SECONDS
        if not (is_stopping and is_newer and is_due):
            return
        if task.worker == worker.id and not task.is_stop_overdue:
            task.is_stop_overdue = True
            result.overdue_stops.append(task)

    def _is_listed(
        self, task: Task, worker: Worker, run_report: RunReport
    ) -> bool:
        """Returns whether a worker lists a task as it is placed there.

        A task that is being stopped there stays until no run of it is listed.
        """
        is_stopping = task.phase is TaskPhase.STOPPING
        is_current = is_stopping or task.run == run_report.run
        return task.worker == worker.id and is_current

    def _hold_stale_tasks(
        self,
        worker: Worker,
        tasks: list[Task],
        result: ReconcileResult,
        now: float,
    ) -> None:
        """Keeps tasks from being started beside stale runs of them.

        They stay on the worker until it no longer lists these runs. That also
        shows that they have ended where it accepts no stops.
        """
        for task in tasks:
            self._cluster.take_back_unsent(task)
            if task.phase is TaskPhase.WAITING:
                self._cluster.hold(task, worker, now, ChangeReason.LISTED)
                result.adopted.append(task)
            else:
                result.stale = result.stale.add(task.spec.reserved)

    def _drop_older_placement(self, task: Task, run: int) -> None:
        """Drops the placement of a task if a newer run of it is reported.

        The previous owner started a run only once the one before had certainly
        ended, but its last rows may still contain the older one. With that
        placement kept, the newer run would be stopped, or its end would be
        missed and the task run again.

        A task that may be copied may still run there: that run is kept.
        """
        copies = self._cluster.copies
        while task.phase.is_placed and run > task.run:
            is_running = task.phase is TaskPhase.RUNNING
            if is_running and task.older is None and copies.allows(task):
                copies.split(task)
                return
            self._cluster.requeue(task, ChangeReason.NEWER_RUN)

    def _adopt(
        self, task: Task, worker: Worker, run_report: RunReport, now: float
    ) -> None:
        task.run = run_report.run
        task.phase = TaskPhase.RUNNING
        task.worker = worker.id
        task.placed_at = now
        task.confirmed_at = now
        task.start_sent_at = -math.inf
        task.stopped_at = math.inf
        task.forget_reports()
        if task.is_watched:
            record_start(task, worker)
        worker.add(task)
        self._cluster.ready.pop(task.id, None)
        self._cluster.mark_placed(task.job)
        if task.job.state.is_final:
            self._cluster.begin_stop(task)

    def _update(
        self,
        task: Task,
        run_report: RunReport,
        requested_at: float,
        now: float,
    ) -> None:
        self._cluster.confirm_start(task, run_report.run, now)
        if is_cleared(task, requested_at):
            self._cluster.suspects.clear_task(task)
        observe_run(task, run_report, now)
