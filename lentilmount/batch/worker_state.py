"""Keeps an owner's last known state of a worker, to shorten sync calls."""

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
    """A worker's attempts as of its last answers.

    A worker omits unchanged attempts from its answers and renews all its
    attempts on a single field of the request: at full scale, calls that named
    each attempt in both directions took most of a daemon's processor time and
    bandwidth.

    Args:
      usage_seconds: Interval between two readings of measurements.
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
        """Returns an answer with the attempts that it omitted.

        Args:
          answer: The worker's answer.
        """
        seen = (self._boot, self._version, self._saves)
        if seen == (answer.boot, answer.version, answer.saves):
            return attrs.evolve(answer, attempts=self._reports)
        self._boot = answer.boot
        self._version = answer.version
        self._saves = answer.saves
        self._reports = answer.attempts
        return answer

    def record_usage_read(self, now: float) -> None:
        """Records that measurements were read."""
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
        """Returns a request for everything that changed since the last answer.

        Args:
          scope: Name of the slice.
          epoch: Epoch of the slice's lease.
          commands: Commands to send.
          renew_until: End of the renewed leases on the worker's clock, or 0 to
            renew none.
          now: Monotonic time.
        """
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

    def is_steady(self, committed: Sequence[Task], generation: int) -> bool:
        """Returns whether the worker runs exactly the committed attempts.

        Then one renewal of all attempts suffices. The worker applies it only
        while its attempts are those of its last report, so it cannot renew an
        attempt that a delayed start added or that was given up since.

        Args:
          committed: The tasks committed on the worker.
          generation: Generation of the ledger, to skip repeated comparisons.
        """
        state = (generation, self._version, self._boot)
        if self._steady != state and self._matches(committed):
            self._steady = state
        return self._steady == state

    def _matches(self, committed: Sequence[Task]) -> bool:
        reported = {
            (report.task, report.attempt)
            for report in self._reports
            if report.state is AttemptState.RUNNING
        }
        running = {
            (task.id, task.attempt)
            for task in committed
            if task.phase is Phase.RUNNING and task.boot == self._boot
        }
        all_running = len(reported) == len(self._reports) == len(committed)
        return bool(self._version) and all_running and reported == running
