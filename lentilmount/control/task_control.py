"""Throttles, stops and moves tasks, and quarantines faulty workers."""

from __future__ import annotations

import itertools
import math
from typing import Any

import attrs
import logbook

from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.worker_commands import CommandSender
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.crashes import is_given_up
from lentilmount.scheduling.hangs import (
    describe_hang,
    list_hanging,
    record_hang,
)
from lentilmount.scheduling.health import WorkerHealth
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import (
    Job,
    JobState,
    Task,
    TaskPhase,
    Worker,
)
from lentilmount.scheduling.reconciliation import ReconcileResult
from lentilmount.scheduling.reports import EndKind, WorkerState
from lentilmount.scheduling.run_times import measure_since
from lentilmount.scheduling.throttling import Throttler, runs_unthrottled

log = logbook.Logger('steering')

REVIEW_SECONDS = 0.3
"""Interval between reviews of all workers and tasks. It adds to the second and
more after which tasks are found to hang; a review of thousands of tasks takes
some milliseconds."""

MOVE_AFTER_SECONDS = 1.5
"""Time after which a best-effort task throttled to 0 is moved elsewhere."""

INHERITED_CPU_PERCENT = 60
"""CPU share of a best-effort task that was taken over from the previous owner
and may be throttled; its setting is not known. At 0 the task would seem
stalled; at 100 all such tasks would interfere at once before the loads are
known."""

RUNS_ON_SECONDS = 3.0
"""Time in seconds for which a worker may list a run of a job that is over until
a log line tells of it: a stop, and two polls."""

LOGGED_ENDS = (EndKind.FAILED, EndKind.LAPSED, EndKind.BROKEN, EndKind.ALONE)


