"""A slice's rows in memory, to run the policy without a table."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from lentilmount.batch.drafts import Draft
from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.resources import FINAL_PHASES, Room
from lentilmount.upstream.workers import Command, Usage


@attrs.define
class MemorySlice:
    """An implementation of `ObservedRows` that applies drafts at once.

    Attributes:
      tasks: Tasks that have not ended, by id.
      workers: Worker records, by name.
      observers: Called with each task that a draft changes.
    """

    tasks: dict[str, Task] = attrs.Factory(dict)
    workers: dict[str, WorkerRecord] = attrs.Factory(dict)
    observers: list[Callable[[Task], None]] = attrs.Factory(list)

    def add_workers(
        self, capacities: Iterable[Room], per_rack: int = 8, zone: str = 'a'
    ) -> None:
        """Adds a worker per capacity, `per_rack` of them in each rack."""
        for capacity in capacities:
            number = len(self.workers)
            name = f'{zone}-{number:04d}'
            self.workers[name] = WorkerRecord(
                name,
                name,
                zone,
                f'{zone}-r{number // per_rack}',
                boot='boot',
                capacity=capacity,
            )

    def begin(self) -> Draft:
        """Returns an empty draft."""
        return Draft(self)

    def apply(self, draft: Draft) -> None:
        """Applies a draft and calls the observers."""
        self.workers.update(draft.workers)
        for task in draft.tasks.values():
            if task.phase in FINAL_PHASES:
                self.tasks.pop(task.id, None)
            else:
                self.tasks[task.id] = task
            for observe in self.observers:
                observe(task)

    def admit(self, *tasks: Task) -> None:
        """Adds pending tasks."""
        draft = self.begin()
        for task in tasks:
            draft.admit(task)
        self.apply(draft)


@attrs.define(eq=False)
class MemorySession:
    """An implementation of `PolicySession` that keeps the sent commands.

    Attributes:
      name: Name of the worker.
      reachable: Whether the last call was answered.
      usage: Usage that the worker reported last.
      sent: Commands sent so far.
      wakes: Number of calls of `wake`.
    """

    name: str
    reachable: bool = True
    usage: tuple[Usage, ...] = ()
    sent: list[Command] = attrs.Factory(list)
    wakes: int = 0

    def send(self, command: Command) -> None:
        """See `PolicySession`."""
        self.sent.append(command)

    def wake(self) -> None:
        """See `PolicySession`."""
        self.wakes += 1
