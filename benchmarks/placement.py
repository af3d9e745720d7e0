"""Time of a placement decision, at the size of the future and around it.

The scheduler's real path is timed: queue, fair share, learned size, index and
price of interference, for one task that starts in a cluster that is full as
in service, while another ends.
"""

from __future__ import annotations

import gc
import math
import random
import time

import attrs

from benchmarks.report import Report
from lentilmount.batch.policy import Policy
from lentilmount.batch.records import Task
from lentilmount.batch.states import Move
from lentilmount.clock import ManualClock
from lentilmount.configuration import Configuration
from lentilmount.resources import (
    Demand,
    Kind,
    Metadata,
    Phase,
    Resource,
    Room,
    TeamSpec,
    Urgency,
)
from stand_ins.slices import MemoryLink, MemorySlice

WORKERS = 690
ACCELERATORS = 1000
SERVICES = 2900
JOBS = 5800
TEAMS = 180
STARTS_A_SECOND = 37
SIZES = (172, 345, 690, 1380)
SECONDS = 20
QUICK_SECONDS = 6
BACKLOG = 2000
"""Tasks that fit nowhere and wait meanwhile."""

SEED = 7
MOST_MS = 5.0
MOST_GROWTH = 1.0


@attrs.define
class Timing:
    """Times of decisions, in milliseconds."""

    p50: float
    p99: float
    mean: float
    a_second: float


class Cluster:
    """A cluster that is as full as in service."""

    def __init__(self, workers: int):
        self.chance = random.Random(f'{SEED}/{workers}')
        self.clock = ManualClock()
        self.rows = MemorySlice()
        part = workers / WORKERS
        with_accelerators = int(workers * 125 / WORKERS)
        self.rows.add_workers(
            Room(64.0, 256_000, 8)
            if number % max(1, workers // max(1, with_accelerators)) == 0
            else Room(32.0, 125_000, 0)
            for number in range(workers)
        )
        self.links = {name: MemoryLink(name) for name in self.rows.workers}
        configuration = Configuration()
        configuration.load(
            1,
            [
                Resource(
                    Kind.TEAM,
                    Metadata(f'team-{number}'),
                    TeamSpec(weight=1 + number % 3),
                )
                for number in range(TEAMS)
            ],
        )
        self.policy = Policy(
            self.rows, self.links, configuration, 1, self.clock.monotonic
        )
        self._count = 0
        self._fill(int(SERVICES * part), int(JOBS * part))

    def _fill(self, services: int, jobs: int) -> None:
        self.rows.admit(*(self.make_service(n) for n in range(services)))
        self.rows.admit(*(self.make_job() for _ in range(jobs)))
        self.place_all()
        for task in list(self.rows.tasks.values()):
            self.run(task)

    def make_service(self, number: int) -> Task:
        """Makes a replica of one of many services."""
        team = number % TEAMS
        return Task(
            f'Service/team-{team}/desk-{number % 97}/{number}',
            Demand(2.0, 6000),
            job_class=f'desk-{number % 97}',
            urgency=Urgency.URGENT,
        )

    def make_job(self, urgency: Urgency = Urgency.BATCH) -> Task:
        """Makes a job of a random size."""
        self._count += 1
        team = self.chance.randrange(TEAMS)
        return Task(
            f'Job/team-{team}/job-{self._count}/0',
            Demand(
                self.chance.choice((0.5, 1.0, 1.0, 2.0, 4.0)),
                self.chance.choice((1000, 2000, 4000, 8000)),
                self.chance.choice((0,) * 9 + (1,)),
            ),
            job_class=f'class-{self.chance.randrange(5)}',
            urgency=urgency,
            accepted=float(self._count),
        )

    def place_all(self) -> None:
        """Places what is pending."""
        more = True
        while more:
            draft = self.rows.begin()
            more = self.policy.place(draft).more
            self.rows.apply(draft)

    def run(self, task: Task) -> None:
        """Lets a task that was placed run."""
        if task.phase is Phase.STARTING:
            draft = self.rows.begin()
            draft.move(task, Move.STARTED)
            self.rows.apply(draft)

    def end_one(self) -> None:
        """Lets a random job end."""
        while True:
            record = self.chance.choice(list(self.rows.workers.values()))
            jobs = [n for n in record.commitments if n.startswith('Job/')]
            if jobs:
                name = self.chance.choice(jobs).rpartition('#')[0]
                draft = self.rows.begin()
                draft.move(self.rows.tasks[name], Move.FINISH)
                self.rows.apply(draft)
                return

    def add_backlog(self, count: int) -> None:
        """Adds jobs that fit on no worker now."""
        self.rows.admit(
            *(
                Task(
                    f'Job/team-{n % TEAMS}/large-{n}/0',
                    Demand(31.5 + n % 3 / 10, 120_000),
                    accepted=float(n),
                )
                for n in range(count)
            )
        )


def time_decisions(workers: int, seconds: int) -> Timing:
    """Times single starts in a cluster of a size."""
    cluster = Cluster(workers)
    cluster.add_backlog(int(BACKLOG * workers / WORKERS))
    cluster.place_all()
    times = []
    starts = STARTS_A_SECOND * seconds
    gc.collect()
    for start in range(starts):
        cluster.end_one()
        # As in service: one start in three is urgent, and time goes on.
        urgent = Urgency.URGENT if start % 3 == 0 else Urgency.BATCH
        task = cluster.make_job(urgent)
        cluster.rows.admit(task)
        cluster.clock.advance(1 / STARTS_A_SECOND)
        began = time.perf_counter()
        draft = cluster.rows.begin()
        cluster.policy.place(draft)
        times.append((time.perf_counter() - began) * 1000)
        cluster.rows.apply(draft)
        for placed in list(draft.tasks.values()):
            cluster.run(placed)
    times.sort()
    return Timing(
        p50=times[len(times) // 2],
        p99=times[int(0.99 * len(times))],
        mean=sum(times) / len(times),
        a_second=1000 * len(times) / sum(times),
    )


def measure(quick: bool) -> Report:
    """Times decisions at several sizes."""
    seconds = QUICK_SECONDS if quick else SECONDS
    report = Report('placement')
    report.notes.append(
        f'One process, one task placed at a time, {STARTS_A_SECOND} starts a '
        f'second for {seconds} s, {TEAMS} teams; {ACCELERATORS} accelerators, '
        f'{SERVICES} services and {JOBS} jobs at {WORKERS} workers, and in '
        f'proportion at the other sizes, with {BACKLOG} jobs that fit '
        'nowhere. All workers are in one slice, which is more than a daemon '
        'owns. The time is that of a whole pass over the queue.'
    )
    timings = {size: time_decisions(size, seconds) for size in SIZES}
    for size, timing in timings.items():
        report.add(f'{size} workers/p50', timing.p50, 'ms')
        bound = MOST_MS if size == WORKERS else None
        report.add(f'{size} workers/p99', timing.p99, 'ms', most=bound)
        report.add(f'{size} workers/decisions', timing.a_second, '1/s')
    small, large = SIZES[0], SIZES[-1]
    growth = timings[large].p50 / timings[small].p50
    allowed = math.log(large) / math.log(small)
    report.add(f'growth of p50 from {small} to {large} workers', growth)
    report.add(
        'growth of p50 over that of the log of workers',
        growth / allowed,
        most=MOST_GROWTH,
    )
    return report
