"""Detects jobs that use more resources than were committed for them."""

from __future__ import annotations

import attrs

from lentilmount.batch.isolation import MIN_SHARE
from lentilmount.batch.learning import MARGIN
from lentilmount.batch.records import Task
from lentilmount.resources import Demand
from lentilmount.upstream.workers import Usage

TOLERANCE = 1.1
"""Ratio of usage to commitment up to which the excess counts as noise."""

CONFIRMATIONS = 3
"""Consecutive measurements above the tolerance needed to act."""

RELOCATE_AFTER_SECONDS = 60.0
"""Time that a job may exceed its cores, throttled, before it is relocated."""


@attrs.define
class _Overrun:
    """An attempt that exceeds its commitment.

    Attributes:
      since: Monotonic time of the first measurement above the tolerance.
      count: Consecutive measurements above the tolerance.
      cores: Maximum cores measured, scaled up to an unthrottled job.
      memory_mb: Maximum memory measured, in MiB.
    """

    since: float
    count: int = 0
    cores: float = 0.0
    memory_mb: int = 0


@attrs.frozen
class OverrunAction:
    """Measures to take against an overrun.

    Attributes:
      share: Share of its cores that the job may use.
      relocate: Whether to evict the job and place it again with more resources.
    """

    share: float
    relocate: bool


class OverrunDetector:
    """Decides whether to throttle or relocate jobs that use too much.

    Cores can be limited, so a job that exceeds them is throttled to its
    commitment, and relocated only if it keeps demanding more. Memory cannot
    be limited, so the job is relocated at once. The next attempt is sized by
    the measurements.
    """

    def __init__(self) -> None:
        self._overruns: dict[tuple[str, int], _Overrun] = {}
        self._needs: dict[str, Demand] = {}

    def get_need(self, task: Task) -> Demand | None:
        """Returns the measured demand of an earlier attempt, or None."""
        return self._needs.get(task.id)

    def forget(self, task: Task) -> None:
        """Discards the measured demand of a task that has ended."""
        self._needs.pop(task.id, None)

    def forget_attempt(self, task: Task) -> None:
        """Discards the overrun of an attempt that has ended."""
        self._overruns.pop((task.id, task.attempt), None)

    def evaluate(
        self, task: Task, usage: Usage, share: float, now: float
    ) -> OverrunAction | None:
        """Evaluates one measurement of a job.

        Args:
          task: The job.
          usage: The measurement.
          share: Share of its cores that it was allowed to use.
          now: Monotonic time.

        Returns:
          The measures to take, or None if there are none.
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
        may_wait = now - overrun.since < RELOCATE_AFTER_SECONDS
        relocate = over_memory or not may_wait
        if relocate:
            self._needs[task.id] = _enlarge(task.demand, overrun)
        return OverrunAction(
            max(MIN_SHARE, task.demand.cores / cores), relocate
        )


def _enlarge(demand: Demand, overrun: _Overrun) -> Demand:
    return Demand(
        max(demand.cores, round(overrun.cores * MARGIN, 2)),
        max(demand.memory_mb, int(overrun.memory_mb * MARGIN)),
        demand.accelerators,
    )
