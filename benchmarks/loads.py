"""Defines two deployments and generates a seeded load for each."""

from __future__ import annotations

import math
import random

import attrs

from lentilmount.resources import ConfigurationSpec, Demand, Room

WAVE_SECONDS = 600.0
WAVE_JOBS = 40
ARRIVALS_PER_WORKER_SECOND = 0.075
"""Arrival rate of jobs per worker and second; the declared demands of these
jobs exceed the capacity."""

LOAD_PERIOD_SECONDS = 1800.0
"""Period of the load of a service: a shortened day."""


@attrs.frozen
class JobClass:
    """A class of jobs that behave alike.

    Attributes:
      name: Name of the class.
      weight: Share of this class in the arriving jobs.
      declared: Demand that the owners declare.
      actual: Demand that the jobs really have.
      seconds: Median run time when it runs alone.
      slowdown: Factor by which one such job slows down the service on its
        worker, at full load.
    """

    name: str
    weight: float
    declared: Demand
    actual: Demand
    seconds: float
    slowdown: float


@attrs.frozen
class Deployment:
    """The workers, the service and the job classes of a deployment.

    Attributes:
      name: Name of the deployment.
      workers: Number of workers.
      capacity: Capacity of each worker.
      per_rack: Number of workers in a rack.
      service: Path of the service, with one replica on each worker.
      service_demand: Demand of a replica.
      base_ms: 99th percentile of the response time of a replica that runs
        alone and without load.
      weights: Policy weights of the deployment.
      classes: Job classes; jobs of the noisiest one arrive in waves.
    """

    name: str
    workers: int
    capacity: Room
    per_rack: int
    service: str
    service_demand: Demand
    base_ms: float
    weights: ConfigurationSpec
    classes: tuple[JobClass, ...]

    @property
    def noisiest(self) -> JobClass:
        """The job class that slows down the service most."""
        return max(self.classes, key=lambda c: c.slowdown)


@attrs.frozen
class Job:
    """One job of a load.

    Attributes:
      arrived_at: Arrival time in seconds from the start of the load.
      name: Name of the job.
      kind: Class of the job.
      seconds: Run time when it runs alone.
    """

    arrived_at: float
    name: str
    kind: JobClass
    seconds: float


NILEWAVE = Deployment(
    'nilewave',
    34,
    Room(32.0, 125_000, 0),
    8,
    'Service/nilewave-desk/airtime-desk',
    Demand(8.0, 16_384),
    18.0,
    ConfigurationSpec(4.0, 1.0, evictions_per_hour=60.0),
    (
        JobClass('usage', 0.35, Demand(4, 8000), Demand(2.2, 4200), 120, 1.02),
        JobClass('invoice', 0.25, Demand(2, 4000), Demand(1, 1500), 60, 1.01),
        JobClass('ledger', 0.2, Demand(6, 16000), Demand(3, 9000), 240, 1.05),
        JobClass('export', 0.1, Demand(3, 8000), Demand(3.6, 6000), 150, 1.15),
        JobClass('scan', 0.1, Demand(2, 4000), Demand(1.8, 3500), 180, 1.35),
    ),
)

WSPOLNOTA = Deployment(
    'wspolnota',
    24,
    Room(16.0, 60_000, 0),
    6,
    'Service/doradcy-lodz/raport-polowy',
    Demand(4.0, 8_192),
    45.0,
    ConfigurationSpec(1.0, 4.0, evictions_per_hour=15.0),
    (
        JobClass('season', 0.4, Demand(3, 6000), Demand(1.6, 3000), 150, 1.03),
        JobClass('soil', 0.3, Demand(2, 4000), Demand(1.1, 2100), 90, 1.02),
        JobClass('photo', 0.15, Demand(4, 9000), Demand(2.4, 5000), 200, 1.3),
        JobClass('merge', 0.15, Demand(1, 3000), Demand(0.8, 1900), 60, 1.1),
    ),
)

DEPLOYMENTS = (NILEWAVE, WSPOLNOTA)


def make_jobs(deployment: Deployment, seconds: float, seed: int) -> list[Job]:
    """Returns the arriving jobs in order, with waves of the noisiest class."""
    rng = random.Random(f'{seed}/{deployment.name}/jobs')
    jobs: list[Job] = []
    weights = [kind.weight for kind in deployment.classes]
    at = 0.0
    next_wave = WAVE_SECONDS / 2
    while at < seconds:
        at += rng.expovariate(ARRIVALS_PER_WORKER_SECOND * deployment.workers)
        (kind,) = rng.choices(deployment.classes, weights)
        jobs.append(_make_job(len(jobs), at, kind, rng))
        if at >= next_wave:
            next_wave += WAVE_SECONDS
            for _ in range(WAVE_JOBS):
                wave = deployment.noisiest
                jobs.append(_make_job(len(jobs), at, wave, rng))
    return jobs


def _make_job(
    number: int, at: float, kind: JobClass, rng: random.Random
) -> Job:
    seconds = kind.seconds * rng.lognormvariate(0, 0.4)
    return Job(at, f'{kind.name}-{number:05d}', kind, seconds)


def get_load(worker: int, now: float) -> float:
    """Returns the share of its slots that a replica uses at a time."""
    phase = 0.7 * (worker % 4)
    swing = math.sin(2 * math.pi * now / LOAD_PERIOD_SECONDS + phase)
    return 0.45 + 0.4 * swing
