"""Detection of workers that fail, hang or are slow, from their tasks.

A worker that fails every task attracts more tasks, because it is always free.
One that hangs holds its tasks forever, and a slow one makes jobs late. Each is
quarantined on its own evidence and then tested with one task.
"""

from __future__ import annotations

import math

import attrs

from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.reports import EndKind
from lentilmount.scheduling.run_times import measure_run_seconds

MAX_FAILED_JOBS = 3
"""Number of different jobs that fail on a worker, without a success in between,
after which it is quarantined. Jobs that fail everywhere rarely meet three at a
time on one worker."""

QUARANTINE_SECONDS = 4.0
"""Duration of a quarantine in seconds: as long as the shortest such faults
last."""

PROBATION_SECONDS = 2.0
"""Run time in seconds after which a test task clears its worker. It is longer
than a broken worker takes to fail a task and a hanging one to be detected."""

STOP_TIMEOUT_SECONDS = 3.0
"""Time in seconds without an answer to stops after which the leases of a worker
are no longer renewed. Otherwise the tasks of cancelled jobs would never end
there. All other tasks there end as well and are started elsewhere."""

MAX_QUARANTINED_SHARE = 0.3
"""Maximum share of workers that are quarantined at once. Beyond it, the cause
is probably not the workers."""

SLOWDOWN_WEIGHT = 0.25
"""Weight of one run in the moving average of a worker's slowdown, which follows
within about four runs."""

MAX_SLOWDOWN = 10.0


@attrs.define
class WorkerHealth:
    """Evidence of faults of workers."""

    _failures: dict[str, set[str]] = attrs.Factory(dict)

    def record_end(
        self, worker: Worker, task: Task, kind: EndKind, now: float
    ) -> bool:
        """Records a run end; returns whether it quarantined the worker."""
        if kind is EndKind.DONE:
            self._failures.pop(worker.id, None)
            worker.on_probation = False
            self._update_slowdown(worker, task, now)
        # Ends from the time of the previous owner are all reported at once
        # and are no evidence about the current state of the worker.
        if kind is not EndKind.FAILED or not task.placed_at:
            return False
        jobs = self._failures.setdefault(worker.id, set())
        jobs.add(task.id.job)
        if len(jobs) < MAX_FAILED_JOBS and not worker.on_probation:
            return False
        jobs.clear()
        self.quarantine(worker, now)
        return True

    def record_beaten(self, worker: Worker, task: Task, now: float) -> None:
        """Records that a copy of a running task was done before it.

        Its run is stopped, so that no end tells how slow the worker is.
        """
        self._update_slowdown(worker, task, now)

    def quarantine(self, worker: Worker, now: float) -> None:
        """Stops placing tasks on a worker until it is tested with one."""
        worker.quarantined_until = now + QUARANTINE_SECONDS
        worker.on_probation = True

    def end_probations(self, workers: list[Worker], now: float) -> None:
        """Clears the workers on which a test task has run well for a while."""
        for worker in workers:
            if worker.on_probation and _has_passed_probation(worker, now):
                worker.on_probation = False

    def may_quarantine(self, workers: list[Worker], now: float) -> bool:
        """Returns whether one more worker may be quarantined."""
        quarantined = sum(w.quarantined_until > now for w in workers)
        return quarantined < MAX_QUARANTINED_SHARE * len(workers)

    def review_leases(
        self, workers: list[Worker], now: float
    ) -> tuple[list[Worker], list[Worker]]:
        """Decides on which workers leases are no longer renewed.

        Leases expire where tasks cannot be stopped otherwise. If that applies
        to too many workers, the cause is probably elsewhere, and their leases
        are renewed.

        Returns:
          The workers whose leases are no longer renewed from now on, and those
          whose leases are renewed again.
        """
        stopped_renewals: list[Worker] = []
        resumed_renewals: list[Worker] = []
        max_stopped = MAX_QUARANTINED_SHARE * len(workers)
        count = sum(not worker.renews_leases for worker in workers)
        for worker in workers:
            is_overdue = _is_stop_overdue(worker, now)
            if worker.renews_leases and is_overdue and count < max_stopped:
                worker.renews_leases = False
                count += 1
                stopped_renewals.append(worker)
            elif not worker.renews_leases and not is_overdue:
                worker.renews_leases = True
                resumed_renewals.append(worker)
        return stopped_renewals, resumed_renewals

    def _update_slowdown(self, worker: Worker, task: Task, now: float) -> None:
        seconds = measure_run_seconds(task, now)
        estimate = task.spec.estimated_seconds
        if task.spec.fills or not estimate or seconds is None:
            return
        slowdown = seconds / estimate
        slowdown = min(MAX_SLOWDOWN, max(1.0, slowdown))
        worker.slowdown += SLOWDOWN_WEIGHT * (slowdown - worker.slowdown)


def _has_passed_probation(worker: Worker, now: float) -> bool:
    return any(
        task.phase is TaskPhase.RUNNING
        and task.placed_at >= worker.quarantined_until
        and now - task.confirmed_at > PROBATION_SECONDS
        and now - task.idle_since <= 0
        for task in worker.tasks.values()
    )


def _is_stop_overdue(worker: Worker, now: float) -> bool:
    if not worker.reachable or math.isinf(worker.stop_unanswered_since):
        return False
    stopping = (t.phase is TaskPhase.STOPPING for t in worker.tasks.values())
    if not worker.has_stale_runs and not any(stopping):
        worker.stop_unanswered_since = math.inf
    return now - worker.stop_unanswered_since > STOP_TIMEOUT_SECONDS
