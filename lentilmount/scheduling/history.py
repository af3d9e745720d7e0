"""Record of how tasks left and got their placements other than by a start.

Whatever lets a task be placed again is recorded here, so that two runs of a
task can be traced to the decision that caused the second one. The record is
kept in memory until the owner logs it.
"""

from __future__ import annotations

import collections
import enum

import attrs

from lentilmount.scheduling.specs import TaskId

MAX_CHANGES = 20_000
"""Maximum number of changes that are kept until they are logged. The oldest
are dropped and counted."""


class ChangeKind(enum.Enum):
    """What happened to a placement.

    Attributes:
      FREED: The task has no placement any more. Unless it is over, it may be
        placed again.
      ADOPTED: A run that was in no placement was found on a worker.
      CONFIRMED: A placement restored from a row was found on its worker.
      HELD: A task without a placement may still be started by the worker.
      STOPPED_ANEW: A placement is kept until its worker, which has restarted,
        accepts a stop of the run.
      STALE: The worker runs something that is not, or no longer, to run.
      OTHER_END: A run ended that was not the task's placement.
    """

    FREED = 'freed'
    ADOPTED = 'adopted'
    CONFIRMED = 'confirmed'
    HELD = 'held'
    STOPPED_ANEW = 'stopped-anew'
    STALE = 'stale'
    OTHER_END = 'other-end'


class ChangeReason(enum.Enum):
    """Why a placement changed.

    Attributes:
      DONE: The worker reported this end, and so on to ALONE.
      ABSENT: A report that was requested late enough does not list the run.
      START_EXPIRED: The same, and the start can no longer be executed.
      REJECTED: The worker rejected the only copy of the start.
      NEVER_SENT: No copy of the start was sent.
      LEASE_EXPIRED: The leases of an unreachable worker have expired.
      RESTARTED: The worker has restarted.
      NEWER_RUN: A newer run of the task was reported.
      LISTED: The worker reported the run as running.
      UNANSWERED: A start without an answer may still reach the worker.
      SUPERSEDED: The end of another run made it needless.
      WITHDRAWN: No more specific reason was given.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'
    ABSENT = 'absent'
    START_EXPIRED = 'start-expired'
    REJECTED = 'rejected'
    NEVER_SENT = 'never-sent'
    LEASE_EXPIRED = 'lease-expired'
    RESTARTED = 'restarted'
    NEWER_RUN = 'newer-run'
    LISTED = 'listed'
    UNANSWERED = 'unanswered'
    SUPERSEDED = 'superseded'
    WITHDRAWN = 'withdrawn'


@attrs.frozen
class PlacementChange:
    """A change of a placement, or a run that does not match it.

    Attributes:
      task: Id of the task.
      run: Run that was or is on the worker.
      worker: Id of the worker.
      kind: What happened.
      reason: Why.
      phase: Phase of the task before the change, as in `TaskPhase`.
    """

    task: TaskId
    run: int
    worker: str
    kind: ChangeKind
    reason: ChangeReason
    phase: str


class PlacementHistory:
    """Changes of placements that were not logged yet, oldest first.

    Attributes:
      dropped: Number of changes that were dropped since the last `drain`.
    """

    def __init__(self) -> None:
        self.dropped = 0
        self._changes: collections.deque[PlacementChange] = collections.deque(
            maxlen=MAX_CHANGES
        )

    def add(self, change: PlacementChange) -> None:
        """Records a change; drops the oldest one if there are too many."""
        self.dropped += len(self._changes) == MAX_CHANGES
        self._changes.append(change)

    def drain(self) -> list[PlacementChange]:
        """Removes and returns all changes, oldest first."""
        changes = list(self._changes)
        self._changes.clear()
        self.dropped = 0
        return changes
