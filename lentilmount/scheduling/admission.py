"""Refusal of jobs at arrival that cannot be completed while they are of use.

Load pattern: more work arrives than can be done. If all of it is accepted, the
backlog of a burst delays every later job, most of them end late, and callers
learn of it only then. A job that is refused at arrival has not run, takes no
room, and its caller can come back when there is room again.

The owner of a service estimates how long new work waits (`waiting_times`). Each
daemon judges jobs by the newest estimate that it has seen. It accepts all jobs
while it has none, or none that is recent enough.
"""

from __future__ import annotations

import collections
import enum
import math
from collections.abc import Callable, Mapping

import attrs

from lentilmount.policies import AdmissionPolicy
from lentilmount.scheduling.specs import JobSpec, StepSpec

MIN_WAIT_SECONDS = 1.0
"""Shortest wait for which a job is refused. A refused caller stays away for at
least as long, so a refusal for less only makes the job later."""

RESUME_SHARE = 0.8
"""Share of the longest acceptable wait below which a queue that refuses jobs
accepts them again. Without it the decision would change with each estimate."""

MAX_COUNTED_JOBS = 1_000
"""Maximum number of accepted jobs that are counted beside an estimate: more
than the table writes for a service in the time until the next one."""


class WorkKind(enum.StrEnum):
    """Kind of work by the room that it needs.

    Long-running tasks are of neither kind: they never end by themselves, so
    nothing is known of when their room is free.

    Attributes:
      RESERVED: Reserves cores.
      BEST_EFFORT: Uses the cores that other tasks leave.
    """

    RESERVED = 'reserved'
    BEST_EFFORT = 'best-effort'


@attrs.frozen
class QueueEstimate:
    """Estimate of when new work of one kind in one queue is begun.

    Attributes:
      wait_seconds: Time until the work that waits has been begun; 0 if room is
        free.
      rate: Declared core-seconds of the queue that are done in a second.
    """

    wait_seconds: float
    rate: float


Estimates = Mapping[str, Mapping[WorkKind, QueueEstimate]]
"""Estimates of a service by queue and kind of work."""


def find_kind(step: StepSpec) -> WorkKind | None:
    """Returns the kind of a step's work, or None for a long-running step."""
    if step.lasting:
        return None
    return WorkKind.BEST_EFFORT if step.fills else WorkKind.RESERVED


def measure_task_work(step: StepSpec) -> float:
    """Returns the declared work of a task in core-seconds."""
    return step.estimated_seconds * step.demand.cores


def measure_work(spec: JobSpec) -> dict[WorkKind, float]:
    """Returns the declared work of a job in core-seconds, by kind."""
    work: dict[WorkKind, float] = {}
    for step in spec.steps:
        kind = find_kind(step)
        if kind is not None:
            added = step.count * measure_task_work(step)
            work[kind] = work.get(kind, 0.0) + added
    return work


@attrs.frozen
class Refusal:
    """Reason why a job is refused.

    Attributes:
      wait_seconds: Expected time until the job is begun.
      useful_wait_seconds: Longest such time after which it is still of use.
      age_seconds: Age of the estimate.
      turn_seconds: Time in which this daemon's share of the room takes up a job
        of this size.
      useful_seconds: Time from its arrival in which its completion is of use.
    """

    wait_seconds: float
    useful_wait_seconds: float
    age_seconds: float
    turn_seconds: float
    useful_seconds: float = math.inf

    @property
    def delay_seconds(self) -> float:
        """Time until there may be room for the job."""
        return max(0.0, self.wait_seconds - self.useful_wait_seconds)


@attrs.frozen
class _AcceptedWork:
    """Work that this daemon accepted.

    Attributes:
      at: Monotonic time in seconds.
      queue: Name of the queue.
      work: Declared core-seconds by kind.
    """

    at: float
    queue: str
    work: Mapping[WorkKind, float]


