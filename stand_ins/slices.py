"""A slice's rows in memory, for driving the policy without a table."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs

from lentilmount.batch.drafts import Draft
from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.resources import FINAL_PHASES, Room
from lentilmount.upstream.workers import Command, Usage


@attrs.define
class MemorySlice:
    """The `ObservedRows` protocol, with drafts that apply at once."""

    tasks: dict[str, Task] = attrs.Factory(dict)
    workers: dict[str, WorkerRecord] = attrs.Factory(dict)
    observers: list[Callable[[Task], None]] = attrs.Factory(list)

    def add_workers(
        self, capacities: Iterable[Room], per_rack: int = 8, zone: str = 'a'
    ) -> None:
        """Adds workers, named in order, with so many to a rack."""
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
        """Takes over what a draft changes."""
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
class MemoryLink:
    """The `PolicySession` protocol: keeps what it was sent.

    Attributes:
      name: The worker.
      reachable: Whether the last call was answered.
      usage: What the worker last reported.
      sent: Commands so far.
      wakes: How often it was woken.
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
