"""What is emulated, and what came out."""

from __future__ import annotations

import collections
import math

import attrs

from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import QUIET_INTENSITY, Task, Worker
from lentilmount.scheduling.reports import WorkerEntry, WorkerState

STEP_SECONDS = 0.05
"""Time that an emulation goes on at once."""

LASTING_SECONDS = 300.0
"""After which a lasting task fails, on average."""


@attrs.frozen
class Load:
    """What is emulated.

    Attributes:
      workers: How many workers.
      serving_jobs: Jobs of six tasks that serve, there from the start.
      filling_per_second: Arrivals of jobs whose tasks fill.
      plain_per_second: Arrivals of other jobs.
      seconds: Length.
      swing_seconds: Period of the serving tasks' loads.
      heavy: Share of the filling images that press heavily.
      cores: Cores of a worker; one in three has half as many more.
    """

    workers: int = 34
    serving_jobs: int = 25
    filling_per_second: float = 4.4
    plain_per_second: float = 3.2
    seconds: float = 34.0
    swing_seconds: float = 14.0
    heavy: float = 0.6
    cores: float = 32.0


@attrs.define
class Outcome:
    """What came out.

    Attributes:
      filling: Share of the work of filling jobs that was done in time.
      serving: Share of the serving tasks' time that counts; time over the
        target because of others counts four times.
      harms: Spells over the target of more than 4 s because of others.
      moves: Filling tasks that were moved.
      known_after: Seconds until nine of ten harmless pairs were known as
        harmless, or infinity.
    """

    filling: float = 0.0
    serving: float = 0.0
    harms: int = 0
    moves: int = 0
    known_after: float = math.inf


@attrs.define(eq=False)
class Running:
    """A task on an emulated worker."""

    task: Task
    left: float
    percent: int = 100
    phase: float = 0.0
    stop_at: float = math.inf
    ratios: collections.deque[float] = attrs.Factory(
        lambda: collections.deque(maxlen=int(0.5 / STEP_SECONDS))
    )
    over_since: float = math.inf
    busy: bool = True
    switch_at: float = 0.0

    @property
    def press(self) -> float:
        """How hard it presses, 1 for a busy spell at full pace."""
        factor = 1.0 if self.busy else QUIET_INTENSITY
        return factor * self.percent / 100


def add_worker(
    cluster: ClusterState,
    name: str,
    capacity: Room,
    zone: str = 'z0',
    labels: tuple[str, ...] = (),
) -> Worker:
    """Adds a worker that has answered."""
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
