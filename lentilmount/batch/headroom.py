"""How much of its speed each service has left, for new work beside it."""

from __future__ import annotations

import math

import attrs

from lentilmount.batch.interference import InterferenceModel
from lentilmount.batch.isolation import MIN_EFFECT
from lentilmount.batch.learning import get_class_name
from lentilmount.batch.occupancy import Occupancy
from lentilmount.batch.records import Task

PEAK_SECONDS = 240.0
"""Work is placed for the highest load band of this time, as load returns."""

NOISY_EFFECT = 0.35
"""A job that alone would take more of what a service may lose is noisy."""

NOISY_PART = 0.2
"""What all noisy jobs on a worker may take of it, so that they do not use up
what many quiet ones could share."""

CAUTION = 0.5
"""Standard deviations by which a slowdown is taken for worse than known."""


@attrs.define
class Strain:
    """How one service on one worker stands, kept until something changes.

    Attributes:
      service: The service.
      band: The load band that work is placed for.
      quiet: Logarithm of the slowdown expected of quiet jobs.
      noisy: The same of noisy ones.
      variance: Of both together.
    """

    service: str
    band: int
    quiet: float = 0.0
    noisy: float = 0.0
    variance: float = 0.0

    def get_total(self, limit: float) -> float:
        """Returns what counts as taken.

        Noisy jobs that were begun at a lower load are throttled down to
        their part, and keep no quiet ones away beyond it.
        """
        return self.quiet + min(self.noisy, NOISY_PART * limit)


class HeadroomTracker:
    """The strain on every service, kept for each worker.

    Args:
      occupancy: Which tasks are where.
      model: What was learned of interference.

    Attributes:
      begun: Jobs that were begun with a part of their processors.
      limit: Logarithm of the slowdown that a service may suffer.
    """

    def __init__(self, occupancy: Occupancy, model: InterferenceModel):
        self.initial_shares: dict[str, float] = {}
        self.slowdown_limit = 0.0
        self._occupancy = occupancy
        self._model = model
        self._bands: dict[str, dict[int, float]] = {}
        self._idle: set[str] = set()
        self._strains: dict[str, list[Strain]] = {}

    def clear(self) -> None:
        """Works everything out anew when next asked."""
        self._strains.clear()

    def invalidate(self, worker: str) -> None:
        """Works a worker's services out anew when next asked."""
        self._strains.pop(worker, None)

    def forget(self, task: str) -> None:
        """Drops what is remembered of a task that left its worker."""
        self._idle.discard(task)
        self._bands.pop(task, None)
        self.initial_shares.pop(task, None)

    def record_idle(self, worker: str, task: str) -> None:
        """Takes note that a service had no requests."""
        if task not in self._idle:
            self._idle.add(task)
            self.invalidate(worker)

    def record_load(self, worker: str, task: str, band: int, at: float) -> None:
        """Takes note of a service's load band."""
        self._idle.discard(task)
        self._bands.setdefault(task, {})[band] = at
        self.invalidate(worker)

    def get_allowed_share(self, name: str, worker: str, now: float) -> float:
        """Returns how much of its processors a class may use on a worker."""
        share = 1.0
        for slowdown in self.list_slowdowns(worker, now):
            mean, variance = self._model.get_term(
                slowdown.service, name, slowdown.band, now
            )
            doubt = CAUTION * math.sqrt(slowdown.variance + variance)
            room = (
                self.slowdown_limit
                - slowdown.get_total(self.slowdown_limit)
                - doubt
            )
            if mean > NOISY_EFFECT * self.slowdown_limit:
                room = min(
                    room, NOISY_PART * self.slowdown_limit - slowdown.noisy
                )
            if mean > room:
                share = min(share, max(0.0, room / max(mean, MIN_EFFECT)))
        return share

    def list_slowdowns(self, worker: str, now: float) -> list[Strain]:
        """Returns the services of a worker that are to be kept fast."""
        strains = self._strains.get(worker)
        if strains is None:
            strains = [
                self._strain(task, now)
                for task in self._occupancy.list_tasks(worker)
                if task.is_service and not self._is_idle(task, now)
            ]
            self._strains[worker] = strains
        return strains

    def _list_bands(self, task: Task, now: float) -> list[int]:
        seen = self._bands.get(task.id, {})
        return [b for b, at in seen.items() if now - at < PEAK_SECONDS]

    def _is_idle(self, task: Task, now: float) -> bool:
        # A service without requests gives no percentile to learn from. Kept
        # cautious for it, its worker would take a handful of jobs and then
        # none for ever, however much of it is free.
        return task.id in self._idle and not self._list_bands(task, now)

    def _strain(self, task: Task, now: float) -> Strain:
        bands = self._list_bands(task, now)
        slowdown = Strain(task.resource, max(bands, default=0))
        noisy = NOISY_EFFECT * self.slowdown_limit
        for job in self._occupancy.list_tasks(task.worker):
            if job.is_service:
                continue
            # A throttled job counts as it was begun: new jobs in the room that
            # its throttle made would keep it throttled for ever.
            share = self.initial_shares.get(job.id, job.share)
            mean, variance = self._model.get_term(
                slowdown.service, get_class_name(job), slowdown.band, now
            )
            slowdown.variance += share * share * variance
            if mean > noisy:
                slowdown.noisy += share * mean
            else:
                slowdown.quiet += share * mean
        return slowdown
