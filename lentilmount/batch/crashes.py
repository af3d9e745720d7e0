"""Counts the workers that crash when a task starts, and gives the task up.

A task may crash each worker that starts it. The count is part of the task's
row, so that it survives a change of owner. Other tasks that start on the same
worker at that time are counted too, so a task that is about to be given up
starts alone: no other attempt starts on its worker meanwhile.
"""

from __future__ import annotations

import enum

from lentilmount.batch.records import Task

CRASH_LIMIT = 3
"""Crashes in a row after which a job is given up."""

START_ALONE_LIMIT = CRASH_LIMIT - 1
"""Crashes in a row after which a task starts alone."""

START_WATCH_SECONDS = 5.0
"""Time from the start of an attempt until a crash of its worker is noticed.

It includes the interval between two calls to a worker and a call's timeout.
"""


class Survival(enum.Enum):
    """Whether a worker survived the start of an attempt."""

    UNKNOWN = 'unknown'
    SURVIVED = 'survived'
    CRASHED = 'crashed'


def record_start(task: Task, worker: str, survival: Survival) -> Task:
    """Returns the task with its crashes as of the end of an attempt.

    Args:
      task: The task.
      worker: Worker of the attempt.
      survival: Whether the worker survived the start of the attempt.
    """
    if survival is Survival.SURVIVED:
        return task.clear_crashes()
    # Replicas of services are never given up: their count stays bounded.
    if survival is Survival.CRASHED and len(task.crashes) < CRASH_LIMIT:
        return task.add_crash(worker)
    return task


def should_give_up(task: Task) -> bool:
    """Returns whether a job has crashed too many workers in a row."""
    return not task.is_service and len(task.crashes) >= CRASH_LIMIT


def must_start_alone(task: Task) -> bool:
    """Returns whether no other attempt may start while a task starts."""
    return len(task.crashes) >= START_ALONE_LIMIT


def explain_crashes(task: Task) -> str:
    """Returns the reason why a job is given up, for operators."""
    return (
        f'crashed {len(task.crashes)} workers in a row at its start: '
        f'{", ".join(task.crashes)}'
    )
