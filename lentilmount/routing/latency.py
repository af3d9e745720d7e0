"""Estimates the response time of an upstream at a given load.

The estimate combines two sources. Responses that this daemon received are
recent, but few for each upstream. Reports of workers cover all callers, but
lag. Both are recorded by load band, so that an upstream which suffers from
interference only under load is recognised and avoided before its slots are
all in use.
"""

from __future__ import annotations

BANDS = 4
SMOOTHING = 0.15
REPORT_SMOOTHING = 0.3
TAIL_FACTOR = 1.8
"""Assumed ratio of the reported p99 to the mean response time."""

REPORT_HALF_WEIGHT_SECONDS = 10.0
"""Age at which a report has half the weight of a new one, in seconds."""


FRESH_SECONDS = 2.0
"""Age of the last response or report above which estimates lose weight."""


def get_load_band(load: float) -> int:
    """Returns the index of the load band of a share of slots in use."""
    return max(0, min(BANDS - 1, int(load * BANDS)))


class LatencyModel:
    """Mean response time of one upstream by load band, in seconds."""

    __slots__ = ('_updated_at', '_means')

    def __init__(self) -> None:
        self._means = [0.0] * BANDS
        self._updated_at = 0.0

    def observe(self, load: float, seconds: float, now: float) -> None:
        """Records the time of a response that this daemon received."""
        self._blend(get_load_band(load), seconds, SMOOTHING, now)

    def observe_report(
        self, load: float, p99: float, age: float, now: float
    ) -> None:
        """Records a worker's measurement, with less weight the older it is."""
        weight = REPORT_SMOOTHING / (1.0 + age / REPORT_HALF_WEIGHT_SECONDS)
        self._blend(get_load_band(load), p99 / TAIL_FACTOR, weight, now)

    def _blend(
        self, band: int, seconds: float, weight: float, now: float
    ) -> None:
        measured = self._means[band]
        if measured:
            seconds = measured + (seconds - measured) * weight
        self._means[band] = seconds
        self._updated_at = now

    def estimate(
        self, load: float, default_seconds: float, now: float
    ) -> float:
        """Returns the expected response time in seconds.

        Old estimates decay towards `default_seconds`. Otherwise an upstream
        that was slow would get no requests and never be seen to recover.

        Args:
          load: Share of the slots in use, including the new request; above 1
            the request waits for a slot.
          default_seconds: Expected time where nothing was measured, in seconds.
          now: Monotonic time in seconds.
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
            for neighbour in (band - distance, band + distance):
                if 0 <= neighbour < BANDS and self._means[neighbour]:
                    return self._means[neighbour]
        return 0.0

    def forget(self) -> None:
        """Discards all measurements, when an upstream returns."""
        self._means = [0.0] * BANDS
