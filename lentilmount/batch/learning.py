"""Learns the actual sizes and run times of job classes from measurements."""

from __future__ import annotations

import collections
import sys

import attrs

from lentilmount.batch.records import Task
from lentilmount.resources import Demand
from lentilmount.upstream.workers import Usage

WINDOW_ATTEMPTS = 64
"""Number of finished attempts kept for each class."""

MIN_ATTEMPTS = 8
"""Finished attempts needed before learned sizes replace declared ones."""

MAX_CLASSES = 512
SIZE_QUANTILE = 0.95
MARGIN = 1.15
"""Factor on the quantile for the commitment; the worker enforces the result."""

MIN_CORES = 0.25
MIN_MEMORY_MB = 128
SATURATED_SHARE = 0.95
"""Share of a reduced commitment above which the true need is unknown."""

MIN_REPORTS = 3
"""Measurements of an attempt needed before its sizes are used."""


def get_class_name(task: Task) -> str:
    """Returns the name of a task's class, unique across teams."""
    # The history of each worker holds these names; without interning, the
    # copies took one MiB for 725 tasks.
    return sys.intern(f'{task.team}/{task.job_class}')


@attrs.define
class Quantiles:
    """Quantiles over a sliding window of measurements."""

    window: collections.deque[float] = attrs.Factory(
        lambda: collections.deque(maxlen=WINDOW_ATTEMPTS)
    )

    def add(self, value: float) -> None:
        """Adds a measurement."""
        self.window.append(value)

    def get(self, quantile: float) -> float:
        """Returns a quantile of the window.

        Args:
          quantile: The quantile, from 0 to 1.
        """
        ordered = sorted(self.window)
        return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


@attrs.define
class _ClassModel:
    """Learned sizes and run times of one job class."""

    cores: Quantiles = attrs.Factory(Quantiles)
    memory: Quantiles = attrs.Factory(Quantiles)
    seconds: Quantiles = attrs.Factory(Quantiles)
    size: Demand | None = None


@attrs.define
class _Peak:
    """Maximum usage measured for one attempt.

    Attributes:
      cores: Cores, scaled up to an unthrottled job.
      memory_mb: Memory in MiB.
      reports: Number of measurements.
      saturated: Whether it may have needed more cores than it got.
    """

    cores: float = 0.0
    memory_mb: int = 0
    reports: int = 0
    saturated: bool = False


class SizeLearner:
    """Learned sizes and run times by job class.

    Held in memory only: a new owner begins with the declared sizes and uses
    learned ones after `MIN_ATTEMPTS` attempts.
    """

    def __init__(self) -> None:
        self._classes: collections.OrderedDict[str, _ClassModel] = (
            collections.OrderedDict()
        )
        self._peaks: dict[tuple[str, int], _Peak] = {}

    def observe(self, task: Task, usage: Usage, throttle: float) -> None:
        """Records a measurement of a job.

        Args:
          task: The job.
          usage: The measurement.
          throttle: Share of its committed cores that it was allowed to use.
        """
        peak = self._peaks.setdefault((usage.task, usage.attempt), _Peak())
        cores = usage.cores / throttle
        # An attempt that uses all of a reduced commitment may need more.
        if task.share < 1 and cores > SATURATED_SHARE * task.demand.cores:
            peak.saturated = True
        peak.cores = max(peak.cores, cores)
        peak.memory_mb = max(peak.memory_mb, usage.memory_mb)
        peak.reports += 1

    def record_completion(self, task: Task, seconds: float) -> None:
        """Records the sizes and run time of an attempt that completed.

        Args:
          task: The job.
          seconds: Its run time.
        """
        peak = self._peaks.pop((task.id, task.attempt), None)
        model = self._get(get_class_name(task))
        model.seconds.add(seconds)
        if peak is not None and peak.reports >= MIN_REPORTS:
            if not peak.saturated:
                model.cores.add(peak.cores)
            model.memory.add(peak.memory_mb)
            model.size = None

    def forget(self, task: Task) -> None:
        """Discards the measurements of an attempt that did not complete."""
        self._peaks.pop((task.id, task.attempt), None)

    def is_known(self, task: Task) -> bool:
        """Returns whether the sizes of a job's class are known."""
        model = self._classes.get(get_class_name(task))
        return model is not None and len(model.cores.window) >= MIN_ATTEMPTS

    def get_demand(self, task: Task, declared: Demand) -> Demand:
        """Returns the demand to commit for a job: learned, or as declared.

        An attempt that exceeds its memory is killed, so the maximum counts;
        exceeding its cores only slows it down, so a high quantile suffices.
        """
        model = self._classes.get(get_class_name(task))
        if model is None or not self.is_known(task):
            return declared
        if model.size is None:
            cores = model.cores.get(SIZE_QUANTILE) * MARGIN
            memory = model.memory.get(1.0) * MARGIN
            model.size = Demand(
                round(max(MIN_CORES, cores), 2),
                max(MIN_MEMORY_MB, int(memory)),
            )
        return attrs.evolve(model.size, accelerators=declared.accelerators)

    def get_seconds(self, task: Task, quantile: float = 0.9) -> float:
        """Returns a quantile of a job's run time, or the declared run time.

        Args:
          task: The job.
          quantile: The quantile, from 0 to 1.
        """
        model = self._classes.get(get_class_name(task))
        if model is None or len(model.seconds.window) < MIN_ATTEMPTS:
            return task.expected_seconds
        return model.seconds.get(quantile)

    def _get(self, name: str) -> _ClassModel:
        model = self._classes.setdefault(name, _ClassModel())
        self._classes.move_to_end(name)
        if len(self._classes) > MAX_CLASSES:
            self._classes.popitem(last=False)
        return model
