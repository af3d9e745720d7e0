"""Learned durations of steps, relative to what callers declare.

Load pattern: callers' estimates are off by half or more, and a step lasts as
long as the longest of its tasks. Judged by the estimates alone, most jobs count
as late soon after they have begun, although they can still be in time. Urgent
ones then lose their turn before long-running tasks, and work that is of use no
longer goes before work that is not.
"""

from __future__ import annotations

import collections
import math
import statistics

import attrs

from lentilmount.scheduling.model import DurationRatio, Job, Task

StepKey = tuple[int, int]
"""Occurrence and index of a step."""

MIN_STEPS = 5
"""Number of finished steps of a queue from which their ratio is used."""

MAX_STEPS = 40
"""Number of newest finished steps of a queue that count."""

MAX_OPEN_STEPS = 2000
"""Number of unfinished steps whose longest task is kept, the newest ones."""


@attrs.define
class StepDurations:
    """Learns by queue how long steps take relative to their estimates.

    Attributes:
      max_ratio: Largest ratio that is used; 1 turns the learning off.
    """

    max_ratio: float = 1.0
    _ratios: dict[str, DurationRatio] = attrs.Factory(dict)
    _samples: dict[str, collections.deque[float]] = attrs.Factory(dict)
    _longest: dict[tuple[Job, StepKey], float] = attrs.Factory(dict)

    def get_ratio(self, queue: str) -> DurationRatio:
        """Returns the ratio of a queue, which follows what is learned."""
        return self._ratios.setdefault(queue, DurationRatio())

    def record(self, task: Task, now: float) -> None:
        """Records that the run of a placed task is done.

        Args:
          task: The task, before its step is marked as done.
          now: Monotonic time in seconds.
        """
        if self.max_ratio <= 1 or not task.spec.estimated_seconds:
            return
        step = (task.id.occurrence, task.id.step)
        key = (task.job, step)
        seconds = _measure_run(task, now)
        longest = max(seconds, self._longest.pop(key, 0.0))
        if task.job.remaining[step] > 1:
            self._longest[key] = longest
            if len(self._longest) > MAX_OPEN_STEPS:
                del self._longest[next(iter(self._longest))]
        elif 0 < longest < math.inf:
            self._add(
                task.job.spec.queue.name, longest / task.spec.estimated_seconds
            )

    def _add(self, queue: str, sample: float) -> None:
        samples = self._samples.setdefault(
            queue, collections.deque(maxlen=MAX_STEPS)
        )
        samples.append(sample)
        if len(samples) >= MIN_STEPS:
            usual = statistics.median(samples)
            self.get_ratio(queue).value = min(self.max_ratio, max(1.0, usual))


def _measure_run(task: Task, now: float) -> float:
    """Returns the duration of a run in seconds.

    Returns:
      The duration; infinity if the run does not tell how long the task takes,
      because it was resumed, throttled, or started by an earlier owner.
    """
    is_throttled = min(task.cpu_percent, task.previous_cpu_percent) < 100
    is_known = 0 < task.confirmed_at < math.inf
    if task.run > 1 or is_throttled or not is_known:
        return math.inf
    return now - task.confirmed_at
