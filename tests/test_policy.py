"""Tests of the slice policy: order, quotas, preemption and interference."""

from __future__ import annotations

import functools
import math
import random
from typing import Any

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilmount.batch.budget import EvictionBudget
from lentilmount.batch.interference import InterferenceModel
from lentilmount.batch.isolation import EvictAction, Isolator, Limits, Neighbour
from lentilmount.batch.learning import SizeLearner
from lentilmount.batch.overruns import OverrunDetector
from lentilmount.batch.policy import Policy
from lentilmount.batch.quarantine import Quarantine
from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.batch.states import Transition
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
from lentilmount.upstream.workers import Usage
from stand_ins.slices import MemorySession, MemorySlice

LIMITS = Limits(settle_seconds=0.0)


class PolicyBench:
    """A policy with a slice in memory."""

    def __init__(self, workers: int, teams: dict[str, TeamSpec] | None = None):
        self.clock = ManualClock()
        self.rows = MemorySlice()
        self.rows.add_workers([Room(8.0, 32_000, 0)] * workers)
        self.sessions = {
            name: MemorySession(name) for name in self.rows.workers
        }
        configuration = Configuration()
        configuration.load(
            1,
            [
                Resource(Kind.TEAM, Metadata(name), spec)
                for name, spec in (teams or {}).items()
            ],
        )
        self.policy = Policy(
            self.rows,
            self.sessions,
            configuration,
            1,
            self.clock.monotonic,
            self.clock.wall,
        )

    def submit(
        self,
        name: str,
        team: str = 't',
        cores: float = 1.0,
        urgency: Urgency = Urgency.BATCH,
    ) -> str:
        task = Task(
            f'Job/{team}/{name}/0',
            Demand(cores, 1000),
            urgency=urgency,
            accepted=self.clock.now,
        )
        self.rows.admit(task)
        return task.id

    def place(self) -> None:
        draft = self.rows.begin()
        while self.policy.place(draft).more:
            self.rows.apply(draft)
            draft = self.rows.begin()
        self.rows.apply(draft)

    def apply(self, task: str, transition: Transition) -> None:
        draft = self.rows.begin()
        draft.transition(self.rows.tasks[task], transition)
        self.rows.apply(draft)

    def list_phase(self, phase: Phase) -> list[str]:
        return [t.id for t in self.rows.tasks.values() if t.phase is phase]


@settings(max_examples=40, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(['a', 'b']),
            st.sampled_from([0.5, 1.0, 3.0]),
            st.booleans(),
        ),
        max_size=40,
    )
)
def test_a_team_never_holds_more_than_its_quota(
    jobs: list[tuple[str, float, bool]],
) -> None:
    quota = Room(6.0, 5000, 0)
    bench = PolicyBench(
        4, {'a': TeamSpec(quota=quota), 'b': TeamSpec(quota=quota)}
    )
    for number, (team, cores, ends) in enumerate(jobs):
        bench.submit(f'job-{number}', team, cores)
        bench.clock.advance(6.0)
        bench.place()
        for name in 'ab':
            held = [
                t
                for t in bench.rows.tasks.values()
                if t.team == name and t.phase is Phase.STARTING
            ]
            assert sum(t.demand.cores for t in held) <= quota.cores
            assert sum(t.demand.memory_mb for t in held) <= quota.memory_mb
        starting = bench.list_phase(Phase.STARTING)
        if ends and starting:
            bench.apply(starting[0], Transition.FINISH)


def test_weights_divide_a_full_cluster() -> None:
    bench = PolicyBench(4, {'a': TeamSpec(weight=3.0), 'b': TeamSpec()})
    for number in range(40):
        bench.submit(f'a-{number}', 'a')
        bench.submit(f'b-{number}', 'b')
    bench.place()
    started = bench.list_phase(Phase.STARTING)
    assert len(started) == 32
    assert sum('/a/' in task for task in started) == 24


def test_equal_unplaceable_tasks_cost_one_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bench = PolicyBench(2)
    for number in range(3000):
        bench.submit(f'large-{number}', cores=8.5)
    tries = []
    index = bench.policy.scheduler.index
    choose = index.choose

    def count(*args: Any) -> WorkerRecord | None:
        tries.append(1)
        return choose(*args)

    monkeypatch.setattr(index, 'choose', count)
    for _ in range(10):
        bench.place()
        bench.clock.advance(0.1)
    assert len(tries) <= 2


def test_urgent_work_evicts_the_cheapest_batch() -> None:
    """Evicting a costlier job than needed, or giving its room to batch jobs."""
    bench = PolicyBench(1)
    for number in range(8):
        bench.submit(f'old-{number}')
        bench.place()
        bench.apply(f'Job/t/old-{number}/0', Transition.STARTED)
        bench.clock.advance(100.0)
    bench.submit('waiting')
    urgent = bench.submit('now', urgency=Urgency.URGENT)
    bench.place()
    assert bench.list_phase(Phase.EVICTING) == ['Job/t/old-7/0']
    assert bench.policy.budget.forced == 1
    bench.apply('Job/t/old-7/0', Transition.STOPPED)
    bench.place()
    assert bench.list_phase(Phase.STARTING) == [urgent]


