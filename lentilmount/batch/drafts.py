"""What one transaction on a slice is going to change."""

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

OPERATIONS_A_MOVE = 4
"""Most rows that one move writes: task, done row, worker, inbox row."""

SHARED_OPERATIONS = 4
"""Rows of any transaction: lease, change, and two that are pruned."""


class OvercommitError(Exception):
    """A placement that the worker's ledger has no room for."""


class SliceRows(Protocol):
    """The rows of a slice as the table has them."""

    @property
    def tasks(self) -> Mapping[str, Task]:
        """Tasks that are not over, by id."""

    @property
    def workers(self) -> Mapping[str, WorkerRecord]:
        """Workers, by name."""


@attrs.define
class Draft:
    """What one transaction is going to change.

    Attributes:
      ledger: The rows before it.
      tasks: New states of tasks.
      workers: New states of workers.
      changes: Entries for the slice's change log.
      consumed: Rows that this transaction deletes.
      aside: Inbox rows that cannot be read, and why.
      notes: What goes to the time line once it is committed.
    """

    ledger: SliceRows
    tasks: dict[str, Task] = attrs.Factory(dict)
    workers: dict[str, WorkerRecord] = attrs.Factory(dict)
    changes: list[dict[str, Any]] = attrs.Factory(list)
    consumed: list[Row] = attrs.Factory(list)
    unreadable: list[tuple[Row, str]] = attrs.Factory(list)
    events: list[tuple[EventKind, Task, str]] = attrs.Factory(list)

    def get_task(self, task: str) -> Task | None:
        """Returns a task as this transaction would leave it."""
        return self.tasks.get(task) or self.ledger.tasks.get(task)

    def get_worker(self, name: str) -> WorkerRecord:
        """Returns a worker as this transaction would leave it."""
        return self.workers.get(name) or self.ledger.workers[name]

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to write."""
        return not (self.tasks or self.workers or self.consumed)

    @property
    def is_full(self) -> bool:
        """Whether another move might not fit in the transaction."""
        used = 2 * len(self.tasks) + len(self.workers)
        used += len(self.consumed) + len(self.unreadable)
        spare = OPERATIONS_A_MOVE + SHARED_OPERATIONS
        return used + spare > MAX_OPERATIONS

    def copy(self) -> Draft:
        """Returns a copy that later changes do not touch."""
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
        """Takes back everything since a copy was made."""
        self.tasks = copy.tasks
        self.workers = copy.workers
        self.changes = copy.changes
        self.consumed = copy.consumed
        self.unreadable = copy.unreadable
        self.events = copy.events

    def admit(self, task: Task) -> None:
        """Adds a task that is new to the slice."""
        self._note(EventKind.ACCEPTED, task)

    def set_worker(self, worker: WorkerRecord) -> None:
        """Adds a worker or changes its row."""
        self.workers[worker.name] = worker

    def set_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Records where a task could resume from; no move."""
        self.tasks[task.id] = attrs.evolve(task, checkpoint=checkpoint)

    def keep_unreadable(self, row: Row, error: str) -> None:
        """Moves an inbox row that cannot be read to where it is kept."""
        self.consumed.append(row)
        self.unreadable.append((row, error))

    def place(self, task: Task, worker: WorkerRecord) -> Task:
        """Commits a pending task to a worker.

        Raises:
          OvercommitError: The worker has no room for it.
        """
        room = self.get_worker(worker.name)
        if not task.demand.fits(room.free):
            raise OvercommitError(f'{task.id} does not fit on {worker.name}')
        placed = attrs.evolve(
            task,
            phase=next_phase(task.phase, Transition.PLACE),
            reason='',
            attempt=task.attempt + 1,
            worker=worker.name,
            boot=room.boot,
            endpoint='',
        )
        self.workers[worker.name] = room.commit(placed)
        kind = EventKind.RESUMED if task.attempt else EventKind.PLACED
        self._note(kind, placed)
        return placed

    def transition(self, task: Task, move: Transition, **changes: Any) -> Task:
        """Makes any other move, releasing the commitment where it ends."""
        phase = next_phase(task.phase, move)
        moved = attrs.evolve(task, phase=phase, **changes)
        if task.phase in COMMITTED_PHASES and phase not in COMMITTED_PHASES:
            held = self.get_worker(task.worker)
            self.workers[task.worker] = held.release(task)
            moved = attrs.evolve(moved, endpoint='')
            if phase is Phase.PENDING:
                moved = attrs.evolve(moved, worker='', boot='')
        self._note(EVENTS[move], moved)
        return moved

    def _note(self, kind: EventKind, task: Task) -> None:
        self.tasks[task.id] = task
        self.events.append((kind, task, task.reason))
        self.changes.append({'event': kind.value, 'task': unstructure(task)})
