"""Times at which callers who were refused are asked to come back.

Load pattern: while there is no room, or the table is away, hundreds of callers
are refused. Asked to come back after the same time, they come back together,
and most of them are refused again. Each gets a turn of its own instead, those
who were refused first the first ones.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

MIN_SECONDS = 1.0
"""Shortest time, as the header has whole seconds."""


@attrs.define
class RetrySchedule:
    """Schedules the return of callers, in one sequence for each name.

    Attributes:
      monotonic: Returns monotonic time in seconds.
      max_seconds: Longest time that a caller is asked to stay away.
    """

    monotonic: Callable[[], float]
    max_seconds: float
    _next: dict[str, float] = attrs.Factory(dict)

    def add(
        self, name: str, delay: float, turn: float, limit: float = math.inf
    ) -> float:
        """Returns after how many whole seconds a caller should come back.

        Args:
          name: Name of the sequence, such as that of a queue.
          delay: Seconds until the first caller can be served.
          turn: Seconds that this caller takes before the next one.
          limit: Seconds after which coming back is of no use to this caller.
        """
        now = self.monotonic()
        self._next = {n: at for n, at in self._next.items() if at > now}
        longest = max(MIN_SECONDS, min(limit, self.max_seconds))
        booked = self._next.get(name, now)
        begin = max(now + max(MIN_SECONDS, delay), booked)
        begin = min(begin, now + longest)
        self._next[name] = min(
            max(booked, begin + turn), now + self.max_seconds
        )
        return max(MIN_SECONDS, float(round(begin - now)))
