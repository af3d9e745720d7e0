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

QUEUEING_RATIO = 2.0
"""Ratio of time to floor above which the limit goes down."""

DECREASE_FACTOR = 0.95
REJECTION_DECREASE_FACTOR = 0.7
MIN_LIMIT = 1.0


@attrs.define
class AdaptiveLimit:
    """The limit of one upstream on this daemon.

    Attributes:
      ceiling: Most that it can become.
      value: The limit now.
      smoothed_seconds: Smoothed time of its answers, in seconds.
      base_seconds: The time that it takes when nothing queues, in seconds.
      updated_at: Monotonic time of the last answer.
    """

    ceiling: float
    value: float = attrs.Factory(
        lambda self: float(self.ceiling), takes_self=True
    )
    smoothed_seconds: float = 0.0
    base_seconds: float = 0.0
    updated_at: float = 0.0

    def observe(self, seconds: float, in_flight: int, now: float) -> None:
        """Takes in an answer that took some time."""
        if not self.base_seconds:
            self.smoothed_seconds = self.base_seconds = seconds
        self.smoothed_seconds += (seconds - self.smoothed_seconds) * SMOOTHING
        if self.smoothed_seconds < self.base_seconds:
            self.base_seconds = self.smoothed_seconds
        else:
            elapsed = min(1.0, max(0.0, now - self.updated_at) / DRIFT_SECONDS)
            self.base_seconds += (
                self.smoothed_seconds - self.base_seconds
            ) * elapsed
        self.updated_at = now
        if self.smoothed_seconds > self.base_seconds * QUEUEING_RATIO:
            self.value = max(MIN_LIMIT, self.value * DECREASE_FACTOR)
        elif in_flight >= int(self.value):
            self.value = min(self.ceiling, self.value + 1.0 / self.value)

    def reduce_after_rejection(self) -> None:
        """Takes note that the upstream refused for want of room."""
        self.value = max(MIN_LIMIT, self.value * REJECTION_DECREASE_FACTOR)
