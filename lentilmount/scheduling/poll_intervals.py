"""How often a worker must be polled for throttling to follow.

Load pattern: best-effort tasks run beside serving tasks on hundreds of workers,
most of which are calm: no task there is throttled, and the tail latencies are
far below their targets. Polls of those took most of an owner's calls.

Runs of best-effort tasks end all the time, about two a second on each worker,
and each end answers a poll. So an owner that is busy pauses before it polls a
worker again, and ends of some hundred milliseconds share a report.

An owner of thousands of workers has most of them idle at times. Nothing ends
there and no lease runs, and their registrations tell whether they are alive.
"""

from __future__ import annotations

from lentilmount.scheduling.interference import (
    MAX_TREND,
    TARGET_UTILISATION,
    InterferenceModel,
    count_best_effort,
)
from lentilmount.scheduling.model import TaskPhase, Worker
from lentilmount.scheduling.ranking import is_urgent

THROTTLING_SECONDS = 0.5
"""Longest time between polls where throttling may be needed: it needs recent
usage figures."""

CALM_SECONDS = 0.8
"""Longest time between polls where it is not. A tail that exceeds its target
must be noticed, and best-effort tasks suspended, within 4 s: this time, 1.5 s
over the target, the half second of a measurement and a poll."""

CALM_UTILISATION = TARGET_UTILISATION - 2 * MAX_TREND
"""Expected utilisation below which a serving task cannot come near its target
within about two polls."""

DEFAULT_SECONDS = 1.5
"""Longest time between polls of a worker with only one kind of task: leases of
6 s are renewed four times."""


MAX_PAUSE_SECONDS = 0.3
"""Longest pause between a report and the next poll. Best-effort jobs have an
objective of seconds. The poll then waits for less time by the pause, so that
throttling has figures as recent as without one."""

PAUSE_LAG_MULTIPLE = 10.0
"""Pause relative to the mean lag of the event loop. The lag is 1 to 3 ms on an
owner with processor time to spare, and the pause is longest from 30 ms on."""

MIN_POLL_SECONDS = 0.05
"""Shortest wait of a poll after a pause."""


IDLE_POLLS_PER_SECOND = 300.0
"""Polls of idle workers that an owner makes at most, unless they would be rarer
than allowed: about a tenth of a core."""

MAX_IDLE_SECONDS = 5.0
"""Longest time between polls of an idle worker. It may execute a late start of
an earlier owner, which only a report shows."""


def choose_idle_pause(workers: int) -> float:
    """Returns the time from a report to the next poll of an idle worker.

    Args:
      workers: Number of workers of the service.

    Returns:
      The time in seconds; 0 if polls that wait at the worker are rare enough.
    """
    seconds = min(workers / IDLE_POLLS_PER_SECOND, MAX_IDLE_SECONDS)
    return seconds if seconds > DEFAULT_SECONDS else 0.0


def choose_pause(worker: Worker, lag: float) -> float:
    """Returns the time in seconds from a report to the next poll of a worker.

    Ends of urgent tasks are awaited by steps and callers, and those of tasks
    that are being stopped free resources.

    Args:
      worker: The worker.
      lag: Mean lag of the event loop, in seconds.
    """
    pause = min(MAX_PAUSE_SECONDS, PAUSE_LAG_MULTIPLE * lag)
    for task in worker.tasks.values():
        if task.phase is TaskPhase.STOPPING or is_urgent(task):
            return 0.0
    return pause


def choose_poll_seconds(
    worker: Worker, interference_model: InterferenceModel
) -> float:
    """Returns how long a poll of a worker may wait for a run to end."""
    tasks = list(worker.tasks.values())
    serving_tasks = [task for task in tasks if task.is_serving]
    best_effort_tasks = [task for task in tasks if task.spec.fills]
    if not serving_tasks or not best_effort_tasks:
        return DEFAULT_SECONDS
    if any(task.cpu_percent < 100 for task in best_effort_tasks):
        return THROTTLING_SECONDS
    neighbours = count_best_effort(worker)
    is_calm = all(
        task.usage is not None
        and not interference_model.is_over_target(task)
        and interference_model.predict(task, neighbours) < CALM_UTILISATION
        for task in serving_tasks
    )
    return CALM_SECONDS if is_calm else THROTTLING_SECONDS
