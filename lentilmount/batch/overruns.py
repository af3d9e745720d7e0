"""Jobs that take more than was committed for them."""

from __future__ import annotations

import attrs

from lentilmount.batch.isolation import MIN_SHARE
from lentilmount.batch.learning import MARGIN
from lentilmount.batch.records import Task
from lentilmount.resources import Demand
from lentilmount.upstream.workers import Usage

TOLERANCE = 1.1
"""Measurements above the commitment by less are taken for noise."""

CONFIRMATIONS = 3
PATIENCE_SECONDS = 60.0
"""How long a job is throttled for its processors before it is moved."""


@attrs.define
class _Overrun:
    """An attempt that takes too much.

    Attributes:
      since: Monotonic time of the first measurement.
      count: Measurements in a row.
      cores: Most processors measured, as if not throttled.
      memory_mb: Most memory measured.
    """

    since: float
    count: int = 0
    cores: float = 0.0
    memory_mb: int = 0


@attrs.frozen
class OverrunAction:
    """What an overrun calls for.

    Attributes:
      share: Share of the processors to leave to the job.
      relocate: Whether it is to be placed anew with more.
    """

    share: float
    relocate: bool


class OverrunDetector:
    """Throttles jobs that take too much, and has them moved.

    Processors can be taken away, so a job that wants more is throttled to
    its commitment and moved only if it goes on wanting more. Memory cannot,
    so the job is moved at once. The next attempt is given what was measured.
    """

    def __init__(self) -> None:
        self._overruns: dict[tuple[str, int], _Overrun] = {}
        self._needs: dict[str, Demand] = {}

    def get_need(self, task: Task) -> Demand | None:
        """Returns what an earlier attempt was measured to need, or None."""
        return self._needs.get(task.id)

    def forget(self, task: Task) -> None:
        """Drops what is remembered of a task that is over."""
        self._needs.pop(task.id, None)

    def forget_attempt(self, task: Task) -> None:
        """Drops what is remembered of an attempt that is over."""
        self._overruns.pop((task.id, task.attempt), None)

    def evaluate(
        self, task: Task, usage: Usage, share: float, now: float
    ) -> OverrunAction | None:
        """Judges one measurement of a job.

        Args:
          task: The job.
          usage: The measurement.
          share: Share of its processors that it was allowed.
          now: Monotonic time.

        Returns:
          What is to be done, or None if the job takes what it may.
        """
        key = (task.id, task.attempt)
        cores = usage.cores / share
        over_cores = cores > task.demand.cores * TOLERANCE
        over_memory = usage.memory_mb > task.demand.memory_mb * TOLERANCE
        if not over_cores and not over_memory:
            self._overruns.pop(key, None)
            return None
        overrun = self._overruns.setdefault(key, _Overrun(now))
        overrun.count += 1
        overrun.cores = max(overrun.cores, cores)
        overrun.memory_mb = max(overrun.memory_mb, usage.memory_mb)
        if overrun.count < CONFIRMATIONS:
            return None
        patient = now - overrun.since < PATIENCE_SECONDS
        relocate = over_memory or not patient
        if relocate:
            self._needs[task.id] = _grow(task.demand, overrun)
        return OverrunAction(
            max(MIN_SHARE, task.demand.cores / cores), relocate
        )


def _grow(demand: Demand, overrun: _Overrun) -> Demand:
    return Demand(
        max(demand.cores, round(overrun.cores * MARGIN, 2)),
        max(demand.memory_mb, int(overrun.memory_mb * MARGIN)),
        demand.accelerators,
    )
