"""What jobs of a class really take, learned from lagging measurements."""

from __future__ import annotations

import collections
import sys

import attrs

from lentilmount.batch.records import Task
from lentilmount.resources import Demand
from lentilmount.upstream.workers import Usage

WINDOW = 64
"""Finished attempts of a class that are remembered; older ones go."""

ENOUGH = 8
"""Finished attempts before a class's declared sizes are put aside."""

CLASSES_KEPT = 512
SIZE_QUANTILE = 0.95
MARGIN = 1.15
"""What is committed over the quantile; more is enforced by the worker."""

MIN_CORES = 0.25
MIN_MEMORY_MB = 128
SATURATED = 0.95
MIN_REPORTS = 3
"""Measurements of an attempt before its sizes count."""


def get_class_name(task: Task) -> str:
    """Returns the name that a task's class is learned under."""
    # What runs beside what is kept for each worker over time: a text of its
    # own in each entry took a MiB for 725 tasks.
    return sys.intern(f'{task.team}/{task.job_class}')


@attrs.define
class Quantiles:
    """Quantiles of the last measurements."""

    window: collections.deque[float] = attrs.Factory(
        lambda: collections.deque(maxlen=WINDOW)
    )

    def add(self, value: float) -> None:
        """Adds a measurement."""
        self.window.append(value)

    def get(self, share: float) -> float:
        """Returns a quantile of what is remembered."""
        ordered = sorted(self.window)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@attrs.define
class _Class:
    cores: Quantiles = attrs.Factory(Quantiles)
    memory: Quantiles = attrs.Factory(Quantiles)
    seconds: Quantiles = attrs.Factory(Quantiles)
    size: Demand | None = None


@attrs.define
class _Peak:
    cores: float = 0.0
    memory_mb: int = 0
    reports: int = 0
    saturated: bool = False


class SizeLearner:
    """Sizes and run times by job class.

    Nothing of it is stored: a new owner begins with the declared sizes, which
    are what operators asked for, and knows better after `ENOUGH` attempts.
    """

    def __init__(self) -> None:
        self._classes: collections.OrderedDict[str, _Class] = (
            collections.OrderedDict()
        )
        self._peaks: dict[tuple[str, int], _Peak] = {}

    def observe(self, task: Task, usage: Usage, throttle: float) -> None:
        """Takes in a measurement of a job.

        Args:
          task: The job.
          usage: The measurement.
          throttle: Share of its commitment that it was allowed.
        """
        peak = self._peaks.setdefault((usage.task, usage.attempt), _Peak())
        cores = usage.cores / throttle
        # What uses all of a commitment that was cut might have used more.
        if task.share < 1 and cores > SATURATED * task.demand.cores:
            peak.saturated = True
        peak.cores = max(peak.cores, cores)
        peak.memory_mb = max(peak.memory_mb, usage.memory_mb)
        peak.reports += 1

    def record_completion(self, task: Task, seconds: float) -> None:
        """Takes in that an attempt completed after some seconds."""
        peak = self._peaks.pop((task.id, task.attempt), None)
        model = self._get(get_class_name(task))
        model.seconds.add(seconds)
        if peak is not None and peak.reports >= MIN_REPORTS:
            if not peak.saturated:
                model.cores.add(peak.cores)
            model.memory.add(peak.memory_mb)
            model.size = None

    def forget(self, task: Task) -> None:
        """Drops the measurements of an attempt that did not complete."""
        self._peaks.pop((task.id, task.attempt), None)

    def is_known(self, task: Task) -> bool:
        """Tells whether the sizes of a job's class are known."""
        model = self._classes.get(get_class_name(task))
        return model is not None and len(model.cores.window) >= ENOUGH

    def get_demand(self, task: Task, declared: Demand) -> Demand:
        """Returns what to commit for a job: learned, or as declared.

        Memory beyond the commitment ends an attempt, so all that was seen
        counts; processors are shared out, so a high quantile does.
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

    def get_seconds(self, task: Task, share: float = 0.9) -> float:
        """Returns a quantile of the run time: learned, or as declared."""
        model = self._classes.get(get_class_name(task))
        if model is None or len(model.seconds.window) < ENOUGH:
            return task.expected_seconds
        return model.seconds.get(share)

    def _get(self, name: str) -> _Class:
        model = self._classes.setdefault(name, _Class())
        self._classes.move_to_end(name)
        if len(self._classes) > CLASSES_KEPT:
            self._classes.popitem(last=False)
        return model
