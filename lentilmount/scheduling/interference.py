"""Learned interference of best-effort tasks with serving tasks.

Load pattern: tens of hosts, a few serving tasks on each whose load varies
within seconds, and several best-effort tasks beside them, of a handful of
images. Interference differs tenfold between pairs of images and is not
declared. Every poll of every worker measures the same few pairs, so one model
of all hosts learns them within seconds.

Method: a tail latency grows with utilisation u as 1 / (1 - u), like the waiting
time in a queue. So 1 - idle / tail is the utilisation, which is the sum of the
load of the serving task and the interference of each best-effort task.
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
"""Tail latency of a serving task without load, relative to its target."""

TARGET_UTILISATION = 1 - IDLE_TAIL_RATIO
"""Utilisation at which the tail latency equals its target."""

PRIOR_INTERFERENCE = 0.04
PRIOR_VARIANCE = 0.08**2
"""Mean and variance of the interference of an unknown pair in a busy phase:
many pairs are harmless, and some are not."""

INTERFERENCE_DRIFT = 0.004**2
"""Growth of a pair's variance per second: after a minute without measurements,
its standard deviation is about 1.5 times that of a known pair."""

KNOWN_VARIANCE = 0.03**2
"""Variance below which a pair is exported to the next owner, which also starts
with this variance."""

INITIAL_LOAD = 0.5
INITIAL_LOAD_VARIANCE = 0.2**2
LOAD_DRIFT = 0.09**2
"""Growth of a load's variance per second: loads vary within seconds."""

MEASUREMENT_VARIANCE = 0.06**2
"""Variance of one measurement, which is noisy, rounded and covers the last half
second."""

LOAD_PREFIX = 'load:'
"""Prefix of a job's id in the name of its load term."""

_PRIORS = Priors(
    interference=PRIOR_INTERFERENCE,
    interference_variance=PRIOR_VARIANCE,
    interference_drift=INTERFERENCE_DRIFT,
    load=INITIAL_LOAD,
    load_variance=INITIAL_LOAD_VARIANCE,
    load_drift=LOAD_DRIFT,
    measurement_variance=MEASUREMENT_VARIANCE,
    load_prefix=LOAD_PREFIX,
)

MAX_LOAD = 0.72
"""Upper bound of the load of a serving task."""

MIN_LOAD = 0.15
"""Lower bound of the load of a serving task."""

TREND_SECONDS = 1.0
"""Window of the trend of a load in seconds: a shorter one shows mostly noise, a
longer one lags behind changes of the load."""

MAX_TREND = 0.11
"""Maximum change of a load per second; see LOAD_DRIFT."""

PLACEMENT_HORIZON_SECONDS = 2.0
"""Prediction horizon for placing a best-effort task in seconds: about its run
time."""

LOAD_MARGIN = 0.02
"""Safety margin of utilisation for a placement, in addition to the trend."""

SATURATED = 0.92
"""Utilisation from which a measurement is only a lower bound: there, tail
latencies no longer follow the formula."""

USAGE_WINDOW_SECONDS = 0.5
"""Time covered by one measurement in seconds."""

MIN_MEASUREMENT_SECONDS = USAGE_WINDOW_SECONDS / 2
"""Time between two measurements of a task from which they count as two. Reports
follow each other within less when runs end, and their windows are then mostly
the same: counted twice, one measurement would seem twice as certain."""

MAX_PLACEMENT_UTILISATION = TARGET_UTILISATION - 0.05
"""Utilisation up to which best-effort tasks are added. The margin is half a
standard deviation of the prediction."""

NEW_TASK_INTENSITY = 0.85
"""Assumed intensity of a new best-effort task: between its mean and a busy
phase."""

HEAVY_INTERFERENCE = 0.1
"""Interference from which an image is not tolerated at all: it brings a mean
load close to the target."""

MIN_INTERFERENCE = 0.01
"""Interference below which a neighbour is not worth throttling."""


@attrs.define
class _Trend:
    """Recent estimates of a load, oldest first."""

    points: collections.deque[tuple[float, float]] = attrs.Factory(
        collections.deque
    )

    def add(self, now: float, load: float) -> None:
        """Adds an estimate and drops those outside the window."""
        self.points.append((now, load))
        while now - self.points[0][0] > TREND_SECONDS:
            self.points.popleft()

    def get_slope(self) -> float:
        """Returns the change of the load per second."""
        (first, before), (last, load) = self.points[0], self.points[-1]
        if last - first < TREND_SECONDS / 2:
            return 0.0
        slope = (load - before) / (last - first)
        return min(MAX_TREND, max(-MAX_TREND, slope))


