"""Which task is placed first.

Load pattern: more work than fits, in waves. Serving the earliest deadline
first makes every job late once there is too much; so jobs that can still be
in time go first, by deadline, then those that can still be of some use, then
the rest, which must be finished all the same.

Filling work has few places, fewer than it has jobs. Shared among all of them
each job gets on slowly and all are late, so what is begun goes on before more
is begun, the least work left first.

Urgent work of a second needs a core now; a lasting task that takes it keeps it
for a minute. So what can still be in time goes before lasting tasks, but not
for ever: short tasks are smaller, and while they come, no gap grows large
enough for a lasting one. One that has run and is away for some seconds goes
before all others.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from typing import Any

from lentilmount.scheduling.model import Job, Task
from lentilmount.scheduling.views import get_step_key

USEFUL_MULTIPLE = 3.0
"""A job that is later than this multiple of its objective is of no more use
to who sent it: the users' measure of late work."""


URGENT_PRIORITY = 0
"""Queues of this priority come before all others."""


class Outlook(enum.IntEnum):
    """How a job can still end."""

    IN_TIME = 0
    LATE = 1
    USELESS = 2


GATHER_SECONDS = 0.2
"""How long new lasting steps wait for the next one to be placed with them.
They often come together; placed by image and size they fill fewer workers,
and mix less. Lasting jobs have seconds until their objective."""

MOST_GATHER_SECONDS = 0.8
"""How long a lasting step waits at most while others keep coming."""

RESTART_OVERDUE_SECONDS = 4.0
"""How long a lost lasting task lets urgent work go first. Where there is room
for it, it is to be back within 6 s."""

Rank = tuple[int, tuple[Any, ...]]
"""A turn, and the order within it; the smallest goes first."""


class Turn(enum.IntEnum):
    """Which of all tasks come before which."""

    AWAY = 0
    URGENT = 1
    LASTING = 2
    OTHER = 3


def is_gathering(step: list[Task], newest: float, now: float) -> bool:
    """Tells whether a new lasting step waits for others like it.

    Args:
      step: Tasks of the step that are ready.
      newest: Monotonic time at which the newest lasting job came.
      now: Monotonic time.
    """
    first = step[0]
    if not is_new(first) or now - newest >= GATHER_SECONDS:
        return False
    return now - first.job.accepted_at < MOST_GATHER_SECONDS


def is_new(task: Task) -> bool:
    """Tells whether a lasting task has never run."""
    return task.spec.lasting and not task.run and not task.last_ended_at


def is_restart_overdue(task: Task, now: float) -> bool:
    """Tells whether a lasting task has run and been away for too long."""
    if not task.last_ended_at or not task.spec.lasting:
        return False
    return now - task.last_ended_at >= RESTART_OVERDUE_SECONDS


def rank_task(task: Task, now: float) -> Rank:
    """Returns a task's place in the order; the smallest goes first."""
    job = task.job
    if task.spec.lasting:
        # Bounded to a few a worker, a step takes a place on many. Its image is
        # there already only if the others of that image come after it.
        bound = task.spec.most_per_worker or math.inf
        turn = Turn.AWAY if is_restart_overdue(task, now) else Turn.LASTING
        return turn, (
            task.spec.image,
            bound,
            -task.spec.demand.cores,
        )
    outlook = find_outlook(task, now)
    due = _get_start(task) + job.objective - job.critical_paths[task.id.step]
    if is_urgent(task) and outlook is Outlook.IN_TIME:
        return Turn.URGENT, (due,)
    first = (job.spec.queue.priority, outlook)
    if task.spec.fills:
        return Turn.OTHER, (*first, not job.was_placed, measure_work(job))
    return Turn.OTHER, (*first, False, due)


def measure_work(job: Job) -> float:
    """Returns the core-seconds of a job that are not done, as declared."""
    return sum(
        count
        * job.spec.steps[step].estimated_seconds
        * job.spec.steps[step].demand.cores
        for (_, step), count in job.remaining.items()
    )


def is_urgent(task: Task) -> bool:
    """Tells whether a task reserves room, and only for a short time."""
    spec = task.spec
    is_short = not spec.lasting and not spec.fills and not spec.gang
    return is_short and task.job.spec.queue.priority <= URGENT_PRIORITY


def _get_start(task: Task) -> float:
    """Returns the monotonic time from which a task's occurrence is measured."""
    spec = task.job.spec
    if not spec.occurrences:
        return task.job.accepted_at
    later = spec.get_due(task.id.occurrence) - spec.accepted
    return task.job.accepted_at + max(0.0, later)


def find_outlook(task: Task, now: float) -> Outlook:
    """Tells how a task's job can still end if the task starts now."""
    objective = task.job.objective
    end = now + task.job.critical_paths[task.id.step] - _get_start(task)
    if end <= objective:
        return Outlook.IN_TIME
    if end <= USEFUL_MULTIPLE * objective:
        return Outlook.LATE
    return Outlook.USELESS


def sort_steps(tasks: Iterable[Task], now: float) -> list[list[Task]]:
    """Groups tasks that are ready by step, the first to be placed first.

    Tasks of a step are alike, so a step is ranked by its first task. Those
    that have been away for too long are a group of their own.
    """
    steps: dict[tuple[object, ...], list[Task]] = {}
    for task in tasks:
        key: tuple[object, ...] = get_step_key(task)
        if is_restart_overdue(task, now):
            key = (*key, Turn.AWAY)
        steps.setdefault(key, []).append(task)
    return sorted(steps.values(), key=lambda step: rank_task(step[0], now))
