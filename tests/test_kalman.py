"""Estimates of many terms from thousands of measurements per second.

Load pattern: hundreds of workers, each of whose reports measures a sum of a few
of the tens of terms of a filter.
"""

from __future__ import annotations

import random

import pytest

from lentilmount.scheduling.interference import _PRIORS
from lentilmount.scheduling.kalman import KalmanFilter

LOADS = [f'load:{number}' for number in range(12)]
IMAGES = [f'image-{number}' for number in range(30)]


class _ExactFilter(KalmanFilter):
    """A filter whose measurements change every term."""

    def _list_correlated(
        self, covariances: list[float], _: float
    ) -> list[tuple[int, float]]:
        return list(enumerate(covariances))


def _draw_terms(rng: random.Random) -> dict[str, float]:
    """Returns the terms of a serving task beside some best-effort tasks."""
    images = rng.sample(IMAGES, rng.randint(0, 4))
    return {rng.choice(LOADS): 1.0, **{i: rng.uniform(0.2, 2) for i in images}}


@pytest.mark.parametrize('seed', range(4))
def test_estimates_are_those_of_the_exact_filter(seed: int) -> None:
    """Skipped terms must not show: wrong pairs would harm what serves."""
    rng = random.Random(seed)
    truth = {name: rng.uniform(0.2, 0.7) for name in LOADS}
    truth |= {name: rng.choice((0.005, 0.01, 0.15)) for name in IMAGES}
    fast, exact = KalmanFilter(_PRIORS), _ExactFilter(_PRIORS)
    for step in range(2000):
        terms = _draw_terms(rng)
        measured = sum(truth[name] * count for name, count in terms.items())
        measured += rng.gauss(0.0, 0.06)
        for kalman_filter in (fast, exact):
            kalman_filter.advance_time(0.01 * step)
            kalman_filter.update(terms, measured)
    estimates = zip(fast.list_terms(), exact.list_terms(), strict=True)
    for (name, mean, variance), (_, exact_mean, exact_variance) in estimates:
        assert mean == pytest.approx(exact_mean, abs=0.002), name
        assert variance == pytest.approx(exact_variance, rel=0.02), name


def test_a_measurement_touches_only_terms_that_it_tells_about() -> None:
    """Updating all pairs of terms took most of an owner's CPU time.

    Half of a core at 446 workers, where a filter has 40 terms.
    """
    kalman_filter = KalmanFilter(_PRIORS)
    for name in (*LOADS, *IMAGES):
        kalman_filter.update({name: 1.0}, 0.5)
    terms = {LOADS[0]: 1.0, IMAGES[0]: 1.0, IMAGES[1]: 1.0}
    used = [(kalman_filter._get_index(n), c) for n, c in terms.items()]
    covariances = kalman_filter._sum_rows(used)
    correlated = kalman_filter._list_correlated(covariances, 0.05)
    assert [index for index, _ in correlated] == sorted(i for i, _ in used)
