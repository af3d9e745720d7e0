"""Learns how much each job class slows down each service."""

from __future__ import annotations

import bisect
import collections
import math
from collections.abc import Mapping

import attrs

BAND_EDGES = (0.25, 0.5, 0.75)
"""Upper bounds of the load bands, except the last."""

PRIOR_VARIANCE = 0.03
"""Prior variance of a slowdown's logarithm; most slowdowns are below 1.4."""

BASELINE_VARIANCE = 0.25
"""Prior variance of the logarithm of a service's baseline."""

MEASUREMENT_VARIANCE = 0.02
"""Variance of the logarithm of a measured 99th percentile."""

ESTIMATE_LIFETIME_SECONDS = 6 * 3600.0
"""Time without measurements after which an estimate has its prior variance."""

BASELINE_GAIN_FACTOR = 0.15
"""Factor on corrections of a service's baseline while jobs run beside it."""

MAX_PAIRS = 4096

_NEAREST_BANDS = tuple(
    tuple(sorted(range(len(BAND_EDGES) + 1), key=lambda b: abs(b - band)))
    for band in range(len(BAND_EDGES) + 1)
)


def get_load_band(load: float) -> int:
    """Returns the load band of a service."""
    return bisect.bisect_right(BAND_EDGES, load)


@attrs.define
class Estimate:
    """Estimate of a logarithm, with its variance.

    Attributes:
      mean: Estimated value.
      variance: Variance at the time of the last measurement; grows with time.
      measured_at: Monotonic time of the last measurement.
      prior_variance: Prior variance, the upper bound.
    """

    mean: float
    variance: float
    measured_at: float
    prior_variance: float

    def get_variance(self, now: float) -> float:
        """Returns the variance with its growth since the last measurement."""
        grown = (
            self.prior_variance
            * (now - self.measured_at)
            / ESTIMATE_LIFETIME_SECONDS
        )
        return min(self.prior_variance, self.variance + grown)


@attrs.frozen
class Prediction:
    """Predicted slowdown of a service.

    Attributes:
      ratio: 99th percentile as a multiple of that without jobs.
      confidence: Confidence in the least certain pair, from 0 to 1.
    """

    ratio: float
    confidence: float


_Pair = tuple[str, str, int]


class InterferenceModel:
    """Model of slowdowns by service, job class and load band.

    The logarithm of a service's 99th percentile is modelled as its baseline
    in the load band plus one term for each co-located job. Each measurement
    corrects the terms in proportion to their variances: a Kalman filter that
    neglects covariances, which takes constant time per job class.
    """

    def __init__(self) -> None:
        self._baselines: dict[tuple[str, int], Estimate] = {}
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
        """Updates the model from a measurement.

        Args:
          service: The service measured.
          band: Its load band at that time.
          neighbours: Number of co-located jobs at that time, by class; a
            throttled job counts as its share.
          p99_ms: Measured 99th percentile in milliseconds.
          now: Monotonic time of the measurement.
        """
        measured = math.log(p99_ms)
        baseline = self._baselines.get((service, band))
        if baseline is None:
            mean = measured - self._sum_effects(service, band, neighbours)
            baseline = Estimate(mean, BASELINE_VARIANCE, now, BASELINE_VARIANCE)
            self._baselines[service, band] = baseline
        terms = [
            (self._get_pair(service, name, band, now), count)
            for name, count in neighbours.items()
            if count > 0
        ]
        expected = baseline.mean + sum(e.mean * n for e, n in terms)
        error = measured - expected
        terms.append((baseline, 1.0))
        total_variance = MEASUREMENT_VARIANCE + sum(
            n * n * e.get_variance(now) for e, n in terms
        )
        for estimate, count in terms:
            variance = estimate.get_variance(now)
            gain = variance * count / total_variance
            # While jobs run, the baseline is hard to separate from their
            # effects, so it is corrected less, and equally in both directions:
            # with an asymmetric correction noise alone would make it drift.
            if estimate is baseline and len(terms) > 1:
                gain *= BASELINE_GAIN_FACTOR
            estimate.mean += gain * error
            estimate.variance = variance * (1 - gain * count)
            estimate.measured_at = now

    def _sum_effects(
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
            mean = self._get_prior_mean(pair)
            estimate = Estimate(mean, PRIOR_VARIANCE, now, PRIOR_VARIANCE)
            self._pairs[pair] = estimate
            if len(self._pairs) > MAX_PAIRS:
                self._pairs.popitem(last=False)
        self._pairs.move_to_end(pair)
        return estimate

    def _get_prior_mean(self, pair: _Pair) -> float:
        """Returns the estimate for the nearest other load band."""
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
            return self._get_prior_mean((service, name, band)), PRIOR_VARIANCE
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
        """Predicts the slowdown of a service by the given jobs.

        Args:
          service: The service.
          band: Its load band.
          neighbours: Number of co-located jobs by class; a throttled job
            counts as its share.
          now: Monotonic time.
        """
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
        """Returns a measured percentile as a multiple of the baseline.

        The ratio is 1 while the baseline is unknown.
        """
        baseline = self._baselines.get((service, band))
        if baseline is None or p99_ms <= 0:
            return 1.0
        return p99_ms / math.exp(baseline.mean)
