"""Copies of slow tasks by a real owner, and random schedules with copies.

`python -m tests.test_copy_schedules FIRST_SEED COUNT` plays more of them.
"""

from __future__ import annotations

import asyncio
import functools
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import pytest
from aioprometheus.renderer import render
from hypothesis import settings

from lentilmount.clock import ManualClock
from lentilmount.policies import CopyPolicy, Policies
from lentilmount.resources import Room
from lentilmount.scheduling.model import JobState
from lentilmount.scheduling.specs import JobSpec
from stand_ins.model_site import ModelSite
from stand_ins.model_worker import Execution, choose_work
from stand_ins.virtual_time import VirtualLoop
from tests.scheduling_fixtures import make_job, make_policy, make_step
from tests.test_random_schedules import Schedule, play_range
from tests.test_session_state_machine import SessionMachine, make_spec

SEEDS = range(1, 13)
MAX_EXAMPLES = 40
COUNT = 6
LONG_TASKS = 2
LONG_SECONDS = 2.8
"""Run time of a long task: seven times that of the others."""

LONGER_SECONDS = 4.0
"""The same in random schedules, so that more happens beside a copy. It is
shorter than the time after which a task counts as hanging."""

LINK_SECONDS = 0.02
"""Time within which a report and then a command arrive."""

MADE_LONG = ('longer', 'failing', 'crashing')
"""Payloads of jobs that get long tasks in their place."""

POLICIES = Policies(copies=CopyPolicy(slowness=1.5, max_share=0.5))


def choose_long_work(
    task: str, run: int, payload: str, long_seconds: float = LONG_SECONDS
) -> tuple[float, str]:
    """Returns the work of a run: the first run of some tasks takes long.

    Those of every third job take long at each run.
    """
    job, _, _, index = task.split('.')
    is_last = int(index) >= COUNT - LONG_TASKS
    if payload == 'short' and is_last and (run == 1 or int(job, 16) % 3 == 0):
        return long_seconds, 'done'
    return choose_work(task, run, payload)


def make_copyable(spec: JobSpec) -> JobSpec:
    """Returns a job with several tasks to a step, which may be copied."""
    steps = tuple(
        attrs.evolve(step, count=COUNT, demand=Room(0.5, 100), duplicates=True)
        for step in spec.steps
    )
    return attrs.evolve(spec, steps=steps)


class CopyMachine(SessionMachine):
    """An owner that copies tasks, on workers that fail at random.

    Every second job allows copies, and most of those have long tasks.
    """

    def __init__(self) -> None:
        super().__init__()
        self.site.policies = POLICIES
        self.site.choose_work = functools.partial(
            choose_long_work, long_seconds=LONGER_SECONDS
        )

    def submit_job(self, payload: str, has_two_steps: bool) -> None:
        """Submits a job; see `SessionMachine`."""
        number = len(self.site.jobs)
        if payload == 'lasting' or number % 2 == 0:
            super().submit_job(payload, has_two_steps)
            return
        payload = 'short' if payload in MADE_LONG else payload
        spec = make_spec(number, payload, has_two_steps)
        self.site.submit(make_copyable(spec))


@attrs.define
class Scene:
    """A site on virtual time.

    Attributes:
      clock: Its clock.
      site: The site.
    """

    clock: ManualClock
    site: ModelSite

    async def begin(self, spec: JobSpec, workers: int = 2) -> None:
        """Starts workers and the owner, and submits a job."""
        for _ in range(workers):
            self.site.add_worker()
        self.site.start_owner()
        await asyncio.sleep(1.0)
        self.site.submit(spec)

    async def wait_for_copy(self) -> tuple[Execution, Execution]:
        """Waits until a copy runs; returns the first run and the copy."""
        async with asyncio.timeout(10.0):
            while True:
                for copy in self.site.record:
                    if copy.run > 1:
                        return self.find(copy.task, 1), copy
                await asyncio.sleep(0.01)

    def find(self, task: str, run: int) -> Execution:
        """Returns the execution of a run."""
        (found,) = [
            e for e in self.site.record if (e.task, e.run) == (task, run)
        ]
        return found

    def get_stop_time(self, execution: Execution) -> float:
        """Returns the time in seconds at which a run was first stopped."""
        (worker,) = [w for w in self.site.workers if w.id == execution.worker]
        return min(
            at
            for at, task, run in worker.stops
            if (task, run) == (execution.task, execution.run)
        )

    def crash(self, execution: Execution) -> None:
        """Crashes the worker of a run for good."""
        for position, worker in enumerate(self.site.workers):
            if worker.id == execution.worker:
                self.site.crash(position, 60.0, 0.2, True)

    def get_state(self, job_id: str) -> JobState:
        """Returns the state of a job as its owner knows it."""
        assert self.site.cluster is not None
        return self.site.cluster.jobs[job_id].state

    def render_metrics(self) -> str:
        """Returns the metrics of all owners as a scraper gets them."""
        return render(self.site.metrics.registry, [])[0].decode()

    def list_runs(self) -> list[tuple[int, str]]:
        """Lists number and kind of the runs of tasks that ran twice."""
        copied = {e.task for e in self.site.record if e.run > 1}
        return [(e.run, e.kind) for e in self.site.record if e.task in copied]


