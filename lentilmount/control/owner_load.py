"""Measures whether an owner's host is busy with its own calls.

Load pattern: one owner calls hundreds of workers. While its link and processor
carry that easily, direct calls are the fastest; beyond that they queue up.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from lentilmount.control.loop_lag import LoopLag

MEASURED_SECONDS = 1.0
"""Time constant of the measured average."""

BUSY_LINK_SHARE = 0.25
"""Share of the link from which starts alone make the host busy: polls, state
rows and the list of workers take about as much again, and starts come in
bursts."""

BUSY_LAG_SECONDS = 0.02
"""Mean lag of the event loop from which the processor is busy. It is a few
milliseconds at most on a host that is not."""


@attrs.define
class OwnerLoad:
    """Load that the starts of an owner put on its host.

    Attributes:
      link_bytes_per_second: Rate of the host's network link.
      monotonic: Returns monotonic time in seconds.
      lag: Lag of the event loop.
    """

    link_bytes_per_second: float
    monotonic: Callable[[], float]
    lag: LoopLag
    _bytes_per_second: float = 0.0
    _measured_at: float = -math.inf

    def record(self, start_bytes: int) -> None:
        """Records starts that are due.

        Args:
          start_bytes: Bytes that they take if each is sent directly.
        """
        now = self.monotonic()
        kept = math.exp((self._measured_at - now) / MEASURED_SECONDS)
        self._measured_at = now
        self._bytes_per_second *= kept
        self._bytes_per_second += start_bytes / MEASURED_SECONDS

    @property
    def is_busy(self) -> bool:
        """Whether the host can hardly send more starts."""
        max_bytes = BUSY_LINK_SHARE * self.link_bytes_per_second
        return (
            self._bytes_per_second > max_bytes
            or self.lag.seconds > BUSY_LAG_SECONDS
        )
