"""A fake worker on which jobs slow down a service.

Its measurements are reported with a lag.
"""

from __future__ import annotations

import collections
import random

import attrs

from benchmarks.loads import Deployment, Job, get_load
from lentilmount.resources import Demand
from lentilmount.upstream.workers import Usage

REQUESTS_PER_SECOND = 4
"""Number of simulated requests per worker and second."""

SPREAD = 0.25
"""Sigma of the log-normal distribution of request times."""

P99_FACTOR = 1.788
"""Ratio of the 99th percentile of that distribution to its median."""

REPORT_NOISE = 0.05
WINDOW_SECONDS = 5
START_SECONDS = 5.0
"""Loading time of an attempt before it makes progress."""


@attrs.define
class RunningJob:
    """An attempt of a job on a worker.

    Attributes:
      job: The job.
      task: Id of its task.
      attempt: Number of the attempt.
      limit: Resource limit set by the worker.
      share: Share of the limit after throttling.
      loading: Remaining loading time in seconds.
      stopping: Whether it is saving its state to stop.
    """

    job: Job
    task: str
    attempt: int
    limit: Demand
    share: float = 1.0
    loading: float = START_SECONDS
    stopping: bool = False

    @property
    def speed(self) -> float:
        """Speed of progress, relative to running alone."""
        cores = min(1.0, self.limit.cores / self.job.kind.actual.cores)
        return cores * self.share


class FakeWorker:
    """A worker that runs one service replica and some jobs.

    Attributes:
      jobs: Running jobs, by task id.
      request_times_ms: Response time of each request in milliseconds.
    """

    def __init__(
        self, deployment: Deployment, number: int, lag: float, seed: int
    ):
        self.jobs: dict[str, RunningJob] = {}
        self.request_times_ms: list[float] = []
        self._deployment = deployment
        self._number = number
        self._lag = lag
        self._rng = random.Random(f'{seed}/{deployment.name}/{number}')
        self._noise = random.Random(f'{seed}/{number}/noise')
        self._recent: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SECONDS
        )
        self._measured: collections.deque[tuple[float, tuple[Usage, ...]]] = (
            collections.deque()
        )

    def get_slowdown(self, load: float) -> float:
        """Returns the factor by which the jobs slow down the service."""
        factor = 1.0
        for running in self.jobs.values():
            extra = running.job.kind.slowdown - 1
            factor *= 1 + extra * running.speed * (0.3 + 0.7 * load)
        return factor

    def step(self, now: float, done: dict[str, float]) -> list[str]:
        """Simulates one second; returns the tasks that finished or stopped.

        Args:
          now: Time at the end of the second.
          done: Seconds of work done for each job, by task; updated here. The
            caller keeps it across attempts, like a checkpoint.
        """
        load = get_load(self._number, now)
        factor = self.get_slowdown(load)
        self._serve(load, factor)
        ended = []
        for task, running in self.jobs.items():
            running.loading -= 1
            if running.loading < 0:
                done[task] = done.get(task, 0.0) + running.speed
            if running.stopping or done.get(task, 0) >= running.job.seconds:
                ended.append(task)
        self._measure(now, load)
        return ended

    def _serve(self, load: float, factor: float) -> None:
        median = self._deployment.base_ms * (1 + 0.3 * load) / P99_FACTOR
        self._recent.append(factor)
        for _ in range(REQUESTS_PER_SECOND):
            spread = self._rng.lognormvariate(0, SPREAD)
            self.request_times_ms.append(median * factor * spread)

    def _measure(self, now: float, load: float) -> None:
        mean = sum(self._recent) / len(self._recent)
        alone = self._deployment.base_ms * (1 + 0.3 * load)
        noise = self._noise.lognormvariate(0, REPORT_NOISE)
        service = Usage(
            f'{self._deployment.service}/{self._number}',
            1,
            0.0,
            p99_ms=alone * mean * noise,
            load=load,
        )
        jobs = tuple(
            Usage(
                running.task,
                running.attempt,
                0.0,
                cores=running.job.kind.actual.cores * running.speed,
                memory_mb=running.job.kind.actual.memory_mb,
                progress=running.speed,
            )
            for running in self.jobs.values()
        )
        self._measured.append((now, (service, *jobs)))

    def report(self, now: float) -> tuple[Usage, ...]:
        """Returns the newest measurement that is at least as old as the lag."""
        while len(self._measured) > 1:
            if self._measured[1][0] > now - self._lag:
                break
            self._measured.popleft()
        if not self._measured or self._measured[0][0] > now - self._lag:
            return ()
        at, usages = self._measured[0]
        return tuple(attrs.evolve(u, age=now - at) for u in usages)