def play(
    work: Callable[[Scene], Coroutine[Any, Any, None]],
    policies: Policies = POLICIES,
) -> Scene:
    """Plays a scene on virtual time, and checks what has run."""
    clock = ManualClock()
    site = ModelSite(clock, policies=policies, choose_work=choose_long_work)
    scene = Scene(clock, site)

    async def run() -> None:
        await work(scene)
        site.check()
        await site.kill_owner()

    with asyncio.Runner(loop_factory=lambda: VirtualLoop(clock)) as runner:
        runner.run(run())
    assert site.violations == []
    return scene


def make_long_job(number: int = 1, duplicates: bool = True) -> JobSpec:
    """Returns a job whose last task takes long; at each run if number is 3."""
    step = make_step(
        count=COUNT - LONG_TASKS + 1,
        demand=Room(0.5, 100),
        estimated_seconds=0.1,
        duplicates=duplicates,
    )
    spec = make_job(f'{number:016x}', step, policy=make_policy(max_attempts=3))
    return attrs.evolve(spec, payload='short')


def test_the_copy_of_a_task_ends_its_job_early() -> None:
    """Load: one task of a step takes seven times as long as the others."""

    async def work(scene: Scene) -> None:
        spec = make_long_job()
        await scene.begin(spec)
        first, copy = await scene.wait_for_copy()
        assert first.worker != copy.worker
        await asyncio.sleep(0.6)
        assert scene.get_state(spec.id) is JobState.COMPLETED
        await asyncio.sleep(1.0)
        assert (first.kind, copy.kind) == ('stopped', 'done')
        assert scene.get_stop_time(first) - copy.ended_at < LINK_SECONDS

    scene = play(work)
    text = scene.render_metrics()
    assert 'lentilmount_copies_total{outcome="started"} 1' in text
    assert 'lentilmount_copies_total{outcome="first"} 1' in text


def test_a_task_that_is_long_everywhere_keeps_its_first_run() -> None:
    """Load: a long input. Both runs went on to the end."""

    async def work(scene: Scene) -> None:
        spec = make_long_job(3)
        await scene.begin(spec)
        await asyncio.sleep(4.0)
        assert scene.get_state(spec.id) is JobState.COMPLETED

    scene = play(work)
    assert scene.list_runs() == [(1, 'done'), (2, 'stopped')]


@pytest.mark.parametrize(
    ('duplicates', 'policies'), [(False, POLICIES), (True, Policies())]
)
def test_nothing_is_copied_unless_step_and_operators_allow_it(
    duplicates: bool, policies: Policies
) -> None:
    """Two runs of a task went on whose step does not allow duplicates."""

    async def work(scene: Scene) -> None:
        spec = make_long_job(duplicates=duplicates)
        await scene.begin(spec)
        await asyncio.sleep(4.0)
        assert scene.get_state(spec.id) is JobState.COMPLETED

    assert play(work, policies).list_runs() == []


@pytest.mark.parametrize('is_copy', [True, False])
def test_a_worker_of_a_copied_task_is_lost(is_copy: bool) -> None:
    """The other run was stopped, or the task was started a third time."""

    async def work(scene: Scene) -> None:
        spec = make_long_job()
        await scene.begin(spec, 3)
        first, copy = await scene.wait_for_copy()
        scene.crash(copy if is_copy else first)
        await asyncio.sleep(3.0)
        assert scene.get_state(spec.id) is JobState.COMPLETED
        await asyncio.sleep(9.0)

    scene = play(work)
    lost, done = (2, 1) if is_copy else (1, 2)
    assert sorted(scene.list_runs()) == sorted(
        [(lost, 'crashed'), (done, 'done')]
    )


def test_the_owner_is_replaced_while_a_copy_runs() -> None:
    """The next owner knew of one run, and let the other go on unnoticed."""

    async def work(scene: Scene) -> None:
        spec = make_long_job(3)
        await scene.begin(spec)
        first, copy = await scene.wait_for_copy()
        await scene.site.kill_owner()
        scene.site.start_owner()
        await asyncio.sleep(4.0)
        assert first.kind == 'stopped'
        await asyncio.sleep(8.0)
        assert copy.kind == 'done'
        assert scene.get_state(spec.id) is JobState.COMPLETED

    play(work)


def test_a_cancelled_job_stops_both_runs() -> None:
    async def work(scene: Scene) -> None:
        spec = make_long_job()
        await scene.begin(spec)
        first, copy = await scene.wait_for_copy()
        scene.site.cancel(spec.id)
        await asyncio.sleep(1.5)
        assert (first.kind, copy.kind) == ('stopped', 'stopped')

    play(work)


CopyMachine.TestCase.settings = settings(
    SessionMachine.TestCase.settings, max_examples=MAX_EXAMPLES
)
TestCopyMachine = CopyMachine.TestCase


def play_schedule(seed: int) -> list[str]:
    """Plays the schedule of a seed; returns the violations."""
    return Schedule(seed, CopyMachine()).play()


@pytest.mark.parametrize('seed', SEEDS)
def test_random_schedules_with_copies(seed: int) -> None:
    """Two runs of a task beside restarts, cuts and takeovers."""
    assert play_schedule(seed) == []


if __name__ == '__main__':
    play_range(play_schedule, *map(int, sys.argv[1:]))
