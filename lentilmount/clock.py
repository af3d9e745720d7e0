"""Monotonic and wall clocks, and a hybrid logical clock to order events."""

from __future__ import annotations

import time
from typing import Protocol

import attrs


class Clock(Protocol):
    """Source of the time; tests replace it by `ManualClock`."""

    def monotonic(self) -> float:
        """Returns monotonic time in seconds, for durations."""

    def wall(self) -> float:
        """Returns Unix time in seconds; may jump."""


class SystemClock:
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """See `Clock`."""
        return time.monotonic()

    def wall(self) -> float:
        """See `Clock`."""
        return time.time()


@attrs.define
class ManualClock:
    """A clock that advances only when a test advances it."""

    now: float = 1000.0

    def monotonic(self) -> float:
        """See `Clock`."""
        return self.now

    def wall(self) -> float:
        """See `Clock`."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Advances the clock."""
        self.now += seconds


@attrs.frozen(order=True)
class Stamp:
    """A hybrid logical timestamp: Unix milliseconds, then a counter."""

    millis: int
    counter: int


@attrs.define
class HybridClock:
    """Issues timestamps that order causes before effects across daemons.

    Source: Kulkarni et al., "Logical Physical Clocks", 2014.
    """

    clock: Clock
    last: Stamp = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Returns a timestamp later than every one issued or observed."""
        millis = int(self.clock.wall() * 1000)
        if millis > self.last.millis:
            self.last = Stamp(millis, 0)
        else:
            self.last = Stamp(self.last.millis, self.last.counter + 1)
        return self.last

    def observe(self, seen: Stamp) -> None:
        """Records another daemon's timestamp, so later ones follow it."""
        self.last = max(self.last, seen)
