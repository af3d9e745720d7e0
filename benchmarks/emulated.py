"""Load, outcome and running tasks of the emulator in `emulation`."""

from __future__ import annotations

import collections
import math

import attrs

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import QUIET_INTENSITY, Task, Worker
from lentilmount.scheduling.reports import WorkerEntry, WorkerState

STEP_SECONDS = 0.05
"""Time step of an emulation."""

MEAN_LIFETIME_SECONDS = 300.0
"""Mean time until a long-running task fails."""


@attrs.frozen
class Load:
    """Workers and load of an emulation.

    Attributes:
      workers: Number of workers.
      serving_jobs: Number of serving jobs, of six tasks each, from the start.
      best_effort_per_second: Arrival rate of best-effort jobs.
      other_per_second: Arrival rate of other jobs.
      seconds: Time during which jobs arrive and serving tasks are measured.
      swing_seconds: Period of the load of the serving tasks.
      heavy: Share of the best-effort images that can put high pressure on
        serving tasks.
      cores: Cores of a worker; every third worker has 1.5 times as many.
    """

    workers: int = 34
    serving_jobs: int = 25
    best_effort_per_second: float = 4.4
    other_per_second: float = 3.2
    seconds: float = 34.0
    swing_seconds: float = 14.0
    heavy: float = 0.6
    cores: float = 32.0


@attrs.define
class Outcome:
    """Outcome of an emulation.

    Attributes:
      filling: Share of the credit of best-effort jobs that was earned by
        completion in time.
      serving: Time of serving tasks within the target, less three times the
        time over it because of interference, as a share of the whole time.
      harm_periods: Number of periods of more than 4 s over the target because
        of interference.
      moves: Number of best-effort tasks that were moved.
      known_after: Seconds until the model has learned that nine of ten
        harmless pairs are harmless; infinity if it has not.
    """

    filling: float = 0.0
    serving: float = 0.0
    harm_periods: int = 0
    moves: int = 0
    known_after: float = math.inf


@attrs.define(eq=False)
class Running:
    """A running task on an emulated worker.

    Attributes:
      task: The task.
      remaining_seconds: Remaining run time at full speed.
      percent: CPU share after throttling, in percent.
      phase: Phase of the load of a serving task, in radians.
      stop_at: Time at which the task stops after a stop command.
      tail_ratios: Latest ratios of the tail latency to the target.
      over_target_since: Start of the period over the target, or infinity.
      busy: Whether a best-effort task is in a busy phase.
      switch_at: Time at which the next busy or quiet phase is drawn.
    """

    task: Task
    remaining_seconds: float
    percent: int = 100
    phase: float = 0.0
    stop_at: float = math.inf
    tail_ratios: collections.deque[float] = attrs.Factory(
        lambda: collections.deque(maxlen=int(0.5 / STEP_SECONDS))
    )
    over_target_since: float = math.inf
    busy: bool = True
    switch_at: float = 0.0

    @property
    def pressure(self) -> float:
        """Relative pressure on serving tasks; 1 if busy and unthrottled."""
        factor = 1.0 if self.busy else QUIET_INTENSITY
        return factor * self.percent / 100


def add_worker(
    cluster: ClusterState,
    name: str,
    capacity: Room,
    zone: str = 'z0',
    labels: tuple[str, ...] = (),
) -> Worker:
    """Registers a reachable worker."""
    entry = WorkerEntry(
        name,
        1,
        'address',
        'service',
        zone,
        WorkerState.READY,
        capacity,
        labels,
    )
    worker = cluster.register_worker(entry)
    worker.has_answered = worker.reachable = True
    return worker
