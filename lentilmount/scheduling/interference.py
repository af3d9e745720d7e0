"""Tasks that fill beside tasks that serve: who disturbs whom, and how much.

Load pattern: tens of hosts, a few serving tasks on each whose load swings
within seconds, and several filling tasks beside them, of a handful of images.
Which image disturbs which differs tenfold and is not declared. Every look at
every worker is an experiment on the same few pairs, so one model of all hosts
learns them within seconds.

Grounds: a tail grows with utilisation u as 1 / (1 - u), like the waiting time
of a queue. So 1 - idle / tail is the utilisation, in which the load of the
serving task and the interference of each filling task simply add up.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from lentilmount.scheduling.kalman import KalmanFilter, Priors
from lentilmount.scheduling.model import (
    MEAN_INTENSITY,
    Task,
    Worker,
    measure_intensity,
)

IDLE_TAIL_RATIO = 0.2
"""Tail of a serving task without any load, over its target."""

TARGET_UTILISATION = 1 - IDLE_TAIL_RATIO
"""Utilisation at which the tail is at its target."""

PRIOR_INTERFERENCE = 0.04
PRIOR_VARIANCE = 0.08**2
"""Of the interference of an unknown pair in a busy spell: many pairs are
harmless, and some are not."""

INTERFERENCE_DRIFT = 0.004**2
"""Growth of a pair's variance a second: after a minute without a look it is
half as unsure again as when it was last known."""

KNOWN_VARIANCE = 0.03**2
"""Below which a pair is worth telling the next owner, and with which that one
takes it over."""

START_LOAD = 0.5
START_LOAD_VARIANCE = 0.2**2
LOAD_DRIFT = 0.09**2
"""Growth of a load's variance a second: loads swing within seconds."""

MEASURE_VARIANCE = 0.06**2
"""Of one figure: rough, rounded, and of the last half second."""

LOAD_PREFIX = 'load:'
"""Before a job's id in the name of its load."""

_PRIORS = Priors(
    interference=PRIOR_INTERFERENCE,
    interference_variance=PRIOR_VARIANCE,
    interference_drift=INTERFERENCE_DRIFT,
    load=START_LOAD,
    load_variance=START_LOAD_VARIANCE,
    load_drift=LOAD_DRIFT,
    measure_variance=MEASURE_VARIANCE,
    load_prefix=LOAD_PREFIX,
)

MOST_LOAD = 0.72
"""What a load may swing to."""

LEAST_LOAD = 0.15
"""What a load may swing to."""

TREND_SECONDS = 1.0
"""Over which the trend of a load is taken: less tells mostly noise, more lags
behind a swing."""

MOST_TREND = 0.11
"""Fastest change of a load a second; see LOAD_DRIFT."""

PLACE_AHEAD_SECONDS = 2.0
"""How far ahead a filling task's place is judged: about its length."""

LOAD_RISE = 0.02
"""Margin of a place beside the trend."""

SATURATED = 0.92
"""Utilisation from which a figure tells only that it is at least so high:
tails no longer follow the formula there."""

FIGURE_SECONDS = 0.5
"""Time that a figure covers."""

PLACE_BELOW = TARGET_UTILISATION - 0.05
"""Utilisation up to which filling tasks are added; the rest is half a
standard deviation of the prediction."""

NEW_INTENSITY = 0.85
"""How much a new filling task is taken to interfere: between its mean and a
busy spell."""

HEAVY_INTERFERENCE = 0.1
"""Interference from which an image has no place beside another: with it a load
at its mean is near the target."""

LEAST_INTERFERENCE = 0.01
"""Below this a neighbour is not worth slowing down."""


@attrs.define
class _Trend:
    """The recent estimates of a load, the oldest first."""

    points: collections.deque[tuple[float, float]] = attrs.Factory(
        collections.deque
    )

    def note(self, now: float, load: float) -> None:
        """Adds an estimate."""
        self.points.append((now, load))
        while now - self.points[0][0] > TREND_SECONDS:
            self.points.popleft()

    def measure(self) -> float:
        """Returns the change a second."""
        (first, before), (last, load) = self.points[0], self.points[-1]
        if last - first < TREND_SECONDS / 2:
            return 0.0
        slope = (load - before) / (last - first)
        return min(MOST_TREND, max(-MOST_TREND, slope))


