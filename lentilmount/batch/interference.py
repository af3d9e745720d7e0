"""How much a job class slows a service down, learned for each pair."""

from __future__ import annotations

import bisect
import collections
import math
from collections.abc import Mapping

import attrs

BAND_EDGES = (0.25, 0.5, 0.75)
"""Loads at which a service enters the next load band."""

PRIOR_VARIANCE = 0.03
"""Of the logarithm of a slowdown: unknown pairs lie mostly below 1.4."""

BASE_VARIANCE = 0.25
MEASURE_VARIANCE = 0.02
"""Of the logarithm of a measured 99th percentile."""

FORGET_SECONDS = 6 * 3600.0
"""After which an estimate that nothing confirms is as unsure as at first."""

BASE_CAUTION = 0.15
"""Share of a correction that a service's own time gets beside jobs."""

PAIRS_KEPT = 4096

_NEAREST_BANDS = tuple(
    tuple(sorted(range(len(BAND_EDGES) + 1), key=lambda b: abs(b - band)))
    for band in range(len(BAND_EDGES) + 1)
)


def get_load_band(load: float) -> int:
    """Returns the load band of a service."""
    return bisect.bisect_right(BAND_EDGES, load)


@attrs.define
class Estimate:
    """A logarithm that is known up to a variance.

    Attributes:
      mean: Best guess.
      variance: Of the guess; grows while nothing confirms it.
      at: Monotonic time of the last measurement.
      most: The variance when nothing is known.
    """

    mean: float
    variance: float
    at: float
    most: float

    def get_variance(self, now: float) -> float:
        """Returns the variance, grown since the last measurement."""
        grown = self.most * (now - self.at) / FORGET_SECONDS
        return min(self.most, self.variance + grown)


@attrs.frozen
class Prediction:
    """What a service is expected to suffer.

    Attributes:
      ratio: 99th percentile as a multiple of running alone.
      confidence: Of the least sure pair in it.
    """

    ratio: float
    confidence: float


_Pair = tuple[str, str, int]


class InterferenceModel:
    """Slowdown by service, job class and load band.

    The logarithm of a service's 99th percentile is its own time in the load
    band plus an amount for each job beside it. Each measurement corrects the
    terms in it in proportion to how unsure they are: a Kalman filter that
    neglects covariances, which takes constant time for each neighbour.
    """

    def __init__(self) -> None:
        self._bases: dict[tuple[str, int], Estimate] = {}
        self._pairs: collections.OrderedDict[_Pair, Estimate] = (
            collections.OrderedDict()
        )

    def observe(
        self,
        service: str,
        band: int,
        neighbours: Mapping[str, float],
        p99_ms: float,
        now: float,
    ) -> None:
        """Takes in a measurement.

        Args:
          service: The service measured.
          band: Its load band then.
          neighbours: Jobs beside it then, by class; a throttled job counts
            as its share.
          p99_ms: What was measured.
          now: Monotonic time of the measurement.
        """
        measured = math.log(p99_ms)
        base = self._bases.get((service, band))
        if base is None:
            mean = measured - self._explain(service, band, neighbours)
            base = Estimate(mean, BASE_VARIANCE, now, BASE_VARIANCE)
            self._bases[service, band] = base
        terms = [
            (self._get_pair(service, name, band, now), count)
            for name, count in neighbours.items()
            if count > 0
        ]
        expected = base.mean + sum(e.mean * n for e, n in terms)
        error = measured - expected
        terms.append((base, 1.0))
        uncertain = MEASURE_VARIANCE + sum(
            n * n * e.get_variance(now) for e, n in terms
        )
        for estimate, count in terms:
            variance = estimate.get_variance(now)
            gain = variance * count / uncertain
            # Beside jobs the service's own time is hard to tell from theirs,
            # so it is corrected less, and as much up as down: corrected more
            # in one direction, noise alone would drive it there.
            if estimate is base and len(terms) > 1:
                gain *= BASE_CAUTION
            estimate.mean += gain * error
            estimate.variance = variance * (1 - gain * count)
            estimate.at = now

    def _explain(
        self, service: str, band: int, neighbours: Mapping[str, float]
    ) -> float:
        return sum(
            count * self.get_effect(service, name, band)
            for name, count in neighbours.items()
        )

    def _get_pair(
        self, service: str, name: str, band: int, now: float
    ) -> Estimate:
        pair = (service, name, band)
        estimate = self._pairs.get(pair)
        if estimate is None:
            mean = self._guess(pair)
            estimate = Estimate(mean, PRIOR_VARIANCE, now, PRIOR_VARIANCE)
            self._pairs[pair] = estimate
            if len(self._pairs) > PAIRS_KEPT:
                self._pairs.popitem(last=False)
        self._pairs.move_to_end(pair)
        return estimate

    def _guess(self, pair: _Pair) -> float:
        """Returns what the nearest other load band suffered."""
        service, name, band = pair
        for other in _NEAREST_BANDS[band]:
            known = self._pairs.get((service, name, other))
            if known is not None:
                return known.mean
        return 0.0

    def get_term(
        self, service: str, name: str, band: int, now: float
    ) -> tuple[float, float]:
        """Returns the logarithm of a pair's slowdown, and its variance."""
        estimate = self._pairs.get((service, name, band))
        if estimate is None:
            return self._guess((service, name, band)), PRIOR_VARIANCE
        return estimate.mean, estimate.get_variance(now)

    def get_effect(self, service: str, name: str, band: int) -> float:
        """Returns the logarithm of a pair's slowdown."""
        return self.get_term(service, name, band, 0.0)[0]

    def predict(
        self,
        service: str,
        band: int,
        neighbours: Mapping[str, float],
        now: float,
    ) -> Prediction:
        """Predicts what a service suffers beside some jobs."""
        total = 0.0
        confidence = 1.0
        for name, count in neighbours.items():
            if count <= 0:
                continue
            mean, variance = self.get_term(service, name, band, now)
            total += count * mean
            confidence = min(confidence, 1 - variance / PRIOR_VARIANCE)
        return Prediction(math.exp(total), confidence)

    def get_ratio(self, service: str, band: int, p99_ms: float) -> float:
        """Returns a measured time as a multiple of running alone."""
        base = self._bases.get((service, band))
        if base is None or p99_ms <= 0:
            return 1.0
        return p99_ms / math.exp(base.mean)
