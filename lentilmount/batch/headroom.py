"""Computes the slowdown that each service can still take from new jobs."""

from __future__ import annotations

import math

import attrs

from lentilmount.batch.interference import InterferenceModel
from lentilmount.batch.isolation import MIN_EFFECT
from lentilmount.batch.learning import get_class_name
from lentilmount.batch.occupancy import Occupancy
from lentilmount.batch.records import Task

PEAK_SECONDS = 240.0
"""Window whose highest load band placement assumes, since load may return."""

NOISY_EFFECT = 0.35
"""Share of the allowed slowdown above which a single job counts as noisy."""

NOISY_FRACTION = 0.2
"""Share of the allowed slowdown that all noisy jobs on a worker may use.

The rest is left for quiet jobs, of which many more fit.
"""

MARGIN_DEVIATIONS = 0.5
"""Safety margin added to estimated slowdowns, in standard deviations."""


@attrs.define
class ServiceSlowdown:
    """Expected slowdown of one service on one worker.

    Attributes:
      service: The service.
      band: The load band that placement assumes.
      quiet: Logarithm of the slowdown expected from quiet jobs.
      noisy: Logarithm of the slowdown expected from noisy jobs.
      variance: Variance of the sum of both.
    """

    service: str
    band: int
    quiet: float = 0.0
    noisy: float = 0.0
    variance: float = 0.0

    def get_total(self, limit: float) -> float:
        """Returns the logarithm of the slowdown that counts against the limit.

        Noisy jobs started at a lower load are throttled down to their part of
        the limit, so they do not keep quiet jobs away beyond it.

        Args:
          limit: Logarithm of the allowed slowdown.
        """
        return self.quiet + min(self.noisy, NOISY_FRACTION * limit)


class HeadroomTracker:
    """Expected slowdowns of all services, cached by worker.

    Args:
      occupancy: The tasks on each worker.
      model: The interference model.

    Attributes:
      initial_shares: Shares of jobs started with fewer cores, by task id.
      slowdown_limit: Logarithm of the slowdown allowed for a service.
    """

    def __init__(self, occupancy: Occupancy, model: InterferenceModel):
        self.initial_shares: dict[str, float] = {}
        self.slowdown_limit = 0.0
        self._occupancy = occupancy
        self._model = model
        self._bands: dict[str, dict[int, float]] = {}
        self._idle: set[str] = set()
        self._slowdowns: dict[str, list[ServiceSlowdown]] = {}

    def clear(self) -> None:
        """Discards the cached values of all workers."""
        self._slowdowns.clear()

    def invalidate(self, worker: str) -> None:
        """Discards the cached values of a worker."""
        self._slowdowns.pop(worker, None)

    def forget(self, task: str) -> None:
        """Discards the state of a task that left its worker."""
        self._idle.discard(task)
        self._bands.pop(task, None)
        self.initial_shares.pop(task, None)

    def record_idle(self, worker: str, task: str) -> None:
        """Records that a service replica had no requests."""
        if task not in self._idle:
            self._idle.add(task)
            self.invalidate(worker)

    def record_load(self, worker: str, task: str, band: int, at: float) -> None:
        """Records the load band of a service replica.

        Args:
          worker: Name of its worker.
          task: Id of the replica.
          band: The load band.
          at: Monotonic time of the measurement.
        """
        self._idle.discard(task)
        self._bands.setdefault(task, {})[band] = at
        self.invalidate(worker)

    def get_allowed_share(self, name: str, worker: str, now: float) -> float:
        """Returns the share of its cores that a job class may use on a worker.

        Args:
          name: Name of the job class.
          worker: Name of the worker.
          now: Monotonic time.
        """
        share = 1.0
        for slowdown in self.list_slowdowns(worker, now):
            mean, variance = self._model.get_term(
                slowdown.service, name, slowdown.band, now
            )
            margin = MARGIN_DEVIATIONS * math.sqrt(slowdown.variance + variance)
            headroom = (
                self.slowdown_limit
                - slowdown.get_total(self.slowdown_limit)
                - margin
            )
            if mean > NOISY_EFFECT * self.slowdown_limit:
                headroom = min(
                    headroom,
                    NOISY_FRACTION * self.slowdown_limit - slowdown.noisy,
                )
            if mean > headroom:
                share = min(share, max(0.0, headroom / max(mean, MIN_EFFECT)))
        return share

    def list_slowdowns(self, worker: str, now: float) -> list[ServiceSlowdown]:
        """Returns the expected slowdowns of a worker's active services."""
        slowdowns = self._slowdowns.get(worker)
        if slowdowns is None:
            slowdowns = [
                self._compute_slowdown(task, now)
                for task in self._occupancy.list_tasks(worker)
                if task.is_service and not self._is_idle(task, now)
            ]
            self._slowdowns[worker] = slowdowns
        return slowdowns

    def _list_bands(self, task: Task, now: float) -> list[int]:
        seen = self._bands.get(task.id, {})
        return [b for b, at in seen.items() if now - at < PEAK_SECONDS]

    def _is_idle(self, task: Task, now: float) -> bool:
        # A service without requests yields no percentile to learn from. With
        # the margin for unknown pairs its worker would accept a handful of
        # jobs and then no more, however many resources are free.
        return task.id in self._idle and not self._list_bands(task, now)

    def _compute_slowdown(self, task: Task, now: float) -> ServiceSlowdown:
        bands = self._list_bands(task, now)
        slowdown = ServiceSlowdown(task.resource, max(bands, default=0))
        noisy = NOISY_EFFECT * self.slowdown_limit
        for job in self._occupancy.list_tasks(task.worker):
            if job.is_service:
                continue
            # A throttled job counts with its initial share: if new jobs took
            # the headroom that its throttle created, it would stay throttled.
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
