"""Collects the changes that one transaction makes to a slice."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Protocol

import attrs

from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.batch.states import (
    COMMITTED_PHASES,
    EVENTS,
    Transition,
    next_phase,
)
from lentilmount.codec import unstructure
from lentilmount.coordination.table import MAX_OPERATIONS, Row
from lentilmount.events import EventKind
from lentilmount.resources import Phase

OPERATIONS_PER_TRANSITION = 4
"""Maximum rows that a transition writes: task, done row, worker, inbox row."""

SHARED_OPERATIONS = 4
"""Rows that any transaction may write: lease, log entry, two pruned entries."""


class OvercommitError(Exception):
    """A placement for which the worker has too few free resources."""


class SliceRows(Protocol):
    """The committed rows of a slice."""

    @property
    def tasks(self) -> Mapping[str, Task]:
        """Tasks that have not ended, by id."""

    @property
    def workers(self) -> Mapping[str, WorkerRecord]:
        """Workers, by name."""


@attrs.define
class Draft:
    """The changes of one transaction that is not yet committed.

    Attributes:
      ledger: The committed rows that the changes apply to.
      tasks: New states of tasks, by id.
      workers: New records of workers, by name.
      changes: Entries for the slice's change log.
      consumed: Inbox rows to delete.
      unreadable: Unreadable inbox rows to keep, with the errors.
      events: Events to record after the commit: kind, task and cause.
    """

    ledger: SliceRows
    tasks: dict[str, Task] = attrs.Factory(dict)
    workers: dict[str, WorkerRecord] = attrs.Factory(dict)
    changes: list[dict[str, Any]] = attrs.Factory(list)
    consumed: list[Row] = attrs.Factory(list)
    unreadable: list[tuple[Row, str]] = attrs.Factory(list)
    events: list[tuple[EventKind, Task, str]] = attrs.Factory(list)

    def get_task(self, task: str) -> Task | None:
        """Returns a task with the changes of this transaction, or None."""
        return self.tasks.get(task) or self.ledger.tasks.get(task)

    def get_worker(self, name: str) -> WorkerRecord:
        """Returns a worker's record with the changes of this transaction."""
        return self.workers.get(name) or self.ledger.workers[name]

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to write."""
        return not (self.tasks or self.workers or self.consumed)

    @property
    def is_full(self) -> bool:
        """Whether the transaction may have no room for another transition."""
        used = 2 * len(self.tasks) + len(self.workers)
        used += len(self.consumed) + len(self.unreadable)
        reserve = OPERATIONS_PER_TRANSITION + SHARED_OPERATIONS
        return used + reserve > MAX_OPERATIONS

    def copy(self) -> Draft:
        """Returns a copy that is independent of later changes."""
        return Draft(
            self.ledger,
            dict(self.tasks),
            dict(self.workers),
            list(self.changes),
            list(self.consumed),
            list(self.unreadable),
            list(self.events),
        )

    def restore(self, copy: Draft) -> None:
        """Reverts all changes made since a copy was taken."""
        self.tasks = copy.tasks
        self.workers = copy.workers
        self.changes = copy.changes
        self.consumed = copy.consumed
        self.unreadable = copy.unreadable
        self.events = copy.events

    def admit(self, task: Task) -> None:
        """Adds a new task to the slice."""
        self._record(EventKind.ACCEPTED, task)

    def set_worker(self, worker: WorkerRecord) -> None:
        """Adds or updates a worker's record."""
        self.workers[worker.name] = worker

    def set_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Records a task's newest checkpoint, without a transition."""
        self.tasks[task.id] = attrs.evolve(task, checkpoint=checkpoint)

    def keep_unreadable(self, row: Row, error: str) -> None:
        """Moves an unreadable inbox row to the partition for such rows."""
        self.consumed.append(row)
        self.unreadable.append((row, error))

    def place(self, task: Task, worker: WorkerRecord) -> Task:
        """Commits a pending task to a worker.

        Returns:
          The task with its new attempt.

        Raises:
          OvercommitError: The worker has too few free resources.
        """
        record = self.get_worker(worker.name)
        if not task.demand.fits(record.free):
            raise OvercommitError(f'{task.id} does not fit on {worker.name}')
        placed = attrs.evolve(
            task,
            phase=next_phase(task.phase, Transition.PLACE),
            reason='',
            attempt=task.attempt + 1,
            worker=worker.name,
            boot=record.boot,
            endpoint='',
        )
        self.workers[worker.name] = record.commit(placed)
        kind = EventKind.RESUMED if task.attempt else EventKind.PLACED
        self._record(kind, placed)
        return placed

    def transition(
        self, task: Task, transition: Transition, **changes: Any
    ) -> Task:
        """Applies a transition other than a placement to a task.

        Releases the commitment on the worker if the attempt ends.

        Args:
          task: The task.
          transition: The transition.
          **changes: New values of other fields of the task.

        Returns:
          The task in its new state.

        Raises:
          TransitionError: The task's phase does not allow the transition.
        """
        phase = next_phase(task.phase, transition)
        updated = attrs.evolve(task, phase=phase, **changes)
        if task.phase in COMMITTED_PHASES and phase not in COMMITTED_PHASES:
            record = self.get_worker(task.worker)
            self.workers[task.worker] = record.release(task)
            updated = attrs.evolve(updated, endpoint='')
            if phase is Phase.PENDING:
                updated = attrs.evolve(updated, worker='', boot='')
        self._record(EVENTS[transition], updated)
        return updated

    def _record(self, kind: EventKind, task: Task) -> None:
        self.tasks[task.id] = task
        self.events.append((kind, task, task.reason))
        self.changes.append({'event': kind.value, 'task': unstructure(task)})
