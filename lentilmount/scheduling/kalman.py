"""A Kalman filter over named terms of a sum, with their covariances.

Source: Kalman, "A New Approach to Linear Filtering and Prediction Problems",
1960. The covariances matter here: a load that is not known yet and the
interference of a task beside it explain the same figure, and a filter without
them gives the error to both and is sure of both.
"""

from __future__ import annotations

import math

import attrs


@attrs.frozen
class Priors:
    """What is believed of terms that were never measured.

    Attributes:
      interference: Mean of an interference.
      interference_variance: Its variance.
      interference_drift: Growth of its variance a second.
      load: Mean of a load.
      load_variance: Its variance, which is also the most that it grows to.
      load_drift: Growth of its variance a second.
      measure_variance: Of one measurement.
      load_prefix: What the names of loads begin with.
    """

    interference: float
    interference_variance: float
    interference_drift: float
    load: float
    load_variance: float
    load_drift: float
    measure_variance: float
    load_prefix: str


class KalmanFilter:
    """Estimates of the terms that add up to what is measured.

    A correction takes time with the square of the number of terms.
    """

    def __init__(self, priors: Priors):
        self._priors = priors
        self._index: dict[str, int] = {}
        self._means: list[float] = []
        self._covariance: list[list[float]] = []
        self._at = -math.inf

    def add(self, name: str, mean: float, variance: float) -> int:
        """Adds a term, or says anew what is believed of one."""
        number = self._index.get(name)
        if number is None:
            number = self._index[name] = len(self._means)
            self._means.append(mean)
            for row in self._covariance:
                row.append(0.0)
            self._covariance.append([0.0] * len(self._means))
        self._means[number] = mean
        self._covariance[number][number] = variance
        return number

    def _find(self, name: str) -> int:
        number = self._index.get(name)
        if number is not None:
            return number
        priors = self._priors
        if name.startswith(priors.load_prefix):
            return self.add(name, priors.load, priors.load_variance)
        return self.add(name, priors.interference, priors.interference_variance)

    def remove(self, name: str) -> None:
        """Forgets a term."""
        number = self._index.pop(name, None)
        if number is None:
            return
        del self._means[number]
        del self._covariance[number]
        for row in self._covariance:
            del row[number]
        for other, index in self._index.items():
            if index > number:
                self._index[other] = index - 1

    def age(self, now: float) -> None:
        """Lets doubt grow since the last call."""
        passed = min(60.0, max(0.0, now - self._at))
        if math.isinf(self._at):
            passed = 0.0
        self._at = now
        priors = self._priors
        for name, number in self._index.items():
            is_load = name.startswith(priors.load_prefix)
            most = (
                priors.load_variance
                if is_load
                else priors.interference_variance
            )
            drift = priors.load_drift if is_load else priors.interference_drift
            row = self._covariance[number]
            if row[number] < most:
                row[number] = min(most, row[number] + drift * passed)

    def predict(self, terms: dict[str, float]) -> float:
        """Returns the sum of terms, each as often as told."""
        return sum(
            count * self._means[self._find(name)]
            for name, count in terms.items()
        )

    def correct(self, terms: dict[str, float], measured: float) -> None:
        """Corrects the estimates by a measured sum."""
        used = [(self._find(name), count) for name, count in terms.items()]
        gains = [
            sum(row[number] * count for number, count in used)
            for row in self._covariance
        ]
        uncertain = self._priors.measure_variance + sum(
            gains[number] * count for number, count in used
        )
        expected = sum(self._means[n] * count for n, count in used)
        error = (measured - expected) / uncertain
        self._means = [
            mean + gain * error
            for mean, gain in zip(self._means, gains, strict=True)
        ]
        for row, gain in zip(self._covariance, gains, strict=True):
            factor = gain / uncertain
            if factor:
                row[:] = [
                    value - factor * other
                    for value, other in zip(row, gains, strict=True)
                ]

    def get_mean(self, name: str) -> float:
        """Returns the best guess of a term."""
        number = self._index.get(name)
        if number is not None:
            return self._means[number]
        is_load = name.startswith(self._priors.load_prefix)
        return self._priors.load if is_load else self._priors.interference

    def list_known(self) -> list[tuple[str, float, float]]:
        """Lists terms with their means and variances."""
        return [
            (name, self._means[number], self._covariance[number][number])
            for name, number in self._index.items()
        ]
