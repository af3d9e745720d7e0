"""Learns interference from worker measurements and limits it.

Throttles or evicts jobs that slow a service down, and prices the placement of
new tasks by their expected interference.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

import attrs

from lentilmount.batch.headroom import HeadroomTracker
from lentilmount.batch.interference import InterferenceModel, get_load_band
from lentilmount.batch.isolation import (
    MIN_CHANGE,
    MIN_SHARE,
    EvictAction,
    Isolator,
    Limits,
    Neighbour,
    ThrottleAction,
    make_limits,
    tighten,
)
from lentilmount.batch.learning import MIN_CORES, SizeLearner, get_class_name
from lentilmount.batch.occupancy import Occupancy, is_evictable
from lentilmount.batch.overruns import OverrunDetector
from lentilmount.batch.placement import Cost
from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.resources import ConfigurationSpec, Phase
from lentilmount.upstream.workers import Action, Command, Usage

WINDOW_SECONDS = 5.0
"""Window over which a worker computes the 99th percentile that it reports."""

MIN_START_SHARE = 0.2
"""Minimum share of its cores that a job must be able to use to be placed.

With less, most of its commitment would stay unused.
"""

LONG_PENDING_SECONDS = 600.0
"""Pending time after which `MIN_SHARE` suffices, to prevent starvation."""

SLOWDOWN_COST_CORES = 12.0
"""Cost of slowing a service down by a factor of e, in free cores."""

FULL_THROTTLE_COST_CORES = 8.0
"""Cost of placing a job where it could use almost none of its cores."""

MIN_CONFIDENCE = 0.5
OVERRUN_REASON = 'uses more than was committed for it'
RESEND_SECONDS = 10.0
"""Interval at which throttles are resent, since a command may be lost."""

SAME_MEASUREMENT_SECONDS = 0.5
"""Measurement times that differ by less belong to the same measurement."""

LAG_GAIN = 0.02
"""Weight of one measurement in the moving average of the lag."""


class PolicySession(Protocol):
    """The part of a worker's session that the policy uses."""

    @property
    def name(self) -> str:
        """Name of the worker."""

    @property
    def reachable(self) -> bool:
        """Whether the worker answered the last call."""

    @property
    def usage(self) -> tuple[Usage, ...]:
        """The last reported measurements; a new object for each report."""

    def send(self, command: Command) -> None:
        """Adds a command to the next call."""

    def wake(self) -> None:
        """Calls the worker immediately."""


@attrs.frozen
class _Reading:
    """The evaluated measurement of one service.

    Attributes:
      service: The service.
      band: Its load band.
      ratio: Its latency as a multiple of that without jobs.
      at: Monotonic time of the measurement.
    """

    service: str
    band: int
    ratio: float
    at: float