@pytest.mark.parametrize('crashes', [0, 1, 2])
def test_backfill_does_not_starve_a_large_job(crashes: int) -> None:
    """Small jobs took all freed resources, so a large job never started.

    The same holds if it has to avoid a worker that crashed at its start.
    """
    bench = PolicyBench(2)
    crashed = list(bench.rows.workers)[:1] * crashes
    large = ''
    for number in range(40):
        bench.submit(f'first-{number}')
    for step in range(400):
        bench.submit(f'small-{step}')
        bench.submit(f'more-{step}')
        if step == 20:
            large = bench.submit('large', 'other', cores=8.0)
            for worker in crashed:
                bench.rows.admit(bench.rows.tasks[large].add_crash(worker))
        bench.place()
        for task in bench.list_phase(Phase.STARTING):
            if task == large:
                return
            bench.apply(task, Transition.STARTED)
        running = bench.list_phase(Phase.RUNNING)
        for task in running[:2]:
            bench.apply(task, Transition.FINISH)
        bench.clock.advance(2.0)
    pytest.fail('the large job never started')


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    st.floats(1, 60),
    st.lists(
        st.tuples(st.floats(0, 20), st.sampled_from([False] * 4 + [True])),
        min_size=20,
        max_size=60,
    ),
)
def test_the_budget_is_never_exceeded(
    per_hour: float, steps: list[tuple[float, bool]]
) -> None:
    budget = EvictionBudget(per_hour, 0.0)
    now = 0.0
    spent: list[float] = []
    for pause, urgent in steps:
        now += pause
        if urgent:
            budget.force_spend(now)
        elif budget.try_spend(now):
            spent.append(now)
        for first in spent:
            window = [at for at in spent if at >= first]
            earned = (now - first) * per_hour / 3600
            assert len(window) <= budget.burst + earned + 1e-6


def test_throttling_does_not_oscillate() -> None:
    """A noisy ratio near the limits throttled and relaxed jobs in turn."""
    isolator = Isolator(lambda: False)
    share = 1.0
    changes = []
    for step in range(1200):
        now = float(step)
        neighbour = Neighbour('Job/t/a/0', 1, 0.4, share, 0.0)
        noise = 0.03 if step % 2 else -0.03
        ratio = math.exp(0.4 * share) * (1 + noise)
        for act in isolator.decide('w', ratio, now, now, [neighbour], LIMITS):
            assert not isinstance(act, EvictAction)
            share = act.share
            changes.append(now)
    assert changes and share < 0.7
    assert len(changes) <= 1200 / 40


def test_nothing_happens_between_the_limits() -> None:
    isolator = Isolator(lambda: True)
    neighbour = Neighbour('Job/t/a/0', 1, 0.05, 0.2, 0.0)
    for now in range(300):
        ratio = (LIMITS.low + LIMITS.high) / 2 - 0.01
        at = float(now)
        assert not isolator.decide('w', ratio, at, at, [neighbour], LIMITS)


def test_noise_does_not_shift_the_baseline() -> None:
    """Noise shifted the baseline, so jobs seemed harmful or harmless."""
    rng = random.Random(1)
    model = InterferenceModel()
    model.observe('s', 2, {}, 20.0, 0.0)
    for step in range(2000):
        noisy = 20.0 * rng.lognormvariate(0, 0.1)
        model.observe('s', 2, {'quiet': 2.0}, noisy, step * 5.0)
    assert model.get_ratio('s', 2, 20.0) == pytest.approx(1.0, abs=0.03)


def test_an_ineffective_full_throttle_ends_in_eviction() -> None:
    for allowed in (True, False):
        isolator = Isolator(functools.partial(bool, allowed))
        neighbour = Neighbour('Job/t/a/0', 1, 0.4, 0.1, 0.0)
        acts = []
        for step in range(60):
            now = float(step)
            acts += isolator.decide('w', 1.5, now, now, [neighbour], LIMITS)
        assert any(isinstance(act, EvictAction) for act in acts) is allowed


def test_actions_wait_for_measurements_after_the_last_one() -> None:
    isolator = Isolator(lambda: True)
    neighbour = Neighbour('Job/t/a/0', 1, 0.4, 1.0, 0.0)
    limits = Limits(settle_seconds=5.0)
    acts = []
    for now in range(60, 120):
        acts += isolator.decide(
            'w', 1.5, now - 60.0, float(now), [neighbour], limits
        )
    assert len(acts) == 1


