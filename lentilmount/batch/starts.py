"""Tells which attempts may have crashed their worker.

A task that crashes each worker that starts it does so soon after the start. A
worker that crashes takes innocent attempts along; those that it had reported
for some time before are not to blame.
"""

from __future__ import annotations

import collections
from collections.abc import Collection, Iterable

import attrs

from lentilmount.batch.crashes import Survival
from lentilmount.batch.records import Task
from lentilmount.batch.reports import AttemptKey
from lentilmount.resources import Phase
from lentilmount.upstream.workers import (
    Action,
    AttemptReport,
    AttemptState,
    Command,
    Outcome,
)

SURVIVAL_SECONDS = 1.0
"""Time after which an attempt that is still reported is not to blame."""

_NOT_STARTED = frozenset({Outcome.LATE, Outcome.FENCED, Outcome.REFUSED})
"""Outcomes of a start command that had no effect."""


@attrs.define
class Starts:
    """The starts of attempts on one worker, and what it reported since.

    A new owner does not know when a previous one started an attempt. It blames
    only those that were still starting.
    """

    # Number of start commands that may have had an effect.
    _sent: collections.Counter[AttemptKey] = attrs.Factory(collections.Counter)
    # Monotonic times of the first and the last report that it runs.
    _first_seen: dict[AttemptKey, float] = attrs.Factory(dict)
    _last_seen: dict[AttemptKey, float] = attrs.Factory(dict)

    def record_inherited(self, tasks: Iterable[Task]) -> None:
        """Records the starts that a previous owner may have sent."""
        for task in tasks:
            if task.phase is Phase.STARTING:
                self._sent[task.id, task.attempt] += 1

    def record_sent(self, commands: Iterable[Command]) -> None:
        """Records the commands of a request."""
        for command in commands:
            if command.action is Action.START:
                self._sent[command.task, command.attempt] += 1

    def record_outcomes(
        self, commands: Iterable[Command], outcomes: Iterable[Outcome]
    ) -> None:
        """Records the outcomes of the commands of a request."""
        for command, outcome in zip(commands, outcomes, strict=False):
            if command.action is Action.START and outcome in _NOT_STARTED:
                self._sent[command.task, command.attempt] -= 1

    def record_reports(
        self, reports: Iterable[AttemptReport], now: float
    ) -> None:
        """Records which attempts the worker reports as running."""
        for report in reports:
            if report.state is AttemptState.RUNNING:
                key = (report.task, report.attempt)
                self._first_seen.setdefault(key, now)
                self._last_seen[key] = now

    def judge(self, key: AttemptKey, is_worker_lost: bool) -> Survival:
        """Returns whether the worker survived the start of an attempt.

        Args:
          key: The attempt, which has ended.
          is_worker_lost: Whether it ended because the worker restarted or is
            not reachable.
        """
        if key in self._first_seen:
            seconds = self._last_seen[key] - self._first_seen[key]
            if seconds >= SURVIVAL_SECONDS:
                return Survival.SURVIVED
        if is_worker_lost and self._sent[key] > 0:
            return Survival.CRASHED
        return Survival.UNKNOWN

    def discard_others(self, known: Collection[AttemptKey]) -> None:
        """Discards all attempts except the given ones."""
        for kept in (self._sent, self._first_seen, self._last_seen):
            for key in [key for key in kept if key not in known]:
                del kept[key]
