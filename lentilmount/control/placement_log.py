"""Log lines and metrics of how tasks are placed, started and freed.

One line holds many tasks: at hundreds of starts a second, a line for each
would exceed the rate limit of its kind, and a task's history would have gaps.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from typing import TypeVar

import attrs
import logbook

from lentilmount.control.metrics import ControlMetrics
from lentilmount.platform.workers import CallStatus
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.history import (
    ChangeKind,
    PlacementChange,
    PlacementHistory,
)

log = logbook.Logger('owner')

TASKS_PER_LINE = 100
"""Maximum number of tasks in a log line."""

Start = tuple[str, int, str]
"""Id of a task, number of its run and id of its worker, as logged."""

T = TypeVar('T')


def _split(entries: Sequence[T]) -> Iterator[Sequence[T]]:
    for first in range(0, len(entries), TASKS_PER_LINE):
        yield entries[first : first + TASKS_PER_LINE]


def log_starts(starts: list[Start], service: str = '') -> None:
    """Logs the starts of a pass, many to a line."""
    for batch in _split(starts):
        log.info('Starting.', extra={'service': service, 'starts': batch})


def log_restored(cluster: ClusterState, service: str) -> None:
    """Logs what was restored from rows, as much as fits into a line.

    That is the placements, and the tasks that had runs and may be placed now.
    """
    restored = [
        (str(task.id), task.run, worker.id)
        for worker in cluster.workers.values()
        for task in worker.tasks.values()
    ]
    waiting = [(str(t.id), t.run) for t in cluster.ready.values() if t.run]
    suspects = [
        (str(task.id), run, worker.id)
        for worker in cluster.workers.values()
        for task, run in worker.suspects.items()
    ]
    if restored or waiting or suspects:
        log.info(
            'Restored {} placements.',
            len(restored),
            extra={
                'service': service,
                'restored': restored[:TASKS_PER_LINE],
                'waiting_count': len(waiting),
                'waiting': waiting[:TASKS_PER_LINE],
                'suspects': suspects[:TASKS_PER_LINE],
            },
        )


@attrs.define
class StartProgress:
    """Copies of a start that were sent, and their outcome.

    Attributes:
      task: Formatted id of the task.
      run: Run number.
      worker: Id of the worker.
      copies: Number of copies sent.
      first_sent_at: Monotonic time in seconds at which the first one was sent;
        infinity if none was.
      settled_at: Monotonic time at which it became certain that no further
        copy is sent.
      status: Outcome of the newest copy; None if none was sent.
      is_superseded: Whether the run was no longer to be started by then.
    """

    task: str
    run: int
    worker: str
    copies: int = 0
    first_sent_at: float = math.inf
    settled_at: float = math.inf
    status: CallStatus | None = None
    is_superseded: bool = False

    def count_copy(self, now: float) -> None:
        """Records that a copy is sent."""
        self.copies += 1
        self.first_sent_at = min(self.first_sent_at, now)

    @property
    def is_plain(self) -> bool:
        """Whether the first copy was accepted, and its run still wanted."""
        is_accepted = self.copies == 1 and self.status is CallStatus.DONE
        return is_accepted and not self.is_superseded

    @property
    def seconds(self) -> float:
        """Seconds from the first copy to the outcome."""
        return round(max(0.0, self.settled_at - self.first_sent_at), 3)

    @property
    def outcome(self) -> str:
        """How the start was settled, as logged."""
        status = self.status.value if self.status else 'not-sent'
        return f'{status}, superseded' if self.is_superseded else status


@attrs.define(eq=False)
class PlacementLog:
    """Logs what happens to the placements of one service.

    Attributes:
      service: Name of the service.
      history: Changes of placements.
      metrics: Metrics of the daemon.
    """

    service: str
    history: PlacementHistory
    metrics: ControlMetrics
    _settled: list[StartProgress] = attrs.Factory(list)

    def log_starts(self, starts: list[Start]) -> None:
        """Logs starts, after all that happened before them."""
        if starts:
            self.flush()
            log_starts(starts, self.service)

    def record_start(self, progress: StartProgress) -> None:
        """Counts the copies of a start, and logs it unless it was plain."""
        self.metrics.count_start_copies(progress.copies)
        if progress.is_plain:
            return
        self._settled.append(progress)
        if len(self._settled) >= TASKS_PER_LINE:
            self.flush()

    def flush(self) -> None:
        """Logs all that was recorded since the last call."""
        dropped = self.history.dropped
        if dropped:
            log.warning(
                'Left out {} changes of placements.',
                dropped,
                extra={'service': self.service},
            )
        changes = self.history.drain()
        for change in changes:
            if change.kind is ChangeKind.FREED:
                self.metrics.count_freed(change.reason.value)
        for batch in _split([_make_change_entry(c) for c in changes]):
            log.info(
                'Placements changed.',
                extra={'service': self.service, 'changes': batch},
            )
        settled, self._settled = self._settled, []
        for starts in _split([_make_start_entry(s) for s in settled]):
            log.info(
                'Starts settled.',
                extra={'service': self.service, 'settled': starts},
            )


def _make_change_entry(
    change: PlacementChange,
) -> tuple[str, int, str, str, str, str]:
    return (
        str(change.task),
        change.run,
        change.worker,
        change.kind.value,
        change.reason.value,
        change.phase,
    )


def _make_start_entry(
    progress: StartProgress,
) -> tuple[str, int, str, str, int, float]:
    return (
        progress.task,
        progress.run,
        progress.worker,
        progress.outcome,
        progress.copies,
        progress.seconds,
    )
