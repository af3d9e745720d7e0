"""Tracks the newest checkpoints of a worker's attempts and records them.

Load pattern: every attempt reports a checkpoint every few seconds. Writing
each of them would overload the table; writing none would lose progress when a
worker and the owner of its slice fail together.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from lentilmount.batch.drafts import Draft
from lentilmount.batch.records import Task
from lentilmount.batch.reports import AttemptKey
from lentilmount.batch.states import COMMITTED_PHASES
from lentilmount.upstream.workers import AttemptReport

RECORD_INTERVAL_SECONDS = 300.0
"""Interval at which a task's newest checkpoint is recorded in the table."""


@attrs.define
class Checkpoints:
    """The newest checkpoint of each attempt on one worker."""

    _newest: dict[AttemptKey, str] = attrs.Factory(dict)
    _interval_started_at: dict[AttemptKey, float] = attrs.Factory(dict)

    def update(self, reports: Iterable[AttemptReport]) -> None:
        """Updates the checkpoints from a worker's reports."""
        for report in reports:
            if report.checkpoint:
                self._newest[(report.task, report.attempt)] = report.checkpoint

    def get(self, key: AttemptKey) -> str:
        """Returns an attempt's newest checkpoint, or ''."""
        return self._newest.get(key, '')

    def list_due(self, committed: Iterable[Task], now: float) -> list[Task]:
        """Returns the tasks whose checkpoint should be recorded now.

        Args:
          committed: The tasks on the worker.
          now: Monotonic time.
        """
        due = []
        for task in committed:
            key = (task.id, task.attempt)
            since = self._interval_started_at.setdefault(key, now)
            is_new = self.get(key) not in ('', task.checkpoint)
            if is_new and now - since >= RECORD_INTERVAL_SECONDS:
                due.append(task)
        return due

    def record(self, draft: Draft, due: list[Task], now: float) -> None:
        """Adds the newest checkpoints of tasks to a draft until it is full."""
        for task in due:
            key = (task.id, task.attempt)
            current = draft.get_task(task.id)
            if (
                draft.is_full
                or current is None
                or current.phase not in COMMITTED_PHASES
            ):
                continue
            if current.attempt == task.attempt:
                draft.set_checkpoint(current, self._newest[key])
                self._interval_started_at[key] = now

    def discard_others(self, known: Collection[AttemptKey]) -> None:
        """Discards the checkpoints of all attempts except the given ones."""
        for kept in (self._newest, self._interval_started_at):
            for key in [key for key in kept if key not in known]:
                del kept[key]
