"""Attribution of lost workers to the tasks that crash them.

A worker that crashes loses all its tasks, of which only those that it has just
started can be the cause. Often that is a coincidence, as whole racks fail while
tasks start everywhere. So a task is given up only if several workers in a row
crashed as they started it, and before the last time it is put on trial: no
other task starts beside it. A worker that was only cut off does not count: its
crash is certain once it has restarted, or another instance has its address.

A start that was not answered may have been sent to a worker that was already
gone. So it counts only if the worker had answered a probe just before, and only
tasks of which a start was lost without an answer are started after a probe.
"""

from __future__ import annotations

import math

from lentilmount.scheduling.model import Task, Worker

STARTUP_SECONDS = 0.5
"""Time after its start for which a task may be the cause of a crash."""

TRIAL_CRASHES = 2
"""Number of crashes in a row from which a task is started alone."""

MAX_CRASHES = 3
"""Number of crashes in a row after which a task is given up."""


PROOF_SECONDS = 15.0
"""Time after the loss of a worker within which its crash may be proved."""

STEADY_SECONDS = 10.0
"""Time without a failed poll after which a worker is unlikely to be lost for
another reason within the trial of a task."""


def list_suspects(worker: Worker) -> list[Task]:
    """Lists the tasks of a lost worker that may have crashed it."""
    return [t for t in worker.tasks.values() if _is_suspect(t, worker)]


def _is_suspect(task: Task, worker: Worker) -> bool:
    if math.isinf(task.confirmed_at) and not task.start_follows_answer:
        # The worker may have been gone when the start was sent.
        return False
    if not worker.has_answered:
        # The previous owner would have cleared it if it had run for a while.
        return bool(task.crashed_runs)
    return task.start_sent_at > worker.last_answer_at - STARTUP_SECONDS


def list_unanswered(worker: Worker) -> list[Task]:
    """Lists the tasks of a lost worker that had not answered their starts."""
    return [
        task
        for task in worker.tasks.values()
        if math.isinf(task.confirmed_at) and task.start_sent_at < math.inf
    ]


def is_cleared(task: Task, now: float) -> bool:
    """Returns whether a running task has run too long to crash its worker."""
    return now - task.confirmed_at >= STARTUP_SECONDS


def is_on_trial(task: Task) -> bool:
    """Returns whether no other task may be started beside a task."""
    return len(task.crashed_runs) >= TRIAL_CRASHES


def is_given_up(task: Task) -> bool:
    """Returns whether a task has crashed too many workers."""
    return len(task.crashed_runs) >= MAX_CRASHES


def measure_trial_risk(worker: Worker, now: float) -> tuple[bool, bool, int]:
    """Returns how little a worker suits a trial; the smallest is chosen.

    A worker that may be lost for another reason proves nothing, also if that
    reason is a task that it has just started. A task on trial may end all
    others on its worker.
    """
    is_unsteady = now - worker.reached_at < STEADY_SECONDS
    has_suspects = any(
        now - task.placed_at < STARTUP_SECONDS for task in worker.tasks.values()
    )
    return is_unsteady, has_suspects, len(worker.tasks)