@attrs.define
class _Served:
    """What is known of one serving task.

    Attributes:
      over_since: Monotonic time since which its tail is over the target.
    """

    over_since: float = math.inf


def measure_utilisation(ratio: float) -> float:
    """Returns the utilisation at which a tail is a multiple of its target."""
    return 1 - IDLE_TAIL_RATIO / max(IDLE_TAIL_RATIO, ratio)


class InterferenceModel:
    """Learns pairs from looks, and decides who may fill beside whom."""

    def __init__(self) -> None:
        self._filters: dict[str, KalmanFilter] = {}
        self._served: dict[Task, _Served] = {}
        self._trends: dict[str, _Trend] = {}

    # Learning.

    def observe(self, worker: Worker, now: float) -> None:
        """Takes in the newest figures of a worker."""
        beside = _count_past(worker, now)
        for task in worker.tasks.values():
            if task.is_serving and task.usage is not None:
                self._learn(task, beside, now)

    def _learn(self, task: Task, beside: dict[str, float], now: float) -> None:
        ratio = (task.usage or 0.0) / task.spec.target_ms
        served = self._served.setdefault(task, _Served())
        if ratio < 1:
            served.over_since = math.inf
        else:
            served.over_since = min(served.over_since, now)
        terms = {_name_load(task): 1.0}
        for image, count in beside.items():
            terms[image] = count
        known = self._get_filter(task.spec.image)
        known.age(now)
        measured = measure_utilisation(ratio)
        if measured >= SATURATED and known.predict(terms) > measured:
            return
        known.correct(terms, measured)
        trend = self._trends.setdefault(task.id.job, _Trend())
        trend.note(now, known.get_mean(_name_load(task)))

    def _get_filter(self, serving: str) -> KalmanFilter:
        known = self._filters.get(serving)
        if known is None:
            known = self._filters[serving] = KalmanFilter(_PRIORS)
        return known

    def is_over(self, task: Task) -> bool:
        """Tells whether a serving task's newest tail is over its target."""
        served = self._served.get(task)
        return served is not None and served.over_since < math.inf

    def get_seconds_over(self, task: Task, now: float) -> float:
        """Returns for how long a serving task has been over its target."""
        served = self._served.get(task)
        return 0.0 if served is None else max(0.0, now - served.over_since)

    def forget(self, task: Task) -> None:
        """Drops what is remembered of a task that has ended."""
        self._served.pop(task, None)

    def forget_job(self, job_id: str, serving: str) -> None:
        """Drops the load of a job that is over."""
        self._trends.pop(job_id, None)
        if serving in self._filters:
            self._filters[serving].remove(LOAD_PREFIX + job_id)

    def export(self) -> list[list[Any]]:
        """Returns what is known of pairs, for the next owner."""
        return [
            [serving, name, round(mean, 4)]
            for serving, known in self._filters.items()
            for name, mean, variance in known.list_known()
            if not name.startswith(LOAD_PREFIX) and variance < KNOWN_VARIANCE
        ]

    def restore(self, pairs: list[list[Any]]) -> None:
        """Takes over what the previous owner knew, with some doubt."""
        for serving, filling, mean in pairs:
            known = self._get_filter(serving)
            known.add(filling, float(mean), KNOWN_VARIANCE)

    # Predicting.

    def get_interference(self, served: Task, image: str) -> float:
        """Returns what one filling task adds to a serving one."""
        return self._get_mean(served.spec.image, image)

    def _get_mean(self, serving: str, image: str) -> float:
        known = self._filters.get(serving)
        if known is None:
            return PRIOR_INTERFERENCE
        return max(0.0, known.get_mean(image))

    def get_load(self, served: Task, ahead: float = 0.0) -> float:
        """Returns the load of a serving task by itself.

        Args:
          served: The task.
          ahead: Seconds from now; a rising load is followed that far.
        """
        known = self._filters.get(served.spec.image)
        if known is None:
            return START_LOAD
        mean = known.get_mean(_name_load(served))
        trend = self._trends.get(served.id.job)
        if trend is not None and ahead:
            mean += ahead * trend.measure()
        return min(MOST_LOAD, max(LEAST_LOAD, mean))

    def predict(
        self, served: Task, beside: Mapping[str, float], ahead: float = 0.0
    ) -> float:
        """Predicts the utilisation of a serving task beside others."""
        return self.get_load(served, ahead) + self.sum_interference(
            served, beside
        )

    def sum_interference(
        self, served: Task, beside: Mapping[str, float]
    ) -> float:
        """Returns what filling tasks add to a serving one."""
        return sum(
            count * self.get_interference(served, image)
            for image, count in beside.items()
        )

    def predict_place(self, served: Task, beside: Mapping[str, float]) -> float:
        """Predicts the utilisation that a new filling task would add to."""
        now = self.predict(served, beside)
        return max(now, self.predict(served, beside, PLACE_AHEAD_SECONDS))

    def measure_interference(self, images: Iterable[str], image: str) -> float:
        """Returns the most that a filling image adds to serving ones."""
        return max(
            (self._get_mean(serving, image) for serving in images),
            default=0.0,
        )

    def measure_tolerance(self, images: Iterable[str], image: str) -> float:
        """Returns how well serving images bear a filling one, from 0 to 1."""
        return max(
            0.0,
            1 - self.measure_interference(images, image) / HEAVY_INTERFERENCE,
        )

    def allows(self, utilisation: Mapping[str, float], image: str) -> bool:
        """Tells whether one more filling task keeps every tail in bounds.

        Args:
          utilisation: What to expect without it, by serving image.
          image: What the filling task runs.
        """
        for serving, expected in utilisation.items():
            interference = self._get_mean(serving, image)
            added = interference * NEW_INTENSITY
            if interference >= LEAST_INTERFERENCE and (
                expected + added + LOAD_RISE >= PLACE_BELOW
            ):
                return False
        return True


