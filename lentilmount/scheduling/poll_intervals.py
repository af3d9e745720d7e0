"""How often a worker must be polled for throttling to follow.

Load pattern: best-effort tasks run beside serving tasks on hundreds of workers,
most of which are calm: no task there is throttled, and the tail latencies are
far below their targets. Polls of those took most of an owner's calls.
"""

from __future__ import annotations

from lentilmount.scheduling.interference import (
    MAX_TREND,
    TARGET_UTILISATION,
    InterferenceModel,
    count_best_effort,
)
from lentilmount.scheduling.model import Worker

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
