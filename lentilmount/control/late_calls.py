"""Calls to a worker that a later incarnation of it may still execute."""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from lentilmount.scheduling.reports import StaleRun

LATE_START_SECONDS = 30.0
"""Time after which an unanswered start is assumed never to be executed."""

LATE_LEASE_SECONDS = 12.0
"""Time after which an unanswered call is assumed to renew no leases. Shorter,
as the tasks of a worker that is lost after a restart wait for it."""


@attrs.define(eq=False)
class LateCalls:
    """The calls to one worker that had no answer and may be executed late.

    A deadline is a time on the clock of the incarnation that it was meant for.
    A later incarnation, whose clock starts anew, takes it for the longest
    lease, also from a start that it rejects.

    Attributes:
      monotonic: Returns monotonic time in seconds.
    """

    monotonic: Callable[[], float]
    _starts: dict[StaleRun, float] = attrs.Factory(dict)
    _renewal_sent_at: float = -math.inf

    def add_start(self, start: StaleRun) -> None:
        """Records that a start is about to be sent."""
        self._forget_starts()
        self._starts[start] = self.monotonic()

    def settle_start(self, start: StaleRun) -> None:
        """Records that no copy of a start can be executed later."""
        self._starts.pop(start, None)

    def list_starts(self) -> list[StaleRun]:
        """Lists the starts that may still be executed."""
        self._forget_starts()
        return list(self._starts)

    def _forget_starts(self) -> None:
        since = self.monotonic() - LATE_START_SECONDS
        self._starts = {
            start: sent_at
            for start, sent_at in self._starts.items()
            if sent_at >= since
        }

    def add_renewal(self, sent_at: float) -> None:
        """Records that a poll that renews leases has had no answer.

        Args:
          sent_at: Monotonic time in seconds at which it was sent.
        """
        self._renewal_sent_at = max(self._renewal_sent_at, sent_at)

    def get_lease_delay(self) -> float:
        """Returns for how long a call may still renew leases.

        Returns:
          Seconds, 0 if there is no such call.
        """
        newest = max(self._starts.values(), default=-math.inf)
        until = max(newest, self._renewal_sent_at) + LATE_LEASE_SECONDS
        return max(0.0, until - self.monotonic())