def test_interference_is_attributed_by_class_and_expires() -> None:
    """The model blamed the wrong class, or never forgot a slowdown."""
    model = InterferenceModel()
    for step in range(400):
        mix = {'loud': float(step % 3 == 0), 'soft': float(step % 2)}
        p99 = 20.0 * math.exp(0.3 * mix['loud'] + 0.01 * mix['soft'])
        p99 *= 1.05 if step % 5 < 2 else 0.966
        model.observe('s', 2, mix, p99, step * 10.0)
    assert model.get_effect('s', 'loud', 2) == pytest.approx(0.3, abs=0.05)
    assert abs(model.get_effect('s', 'soft', 2)) < 0.05
    assert model.get_ratio('s', 2, 20.0) == pytest.approx(1.0, abs=0.05)
    soon = model.predict('s', 2, {'loud': 1.0}, 4000.0).confidence
    late = model.predict('s', 2, {'loud': 1.0}, 4000.0 + 86_400).confidence
    assert soon > 0.8
    assert late == 0.0


def make_job(name: str, job_class: str = 'c') -> Task:
    return Task(f'Job/t/{name}/0', Demand(4, 4000), job_class=job_class)


def test_faulty_workers_are_distinguished_from_faulty_classes() -> None:
    """Failures caused by faulty workers counted against jobs."""
    rows = MemorySlice()
    rows.add_workers([Room(8.0, 32_000, 0)] * 10)
    names = list(rows.workers)
    watch = Quarantine()
    broken = (names[0], names[4])
    for name in broken:
        for number in range(3):
            watch.record_failure(make_job(f'j{number}', f'c{number}'), name)
    for number in range(9):
        watch.record_failure(make_job(f'bad-{number}', 'bad'), names[1])
        watch.record_failure(make_job(f'bad-{number}', 'bad'), names[2])
        watch.record_failure(make_job(f'bad-{number}', 'bad'), names[3])
    found = watch.review(rows.workers, 0.0)
    assert [record.name for record in found] == [*broken]
    assert 'failed 3 different jobs' in found[0].quarantined
    failed_on = (*broken, names[5])
    assert not watch.should_give_up(make_job('j0', 'c0'), failed_on, 10)
    sound = tuple(names[1:4])
    assert watch.should_give_up(make_job('bad-0', 'bad'), sound, 10)


def test_a_quarantine_ends_in_probation() -> None:
    rows = MemorySlice()
    rows.add_workers([Room(8.0, 32_000, 0)] * 10)
    watch = Quarantine()
    name = next(iter(rows.workers))
    for number in range(3):
        watch.record_failure(make_job(f'j{number}', f'c{number}'), name)
    (rows.workers[name],) = watch.review(rows.workers, 0.0)
    assert watch.review(rows.workers, 59.0) == []
    (rows.workers[name],) = watch.review(rows.workers, 61.0)
    assert rows.workers[name].quarantined == ''
    assert watch.is_on_probation(name)
    watch.record_failure(make_job('again', 'new'), name)
    (rows.workers[name],) = watch.review(rows.workers, 62.0)
    assert watch.review(rows.workers, 62.0 + 119.0) == []
    (rows.workers[name],) = watch.review(rows.workers, 62.0 + 121.0)
    watch.record_success(make_job('good', 'new'), name)
    assert not watch.is_on_probation(name)


def test_at_most_a_fifth_of_the_workers_is_quarantined() -> None:
    rows = MemorySlice()
    rows.add_workers([Room(8.0, 32_000, 0)] * 10)
    watch = Quarantine()
    for name in rows.workers:
        for number in range(3):
            job = make_job(f'{name}-{number}', f'{name}-{number}')
            watch.record_failure(job, name)
    assert len(watch.review(rows.workers, 0.0)) == 2


def test_sizes_are_learned_from_enough_attempts() -> None:
    learner = SizeLearner()
    job = attrs.evolve(make_job('x'), attempt=1)
    for number in range(8):
        one = attrs.evolve(job, id=f'Job/t/x{number}/0')
        assert learner.get_demand(one, one.demand) == one.demand
        for _ in range(3):
            usage = Usage(one.id, 1, 0.0, cores=0.5, memory_mb=1000)
            learner.observe(one, usage, 0.5)
        learner.record_completion(one, 30.0)
    learned = learner.get_demand(job, job.demand)
    assert learned == Demand(1.15, 1150)
    assert learner.get_seconds(job) == 30.0


def test_overruns_are_throttled_then_relocated() -> None:
    watch = OverrunDetector()
    job = attrs.evolve(make_job('x'), attempt=1)
    usage = Usage(job.id, 1, 0.0, cores=8.0, memory_mb=1000)
    verdicts = [watch.evaluate(job, usage, 1.0, now) for now in (0, 1, 2, 70)]
    assert verdicts[:2] == [None, None]
    assert verdicts[2] and verdicts[2].share == 0.5 and not verdicts[2].relocate
    assert verdicts[3] and verdicts[3].relocate
    assert watch.get_need(job) == Demand(9.2, 4000)
