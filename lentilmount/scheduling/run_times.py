"""Usual run times of tasks, learned from those that have finished.

Tasks of a step are identical, so a few finished ones tell more than anything
else. Those of an image behave alike. Those of a queue differ in size, which
their estimates tell, and estimates are often off by half or more: there the
longest tenth is taken for usual.
"""

from __future__ import annotations

import collections
import math
from collections.abc import Sequence

import attrs

from lentilmount.scheduling.model import Task, TaskPhase

STEP_SAMPLES = 3
IMAGE_SAMPLES = 10
QUEUE_SAMPLES = 20
"""Numbers of finished tasks of a step, an image and a queue from which a usual
run time is told. Fewer say less than the sources that come after them."""

MAX_SAMPLES = 64
"""Number of newest finished tasks of an image or a queue that are kept."""

MAX_NAMES = 500
"""Number of images and of queues that are kept, those used last."""

MEDIAN = 0.5
QUEUE_QUANTILE = 0.9


def measure_run_seconds(task: Task, now: float) -> float | None:
    """Returns for how many seconds the run of a task may have been running.

    Returns:
      The time, or None if the run was started by an earlier owner.
    """
    begin = get_begin(task)
    return None if begin is None else now - begin


def get_begin(task: Task) -> float | None:
    """Returns the monotonic time from which a run may have been running.

    Returns:
      The time, or None if the run was started by an earlier owner.
    """
    if not task.placed_at:
        return None
    is_sent = math.isfinite(task.start_sent_at)
    return task.start_sent_at if is_sent else task.placed_at


def measure_since(at: float, now: float) -> float | None:
    """Returns the rounded seconds since a time, None if that is infinity."""
    return None if math.isinf(at) else round(now - at, 3)


@attrs.define
class _Samples:
    """Newest values by name.

    Attributes:
      least: Number of values from which a quantile is told.
      quantile: The quantile, 0 to 1.
    """

    least: int
    quantile: float
    _values: dict[str, collections.deque[float]] = attrs.Factory(dict)

    def add(self, name: str, value: float) -> None:
        values = self._values.pop(name, None)
        if values is None:
            values = collections.deque(maxlen=MAX_SAMPLES)
        self._values[name] = values
        values.append(value)
        if len(self._values) > MAX_NAMES:
            del self._values[next(iter(self._values))]

    def find(self, name: str) -> float | None:
        values = self._values.get(name, ())
        if len(values) < self.least:
            return None
        return _get_quantile(values, self.quantile)


@attrs.define
class RunTimes:
    """Run times of finished tasks."""

    _by_image: _Samples = attrs.Factory(lambda: _Samples(IMAGE_SAMPLES, MEDIAN))
    _by_queue: _Samples = attrs.Factory(
        lambda: _Samples(QUEUE_SAMPLES, QUEUE_QUANTILE)
    )

    def record(self, task: Task, now: float) -> None:
        """Records the run time of a task whose run is done.

        A run that resumed from a checkpoint took less than the whole task.
        """
        seconds = measure_run_seconds(task, now)
        spec = task.spec
        if (
            seconds is None
            or spec.lasting
            or (task.checkpoint and task.run > 1)
        ):
            return
        if spec.image:
            self._by_image.add(spec.image, seconds)
        if spec.estimated_seconds > 0:
            self._by_queue.add(
                task.job.spec.queue.name, seconds / spec.estimated_seconds
            )

    def find_usual(self, task: Task) -> float | None:
        """Returns the usual run time in seconds of a task like this.

        Returns:
          The time, or None if too few tasks like it have finished.
        """
        finished = _list_step_seconds(task)
        if len(finished) >= STEP_SAMPLES:
            return _get_quantile(finished, MEDIAN)
        by_image = self._by_image.find(task.spec.image)
        if by_image is not None:
            return by_image
        slowness = self._by_queue.find(task.job.spec.queue.name)
        if slowness is None or not task.spec.estimated_seconds:
            return None
        return slowness * task.spec.estimated_seconds


def _list_step_seconds(task: Task) -> list[float]:
    """Lists the run times in seconds of the finished tasks of a step."""
    job, step_key = task.job, (task.id.occurrence, task.id.step)
    if task.spec.count - job.count_remaining(*step_key) < STEP_SAMPLES:
        return []
    done = (
        other
        for other in job.tasks.values()
        if (other.id.occurrence, other.id.step) == step_key
        and other.phase is TaskPhase.DONE
        and not other.is_done_elsewhere
    )
    seconds = (measure_run_seconds(o, o.last_ended_at) for o in done)
    return [took for took in seconds if took is not None]


def _get_quantile(values: Sequence[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