def _name_load(task: Task) -> str:
    # The tasks of a job serve the same users, so their loads swing together.
    return LOAD_PREFIX + task.id.job


def _count_past(worker: Worker, now: float) -> dict[str, float]:
    """Counts the filling tasks of the half second that a figure covers."""
    counts: dict[str, float] = {}
    for left in worker.list_recently_ended(now - FIGURE_SECONDS):
        share = 1 - (now - left.at) / FIGURE_SECONDS
        counts[left.image] = counts.get(left.image, 0.0) + share * left.share
    for task in worker.tasks.values():
        if not task.spec.fills:
            continue
        there = min(1.0, max(0.0, (now - task.placed_at) / FIGURE_SECONDS))
        paced = min(1.0, max(0.0, (now - task.throttled_at) / FIGURE_SECONDS))
        percent = (
            paced * task.cpu_percent + (1 - paced) * task.previous_cpu_percent
        )
        share = measure_intensity(task) * there * percent / 100
        if share > 0:
            image = task.spec.image
            counts[image] = counts.get(image, 0.0) + share
    return counts


def count_paced(wanted: Mapping[Task, int]) -> dict[str, float]:
    """Counts filling tasks by image, each by its pace and its spell."""
    counts: dict[str, float] = {}
    for task, percent in wanted.items():
        image = task.spec.image
        share = measure_intensity(task) * percent / 100
        counts[image] = counts.get(image, 0.0) + share
    return counts


def count_best_effort(worker: Worker) -> dict[str, float]:
    """Counts a worker's filling tasks by image, slowed ones as a whole.

    Busy and quiet spells take turns, so each counts as between what it is now
    and what it is on average.
    """
    counts: dict[str, float] = {}
    for task in worker.tasks.values():
        if task.spec.fills:
            share = (measure_intensity(task) + MEAN_INTENSITY) / 2
            image = task.spec.image
            counts[image] = counts.get(image, 0.0) + share
    return counts
