"""Ages of rows, from the versions and the steady clock of the table service.

The time of day of hosts may differ by any amount, so the age of a row that
another host wrote cannot be told from a time that it put there. The service
numbers its transactions, and each answer tells the newest number and the
service's own steady clock. An answer that knows a row's version shows that the
row is at least as old as the answer; one that does not know it shows that the
row is younger.
"""

from __future__ import annotations

import bisect
import collections
import itertools
import math
from collections.abc import Callable, Iterable, Sequence

import attrs

SAMPLE_SECONDS = 0.5
"""Shortest interval between two samples that are kept."""

MAX_SAMPLES = 600
"""Number of samples kept: five minutes of them or more. Older rows are known to
be at least that old."""

EXPORT_SECONDS = 5.0
"""Interval between exported samples: an owner writes them every few seconds."""

MAX_EXPORTED = 60
"""Number of exported samples, which cover five minutes in about 1 KB."""

Sample = tuple[int, float]
"""A version of the store, and the service's steady clock in seconds at a moment
when it was the newest one."""


@attrs.frozen
class AgeBounds:
    """Bounds of the age of a row, in seconds."""

    least: float = 0.0
    most: float = math.inf

    def clamp(self, age: float) -> float:
        """Returns the age within the bounds that is closest to another one."""
        return min(max(age, self.least), self.most)


@attrs.define
class VersionTimes:
    """Times at which versions of the store were the newest ones.

    Attributes:
      monotonic: Returns monotonic time in seconds.
    """

    monotonic: Callable[[], float]
    _samples: collections.deque[Sample] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_SAMPLES)
    )
    _newest: Sample = (0, -math.inf)
    _clock_offset: float = math.nan

    def record(self, version: int, store_seconds: float) -> None:
        """Records what an answer of the service tells.

        Args:
          version: The newest version of the store.
          store_seconds: The service's steady clock.
        """
        if version < self._newest[0] or store_seconds < self._newest[1]:
            # Answers on different connections may overtake each other.
            return
        self._newest = (version, store_seconds)
        self._clock_offset = store_seconds - self.monotonic()
        last = self._samples[-1][1] if self._samples else -math.inf
        if store_seconds - last >= SAMPLE_SECONDS:
            self._samples.append(self._newest)

    def bound_age(self, version: int) -> AgeBounds:
        """Returns what is known about the age of a row with a version."""
        return self.bound_ages([version])[version]

    def bound_ages(self, versions: Iterable[int]) -> dict[int, AgeBounds]:
        """Returns what is known about the ages of rows with some versions."""
        if math.isnan(self._clock_offset):
            return dict.fromkeys(versions, AgeBounds())
        now = self.monotonic() + self._clock_offset
        samples = [*self._samples, self._newest]
        return {v: _bound_age(v, samples, now) for v in versions}

    def export(self) -> list[Sample]:
        """Returns some of the samples, for a process that has seen none."""
        chosen: list[Sample] = []
        for sample in reversed(self._samples):
            if not chosen or chosen[-1][1] - sample[1] >= EXPORT_SECONDS:
                chosen.append(sample)
            if len(chosen) == MAX_EXPORTED:
                break
        return chosen[::-1]

    def restore(self, samples: Iterable[Iterable[float]]) -> None:
        """Adds samples of another process that are older than its own."""
        own = list(self._samples)
        first = own[0] if own else (math.inf, math.inf)
        older = [
            (int(version), float(seconds))
            for version, seconds in samples
            if version <= first[0] and seconds < first[1]
        ]
        self._samples = collections.deque(
            itertools.chain(sorted(older), own), maxlen=MAX_SAMPLES
        )


def _bound_age(
    version: int, samples: Sequence[Sample], now: float
) -> AgeBounds:
    # A row with the version of a sample is as old as the sample, or older.
    position = bisect.bisect_left(samples, (version, -math.inf))
    least = 0.0
    if position < len(samples):
        least = max(0.0, now - samples[position][1])
    most = math.inf
    if position:
        most = max(least, now - samples[position - 1][1])
    return AgeBounds(least, most)