class InterferenceController:
    """Keeps services close to their latency without co-located jobs.

    Args:
      occupancy: The tasks on each worker.
      sizes: Learns job sizes from the same measurements.
      overruns: Detects overruns in the same measurements.
      try_spend: Spends one eviction; returns whether the budget allowed it.
    """

    def __init__(
        self,
        occupancy: Occupancy,
        sizes: SizeLearner,
        overruns: OverrunDetector,
        try_spend: Callable[[], bool],
    ):
        self.model = InterferenceModel()
        self._occupancy = occupancy
        self._sizes = sizes
        self._overruns = overruns
        self._try_spend = try_spend
        self._isolator = Isolator(try_spend)
        self._weights = ConfigurationSpec()
        self._limits = Limits()
        self._lag = 0.0
        self._last_usage: dict[str, tuple[Usage, ...]] = {}
        self._measured_at: dict[str, float] = {}
        self._learned_at: dict[str, float] = {}
        self._headroom = HeadroomTracker(occupancy, self.model)
        self._sent_at: dict[tuple[str, int], float] = {}
        self._share_caps: dict[str, float] = {}
        self._update_slowdown_limit()

    def set_weights(self, weights: ConfigurationSpec) -> None:
        """Sets the deployment's weights."""
        if weights != self._weights:
            self._weights = weights
            self._limits = make_limits(weights)
            self._headroom.clear()
            self._update_slowdown_limit()

    def _update_slowdown_limit(self) -> None:
        high = tighten(self._limits, self._lag).high
        self._headroom.slowdown_limit = math.log(high)

    def invalidate(self, worker: str) -> None:
        """Discards the cached headroom of a worker whose tasks changed."""
        self._headroom.invalidate(worker)

    def forget(self, task: str) -> None:
        """Discards the state of a task that left its worker."""
        self._measured_at.pop(task, None)
        self._learned_at.pop(task, None)
        self._share_caps.pop(task, None)
        self._headroom.forget(task)

    def process_usage(
        self, session: PolicySession, now: float
    ) -> list[EvictAction]:
        """Processes a worker's new measurements and sends throttles.

        Returns:
          The jobs to evict.
        """
        if self._last_usage.get(session.name) is session.usage:
            return []
        self._last_usage[session.name] = session.usage
        evictions: list[EvictAction] = []
        worst: _Reading | None = None
        for task, usage in self._list_new_measurements(session, now):
            if not task.is_service:
                evictions += self._check_overrun(session, task, usage, now)
                continue
            reading = self._evaluate_service(
                session.name, task, usage, now - usage.age
            )
            if reading and (worst is None or reading.ratio > worst.ratio):
                worst = reading
        if worst is not None:
            self._lag += LAG_GAIN * (now - worst.at - self._lag)
            self._update_slowdown_limit()
            evictions += self._limit_interference(session, worst, now)
        return evictions

    def _list_new_measurements(
        self, session: PolicySession, now: float
    ) -> Iterator[tuple[Task, Usage]]:
        for usage in session.usage:
            task = self._occupancy.get(usage.task)
            if task is None or task.attempt != usage.attempt:
                continue
            at = now - usage.age
            if (
                at
                > self._measured_at.get(task.id, -math.inf)
                + SAME_MEASUREMENT_SECONDS
            ):
                self._measured_at[task.id] = at
                yield task, usage

    def _check_overrun(
        self, session: PolicySession, job: Task, usage: Usage, now: float
    ) -> list[EvictAction]:
        # A measurement window that overlaps the last throttle change would
        # give a wrong size for the current share.
        settled = self._occupancy.get_throttled_at(job) + WINDOW_SECONDS
        if now - usage.age < settled:
            return []
        share = self._occupancy.get_throttle(job)
        self._sizes.observe(job, usage, share)
        overrun_action = self._overruns.evaluate(job, usage, share, now)
        if overrun_action is None:
            return []
        if overrun_action.share < share:
            self._share_caps[job.id] = overrun_action.share
            self.throttle(
                session, ThrottleAction(job.id, job.attempt, share), now
            )
        if overrun_action.relocate and is_evictable(job) and self._try_spend():
            return [EvictAction(job.id, job.attempt, OVERRUN_REASON)]
        return []

    def _limit_interference(
        self, session: PolicySession, worst: _Reading, now: float
    ) -> list[EvictAction]:
        actions = self._isolator.decide(
            session.name,
            worst.ratio,
            worst.at,
            now,
            self._list_neighbours(session.name, worst, now),
            tighten(self._limits, self._lag),
        )
        for action in actions:
            if isinstance(action, ThrottleAction):
                self.throttle(session, action, now)
        return [action for action in actions if isinstance(action, EvictAction)]

    def _evaluate_service(
        self, worker: str, task: Task, usage: Usage, at: float
    ) -> _Reading | None:
        if usage.p99_ms <= 0:
            self._headroom.record_idle(worker, task.id)
            return None
        band = get_load_band(usage.load)
        self._headroom.record_load(worker, task.id, band, at)
        mix = self._occupancy.get_mean_mix(worker, at - WINDOW_SECONDS, at)
        if mix is None:
            return None
        name = task.resource
        # Measurements with overlapping windows are not independent.
        if at >= self._learned_at.get(task.id, -math.inf) + WINDOW_SECONDS:
            self._learned_at[task.id] = at
            self.model.observe(name, band, mix, usage.p99_ms, at)
        ratio = self.model.get_ratio(name, band, usage.p99_ms)
        predicted = self.model.predict(name, band, mix, at)
        # A single percentile is noisy, so it is averaged with the prediction.
        if predicted.confidence >= MIN_CONFIDENCE:
            ratio = math.sqrt(ratio * predicted.ratio)
        return _Reading(name, band, ratio, at)

    def _list_neighbours(
        self, worker: str, worst: _Reading, now: float
    ) -> list[Neighbour]:
        return [
            Neighbour(
                task=job.id,
                attempt=job.attempt,
                effect=job.share
                * self.model.get_effect(
                    worst.service, get_class_name(job), worst.band
                ),
                share=self._occupancy.get_throttle(job),
                cost=self._occupancy.get_running_seconds(job.id, now),
            )
            for job in self._occupancy.list_evictable_jobs(worker)
        ]

    def throttle(
        self, session: PolicySession, action: ThrottleAction, now: float
    ) -> None:
        """Changes the share of its cores that a job may use."""
        job = self._occupancy.get(action.task)
        if job is None or job.attempt != action.attempt:
            return
        share = min(action.share, self._share_caps.get(job.id, 1.0))
        self._occupancy.set_throttle(job, share, now)
        self._headroom.invalidate(job.worker)
        self._send(session, job, share, now)

    def resend(self, sessions: Mapping[str, PolicySession], now: float) -> None:
        """Resends throttles periodically, since a command may be lost."""
        throttled = self._occupancy.list_throttled()
        for job, share in throttled:
            sent = self._sent_at.get((job.id, job.attempt), -math.inf)
            due = now - sent >= RESEND_SECONDS
            if due and job.worker in sessions and job.phase is Phase.RUNNING:
                self._send(sessions[job.worker], job, share, now)
        kept = {(job.id, job.attempt) for job, _ in throttled}
        for key in [k for k in self._sent_at if k not in kept]:
            del self._sent_at[key]

    def _send(
        self, session: PolicySession, job: Task, share: float, now: float
    ) -> None:
        session.send(Command(Action.THROTTLE, job.id, job.attempt, share=share))
        session.wake()
        self._sent_at[job.id, job.attempt] = now

    def make_cost(
        self, task: Task, now: float, pending_seconds: float = 0.0
    ) -> Cost:
        """Returns a function that prices the interference on a worker.

        A job is rejected where a service would probably exceed its limit. A
        service must run somewhere, so it merely prefers workers with little
        interference.

        Args:
          task: The task to be placed.
          now: Monotonic time.
          pending_seconds: Seconds that it has been pending.
        """
        if task.is_service:
            return lambda record: self._price_service(task, record, now)
        name = get_class_name(task)
        min_share = (
            MIN_START_SHARE
            if pending_seconds < LONG_PENDING_SECONDS
            else MIN_SHARE
        )
        return lambda record: self._price_job(name, min_share, record, now)

    def _price_job(
        self, name: str, min_share: float, record: WorkerRecord, now: float
    ) -> float:
        price = 0.0
        share = self._headroom.get_allowed_share(name, record.name, now)
        if share < min_share:
            return math.inf
        for slowdown in self._headroom.list_slowdowns(record.name, now):
            mean, _ = self.model.get_term(
                slowdown.service, name, slowdown.band, now
            )
            total = slowdown.get_total(self._headroom.slowdown_limit)
            price += total + 2 * mean * share
        price *= SLOWDOWN_COST_CORES * self._weights.tail_weight
        return price + FULL_THROTTLE_COST_CORES * (1 - share)

    def limit_cores(self, job: Task, worker: str, now: float) -> Task:
        """Returns a job with fewer cores if its worker's services need it.

        A class that interferes too much at full speed would otherwise never
        run, and throttled only after its start it would hold cores that it
        may not use. If the size of its class is unknown, part of the declared
        cores may be all that it needs, so it is throttled from its start
        instead; see `apply_initial_throttle`.
        """
        self._headroom.invalidate(worker)
        if job.is_service:
            return job
        share = self._headroom.get_allowed_share(
            get_class_name(job), worker, now
        )
        self._headroom.initial_shares.pop(job.id, None)
        if share > 1 - MIN_CHANGE:
            return attrs.evolve(job, share=1.0)
        share = max(MIN_SHARE, round(share, 2))
        self._headroom.initial_shares[job.id] = share
        if not self._sizes.is_known(job):
            return attrs.evolve(job, share=1.0)
        cores = max(MIN_CORES, round(job.demand.cores * share, 2))
        demand = attrs.evolve(job.demand, cores=min(cores, job.demand.cores))
        return attrs.evolve(job, demand=demand, share=share)

    def apply_initial_throttle(self, job: Task, now: float) -> None:
        """Throttles a job from its start if `limit_cores` did not reduce it."""
        share = self._headroom.initial_shares.get(job.id, 1.0)
        if job.share == 1 and share < 1:
            self._occupancy.set_throttle(job, share, now)

    def _price_service(
        self, task: Task, record: WorkerRecord, now: float
    ) -> float:
        mix = self._occupancy.get_mix(record.name)
        band = get_load_band(1.0)
        predicted = self.model.predict(task.resource, band, mix, now)
        weight = SLOWDOWN_COST_CORES * self._weights.tail_weight
        return weight * math.log(predicted.ratio)
