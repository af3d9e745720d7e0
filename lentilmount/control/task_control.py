"""Acting on what looks tell: slowing down, moving, closing workers."""

from __future__ import annotations

import attrs
import logbook

from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.worker_commands import CommandSender
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.health import WorkerHealth, list_hanging
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Job, Task, TaskPhase, Worker
from lentilmount.scheduling.reconciliation import ReconcileResult
from lentilmount.scheduling.reports import EndKind
from lentilmount.scheduling.throttling import Throttler

log = logbook.Logger('steering')

MOVE_AFTER_SECONDS = 1.5
"""A filling task that is not allowed to work at all for so long moves."""

INHERITED_PERCENT = 60
"""Pace of a filling task that was taken over. What the previous owner set is
not known; left at 0 the task would seem to stand still, and at 100 all would
interfere at once while the loads are not known yet."""

TOLD_ENDS = (EndKind.FAILED, EndKind.LAPSED, EndKind.BROKEN, EndKind.ALONE)


@attrs.define(eq=False)
class TaskController:
    """Keeps tasks that serve in bounds, and work off bad workers.

    Attributes:
      cluster: Where the tasks are.
      interference_model: Who disturbs whom.
      health: Evidence against workers.
      commands: Carries out what is decided.
      metrics: Counts ends and changes of pace.
    """

    cluster: ClusterState
    interference_model: InterferenceModel
    health: WorkerHealth
    commands: CommandSender
    metrics: ControlMetrics
    _halted: dict[Task, float] = attrs.Factory(dict)

    def handle_poll_result(
        self, worker: Worker, result: ReconcileResult, now: float
    ) -> None:
        """Acts on a look at a worker."""
        for task, kind in result.ended:
            self.forget(task)
            self._note_end(worker, task, kind, now)
        self._note_expired(worker, result.expired, now)
        for stale_run in result.stale_runs:
            self.commands.stop_stale_run(stale_run)
        for task in result.adopted:
            self._resume(task)
        if result.unknown_tasks:
            log.warning(
                'Runs tasks of jobs not known yet.',
                extra={'worker': worker.id, 'tasks': result.unknown_tasks[:5]},
            )
        self._pace(worker, now)

    def _note_end(
        self, worker: Worker, task: Task, kind: EndKind, now: float
    ) -> None:
        self.metrics.count_end(kind.value)
        if kind in TOLD_ENDS:
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
                'Worker is closed: tasks of different jobs failed there.',
                extra={'worker': worker.id},
            )

    def _note_expired(
        self, worker: Worker, tasks: list[Task], now: float
    ) -> None:
        """Closes a worker that did not carry out starts in time."""
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

    def _resume(self, task: Task) -> None:
        if task.phase is TaskPhase.STOPPING:
            self.commands.stop(task)
        elif task.spec.fills:
            self.commands.throttle(task, INHERITED_PERCENT)

    def forget(self, task: Task) -> None:
        """Drops what is remembered of a task that has ended."""
        self.interference_model.forget(task)
        self._halted.pop(task, None)

    def forget_job(self, job: Job) -> None:
        """Drops what is remembered of a job that is over."""
        for image in {step.image for step in job.spec.steps}:
            self.interference_model.forget_job(job.spec.id, image)

    def _pace(self, worker: Worker, now: float) -> None:
        self.interference_model.observe(worker, now)
        for task, percent in (
            Throttler(self.interference_model).plan(worker, now).items()
        ):
            log.info(
                'Pace {} to {}.',
                task.cpu_percent,
                percent,
                extra={'task': str(task.id), 'worker': worker.id},
            )
            self.metrics.count_pace(percent < task.cpu_percent)
            if percent == 0:
                self._halted.setdefault(task, now)
            else:
                self._halted.pop(task, None)
            self.commands.throttle(task, percent)

    def stop(self, task: Task, reason: str) -> None:
        """Stops a task; it will be placed again if its job goes on."""
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
            },
        )
        self.cluster.begin_stop(task)
        self.commands.stop(task)

    def drain(self, worker: Worker) -> None:
        """Moves what can be moved off a worker that is leaving."""
        for task in list(worker.tasks.values()):
            if task.spec.lasting or task.spec.checkpointing:
                self.stop(task, 'the worker is leaving')

    def tick(self, now: float) -> None:
        """Moves what stands still, by itself or by order."""
        self._move_halted(now)
        self._stop_hanging(now)
        workers = list(self.cluster.workers.values())
        self.health.end_probations(workers, now)
        self._review_leases(workers, now)

    def _review_leases(self, workers: list[Worker], now: float) -> None:
        left, kept = self.health.review_leases(workers, now)
        for worker in left:
            log.warning(
                'Leases are not renewed: its stops are not answered.',
                extra={
                    'worker': worker.id,
                    'since': round(now - worker.stop_unanswered_since, 3),
                    'tasks': [str(task_id) for task_id in worker.tasks],
                },
            )
        for worker in kept:
            log.info('Leases are renewed again.', extra={'worker': worker.id})

    def _move_halted(self, now: float) -> None:
        for task, since in list(self._halted.items()):
            if not task.phase.is_placed:
                del self._halted[task]
            elif now - since > MOVE_AFTER_SECONDS and task.spec.checkpointing:
                del self._halted[task]
                self.stop(task, 'it disturbs what serves there')

    def _stop_hanging(self, now: float) -> None:
        workers = list(self.cluster.workers.values())
        for worker in workers:
            hanging = list_hanging(worker, now) if worker.reachable else []
            if not hanging:
                continue
            if self.health.may_quarantine(workers, now):
                self.health.quarantine(worker, now)
            for task in hanging:
                self.stop(task, 'it stands still')
