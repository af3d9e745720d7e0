"""What the owner of a slice has of a worker's last report."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from lentilmount.batch.records import Task
from lentilmount.resources import Phase
from lentilmount.upstream.workers import (
    AttemptReport,
    AttemptState,
    Command,
    SyncAnswer,
    SyncRequest,
)


class WorkerState:
    """A worker's attempts and measurements, as of its last answers.

    A worker leaves out of its answer what has not changed, and renews all of
    its attempts at one word: at full size, a call that named each attempt
    both ways took most of a daemon's processor time and bytes.

    Args:
      usage_seconds: Between two readings of the worker's measurements.
    """

    def __init__(self, usage_seconds: float):
        self._usage_seconds = usage_seconds
        self._boot = ''
        self._reports: tuple[AttemptReport, ...] = ()
        self._version = 0
        self._saves = 0
        self._usage_at = float('-inf')
        self._usage_version = 0
        self._steady: tuple[int, int, str] | None = None

    def add_omitted_attempts(self, answer: SyncAnswer) -> SyncAnswer:
        """Returns an answer with the attempts that it left out."""
        seen = (self._boot, self._version, self._saves)
        if seen == (answer.boot, answer.version, answer.saves):
            return attrs.evolve(answer, attempts=self._reports)
        self._boot = answer.boot
        self._version = answer.version
        self._saves = answer.saves
        self._reports = answer.attempts
        return answer

    def record_usage_read(self, now: float) -> None:
        """Takes note that measurements were read."""
        self._usage_at = now
        self._usage_version = self._version

    def make_request(
        self,
        scope: str,
        epoch: int,
        commands: tuple[Command, ...],
        renew_until: float,
        now: float,
    ) -> SyncRequest:
        """Builds a request that asks for what is not known."""
        usage_due = now >= self._usage_at + self._usage_seconds
        return SyncRequest(
            scope,
            epoch,
            self._boot,
            commands,
            self._version,
            self._saves,
            renew_until,
            usage_due or self._usage_version != self._version,
        )

    def is_steady(self, held: Sequence[Task], generation: int) -> bool:
        """Tells whether the worker runs just what the ledger has running.

        Then one renewal of everything says all there is to say. The worker
        obeys it only while its attempts are those of its last report, so it
        cannot reach one that a delayed start added, or one that the ledger
        has given up since.

        Args:
          held: The tasks that the ledger has on the worker.
          generation: Of the ledger; nothing is looked at twice.
        """
        state = (generation, self._version, self._boot)
        if self._steady != state and self._is_same(held):
            self._steady = state
        return self._steady == state

    def _is_same(self, held: Sequence[Task]) -> bool:
        reported = {
            (report.task, report.attempt)
            for report in self._reports
            if report.state is AttemptState.RUNNING
        }
        running = {
            (task.id, task.attempt)
            for task in held
            if task.phase is Phase.RUNNING and task.boot == self._boot
        }
        whole = len(reported) == len(self._reports) == len(held)
        return bool(self._version) and whole and reported == running
