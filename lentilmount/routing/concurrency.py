"""How many requests at once an upstream takes without queueing.

Source: the queue estimate of TCP Vegas (Brakmo and Peterson, 1995), with a
floor that rises slowly, so that service times which drift are learned anew
instead of being taken for a queue.
"""

from __future__ import annotations

import attrs

SMOOTHING = 0.1
DRIFT_SECONDS = 10.0
"""Time in which the floor takes in most of a lasting change."""

CROWDED = 2.0
"""Ratio of time to floor above which the limit goes down."""

STEP_DOWN = 0.95
BUSY_STEP_DOWN = 0.7
LEAST = 1.0


@attrs.define
class AdaptiveLimit:
    """The limit of one upstream on this daemon.

    Attributes:
      ceiling: Most that it can become.
      value: The limit now.
      recent: Smoothed time of its answers, in seconds.
      floor: The time that it takes when nothing queues, in seconds.
      at: Monotonic time of the last answer.
    """

    ceiling: float
    value: float = attrs.Factory(
        lambda self: float(self.ceiling), takes_self=True
    )
    recent: float = 0.0
    floor: float = 0.0
    at: float = 0.0

    def observe(self, seconds: float, in_flight: int, now: float) -> None:
        """Takes in an answer that took some time."""
        if not self.floor:
            self.recent = self.floor = seconds
        self.recent += (seconds - self.recent) * SMOOTHING
        if self.recent < self.floor:
            self.floor = self.recent
        else:
            passed = min(1.0, max(0.0, now - self.at) / DRIFT_SECONDS)
            self.floor += (self.recent - self.floor) * passed
        self.at = now
        if self.recent > self.floor * CROWDED:
            self.value = max(LEAST, self.value * STEP_DOWN)
        elif in_flight >= int(self.value):
            self.value = min(self.ceiling, self.value + 1.0 / self.value)

    def reduce_after_rejection(self) -> None:
        """Takes note that the upstream refused for want of room."""
        self.value = max(LEAST, self.value * BUSY_STEP_DOWN)
