"""Compares the interference policy with first fit and a threshold evictor.

All strategies run the same seeded load on fake workers and a manual clock; the
policy runs its production code.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs

from benchmarks.baselines import FirstFit, ThresholdEvictor
from benchmarks.fakes import FakeWorker, RunningJob
from benchmarks.loads import DEPLOYMENTS, Deployment, Job, make_jobs
from benchmarks.report import Report
from lentilmount.batch.drafts import Draft
from lentilmount.batch.policy import Policy
from lentilmount.batch.records import Task
from lentilmount.batch.states import COMMITTED_PHASES, Transition
from lentilmount.clock import ManualClock
from lentilmount.configuration import Configuration
from lentilmount.resources import Kind, Metadata, Phase, Resource
from lentilmount.upstream.workers import Action
from stand_ins.slices import MemorySession, MemorySlice

SECONDS = 1800
"""Simulated time: one period of the load of the services."""

QUICK_SECONDS = 600
LAGS = (5.0, 15.0, 60.0)
SEED = 20
SYNC_SECONDS = 2
TEAMS = 4

MAX_P99_RATIO = 1.2
MIN_WORK_SHARE = 0.9
MAX_EVICTION_SHARE = 0.1


class Strategy(Protocol):
    """A strategy that evicts and places tasks."""

    def act(self, draft: Draft, now: float) -> None:
        """Evicts or throttles tasks before tasks are placed."""

    def place(self, draft: Draft) -> bool:
        """Places the tasks that fit; returns whether the draft became full."""


class PolicyStrategy:
    """The interference policy as a `Strategy`."""

    def __init__(
        self,
        rows: MemorySlice,
        sessions: dict[str, MemorySession],
        deployment: Deployment,
        clock: ManualClock,
    ):
        configuration = Configuration()
        weights = Resource(
            Kind.CONFIGURATION, Metadata('default'), deployment.weights
        )
        configuration.load(1, [weights])
        self.policy = Policy(
            rows, sessions, configuration, 1, clock.monotonic, clock.wall
        )

    def act(self, draft: Draft, now: float) -> None:
        """See `Strategy`."""
        plan = self.policy.plan()
        self.policy.apply_plan(draft, plan)

    def place(self, draft: Draft) -> bool:
        """See `Strategy`."""
        return self.policy.place(draft).more


class NoBatchStrategy:
    """Places no batch jobs, to measure the services alone."""

    def act(self, draft: Draft, now: float) -> None:
        """See `Strategy`."""

    def place(self, draft: Draft) -> bool:
        """See `Strategy`."""
        return False


@attrs.define
class Result:
    """Result of one run.

    Attributes:
      p99_ms: 99th percentile of all response times in milliseconds.
      work: Completed batch work in core-seconds.
      done: Number of completed jobs, by class.
      evictions: Number of evicted jobs.
    """

    p99_ms: float
    work: float
    done: dict[str, int]
    evictions: int


class Simulation:
    """Simulates the workers of a deployment under the seeded load."""

    def __init__(self, deployment: Deployment, lag: float, seconds: int):
        self.deployment = deployment
        self.clock = ManualClock()
        self.rows = MemorySlice()
        self.rows.add_workers(
            [deployment.capacity] * deployment.workers, deployment.per_rack
        )
        self.sessions = {
            name: MemorySession(name) for name in self.rows.workers
        }
        self.fake_workers = {
            name: FakeWorker(deployment, number, lag, SEED)
            for number, name in enumerate(self.rows.workers)
        }
        self.evictions = 0
        self.done: dict[str, int] = {}
        self._seconds = seconds
        self._jobs = make_jobs(deployment, seconds, SEED)
        self._by_task: dict[str, Job] = {}
        self._progress: dict[str, float] = {}
        self._place_services()

    def _place_services(self) -> None:
        draft = self.rows.begin()
        for number, record in enumerate(list(self.rows.workers.values())):
            task = Task(
                f'{self.deployment.service}/{number}',
                self.deployment.service_demand,
                job_class='service',
            )
            if draft.is_full:
                self.rows.apply(draft)
                draft = self.rows.begin()
            draft.admit(task)
            draft.transition(draft.place(task, record), Transition.STARTED)
        self.rows.apply(draft)

    def run(self, strategy: Strategy) -> Result:
        """Runs the whole load under a strategy."""
        start = self.clock.now
        arrivals = iter(self._jobs)
        next_job = next(arrivals, None)
        for second in range(self._seconds):
            self.clock.advance(1.0)
            while next_job and next_job.arrived_at <= second:
                self._admit(next_job)
                next_job = next(arrivals, None)
            self._step(self.clock.now - start)
            if second % SYNC_SECONDS == 0:
                self._synchronize(self.clock.now - start)
            self._decide(strategy)
        times = sorted(
            t
            for fake in self.fake_workers.values()
            for t in fake.request_times_ms
        )
        return Result(
            p99_ms=times[int(0.99 * len(times))],
            work=sum(
                min(done, self._by_task[task].seconds)
                * self._by_task[task].kind.actual.cores
                for task, done in self._progress.items()
            ),
            done=self.done,
            evictions=self.evictions,
        )

    def _admit(self, job: Job) -> None:
        team = f'team-{hash_name(job.name) % TEAMS}'
        task = Task(
            f'Job/{team}/{job.name}/0',
            job.kind.declared,
            job_class=job.kind.name,
            expected_seconds=60.0,
            accepted=self.clock.now,
        )
        self._by_task[task.id] = job
        self.rows.admit(task)

    def _step(self, now: float) -> None:
        for name, fake in self.fake_workers.items():
            for task in fake.step(now, self._progress):
                self._finish(name, task)

    def _finish(self, worker: str, task_id: str) -> None:
        running = self.fake_workers[worker].jobs.pop(task_id)
        task = self.rows.tasks[task_id]
        finished = self._progress.get(task_id, 0) >= running.job.seconds
        draft = self.rows.begin()
        draft.transition(
            task, Transition.FINISH if finished else Transition.STOPPED
        )
        self.rows.apply(draft)
        if finished:
            name = running.job.kind.name
            self.done[name] = self.done.get(name, 0) + 1

    def _synchronize(self, now: float) -> None:
        for name, fake in self.fake_workers.items():
            session = self.sessions[name]
            session.usage = fake.report(now)
            for command in session.sent:
                running = fake.jobs.get(command.task)
                if running and command.action is Action.THROTTLE:
                    running.share = command.share
            session.sent.clear()

    def _decide(self, strategy: Strategy) -> None:
        draft = self.rows.begin()
        strategy.act(draft, self.clock.now)
        self._apply(draft)
        more = True
        while more:
            draft = self.rows.begin()
            more = strategy.place(draft)
            self._apply(draft)

    def _apply(self, draft: Draft) -> None:
        self.rows.apply(draft)
        for task in draft.tasks.values():
            if task.phase is Phase.STARTING:
                self._start(task)
            elif task.phase is Phase.EVICTING:
                self.evictions += 1
                self.fake_workers[task.worker].jobs[task.id].stopping = True

    def _start(self, task: Task) -> None:
        self.fake_workers[task.worker].jobs[task.id] = RunningJob(
            self._by_task[task.id], task.id, task.attempt, task.demand
        )
        draft = self.rows.begin()
        draft.transition(task, Transition.STARTED)
        self.rows.apply(draft)

    def check(self) -> None:
        """Asserts that no worker is committed beyond its capacity."""
        for record in self.rows.workers.values():
            free = record.free
            assert min(free.cores + 1e-6, free.memory_mb) >= 0, record.name
        committed = sum(
            t.phase in COMMITTED_PHASES for t in self.rows.tasks.values()
        )
        assert committed == sum(
            len(r.commitments) for r in self.rows.workers.values()
        )


def hash_name(name: str) -> int:
    """Returns a hash of a name that is the same in every run."""
    return sum(map(ord, name))


def run_one(
    deployment: Deployment,
    lag: float,
    seconds: int,
    make_strategy: Callable[[Simulation], Strategy],
) -> Result:
    """Runs one strategy on the seeded load."""
    simulation = Simulation(deployment, lag, seconds)
    result = simulation.run(make_strategy(simulation))
    simulation.check()
    return result


def measure(quick: bool) -> Report:
    """Compares the policy with the baselines on both deployments."""
    seconds = QUICK_SECONDS if quick else SECONDS
    report = Report('policy')
    report.notes.append(
        f'{seconds} s of seeded load on a manual clock; fake workers; every '
        'ratio is within this run. p99 is over all requests, the time of '
        'learning included. The threshold evictor is told the time alone.'
    )
    for deployment in DEPLOYMENTS:
        _compare(report, deployment, seconds)
        _compare_exact_demands(report, deployment, seconds)
    return report


def _compare_exact_demands(
    report: Report, deployment: Deployment, seconds: int
) -> None:
    """Compares the strategies when all declared demands are exact.

    The policy then gains nothing from learning the real demands.
    """
    classes = tuple(
        attrs.evolve(kind, declared=kind.actual) for kind in deployment.classes
    )
    exact = attrs.evolve(deployment, classes=classes)
    alone = run_one(exact, LAGS[1], seconds, lambda _: NoBatchStrategy())
    naive = run_one(
        exact,
        LAGS[1],
        seconds,
        lambda simulation: FirstFit(simulation.rows, simulation.sessions),
    )
    learned = run_one(
        exact,
        LAGS[1],
        seconds,
        lambda simulation: PolicyStrategy(
            simulation.rows, simulation.sessions, exact, simulation.clock
        ),
    )
    case = f'{exact.name}/true sizes declared'
    report.add(f'{case}/naive/p99 ratio', naive.p99_ms / alone.p99_ms)
    report.add(f'{case}/policy/p99 ratio', learned.p99_ms / alone.p99_ms)
    report.add(f'{case}/policy/work of naive', learned.work / naive.work)


def _compare(report: Report, deployment: Deployment, seconds: int) -> None:
    alone = run_one(deployment, LAGS[0], seconds, lambda _: NoBatchStrategy())
    naive = run_one(
        deployment,
        LAGS[0],
        seconds,
        lambda simulation: FirstFit(simulation.rows, simulation.sessions),
    )
    name = deployment.name
    report.add(f'{name}/alone/p99', alone.p99_ms, 'ms')
    report.add(f'{name}/naive/p99 ratio', naive.p99_ms / alone.p99_ms)
    report.add(f'{name}/naive/work', naive.work / 3600, 'core hours')
    report.add(f'{name}/naive/evictions', naive.evictions)
    for lag in LAGS:
        evictor = run_one(
            deployment,
            lag,
            seconds,
            lambda simulation: ThresholdEvictor(
                simulation.rows, simulation.sessions, deployment.base_ms
            ),
        )
        learned = run_one(
            deployment,
            lag,
            seconds,
            lambda simulation: PolicyStrategy(
                simulation.rows,
                simulation.sessions,
                deployment,
                simulation.clock,
            ),
        )
        case = f'{name}/lag {lag:.0f} s'
        _add_evictor(report, case, evictor, naive, alone)
        _add_policy(report, case, learned, evictor, naive, alone)
        noisiest = deployment.noisiest.name
        report.add(
            f'{case}/policy/noisiest class done of naive',
            learned.done.get(noisiest, 0) / max(1, naive.done.get(noisiest, 0)),
        )


def _add_evictor(
    report: Report, case: str, evictor: Result, naive: Result, alone: Result
) -> None:
    report.add(f'{case}/evictor/p99 ratio', evictor.p99_ms / alone.p99_ms)
    report.add(f'{case}/evictor/work of naive', evictor.work / naive.work)
    report.add(f'{case}/evictor/evictions', evictor.evictions)


def _add_policy(
    report: Report,
    case: str,
    learned: Result,
    evictor: Result,
    naive: Result,
    alone: Result,
) -> None:
    report.add(
        f'{case}/policy/p99 ratio',
        learned.p99_ms / alone.p99_ms,
        most=MAX_P99_RATIO,
    )
    report.add(
        f'{case}/policy/work of naive',
        learned.work / naive.work,
        least=MIN_WORK_SHARE,
    )
    report.add(f'{case}/policy/evictions', learned.evictions)
    report.add(
        f'{case}/policy/evictions of evictor',
        learned.evictions / max(1, evictor.evictions),
        most=MAX_EVICTION_SHARE,
    )