@attrs.define
class AdmissionGate:
    """Judges the jobs of one service at one daemon.

    Attributes:
      policy: The operators' policy.
      count_daemons: Returns the number of daemons that accept jobs.
    """

    policy: AdmissionPolicy
    count_daemons: Callable[[], int]
    _estimates: Estimates = attrs.Factory(dict)
    _since: float = -math.inf
    _version: int | None = None
    _read_at: float = -math.inf
    _accepted: collections.deque[_AcceptedWork] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_COUNTED_JOBS)
    )
    _refusing: set[str] = attrs.Factory(set)

    def observe(
        self, version: int, estimates: Estimates, read_at: float
    ) -> None:
        """Takes over the estimates of the owner from a read of its lease.

        Args:
          version: Version of the lease's row.
          estimates: Estimates in the row; empty if there are none, or no owner.
          read_at: Monotonic time before the row was requested.
        """
        if version != self._version:
            # It was written after the last read that did not return it.
            self._replace(estimates, self._read_at)
            self._version = version
        self._read_at = read_at

    def observe_own(self, estimates: Estimates, now: float) -> None:
        """Takes over the estimates of an owner in this process."""
        self._version = None
        self._read_at = now
        self._replace(estimates, now)

    def _replace(self, estimates: Estimates, since: float) -> None:
        self._estimates = estimates
        self._since = since
        while self._accepted and self._accepted[0].at < since:
            self._accepted.popleft()

    def count_accepted(self, spec: JobSpec, now: float) -> None:
        """Counts a job that is accepted and may be in no estimate yet."""
        work = measure_work(spec)
        self._accepted.append(_AcceptedWork(now, spec.queue.name, work))

    def judge(
        self, spec: JobSpec, critical_path: float, now: float
    ) -> Refusal | None:
        """Returns why a job is to be refused, or None if it is accepted.

        Jobs of all sizes are judged by the same multiple of their objectives.

        Args:
          spec: The job.
          critical_path: Length of its longest path of steps in seconds.
          now: Monotonic time.
        """
        age = now - self._since
        if age > self.policy.max_age_seconds or spec.occurrences:
            return None
        queue = spec.queue.name
        refusals = [
            self._estimate_wait(queue, kind, work, age)
            for kind, work in measure_work(spec).items()
        ]
        objective = spec.queue.get_objective(critical_path)
        useful_seconds = self.policy.useful_multiple * objective
        useful_wait = useful_seconds - critical_path
        refusal = max(
            filter(None, refusals),
            key=lambda found: found.wait_seconds,
            default=None,
        )
        limit = useful_wait
        if queue in self._refusing:
            limit *= RESUME_SHARE
        limit = max(MIN_WAIT_SECONDS, limit)
        if refusal is None or refusal.wait_seconds <= limit:
            self._refusing.discard(queue)
            return None
        self._refusing.add(queue)
        return attrs.evolve(
            refusal, useful_wait_seconds=limit, useful_seconds=useful_seconds
        )

    def _estimate_wait(
        self, queue: str, kind: WorkKind, work: float, age: float
    ) -> Refusal | None:
        """Returns the wait of new work; None if there is no estimate.

        While work waits, all daemons may add to it at the same time. A daemon
        that has accepted several jobs assumes that all others have as well; a
        single one is chance. While room is free it counts its own jobs only:
        no job is refused by a guess.
        """
        estimate = self._estimates.get(queue, {}).get(kind)
        if estimate is None or estimate.rate <= 0:
            return None
        daemons = max(1, self.count_daemons())
        accepted = [
            entry.work.get(kind, 0.0)
            for entry in self._accepted
            if entry.queue == queue and entry.at >= self._since
        ]
        counted = sum(accepted)
        if estimate.wait_seconds > 0:
            beyond_one = counted - max(accepted, default=0.0)
            counted += (daemons - 1) * beyond_one
        return Refusal(
            wait_seconds=estimate.wait_seconds + counted / estimate.rate,
            useful_wait_seconds=0.0,
            age_seconds=age,
            turn_seconds=work * daemons / estimate.rate,
        )
