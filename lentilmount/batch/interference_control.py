"""Learning interference from measurements, and acting on it."""

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
"""Time over which a worker takes the 99th percentile that it reports."""

START_SHARE = 0.2
"""A job is not begun where it may use less than this of its processors: it
would hold the rest for nothing."""

LONG_WAIT_SECONDS = 600.0
"""After which a job is begun with `MIN_SHARE` rather than never."""

CORES_A_DOUBLING = 12.0
"""What a service that becomes e times slower costs, in cores left free."""

CORES_A_FULL_THROTTLE = 8.0
"""What it costs to place a job where it may use next to nothing."""

CONFIDENT = 0.5
OVERRUN = 'uses more than was committed for it'
RESEND_SECONDS = 10.0
"""A throttle is sent again so often, as an order may be lost."""

SAME_SECONDS = 0.5
LAG_GAIN = 0.02
"""Weight of one measurement in the mean lag."""


class WorkerLink(Protocol):
    """What the policy needs of the link to a worker."""

    @property
    def name(self) -> str:
        """The worker."""

    @property
    def reachable(self) -> bool:
        """Whether the last call was answered."""

    @property
    def usage(self) -> tuple[Usage, ...]:
        """What it last reported; a new object for each report."""

    def send(self, command: Command) -> None:
        """Sends a command with the next call, once."""

    def wake(self) -> None:
        """Makes the link call now."""


@attrs.frozen
class _Reading:
    """What one measurement says of a service."""

    service: str
    band: int
    ratio: float
    at: float


