"""Tickets of the advice service: when they are asked for, and for how long."""

from __future__ import annotations

import asyncio

import attrs

from lentilmount.clock import ManualClock
from lentilmount.control.advice import WORKERS_PER_CALL, Advice
from lentilmount.platform.advice import AdviceClient, Tickets
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task, Worker
from lentilmount.upstream.http import HttpClient
from tests.helpers import run
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_entry,
    make_job,
    make_policy,
)

VALID_SECONDS = 3.0
ADVISED = make_policy(advised=True)


@attrs.define
class ToldCalls(AdviceClient):
    """Answers as told.

    Attributes:
      eligible: Workers that may run any step.
      is_down: Whether there is no answer.
      asked: The workers named in each call.
    """

    eligible: set[str] = attrs.Factory(set)
    is_down: bool = False
    asked: list[list[str]] = attrs.Factory(list)

    async def ask(self, step: str, workers: list[str]) -> Tickets | None:
        """See `AdviceClient`."""
        self.asked.append(workers)
        if self.is_down:
            return None
        told = {name: f'{step}/{name}' for name in workers}
        may = {name: told[name] for name in workers if name in self.eligible}
        return Tickets(may, VALID_SECONDS)


@attrs.define
class AdviceScene:
    """A queue that needs advice."""

    clock: ManualClock = attrs.Factory(ManualClock)
    cluster: ClusterState = attrs.Factory(ClusterState)
    calls: ToldCalls = attrs.field(
        factory=lambda: ToldCalls(HttpClient(''), 1.0)
    )
    woken: list[bool] = attrs.Factory(list)

    def make_advice(self) -> Advice:
        """Builds what keeps the tickets."""
        return Advice(
            self.cluster,
            self.calls,
            self.clock.monotonic,
            lambda: self.woken.append(True),
        )

    def add(self, name: str) -> Worker:
        """Adds a worker."""
        return add_worker(self.cluster, name)

    def admit(self, job_id: str) -> Task:
        """Admits a job of the queue."""
        admit(self.cluster, make_job(job_id, policy=ADVISED))
        return find_task(self.cluster, job_id)


async def run_for_a_moment(advice: Advice, rounds: int = 3) -> None:
    """Lets it ask a few times."""
    asking = asyncio.create_task(advice.run())
    for _ in range(rounds):
        await asyncio.sleep(0.03)
    asking.cancel()
    await asyncio.gather(asking, return_exceptions=True)


def test_a_task_goes_only_where_it_may() -> None:
    """A worker that the advice rules out got the task."""
    scene = AdviceScene()
    scene.calls.eligible = {'may'}
    may, other = scene.add('may'), scene.add('other')
    task = scene.admit('a')
    advice = scene.make_advice()
    assert not advice.allows(task, may)
    run(run_for_a_moment(advice))
    assert advice.get_ticket(task, may) == 'a.0.0/may'
    assert advice.allows(task, may)
    assert not advice.allows(task, other)
    assert scene.woken
    assert len(scene.calls.asked) == 1
    scene.clock.advance(VALID_SECONDS)
    run(run_for_a_moment(advice))
    assert scene.calls.asked[1:] == [['may']]


def test_a_ticket_ends_with_its_time_and_with_the_worker() -> None:
    """A start with a ticket that is no longer valid is rejected."""
    scene = AdviceScene()
    scene.calls.eligible = {'w'}
    worker = scene.add('w')
    task = scene.admit('a')
    advice = scene.make_advice()
    run(run_for_a_moment(advice))
    scene.cluster.register_worker(make_entry('w', started_ms=2))
    assert not advice.allows(task, worker)
    scene.cluster.register_worker(make_entry('w', started_ms=1))
    assert advice.allows(task, worker)
    scene.clock.advance(VALID_SECONDS - 0.1)
    assert not advice.allows(task, worker)


def test_few_workers_are_named_at_a_time() -> None:
    """None of the workers asked first may run the step: others are asked."""
    scene = AdviceScene()
    names = [f'w{number:02}' for number in range(2 * WORKERS_PER_CALL)]
    for name in names:
        scene.add(name)
    scene.calls.eligible = {names[-1]}
    task = scene.admit('a')
    advice = scene.make_advice()
    run(run_for_a_moment(advice))
    assert [len(asked) for asked in scene.calls.asked] == [WORKERS_PER_CALL] * 2
    assert advice.allows(task, scene.cluster.workers[names[-1]])


def test_a_lost_service_stops_only_the_queues_that_need_it() -> None:
    scene = AdviceScene()
    scene.calls.is_down = True
    worker = scene.add('w')
    task = scene.admit('a')
    admit(scene.cluster, make_job('free'))
    advice = scene.make_advice()
    run(run_for_a_moment(advice))
    assert not advice.allows(task, worker)
    assert advice.allows(find_task(scene.cluster, 'free'), worker)


def test_what_is_over_is_forgotten() -> None:
    scene = AdviceScene()
    scene.calls.eligible = {'w'}
    worker = scene.add('w')
    task = scene.admit('a')
    advice = scene.make_advice()
    run(run_for_a_moment(advice))
    advice.forget('a')
    assert not advice.allows(task, worker)
