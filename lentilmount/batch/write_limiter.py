"""A limit on how fast a slice writes, so that a wave is not a write storm."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class WriteLimiter:
    """A token bucket of rows that may be written.

    Rows are counted after they were written, so the bucket goes into debt;
    who is not urgent waits until the debt is paid.

    Args:
      rows_per_second: How fast the bucket fills.
      burst: Most rows that are saved up.
      monotonic: The clock for durations.
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
        self._rows = burst
        self._refilled_at = monotonic()
        self._turn = asyncio.Lock()

    def spend(self, rows: int) -> None:
        """Counts rows that were written."""
        self._refill()
        self._rows -= rows

    @property
    def is_open(self) -> bool:
        """Whether something that is not urgent may be written now."""
        self._refill()
        return self._rows >= 0

    async def wait(self) -> None:
        """Waits until `is_open`, in the order of the calls."""
        async with self._turn:
            while not self.is_open:
                await asyncio.sleep(max(0.01, -self._rows / self._rate))

    def _refill(self) -> None:
        now = self._monotonic()
        grown = self._rows + (now - self._refilled_at) * self._rate
        self._rows = min(self._burst, grown)
        self._refilled_at = now
