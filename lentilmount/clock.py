"""Clocks: durations on the monotonic clock, order by hybrid logical time."""

from __future__ import annotations

import time
from typing import Protocol

import attrs


class Clock(Protocol):
    """Where a part reads the time, so that tests can set it."""

    def monotonic(self) -> float:
        """Returns seconds for durations; never goes back."""

    def wall(self) -> float:
        """Returns seconds since the epoch; may jump."""


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
    """A clock that moves only when told to."""

    now: float = 1000.0

    def monotonic(self) -> float:
        """See `Clock`."""
        return self.now

    def wall(self) -> float:
        """See `Clock`."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Moves the clock on."""
        self.now += seconds


@attrs.frozen(order=True)
class Stamp:
    """A hybrid logical time: wall milliseconds, then a counter."""

    millis: int
    counter: int


@attrs.define
class HybridClock:
    """Gives stamps that order causes before effects across daemons.

    Source: Kulkarni et al., "Logical Physical Clocks", 2014.
    """

    clock: Clock
    last: Stamp = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Returns a stamp later than every one given or seen."""
        millis = int(self.clock.wall() * 1000)
        if millis > self.last.millis:
            self.last = Stamp(millis, 0)
        else:
            self.last = Stamp(self.last.millis, self.last.counter + 1)
        return self.last

    def observe(self, seen: Stamp) -> None:
        """Takes note of another daemon's stamp."""
        self.last = max(self.last, seen)
