"""The newest checkpoints that a worker reported, and which are recorded.

Load pattern: every attempt reports a checkpoint every few seconds. Written at
each report they would be a storm of writes; never written, progress is lost
when a worker and the owner of its slice are lost together.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

import attrs

from lentilmount.batch.drafts import Draft
from lentilmount.batch.records import Task
from lentilmount.batch.reports import AttemptKey
from lentilmount.batch.states import COMMITTED_PHASES
from lentilmount.upstream.workers import AttemptReport

NOTE_CHECKPOINT_SECONDS = 300.0
"""How often a task's newest checkpoint is recorded in the table."""


@attrs.define
class Checkpoints:
    """Knows the newest checkpoint of each attempt on one worker."""

    _newest: dict[AttemptKey, str] = attrs.Factory(dict)
    _noted: dict[AttemptKey, float] = attrs.Factory(dict)

    def update(self, reports: Iterable[AttemptReport]) -> None:
        """Takes in what a worker reported."""
        for report in reports:
            if report.checkpoint:
                self._newest[(report.task, report.attempt)] = report.checkpoint

    def get(self, key: AttemptKey) -> str:
        """Returns an attempt's newest checkpoint, or ''."""
        return self._newest.get(key, '')

    def list_due(self, held: Iterable[Task], now: float) -> list[Task]:
        """Lists the tasks whose checkpoint is to be recorded now.

        Args:
          held: The tasks on the worker.
          now: Monotonic time.
        """
        due = []
        for task in held:
            key = (task.id, task.attempt)
            since = self._noted.setdefault(key, now)
            is_new = self.get(key) not in ('', task.checkpoint)
            if is_new and now - since >= NOTE_CHECKPOINT_SECONDS:
                due.append(task)
        return due

    def record(self, draft: Draft, due: list[Task], now: float) -> None:
        """Records the newest checkpoints of tasks, as far as they fit."""
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
                self._noted[key] = now

    def discard_others(self, known: Collection[AttemptKey]) -> None:
        """Forgets all attempts but these."""
        for kept in (self._newest, self._noted):
            for key in [key for key in kept if key not in known]:
                del kept[key]
