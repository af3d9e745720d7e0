"""Limits the write rate of a slice.

Without the limit a burst of submissions or cancellations would overload the
table and delay urgent writes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class WriteLimiter:
    """A token bucket of rows that may be written.

    Rows are counted after they were written, so the number of tokens may
    become negative; writes that are not urgent wait until it is not.

    Args:
      rows_per_second: Rate at which the bucket fills.
      burst: Capacity of the bucket in rows.
      monotonic: Clock for durations.
    """

    def __init__(
        self,
        rows_per_second: float,
        burst: float,
        monotonic: Callable[[], float],
    ):
        self._rate = rows_per_second
        self._burst = burst
        self._monotonic = monotonic
        self._tokens = burst
        self._refilled_at = monotonic()
        self._lock = asyncio.Lock()

    def spend(self, rows: int) -> None:
        """Takes tokens for rows that were written, also beyond zero."""
        self._refill()
        self._tokens -= rows

    @property
    def is_open(self) -> bool:
        """Whether writes that are not urgent may proceed now."""
        self._refill()
        return self._tokens >= 0

    async def wait(self) -> None:
        """Waits until `is_open`; callers are released in order of arrival."""
        async with self._lock:
            while not self.is_open:
                await asyncio.sleep(max(0.01, -self._tokens / self._rate))

    def _refill(self) -> None:
        now = self._monotonic()
        tokens = self._tokens + (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, tokens)
        self._refilled_at = now
