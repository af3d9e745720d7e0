"""Mean lag of the event loop, by which an owner sees that it is busy."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

SAMPLE_SECONDS = 0.05
"""Time between two measurements."""

SAMPLE_WEIGHT = 0.1
"""Weight of a measurement in the mean, which follows within half a second."""


@attrs.define(eq=False)
class LoopLag:
    """Mean of how late timers of the event loop fire.

    Attributes:
      monotonic: Returns monotonic time in seconds.
      seconds: The mean, in seconds.
    """

    monotonic: Callable[[], float]
    seconds: float = 0.0

    async def watch(self) -> None:
        """Measures the lag until it is cancelled."""
        while True:
            due = self.monotonic() + SAMPLE_SECONDS
            await asyncio.sleep(SAMPLE_SECONDS)
            self.add(self.monotonic() - due)

    def add(self, seconds: float) -> None:
        """Adds a measurement."""
        self.seconds += SAMPLE_WEIGHT * (max(0.0, seconds) - self.seconds)