@attrs.define
class _TailState:
    """Tail latency state of a serving task.

    Attributes:
      over_since: Monotonic time since which it exceeds its target; infinity if
        it does not.
      measured_at: Monotonic time of the last measurement that was counted.
    """

    over_since: float = math.inf
    measured_at: float = -math.inf


def measure_utilisation(ratio: float) -> float:
    """Returns the utilisation for a ratio of tail latency to target."""
    return 1 - IDLE_TAIL_RATIO / max(IDLE_TAIL_RATIO, ratio)


class InterferenceModel:
    """Learns interference between images and decides which may run together."""

    def __init__(self) -> None:
        self._filters: dict[str, KalmanFilter] = {}
        self._tail_states: dict[Task, _TailState] = {}
        self._trends: dict[str, _Trend] = {}

    # Learning

    def observe(self, worker: Worker, now: float) -> None:
        """Updates the model with the newest measurements of a worker."""
        neighbours = _count_in_window(worker, now)
        for task in worker.tasks.values():
            if task.is_serving and task.usage is not None:
                self._update_filter(task, neighbours, now)

    def _update_filter(
        self, task: Task, neighbours: dict[str, float], now: float
    ) -> None:
        ratio = (task.usage or 0.0) / task.spec.target_ms
        tail_state = self._tail_states.setdefault(task, _TailState())
        if ratio < 1:
            tail_state.over_since = math.inf
        else:
            tail_state.over_since = min(tail_state.over_since, now)
        if now - tail_state.measured_at < MIN_MEASUREMENT_SECONDS:
            return
        tail_state.measured_at = now
        terms = {_get_load_term(task): 1.0}
        for image, count in neighbours.items():
            terms[image] = count
        kalman_filter = self._get_filter(task.spec.image)
        kalman_filter.advance_time(now)
        measured = measure_utilisation(ratio)
        if measured >= SATURATED and kalman_filter.predict(terms) > measured:
            return
        kalman_filter.update(terms, measured)
        trend = self._trends.setdefault(task.id.job, _Trend())
        trend.add(now, kalman_filter.get_mean(_get_load_term(task)))

    def _get_filter(self, serving_image: str) -> KalmanFilter:
        kalman_filter = self._filters.get(serving_image)
        if kalman_filter is None:
            kalman_filter = self._filters[serving_image] = KalmanFilter(_PRIORS)
        return kalman_filter

    def is_over_target(self, task: Task) -> bool:
        """Returns whether a serving task's newest tail exceeds its target."""
        tail_state = self._tail_states.get(task)
        return tail_state is not None and tail_state.over_since < math.inf

    def get_seconds_over_target(self, task: Task, now: float) -> float:
        """Returns how many seconds a serving task has been over its target."""
        tail_state = self._tail_states.get(task)
        return (
            0.0 if tail_state is None else max(0.0, now - tail_state.over_since)
        )

    def forget(self, task: Task) -> None:
        """Drops the tail latency state of a task that has ended."""
        self._tail_states.pop(task, None)

    def forget_job(self, job_id: str, serving_image: str) -> None:
        """Drops the load estimates of a job that is over."""
        self._trends.pop(job_id, None)
        if serving_image in self._filters:
            self._filters[serving_image].remove(LOAD_PREFIX + job_id)

    def export(self) -> list[list[Any]]:
        """Returns the estimates of well-known pairs, for the next owner."""
        return [
            [serving_image, name, round(mean, 4)]
            for serving_image, kalman_filter in self._filters.items()
            for name, mean, variance in kalman_filter.list_terms()
            if not name.startswith(LOAD_PREFIX) and variance < KNOWN_VARIANCE
        ]

    def restore(self, pairs: list[list[Any]]) -> None:
        """Restores the previous owner's estimates with reduced certainty."""
        for serving_image, best_effort_image, mean in pairs:
            kalman_filter = self._get_filter(serving_image)
            kalman_filter.add(best_effort_image, float(mean), KNOWN_VARIANCE)

    # Prediction

    def get_interference(self, serving_task: Task, image: str) -> float:
        """Returns the utilisation that one best-effort task adds."""
        return self._get_mean(serving_task.spec.image, image)

    def _get_mean(self, serving_image: str, image: str) -> float:
        kalman_filter = self._filters.get(serving_image)
        if kalman_filter is None:
            return PRIOR_INTERFERENCE
        return max(0.0, kalman_filter.get_mean(image))

    def get_load(self, serving_task: Task, horizon: float = 0.0) -> float:
        """Returns the load of a serving task without interference.

        Args:
          serving_task: The task.
          horizon: Time in seconds to extrapolate the trend of the load.
        """
        kalman_filter = self._filters.get(serving_task.spec.image)
        if kalman_filter is None:
            return INITIAL_LOAD
        mean = kalman_filter.get_mean(_get_load_term(serving_task))
        trend = self._trends.get(serving_task.id.job)
        if trend is not None and horizon:
            mean += horizon * trend.get_slope()
        return min(MAX_LOAD, max(MIN_LOAD, mean))

    def predict(
        self,
        serving_task: Task,
        neighbours: Mapping[str, float],
        horizon: float = 0.0,
    ) -> float:
        """Predicts the utilisation of a serving task with its neighbours."""
        return self.get_load(serving_task, horizon) + self.sum_interference(
            serving_task, neighbours
        )

    def sum_interference(
        self, serving_task: Task, neighbours: Mapping[str, float]
    ) -> float:
        """Returns the utilisation that best-effort tasks add."""
        return sum(
            count * self.get_interference(serving_task, image)
            for image, count in neighbours.items()
        )

    def predict_for_placement(
        self, serving_task: Task, neighbours: Mapping[str, float]
    ) -> float:
        """Predicts the utilisation to which a new best-effort task adds."""
        load = max(
            self.get_load(serving_task),
            self.get_load(serving_task, PLACEMENT_HORIZON_SECONDS),
        )
        return load + self.sum_interference(serving_task, neighbours)

    def measure_interference(self, images: Iterable[str], image: str) -> float:
        """Returns the maximum interference of an image with serving images."""
        return max(
            (self._get_mean(serving_image, image) for serving_image in images),
            default=0.0,
        )

    def measure_tolerance(self, images: Iterable[str], image: str) -> float:
        """Returns how well serving images tolerate an image, from 0 to 1."""
        return max(
            0.0,
            1 - self.measure_interference(images, image) / HEAVY_INTERFERENCE,
        )

    def allows(self, utilisation: Mapping[str, float], image: str) -> bool:
        """Returns whether one more best-effort task keeps all tails in bounds.

        Args:
          utilisation: Expected utilisation without it, by serving image.
          image: Image of the best-effort task.
        """
        for serving_image, expected in utilisation.items():
            interference = self._get_mean(serving_image, image)
            added = interference * NEW_TASK_INTENSITY
            if interference >= MIN_INTERFERENCE and (
                expected + added + LOAD_MARGIN >= MAX_PLACEMENT_UTILISATION
            ):
                return False
        return True