@attrs.define(eq=False)
class TaskController:
    """Protects serving tasks from interference, and tasks from faulty workers.

    Attributes:
      cluster: State of jobs, tasks and workers.
      interference_model: Model of interference between tasks.
      health: Detects workers that fail, hang or are slow.
      commands: Sends commands to workers.
      metrics: Counts run ends and changes of throttling.
    """

    cluster: ClusterState
    interference_model: InterferenceModel
    health: WorkerHealth
    commands: CommandSender
    metrics: ControlMetrics
    _suspended_since: dict[Task, float] = attrs.Factory(dict)
    _reviewed_at: float = -math.inf

    def handle_poll_result(
        self, worker: Worker, result: ReconcileResult, now: float
    ) -> None:
        """Handles the changes that a poll of a worker found."""
        for task, kind in result.ended:
            self.forget(task)
            self._record_end(worker, task, kind, now)
        self._handle_expired(worker, result.expired, now)
        for stale_run in result.stale_runs:
            self.commands.stop_stale_run(stale_run)
        for task in result.adopted:
            self._resume(task)
        for task in result.overdue_stops:
            self._handle_overdue_stop(task, now)
        self._log_finished_runs(worker, now)
        if result.unknown_tasks:
            log.warning(
                'Runs tasks of jobs that are not known here yet.',
                extra={'worker': worker.id, 'tasks': result.unknown_tasks[:5]},
            )
        self._throttle(worker, now)

    def _handle_overdue_stop(self, task: Task, now: float) -> None:
        """Sends the stop of a run again that goes on after it was accepted."""
        self.metrics.count_stop_without_effect()
        log.warning(
            'Still listed: the run goes on after its stop was accepted.',
            extra={
                'task': str(task.id),
                'run': task.run,
                'worker': task.worker,
                'accepted': measure_since(task.stop_accepted_at, now),
            },
        )
        self.commands.stop(task)

    def _log_finished_runs(self, worker: Worker, now: float) -> None:
        """Logs each run once that goes on long after its job has ended."""
        for (_, run), finished in worker.finished_runs.items():
            task = finished.task
            is_due = now - finished.listed_at > RUNS_ON_SECONDS
            if finished.is_logged or not is_due:
                continue
            finished.is_logged = True
            is_placed = task.worker == worker.id and task.run == run
            accepted_at = task.stop_accepted_at if is_placed else math.inf
            log.warning(
                'Runs on: its job is {}.',
                task.job.state.value,
                extra={
                    'task': str(task.id),
                    'run': run,
                    'worker': worker.id,
                    'ended': round(now - task.job.ended_at, 3),
                    'phase': task.phase.value,
                    'accepted': measure_since(accepted_at, now),
                },
            )

    def _record_end(
        self, worker: Worker, task: Task, kind: EndKind, now: float
    ) -> None:
        self.metrics.count_end(kind.value)
        if kind in LOGGED_ENDS:
            log.info(
                'Ended: {}.',
                kind.value,
                extra={
                    'task': str(task.id),
                    'run': task.run,
                    'worker': worker.id,
                },
            )
        if self.health.record_end(worker, task, kind, now):
            log.warning(
                'Worker is quarantined: tasks of different jobs failed there.',
                extra={'worker': worker.id},
            )

    def _handle_expired(
        self, worker: Worker, tasks: list[Task], now: float
    ) -> None:
        """Quarantines a worker that did not carry out starts in time."""
        for task in tasks:
            self.forget(task)
            log.warning(
                'Not started: no answer until the start expired.',
                extra={
                    'task': str(task.id),
                    'run': task.run,
                    'worker': worker.id,
                },
            )
        workers = list(self.cluster.workers.values())
        if tasks and self.health.may_quarantine(workers, now):
            self.health.quarantine(worker, now)

    def handle_crash(
        self, worker: Worker, suspects: list[Task], now: float
    ) -> None:
        """Gives up the tasks that crashed too many workers in a row."""
        log.warning(
            'Crashed shortly after it had started {} tasks.',
            len(suspects),
            extra={
                'worker': worker.id,
                'tasks': {str(t.id): len(t.crashed_runs) for t in suspects},
            },
        )
        for task in filter(is_given_up, suspects):
            self._give_up(task, now)

    def _give_up(self, task: Task, now: float) -> None:
        """Ends the job of a task that crashes each worker that starts it."""
        if task.job.state.is_final:
            return
        log.warning(
            'Job is given up: a task of it crashed {} workers in a row.',
            len(task.crashed_runs),
            extra={'task': str(task.id), 'run': task.run},
        )
        for other in self.cluster.finish_job(task.job, JobState.FAILED, now):
            self.commands.stop(other)

    def _resume(self, task: Task) -> None:
        worker = self.cluster.workers.get(task.worker)
        is_draining = (
            worker is not None and worker.entry.state is WorkerState.DRAINING
        )
        if task.phase is TaskPhase.STOPPING:
            self.commands.stop(task)
        elif is_draining and _may_be_moved(task):
            self.stop(task, 'the worker is leaving')
        elif task.spec.fills and not runs_unthrottled(task):
            self.commands.throttle(task, INHERITED_CPU_PERCENT)

    def forget(self, task: Task) -> None:
        """Removes the state of a task whose run has ended."""
        self.interference_model.forget(task)
        self._suspended_since.pop(task, None)

    def forget_job(self, job: Job) -> None:
        """Removes the state kept for a finished job."""
        for image in {step.image for step in job.spec.steps}:
            self.interference_model.forget_job(job.spec.id, image)

    def _throttle(self, worker: Worker, now: float) -> None:
        self.interference_model.observe(worker, now)
        for task, cpu_percent in (
            Throttler(self.interference_model).plan(worker, now).items()
        ):
            log.info(
                'Pace {} to {} percent.',
                task.cpu_percent,
                cpu_percent,
                extra={'task': str(task.id), 'worker': worker.id},
            )
            self.metrics.count_throttle_change(cpu_percent < task.cpu_percent)
            if cpu_percent == 0:
                self._suspended_since.setdefault(task, now)
            else:
                self._suspended_since.pop(task, None)
            self.commands.throttle(task, cpu_percent)

    def stop(self, task: Task, reason: str, **evidence: Any) -> None:
        """Stops a task; it is placed again unless its job is over.

        Args:
          task: The task.
          reason: Why, for the log line.
          **evidence: Further fields of that line.
        """
        if task.phase not in (TaskPhase.STARTING, TaskPhase.RUNNING):
            return
        log.info(
            'Stopping: {}.',
            reason,
            extra={
                'task': str(task.id),
                'run': task.run,
                'worker': task.worker,
                'usage': task.usage,
                **evidence,
            },
        )
        self.cluster.begin_stop(task)
        self.commands.stop(task)

    def drain(self, worker: Worker) -> None:
        """Stops the tasks on a draining worker that can run elsewhere."""
        for task in list(worker.tasks.values()):
            if _may_be_moved(task):
                self.stop(task, 'the worker is leaving')

    def check(self, now: float) -> None:
        """Moves suspended and hanging tasks, and reviews worker health."""
        self._move_suspended(now)
        if now - self._reviewed_at < REVIEW_SECONDS:
            return
        self._reviewed_at = now
        self._stop_hanging(now)
        workers = list(self.cluster.workers.values())
        self.health.end_probations(workers, now)
        self._review_leases(workers, now)

    def _review_leases(self, workers: list[Worker], now: float) -> None:
        unrenewed, renewed = self.health.review_leases(workers, now)
        for worker in unrenewed:
            log.warning(
                'Leases are not renewed: the worker does not answer stops.',
                extra={
                    'worker': worker.id,
                    'since': round(now - worker.stop_unanswered_since, 3),
                    'tasks': [str(task_id) for task_id in worker.tasks],
                },
            )
        for worker in renewed:
            log.info('Leases are renewed again.', extra={'worker': worker.id})

    def _move_suspended(self, now: float) -> None:
        for task, since in list(self._suspended_since.items()):
            if not task.phase.is_placed:
                del self._suspended_since[task]
            elif now - since > MOVE_AFTER_SECONDS and task.spec.checkpointing:
                del self._suspended_since[task]
                self.stop(task, 'it disturbs what serves there')

    def _stop_hanging(self, now: float) -> None:
        workers = list(self.cluster.workers.values())
        hanging = {
            worker: list_hanging(worker, now)
            for worker in workers
            if worker.reachable
        }
        for worker, tasks in hanging.items():
            # A task that was stopped before is suspected itself.
            is_suspect = any(not task.tolerated_stall for task in tasks)
            if is_suspect and self.health.may_quarantine(workers, now):
                self.health.quarantine(worker, now)
        for task in itertools.chain.from_iterable(hanging.values()):
            evidence = describe_hang(task, now)
            record_hang(task, self._list_members(task), now)
            self.stop(task, 'it stands still', **evidence)

    def _list_members(self, run: Task) -> list[Task]:
        """Lists the tasks that start together with the task of a run."""
        task = run.newer or run
        if task.spec.gang:
            return self.cluster.list_step_tasks(task)
        return [task]


def _may_be_moved(task: Task) -> bool:
    """Returns whether a task loses little if it is stopped on a worker."""
    return task.spec.lasting or task.spec.checkpointing
