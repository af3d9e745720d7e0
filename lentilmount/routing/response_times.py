"""When a second copy of a slow idempotent request is worth sending.

Source: Dean and Barroso, "The Tail at Scale", 2013.
"""

from __future__ import annotations

import collections

QUANTILE = 0.95
KEPT = 512
SORT_EVERY = 64
LEAST_SAMPLES = 64


class ResponseTimes:
    """The times of a service's recent answers.

    Attributes:
      typical: Their median in seconds; 0 before there is one.
      high: Their high quantile in seconds; 0 before there are enough.
    """

    def __init__(self) -> None:
        self.typical = 0.0
        self.high = 0.0
        self._times: collections.deque[float] = collections.deque(maxlen=KEPT)
        self._unsorted = 0

    def add(self, seconds: float) -> None:
        """Takes in one answer; sorts only now and then."""
        self._times.append(seconds)
        self._unsorted += 1
        if self._unsorted >= min(SORT_EVERY, len(self._times)):
            self._sort()

    def _sort(self) -> None:
        self._unsorted = 0
        times = sorted(self._times)
        self.typical = times[len(times) // 2]
        if len(times) >= LEAST_SAMPLES:
            self.high = times[int(len(times) * QUANTILE)]
