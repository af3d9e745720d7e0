"""Kalman filter over the named terms of a sum, with their covariances.

Source: Kalman, "A New Approach to Linear Filtering and Prediction Problems",
1960. The covariances are needed because an unknown load and the interference of
a neighbour explain the same measurement. A filter without them attributes the
error to both terms and becomes overconfident in both.

Load pattern: hundreds of workers report thousands of measurements per second,
each a sum of a few of the tens of terms of a filter. Most other terms are
hardly correlated with a measured sum, so only those that are get updated.
"""

from __future__ import annotations

import math

import attrs

MIN_CORRELATION = 0.003
"""Correlation of a term with a measured sum below which a measurement leaves
the term unchanged: it would reduce the term's variance by less than the square
of this, 1/100,000."""

MIN_ADVANCE_SECONDS = 0.02
"""Time by which variances grow at once. A large filter is updated hundreds of
times per second, and growing each variance every time took as long as the
updates; in this time, the variance of a load grows by 1/20 of that of a
measurement."""


@attrs.frozen
class Priors:
    """Prior means and variances of terms that were never measured.

    Attributes:
      interference: Mean of an interference term.
      interference_variance: Variance of an interference term.
      interference_drift: Growth of that variance per second.
      load: Mean of a load term.
      load_variance: Variance of a load term, which is also its maximum.
      load_drift: Growth of that variance per second.
      measurement_variance: Variance of one measurement.
      load_prefix: Prefix of the names of load terms.
    """

    interference: float
    interference_variance: float
    interference_drift: float
    load: float
    load_variance: float
    load_drift: float
    measurement_variance: float
    load_prefix: str


class KalmanFilter:
    """Estimates of the terms of a measured sum.

    An update takes quadratic time in the number of terms that are correlated
    with the measured sum, and linear time in the number of all terms.
    """

    def __init__(self, priors: Priors):
        self._priors = priors
        self._index: dict[str, int] = {}
        self._means: list[float] = []
        self._covariance: list[list[float]] = []
        self._updated_at = -math.inf

    def add(self, name: str, mean: float, variance: float) -> int:
        """Adds a term or resets the estimate of one; returns its index."""
        index = self._index.get(name)
        if index is None:
            index = self._index[name] = len(self._means)
            self._means.append(mean)
            for row in self._covariance:
                row.append(0.0)
            self._covariance.append([0.0] * len(self._means))
        self._means[index] = mean
        self._covariance[index][index] = variance
        return index

    def _get_index(self, name: str) -> int:
        index = self._index.get(name)
        if index is not None:
            return index
        priors = self._priors
        if name.startswith(priors.load_prefix):
            return self.add(name, priors.load, priors.load_variance)
        return self.add(name, priors.interference, priors.interference_variance)

    def remove(self, name: str) -> None:
        """Removes a term."""
        index = self._index.pop(name, None)
        if index is None:
            return
        del self._means[index]
        del self._covariance[index]
        for row in self._covariance:
            del row[index]
        for other, other_index in self._index.items():
            if other_index > index:
                self._index[other] = other_index - 1

    def advance_time(self, now: float) -> None:
        """Increases the variances for the time since the last call."""
        elapsed = min(60.0, max(0.0, now - self._updated_at))
        if math.isinf(self._updated_at):
            elapsed = 0.0
        elif elapsed < MIN_ADVANCE_SECONDS:
            return
        self._updated_at = now
        priors = self._priors
        for name, index in self._index.items():
            is_load = name.startswith(priors.load_prefix)
            max_variance = (
                priors.load_variance
                if is_load
                else priors.interference_variance
            )
            drift = priors.load_drift if is_load else priors.interference_drift
            row = self._covariance[index]
            if row[index] < max_variance:
                row[index] = min(max_variance, row[index] + drift * elapsed)

    def predict(self, terms: dict[str, float]) -> float:
        """Returns the weighted sum of terms."""
        return sum(
            count * self._means[self._get_index(name)]
            for name, count in terms.items()
        )

    def update(self, terms: dict[str, float], measured: float) -> None:
        """Updates the estimates with a measured sum of weighted terms."""
        used = [(self._get_index(name), count) for name, count in terms.items()]
        covariances = self._sum_rows(used)
        innovation_variance = self._priors.measurement_variance + sum(
            covariances[index] * count for index, count in used
        )
        expected = sum(self._means[n] * count for n, count in used)
        error = (measured - expected) / innovation_variance
        correlated = self._list_correlated(covariances, innovation_variance)
        for index, covariance in correlated:
            self._means[index] += covariance * error
            factor = covariance / innovation_variance
            row = self._covariance[index]
            for other, other_covariance in correlated:
                row[other] -= factor * other_covariance

    def _sum_rows(self, used: list[tuple[int, float]]) -> list[float]:
        """Returns the covariance of each term with a weighted sum of terms."""
        total = [0.0] * len(self._means)
        for index, count in used:
            row = self._covariance[index]
            total = [
                value + count * covariance
                for value, covariance in zip(total, row, strict=True)
            ]
        return total

    def _list_correlated(
        self, covariances: list[float], innovation_variance: float
    ) -> list[tuple[int, float]]:
        """Lists the terms that a measured sum tells something about.

        Returns:
          Index of each such term, and its covariance with the sum.
        """
        threshold = MIN_CORRELATION**2 * innovation_variance
        return [
            (index, covariance)
            for index, covariance in enumerate(covariances)
            if covariance * covariance
            > threshold * self._covariance[index][index]
        ]

    def get_mean(self, name: str) -> float:
        """Returns the estimated mean of a term, or its prior."""
        index = self._index.get(name)
        if index is not None:
            return self._means[index]
        is_load = name.startswith(self._priors.load_prefix)
        return self._priors.load if is_load else self._priors.interference

    def list_terms(self) -> list[tuple[str, float, float]]:
        """Returns the name, mean and variance of each term."""
        return [
            (name, self._means[index], self._covariance[index][index])
            for name, index in self._index.items()
        ]
