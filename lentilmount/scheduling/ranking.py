"""Order in which waiting tasks are placed.

Load pattern: more work than fits, arriving in waves. Earliest deadline first
makes every job late under overload. So jobs that can still meet their objective
go first, ordered by deadline, then jobs that are late but still useful, then
the rest, which must be finished all the same.

Best-effort tasks have fewer slots than there are jobs. Sharing the slots among
all jobs slows each of them down until all are late. So jobs that were started
continue before others start, with the least remaining work first.

Urgent tasks take about a second and need a core at once, while a long-running
task would keep that core for a minute. So urgent tasks that can be in time go
before long-running tasks, but not without limit: they are smaller, and while
they keep arriving, no gap becomes large enough for a long-running task. A
long-running task that was interrupted and has not run again for some seconds
goes before all others.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from typing import Any

from lentilmount.scheduling.model import Job, Task
from lentilmount.scheduling.views import get_step_key

MAX_USEFUL_MULTIPLE = 3.0
"""Multiple of its objective after which a late job is of no use to the user."""

URGENT_PRIORITY = 0
"""Queues of this priority go before all others."""


class Timeliness(enum.IntEnum):
    """Whether a job can still meet its objective."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


COALESCE_SECONDS = 0.2
"""How long a new long-running step waits for others to be placed with it. They
often arrive together, and placed in order of image and size they use fewer
workers and mix fewer images. Long-running jobs have an objective of seconds."""

MAX_COALESCE_SECONDS = 0.8
"""Maximum wait of a long-running step while others keep arriving."""

RESTART_OVERDUE_SECONDS = 4.0
"""How long an interrupted long-running task yields to urgent tasks. It must run
again within 6 s if there are resources for it."""

Rank = tuple[int, tuple[Any, ...]]
"""Priority class, and the order within it; the smallest goes first."""


class PriorityClass(enum.IntEnum):
    """Priority classes of waiting tasks, the first to be placed first."""

    RESTART_OVERDUE = 0
    URGENT = 1
    LONG_RUNNING = 2
    OTHER = 3


def is_coalescing(step: list[Task], newest_arrival: float, now: float) -> bool:
    """Returns whether a new long-running step waits for others like it.

    Args:
      step: Ready tasks of the step.
      newest_arrival: Monotonic time at which the newest long-running job
        arrived.
      now: Monotonic time.
    """
    first = step[0]
    if not has_never_run(first) or now - newest_arrival >= COALESCE_SECONDS:
        return False
    return now - first.job.accepted_at < MAX_COALESCE_SECONDS


def has_never_run(task: Task) -> bool:
    """Returns whether a task is long-running and has never run."""
    return task.spec.lasting and not task.run and not task.last_ended_at


def is_restart_overdue(task: Task, now: float) -> bool:
    """Returns whether an interrupted long-running task is due to run again."""
    if not task.last_ended_at or not task.spec.lasting:
        return False
    return now - task.last_ended_at >= RESTART_OVERDUE_SECONDS


def rank_task(task: Task, now: float) -> Rank:
    """Returns the rank of a task; the smallest goes first."""
    job = task.job
    if task.spec.lasting:
        # A step limited to a few tasks per worker is spread over many workers,
        # so it is placed before other steps of its image, which then join it.
        max_per_worker = task.spec.most_per_worker or math.inf
        priority_class = (
            PriorityClass.RESTART_OVERDUE
            if is_restart_overdue(task, now)
            else PriorityClass.LONG_RUNNING
        )
        return priority_class, (
            task.spec.image,
            max_per_worker,
            -task.spec.demand.cores,
        )
    timeliness = predict_timeliness(task, now)
    latest_start = (
        get_release_time(job, task.id.occurrence)
        + job.objective
        - job.get_critical_path(task.id.step)
    )
    if is_urgent(task) and timeliness is Timeliness.IN_TIME:
        return PriorityClass.URGENT, (latest_start,)
    order = (job.spec.queue.priority, timeliness)
    if task.spec.fills:
        return PriorityClass.OTHER, (
            *order,
            not job.was_placed,
            estimate_remaining_work(job, task.id.occurrence),
        )
    return PriorityClass.OTHER, (*order, False, latest_start)


def estimate_remaining_work(job: Job, occurrence: int) -> float:
    """Returns the unfinished core-seconds of an occurrence, as declared."""
    return sum(
        job.count_remaining(occurrence, number)
        * step.estimated_seconds
        * step.demand.cores
        for number, step in enumerate(job.spec.steps)
    )


def is_urgent(task: Task) -> bool:
    """Returns whether a task is short and its queue has the top priority."""
    spec = task.spec
    is_short = not spec.lasting and not spec.fills and not spec.gang
    return is_short and task.job.spec.queue.priority <= URGENT_PRIORITY


def get_release_time(job: Job, occurrence: int) -> float:
    """Returns the monotonic time from which an objective counts.

    That is the due time of an occurrence, also if it is before the job was
    accepted: what is long overdue does not go before jobs that can be in time.
    """
    spec = job.spec
    if not spec.occurrences:
        return job.accepted_at
    return job.accepted_at + spec.get_due(occurrence) - spec.accepted


def predict_timeliness(task: Task, now: float) -> Timeliness:
    """Returns whether a task's job can be in time if the task starts now."""
    objective = task.job.objective
    released_at = get_release_time(task.job, task.id.occurrence)
    end = now + task.job.get_critical_path(task.id.step) - released_at
    if end <= objective:
        return Timeliness.IN_TIME
    if end <= MAX_USEFUL_MULTIPLE * objective:
        return Timeliness.LATE
    return Timeliness.TOO_LATE


def sort_steps(tasks: Iterable[Task], now: float) -> list[list[Task]]:
    """Groups ready tasks by step, sorted by rank.

    Tasks of a step are identical, so a step is ranked by its first task. Those
    that are overdue to restart form a group of their own.
    """
    steps: dict[tuple[object, ...], list[Task]] = {}
    for task in tasks:
        key: tuple[object, ...] = get_step_key(task)
        if is_restart_overdue(task, now):
            key = (*key, PriorityClass.RESTART_OVERDUE)
        steps.setdefault(key, []).append(task)
    return sorted(steps.values(), key=lambda step: rank_task(step[0], now))