def _get_load_term(task: Task) -> str:
    # The tasks of a job serve the same users, so their loads vary together.
    return LOAD_PREFIX + task.id.job


def _count_in_window(worker: Worker, now: float) -> dict[str, float]:
    """Counts best-effort tasks by image, weighted by their time in the window.

    Tasks that ended in the window of the newest measurement are included.
    """
    counts: dict[str, float] = {}
    for ended in worker.list_recently_ended(now - USAGE_WINDOW_SECONDS):
        share = 1 - (now - ended.at) / USAGE_WINDOW_SECONDS
        counts[ended.image] = counts.get(ended.image, 0.0) + share * ended.share
    for task in worker.tasks.values():
        if not task.spec.fills:
            continue
        present_share = min(
            1.0, max(0.0, (now - task.placed_at) / USAGE_WINDOW_SECONDS)
        )
        changed_share = min(
            1.0, max(0.0, (now - task.throttled_at) / USAGE_WINDOW_SECONDS)
        )
        percent = (
            changed_share * task.cpu_percent
            + (1 - changed_share) * task.previous_cpu_percent
        )
        share = measure_intensity(task) * present_share * percent / 100
        if share > 0:
            image = task.spec.image
            counts[image] = counts.get(image, 0.0) + share
    return counts


def count_by_cpu_share(planned: Mapping[Task, int]) -> dict[str, float]:
    """Counts best-effort tasks by image, weighted by CPU share and phase."""
    counts: dict[str, float] = {}
    for task, percent in planned.items():
        image = task.spec.image
        share = measure_intensity(task) * percent / 100
        counts[image] = counts.get(image, 0.0) + share
    return counts


def count_best_effort(worker: Worker) -> dict[str, float]:
    """Counts best-effort tasks by image, as if none were throttled.

    Busy and quiet phases alternate, so each task counts with the average of its
    current and its mean intensity.
    """
    counts: dict[str, float] = {}
    for task in worker.tasks.values():
        if task.spec.fills:
            share = (measure_intensity(task) + MEAN_INTENSITY) / 2
            image = task.spec.image
            counts[image] = counts.get(image, 0.0) + share
    return counts
