"""Recent response times of a service.

Their high quantile is the delay after which a hedge, a second copy of a slow
idempotent request, is sent (Dean and Barroso, "The Tail at Scale", 2013).
"""

from __future__ import annotations

import collections

QUANTILE = 0.95
MAX_SAMPLES = 512
SORT_INTERVAL = 64
MIN_SAMPLES = 64


class ResponseTimes:
    """Quantiles of a service's recent response times.

    Attributes:
      median: Median in seconds; 0 before the first response.
      high_quantile: High quantile in seconds; 0 until there are enough samples.
    """

    def __init__(self) -> None:
        self.median = 0.0
        self.high_quantile = 0.0
        self._times: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )
        self._unsorted = 0

    def add(self, seconds: float) -> None:
        """Adds one response time; updates the quantiles at intervals."""
        self._times.append(seconds)
        self._unsorted += 1
        if self._unsorted >= min(SORT_INTERVAL, len(self._times)):
            self._sort()

    def _sort(self) -> None:
        self._unsorted = 0
        times = sorted(self._times)
        self.median = times[len(times) // 2]
        if len(times) >= MIN_SAMPLES:
            self.high_quantile = times[int(len(times) * QUANTILE)]
