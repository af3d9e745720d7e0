"""Detection of runs that hang, from the reports of their workers.

Declared run times are rough, so a run that takes longer than declared hangs
only if it also shows no progress. Progress is a higher percentage or a new
checkpoint. Where the percentage tells nothing more, as it is 100 already, the
use of the processor counts. Below 100 it does not: a run in an endless loop
uses the processor as well.
"""

from __future__ import annotations

import math
from typing import Any

from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.reports import RunReport
from lentilmount.scheduling.run_times import get_begin, measure_since

HANG_SECONDS = 1.5
"""Time without CPU usage after which a task hangs, in seconds: three
measurements of half a second."""

OVERDUE_FACTOR = 4.0
OVERDUE_SECONDS = 3.0
"""A run is overdue after this multiple of its estimate plus these seconds: then
it hangs unless it makes progress."""

MAX_MISSED_INTERVALS = 10
"""Number of usual intervals between two signs of progress after which an
overdue run without a further sign hangs. A slow worker takes several times as
long for each."""

TOLERANCE_FACTOR = 2.0
"""Ratio of the stall that is tolerated in a run to the one for which an earlier
run of the task was stopped. It doubles with each run, so that work of any
length is done after a few of them."""

FULL_PROGRESS = 100
"""Progress in percent that a report cannot exceed."""

IDLE_CPU_SHARE = 0.02
"""Share of its allowed CPU usage below which a task counts as idle."""


def observe_run(task: Task, report: RunReport, now: float) -> None:
    """Records what the worker of a task reports on its current run."""
    task.reported_at = now
    task.usage = report.usage
    if _is_idle(task):
        task.idle_since = min(task.idle_since, now)
    else:
        task.idle_since = math.inf
    signs = _count_signs(task, report)
    if signs or task.progress is None:
        task.progress_signs += signs
        task.progressed_at = now
    task.progress = max(task.progress or 0, report.progress)
    if report.checkpoint:
        task.checkpoint = report.checkpoint


def _count_signs(task: Task, report: RunReport) -> int:
    """Returns the number of signs of progress that a report adds."""
    if report.progress >= FULL_PROGRESS:
        uses_cpu = report.usage is not None and math.isinf(task.idle_since)
        return int(uses_cpu)
    if task.progress is None:
        return 0
    is_saved = report.checkpoint not in ('', task.checkpoint)
    return max(0, report.progress - task.progress) + is_saved


def list_hanging(worker: Worker, now: float) -> list[Task]:
    """Lists the tasks of a worker that are idle or overdue without progress."""
    return [task for task in worker.tasks.values() if _is_hanging(task, now)]


def _is_hanging(task: Task, now: float) -> bool:
    if task.phase is not TaskPhase.RUNNING:
        return False
    is_idle = math.isfinite(task.idle_since)
    if not is_idle and not _is_overdue(task, now):
        return False
    if _measure_stall(task, now) <= _get_tolerated_stall(task):
        return False
    if task.progressed_at >= task.idle_since:
        # It makes progress although it uses hardly any processor time.
        return _is_stalled(task, now)
    if now - task.idle_since > HANG_SECONDS:
        return True
    return _is_overdue(task, now) and _is_stalled(task, now)


def record_hang(run: Task, members: list[Task], now: float) -> None:
    """Allows longer stalls in the next runs of a task that is to be stopped.

    Its work may show no progress for longer than the limits. Each run of it
    would be stopped at the same point otherwise.

    Args:
      run: The run that is taken for hanging.
      members: The tasks that start together with its task, and the task.
      now: Monotonic time.
    """
    seconds = TOLERANCE_FACTOR * _measure_stall(run, now)
    for task in members:
        task.tolerated_stall = max(task.tolerated_stall, round(seconds, 1))


def _get_tolerated_stall(task: Task) -> float:
    # Long-running tasks that have been at work do not pause.
    if task.spec.lasting and task.progress_signs:
        return 0.0
    return task.tolerated_stall


def _is_stalled(task: Task, now: float) -> bool:
    """Returns whether a run has shown no progress for too long."""
    max_stall = HANG_SECONDS
    if task.progress_signs:
        seconds = task.progressed_at - _get_begin(task)
        usual_interval = seconds / task.progress_signs
        max_stall = max(max_stall, MAX_MISSED_INTERVALS * usual_interval)
    return _measure_stall(task, now) > max_stall


def _measure_stall(task: Task, now: float) -> float:
    """Returns the seconds for which a run has shown no progress.

    They are 0 until a report shows none: reports may be late.
    """
    has_progressed = math.isfinite(task.progressed_at)
    if has_progressed and task.reported_at <= task.progressed_at:
        return 0.0
    return now - max(task.progressed_at, _get_begin(task))


def _get_begin(task: Task) -> float:
    """Returns the monotonic time since which this owner has known a run.

    The age of an inherited run is not known.
    """
    begin = get_begin(task)
    return task.confirmed_at if begin is None else begin


def describe_hang(task: Task, now: float) -> dict[str, Any]:
    """Returns the evidence on a run that hangs, for a log line.

    Times are in seconds; the idle one is None unless the run is idle.
    """
    return {
        'ran': measure_since(_get_begin(task), now),
        'estimate': task.spec.estimated_seconds,
        'idle': measure_since(task.idle_since, now),
        'progress': task.progress,
        'stalled': round(_measure_stall(task, now), 3),
        'tolerated': task.tolerated_stall,
    }


def _is_idle(task: Task) -> bool:
    if task.is_serving or task.usage is None or task.cpu_percent == 0:
        return False
    allowed = 1000 * task.spec.demand.cores * task.cpu_percent / 100
    return task.usage < IDLE_CPU_SHARE * allowed


def _is_overdue(task: Task, now: float) -> bool:
    is_listed = task.confirmed_at > 0.0
    if task.spec.lasting or task.spec.fills or not is_listed:
        return False
    limit = OVERDUE_FACTOR * task.spec.estimated_seconds + OVERDUE_SECONDS
    return now - _get_begin(task) > limit