class InterferenceController:
    """Keeps services near their speed alone.

    Args:
      occupancy: Which tasks are where.
      sizes: Learns sizes from the same measurements.
      overruns: Judges jobs by the same measurements.
      try_spend: Spends one eviction if the budget allows it.
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
        self._read: dict[str, tuple[Usage, ...]] = {}
        self._measured: dict[str, float] = {}
        self._learned: dict[str, float] = {}
        self._strains = HeadroomTracker(occupancy, self.model)
        self._sent: dict[tuple[str, int], float] = {}
        self._caps: dict[str, float] = {}
        self._set_limit()

    def set_weights(self, weights: ConfigurationSpec) -> None:
        """Takes over how the deployment weighs things."""
        if weights != self._weights:
            self._weights = weights
            self._limits = make_limits(weights)
            self._strains.clear()
            self._set_limit()

    def _set_limit(self) -> None:
        high = tighten(self._limits, self._lag).high
        self._strains.slowdown_limit = math.log(high)

    def invalidate(self, worker: str) -> None:
        """Takes note that other tasks are on a worker."""
        self._strains.invalidate(worker)

    def forget(self, task: str) -> None:
        """Drops what is remembered of a task that left its worker."""
        self._measured.pop(task, None)
        self._learned.pop(task, None)
        self._caps.pop(task, None)
        self._strains.forget(task)

    def process_usage(
        self, session: WorkerLink, now: float
    ) -> list[EvictAction]:
        """Takes in what a worker measured, and acts on it.

        Returns:
          The jobs to evict; throttles are sent.
        """
        if self._read.get(session.name) is session.usage:
            return []
        self._read[session.name] = session.usage
        evictions: list[EvictAction] = []
        worst: _Reading | None = None
        for task, usage in self._list_fresh(session, now):
            if not task.is_service:
                evictions += self._judge(session, task, usage, now)
                continue
            reading = self._learn(session.name, task, usage, now - usage.age)
            if reading and (worst is None or reading.ratio > worst.ratio):
                worst = reading
        if worst is not None:
            self._lag += LAG_GAIN * (now - worst.at - self._lag)
            self._set_limit()
            evictions += self._protect(session, worst, now)
        return evictions

    def _list_fresh(
        self, session: WorkerLink, now: float
    ) -> Iterator[tuple[Task, Usage]]:
        for usage in session.usage:
            task = self._occupancy.get(usage.task)
            if task is None or task.attempt != usage.attempt:
                continue
            at = now - usage.age
            if at > self._measured.get(task.id, -math.inf) + SAME_SECONDS:
                self._measured[task.id] = at
                yield task, usage

    def _judge(
        self, session: WorkerLink, job: Task, usage: Usage, now: float
    ) -> list[EvictAction]:
        # Measured before the throttle changed, or while it did, it would
        # give a wrong size at the share of now.
        settled = self._occupancy.get_throttled_at(job) + WINDOW_SECONDS
        if now - usage.age < settled:
            return []
        share = self._occupancy.get_throttle(job)
        self._sizes.observe(job, usage, share)
        verdict = self._overruns.evaluate(job, usage, share, now)
        if verdict is None:
            return []
        if verdict.share < share:
            self._caps[job.id] = verdict.share
            self.throttle(
                session, ThrottleAction(job.id, job.attempt, share), now
            )
        if verdict.relocate and is_evictable(job) and self._try_spend():
            return [EvictAction(job.id, job.attempt, OVERRUN)]
        return []

    def _protect(
        self, session: WorkerLink, worst: _Reading, now: float
    ) -> list[EvictAction]:
        acts = self._isolator.decide(
            session.name,
            worst.ratio,
            worst.at,
            now,
            self._list_neighbours(session.name, worst, now),
            tighten(self._limits, self._lag),
        )
        for act in acts:
            if isinstance(act, ThrottleAction):
                self.throttle(session, act, now)
        return [act for act in acts if isinstance(act, EvictAction)]

    def _learn(
        self, worker: str, task: Task, usage: Usage, at: float
    ) -> _Reading | None:
        if usage.p99_ms <= 0:
            self._strains.record_idle(worker, task.id)
            return None
        band = get_load_band(usage.load)
        self._strains.record_load(worker, task.id, band, at)
        mix = self._occupancy.get_mean_mix(worker, at - WINDOW_SECONDS, at)
        if mix is None:
            return None
        name = task.resource
        # Measurements whose windows overlap say the same thing twice.
        if at >= self._learned.get(task.id, -math.inf) + WINDOW_SECONDS:
            self._learned[task.id] = at
            self.model.observe(name, band, mix, usage.p99_ms, at)
        ratio = self.model.get_ratio(name, band, usage.p99_ms)
        expected = self.model.predict(name, band, mix, at)
        # One measured percentile is noisy; what was learned steadies it.
        if expected.confidence >= CONFIDENT:
            ratio = math.sqrt(ratio * expected.ratio)
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
        self, session: WorkerLink, act: ThrottleAction, now: float
    ) -> None:
        """Gives a job another share of its processors."""
        job = self._occupancy.get(act.task)
        if job is None or job.attempt != act.attempt:
            return
        share = min(act.share, self._caps.get(job.id, 1.0))
        self._occupancy.set_throttle(job, share, now)
        self._strains.invalidate(job.worker)
        self._send(session, job, share, now)

    def resend(self, sessions: Mapping[str, WorkerLink], now: float) -> None:
        """Sends throttles again that may have been lost."""
        throttled = self._occupancy.list_throttled()
        for job, share in throttled:
            sent = self._sent.get((job.id, job.attempt), -math.inf)
            due = now - sent >= RESEND_SECONDS
            if due and job.worker in sessions and job.phase is Phase.RUNNING:
                self._send(sessions[job.worker], job, share, now)
        kept = {(job.id, job.attempt) for job, _ in throttled}
        for key in [k for k in self._sent if k not in kept]:
            del self._sent[key]

    def _send(
        self, session: WorkerLink, job: Task, share: float, now: float
    ) -> None:
        session.send(Command(Action.THROTTLE, job.id, job.attempt, share=share))
        session.wake()
        self._sent[job.id, job.attempt] = now

    def make_cost(
        self, task: Task, now: float, pending_seconds: float = 0.0
    ) -> Cost:
        """Returns what placing a task on a worker costs its services.

        A job is kept off where a service would probably become slower than
        the limit. A service, which has to run, just prefers quiet workers.

        Args:
          task: What is to be placed.
          now: Monotonic time.
          pending_seconds: For how many seconds it has been pending.
        """
        if task.is_service:
            return lambda record: self._price_service(task, record, now)
        name = get_class_name(task)
        least = (
            START_SHARE if pending_seconds < LONG_WAIT_SECONDS else MIN_SHARE
        )
        return lambda record: self._price_job(name, least, record, now)

    def _price_job(
        self, name: str, least: float, record: WorkerRecord, now: float
    ) -> float:
        price = 0.0
        share = self._strains.get_allowed_share(name, record.name, now)
        if share < least:
            return math.inf
        for slowdown in self._strains.list_slowdowns(record.name, now):
            mean, _ = self.model.get_term(
                slowdown.service, name, slowdown.band, now
            )
            total = slowdown.get_total(self._strains.slowdown_limit)
            price += total + 2 * mean * share
        price *= CORES_A_DOUBLING * self._weights.tail_weight
        return price + CORES_A_FULL_THROTTLE * (1 - share)

    def limit_cores(self, job: Task, worker: str, now: float) -> Task:
        """Gives a job fewer processors where its worker calls for it.

        A class that no service can bear at full speed would else never run,
        and throttled after the start it would hold what it may not use. Where
        its size is not known, a part of what was declared may be all that it
        wants, so it is throttled after all; see `apply_initial_throttle`.
        """
        self._strains.invalidate(worker)
        if job.is_service:
            return job
        share = self._strains.get_allowed_share(
            get_class_name(job), worker, now
        )
        self._strains.initial_shares.pop(job.id, None)
        if share > 1 - MIN_CHANGE:
            return attrs.evolve(job, share=1.0)
        share = max(MIN_SHARE, round(share, 2))
        self._strains.initial_shares[job.id] = share
        if not self._sizes.is_known(job):
            return attrs.evolve(job, share=1.0)
        cores = max(MIN_CORES, round(job.demand.cores * share, 2))
        demand = attrs.evolve(job.demand, cores=min(cores, job.demand.cores))
        return attrs.evolve(job, demand=demand, share=share)

    def apply_initial_throttle(self, job: Task, now: float) -> None:
        """Throttles a job from its start that `limit_cores` did not cut."""
        share = self._strains.initial_shares.get(job.id, 1.0)
        if job.share == 1 and share < 1:
            self._occupancy.set_throttle(job, share, now)

    def _price_service(
        self, task: Task, record: WorkerRecord, now: float
    ) -> float:
        mix = self._occupancy.get_mix(record.name)
        band = get_load_band(1.0)
        expected = self.model.predict(task.resource, band, mix, now)
        weight = CORES_A_DOUBLING * self._weights.tail_weight
        return weight * math.log(expected.ratio)
