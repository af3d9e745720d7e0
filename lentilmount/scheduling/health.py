"""Workers that fail, hang or are slow, told by what their tasks do.

A worker that fails everything it is given draws work, because it is always
free; one that hangs holds its work for ever; one that is slow makes jobs
late. Each is closed on evidence of its own, and tried again with one task.
"""

from __future__ import annotations

import math

import attrs

from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.reports import EndKind

MAX_FAILED_JOBS = 3
"""Different jobs that fail on a worker with no success between them. Jobs
that can never be done fail everywhere, and rarely meet three at a time."""

QUARANTINE_SECONDS = 4.0
"""How long a worker stays closed before it is tried again: as long as the
shortest of such spells lasts."""

PROBATION_SECONDS = 2.0
"""After which a task that is still at work speaks for its worker: longer than
a worker that fails everything takes to fail, and than one that hangs takes to
show it."""

HANG_SECONDS = 1.5
"""Time without any use of the processor after which a task hangs: three
figures of half a second."""

OVERDUE_FACTOR = 4.0
OVERDUE_SECONDS = 3.0
"""A run is overdue after so many times its estimate and so much more.
Estimates are off by a fifth as a rule, distance from the data costs three."""

STOP_TIMEOUT_SECONDS = 3.0
"""How long a worker may leave stops unanswered before its leases are left to
run out. Nothing else ends there what a caller has cancelled; all that it runs
ends with it, and is started elsewhere."""

MAX_QUARANTINED_SHARE = 0.3
"""Share of the workers that may be closed at once; beyond it something else
must be at fault."""

PACE_GAIN = 0.25
"""Weight of one run in a worker's pace: four runs tell."""

LONGEST_PACE = 10.0


@attrs.define
class WorkerHealth:
    """Evidence against workers."""

    _failures: dict[str, set[str]] = attrs.Factory(dict)

    def record_end(
        self, worker: Worker, task: Task, kind: EndKind, now: float
    ) -> bool:
        """Takes in an end; returns whether the worker was closed for it."""
        if kind is EndKind.DONE:
            self._failures.pop(worker.id, None)
            worker.on_probation = False
            self._measure_pace(worker, task, now)
        # An end of the previous owner's time says nothing of the worker now,
        # and all of them come at once.
        if kind is not EndKind.FAILED or not task.placed_at:
            return False
        jobs = self._failures.setdefault(worker.id, set())
        jobs.add(task.id.job)
        if len(jobs) < MAX_FAILED_JOBS and not worker.on_probation:
            return False
        jobs.clear()
        self.quarantine(worker, now)
        return True

    def quarantine(self, worker: Worker, now: float) -> None:
        """Closes a worker for a while; one task will try it afterwards."""
        worker.quarantined_until = now + QUARANTINE_SECONDS
        worker.on_probation = True

    def end_probations(self, workers: list[Worker], now: float) -> None:
        """Trusts the workers on which a task has run well for a while."""
        for worker in workers:
            if worker.on_probation and _has_proved(worker, now):
                worker.on_probation = False

    def may_quarantine(self, workers: list[Worker], now: float) -> bool:
        """Tells whether one more worker may be closed."""
        closed = sum(w.quarantined_until > now for w in workers)
        return closed < MAX_QUARANTINED_SHARE * len(workers)

    def review_leases(
        self, workers: list[Worker], now: float
    ) -> tuple[list[Worker], list[Worker]]:
        """Leaves leases to run out where nothing can be stopped any more.

        Where that is so of too many workers, something else is at fault, and
        their leases are renewed.

        Returns:
          The workers whose leases are left to run out from now on, and those
          whose leases are renewed again.
        """
        left: list[Worker] = []
        kept: list[Worker] = []
        most = MAX_QUARANTINED_SHARE * len(workers)
        count = sum(not worker.renews_leases for worker in workers)
        for worker in workers:
            is_overdue = _is_stop_overdue(worker, now)
            if worker.renews_leases and is_overdue and count < most:
                worker.renews_leases = False
                count += 1
                left.append(worker)
            elif not worker.renews_leases and not is_overdue:
                worker.renews_leases = True
                kept.append(worker)
        return left, kept

    def _measure_pace(self, worker: Worker, task: Task, now: float) -> None:
        estimate = task.spec.estimated_seconds
        if task.spec.fills or not estimate or not task.placed_at:
            return
        took = (now - task.placed_at) / estimate
        took = min(LONGEST_PACE, max(1.0, took))
        worker.slowdown += PACE_GAIN * (took - worker.slowdown)


def _has_proved(worker: Worker, now: float) -> bool:
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


def list_hanging(worker: Worker, now: float) -> list[Task]:
    """Lists the tasks of a worker that stand still or are overdue."""
    return [
        task
        for task in worker.tasks.values()
        if task.phase is TaskPhase.RUNNING
        and (now - task.idle_since > HANG_SECONDS or _is_overdue(task, now))
    ]


def _is_overdue(task: Task, now: float) -> bool:
    if task.spec.lasting or task.spec.fills or not task.placed_at:
        return False
    limit = OVERDUE_FACTOR * task.spec.estimated_seconds + OVERDUE_SECONDS
    return now - task.placed_at > limit
