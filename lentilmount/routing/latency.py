"""How long an upstream takes at a given load, as learned from two sources.

This daemon's own answers are recent, but few for each upstream. The workers'
reports cover every caller and lag. Both are kept by load band, so that an
upstream which other work disturbs only when it is loaded is known as such,
and is avoided before its slots fill up.
"""

from __future__ import annotations

BANDS = 4
SMOOTHING = 0.15
REPORT_SMOOTHING = 0.3
TAIL_FACTOR = 1.8
"""Reported p99 over the mean, for a service with a common spread."""

REPORT_HALF_WEIGHT_SECONDS = 10.0
"""Age at which a report counts for half."""


FRESH_SECONDS = 2.0
"""Age of the last answer or report from which it counts less and less."""


def get_load_band(load: float) -> int:
    """Returns the band of a share of slots in use."""
    return max(0, min(BANDS - 1, int(load * BANDS)))


class LatencyModel:
    """Mean time by load band of one upstream, in seconds."""

    __slots__ = ('_updated_at', '_means')

    def __init__(self) -> None:
        self._means = [0.0] * BANDS
        self._updated_at = 0.0

    def observe(self, load: float, seconds: float, now: float) -> None:
        """Takes in an answer of this daemon's own."""
        self._blend(get_load_band(load), seconds, SMOOTHING, now)

    def observe_report(
        self, load: float, p99: float, age: float, now: float
    ) -> None:
        """Takes in a worker's measurement, the older the less."""
        weight = REPORT_SMOOTHING / (1.0 + age / REPORT_HALF_WEIGHT_SECONDS)
        self._blend(get_load_band(load), p99 / TAIL_FACTOR, weight, now)

    def _blend(
        self, band: int, seconds: float, weight: float, now: float
    ) -> None:
        known = self._means[band]
        if known:
            seconds = known + (seconds - known) * weight
        self._means[band] = seconds
        self._updated_at = now

    def estimate(
        self, load: float, default_seconds: float, now: float
    ) -> float:
        """Returns the expected seconds of an answer.

        What was learned long ago fades towards `default_seconds`: an upstream
        that was slow would otherwise never be tried, nor found to be well
        again.

        Args:
          load: Share of the slots in use, the new request included; above 1
            the request waits for a slot.
          default_seconds: What to expect where nothing is known.
          now: Monotonic time.
        """
        means = self._means
        band = get_load_band(load)
        mean = means[band]
        if not mean:
            mean = self._find_nearest(band) or default_seconds
        age = now - self._updated_at
        if age > FRESH_SECONDS:
            mean = (
                default_seconds + (mean - default_seconds) * FRESH_SECONDS / age
            )
        return mean * load if load > 1.0 else mean

    def _find_nearest(self, band: int) -> float:
        for distance in range(1, BANDS):
            for near in (band - distance, band + distance):
                if 0 <= near < BANDS and self._means[near]:
                    return self._means[near]
        return 0.0

    def forget(self) -> None:
        """Drops everything, for an upstream that comes back."""
        self._means = [0.0] * BANDS
