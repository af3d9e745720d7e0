"""Detection of runs that hang, from the reports of their workers."""

from __future__ import annotations

import math
from typing import Any

from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.reports import RunReport
from lentilmount.scheduling.run_times import measure_run_seconds

HANG_SECONDS = 1.5
"""Time without CPU usage after which a task hangs, in seconds: three
measurements of half a second."""

OVERDUE_FACTOR = 4.0
OVERDUE_SECONDS = 3.0
"""A run is overdue after this multiple of its estimate plus these seconds.
Estimates are usually off by a fifth; remote data makes a task three times as
long."""

IDLE_CPU_SHARE = 0.02
"""Share of its allowed CPU usage below which a task counts as idle."""


def observe_run(task: Task, report: RunReport, now: float) -> None:
    """Records what the worker of a task reports on its current run."""
    if task.progress is not None and report.progress > task.progress:
        task.progressed_at = now
    task.progress = max(task.progress or 0, report.progress)
    task.usage = report.usage
    if _is_idle(task):
        task.idle_since = min(task.idle_since, now)
    else:
        task.idle_since = math.inf


def list_hanging(worker: Worker, now: float) -> list[Task]:
    """Lists the tasks of a worker that are idle or overdue."""
    return [
        task
        for task in worker.tasks.values()
        if task.phase is TaskPhase.RUNNING
        and (now - task.idle_since > HANG_SECONDS or _is_overdue(task, now))
    ]


def describe_hang(task: Task, now: float) -> dict[str, Any]:
    """Returns the evidence on a run that hangs, for a log line.

    Times are in seconds; None stands for a time that is not known.
    """
    return {
        'ran': _round(measure_run_seconds(task, now)),
        'estimate': task.spec.estimated_seconds,
        'idle': _measure_since(task.idle_since, now),
        'progress': task.progress,
        'progressed': _measure_since(task.progressed_at or math.inf, now),
    }


def _is_idle(task: Task) -> bool:
    if task.is_serving or task.usage is None or task.cpu_percent == 0:
        return False
    allowed = 1000 * task.spec.demand.cores * task.cpu_percent / 100
    return task.usage < IDLE_CPU_SHARE * allowed


def _is_overdue(task: Task, now: float) -> bool:
    seconds = measure_run_seconds(task, now)
    if task.spec.lasting or task.spec.fills or seconds is None:
        return False
    limit = OVERDUE_FACTOR * task.spec.estimated_seconds + OVERDUE_SECONDS
    return seconds > limit


def _measure_since(at: float, now: float) -> float | None:
    return None if math.isinf(at) else _round(now - at)


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
