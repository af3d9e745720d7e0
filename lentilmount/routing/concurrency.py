"""Adaptive limit of concurrent requests at an upstream.

The limit is the number of requests that the upstream handles without
queueing. It follows the queue estimate of TCP Vegas (Brakmo and Peterson,
1995). The base response time rises slowly, so that a lasting change of the
service time is learned and not mistaken for a queue.
"""

from __future__ import annotations

import attrs

SMOOTHING = 0.1
DRIFT_SECONDS = 10.0
"""Time in which the base time adapts to most of a lasting change."""

QUEUEING_RATIO = 2.0
"""Ratio of response time to base time above which the limit decreases."""

DECREASE_FACTOR = 0.95
REJECTION_DECREASE_FACTOR = 0.7
MIN_LIMIT = 1.0


@attrs.define
class AdaptiveLimit:
    """Limit of this daemon's concurrent requests at one upstream.

    Attributes:
      ceiling: Upper bound of the limit.
      value: Current limit.
      smoothed_seconds: Smoothed response time, in seconds.
      base_seconds: Estimated response time without queueing, in seconds.
      updated_at: Monotonic time of the last response, in seconds.
    """

    ceiling: float
    value: float = attrs.Factory(
        lambda self: float(self.ceiling), takes_self=True
    )
    smoothed_seconds: float = 0.0
    base_seconds: float = 0.0
    updated_at: float = 0.0

    def observe(self, seconds: float, in_flight: int, now: float) -> None:
        """Adapts the limit to the time that a response took."""
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
        """Lowers the limit after the upstream refused a request as busy."""
        self.value = max(MIN_LIMIT, self.value * REJECTION_DECREASE_FACTOR)
