"""Attribution of lost workers to the tasks that crash them.

A worker that crashes loses all its tasks, of which only those that it has just
started can be the cause. Often that is a coincidence, as whole racks fail while
tasks start everywhere. So a task is given up only if several workers in a row
crashed as they started it, and before the last time it is put on trial: no
other task starts beside it. A worker that was only cut off does not count: its
crash is certain once it has restarted, or another instance has its address.

A start that was not answered may have been sent to a worker that was already
gone. So it counts only if the worker had answered a probe just before.

An owner may be replaced before it learns of a crash. So once a task may have
crashed a worker, it is watched: its state row names the worker of each start
from before the start is sent until it is known whether that worker crashed.
The next owner finds out from there. Only the first start, of a task that was
not watched yet, may go uncounted.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from lentilmount.scheduling.model import Task, WatchedStart, Worker

STARTUP_SECONDS = 0.5
"""Time after its start for which a task may be the cause of a crash."""

TRIAL_CRASHES = 2
"""Number of crashes in a row from which a task is started alone."""

MAX_CRASHES = 3
"""Number of crashes in a row after which a task is given up."""


PROOF_SECONDS = 15.0
"""Time after the loss of a worker within which its crash may be proved. For
that time a task that would be given up if it were is not started again."""

STEADY_SECONDS = 10.0
"""Time without a failed poll after which a worker is unlikely to be lost for
another reason within the trial of a task."""


def list_suspects(worker: Worker, tasks: Iterable[Task]) -> list[Task]:
    """Lists those of the tasks lost with a worker that may have crashed it."""
    return [task for task in tasks if _is_suspect(task, worker)]


def _is_suspect(task: Task, worker: Worker) -> bool:
    is_answered = task.confirmed_at < math.inf
    is_watched = find_watched_start(task, worker) is not None
    if is_answered and is_watched:
        # It would have been cleared if it had run for a while.
        return True
    if not is_answered and not task.start_follows_answer:
        # The worker may have been gone when the start was sent.
        return False
    is_recent = task.start_sent_at > worker.last_answer_at - STARTUP_SECONDS
    return worker.has_answered and is_recent


def list_doubtful(worker: Worker, tasks: Iterable[Task]) -> list[Task]:
    """Lists the lost tasks whose starts a worker may not have survived.

    These are the suspects, the tasks whose starts it has not answered, and
    those inherited with it if it was lost before this owner reached it.
    """
    return [
        task
        for task in tasks
        if task.start_sent_at < math.inf
        and (
            math.isinf(task.confirmed_at)
            or not worker.has_answered
            or _is_suspect(task, worker)
        )
    ]


def find_watched_start(task: Task, worker: Worker) -> WatchedStart | None:
    """Returns the watched start of a task's newest run on a worker, if any."""
    start = task.watched_starts.get(task.run)
    return start if start is not None and start.worker == worker.id else None


def record_start(task: Task, worker: Worker) -> None:
    """Records the worker of a task's newest run in the task."""
    started_ms = worker.incarnation_ms or worker.entry.started_ms
    task.watched_starts[task.run] = WatchedStart(
        worker.id, worker.entry.address, started_ms
    )


def count_possible_crashes(task: Task, lost_since: float = -math.inf) -> int:
    """Counts the workers that a task has crashed in a row, or may have.

    Args:
      task: The task.
      lost_since: Monotonic time; crashes of workers that were lost before count
        only if they are proved.
    """
    return len(task.crashed_runs) + sum(
        lost_since <= start.lost_at < math.inf
        for start in task.watched_starts.values()
    )


def awaits_proof(task: Task, now: float) -> bool:
    """Returns whether a task may turn out to be given up any moment."""
    count = count_possible_crashes(task, now - PROOF_SECONDS)
    return count >= MAX_CRASHES


def is_cleared(task: Task, at: float) -> bool:
    """Returns whether a task has run too long to crash its worker.

    Args:
      task: The task.
      at: Monotonic time at which it was certainly running.
    """
    return at - task.confirmed_at >= STARTUP_SECONDS


def is_on_trial(task: Task) -> bool:
    """Returns whether no other task may be started beside a task."""
    return count_possible_crashes(task) >= TRIAL_CRASHES


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
