"""Requests and expiry of tickets of the advice service."""

from __future__ import annotations

import asyncio

import attrs

from lentilmount.clock import ManualClock
from lentilmount.control.advice import (
    PAUSE_SECONDS,
    WORKERS_PER_CALL,
    Advice,
)
from lentilmount.platform.advice import AdviceClient, Tickets
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task, Worker
from lentilmount.upstream.http import HttpClient
from stand_ins.virtual_time import run_virtual
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
class FakeAdviceClient(AdviceClient):
    """Allows a fixed set of workers, without an advice service.

    Attributes:
      eligible: Ids of the workers that may run any step.
      is_down: Whether calls get no answer.
      asked: Worker ids named in each call.
    """

    eligible: set[str] = attrs.Factory(set)
    is_down: bool = False
    asked: list[list[str]] = attrs.Factory(list)

    async def ask(self, step: str, workers: list[str]) -> Tickets | None:
        """See `AdviceClient`."""
        self.asked.append(workers)
        if self.is_down:
            return None
        tickets = {name: f'{step}/{name}' for name in workers}
        allowed = {
            name: tickets[name] for name in workers if name in self.eligible
        }
        return Tickets(allowed, VALID_SECONDS)


@attrs.define
class AdviceFixture:
    """Cluster state, clock and advice service for a queue that needs advice."""

    clock: ManualClock = attrs.Factory(ManualClock)
    cluster: ClusterState = attrs.Factory(ClusterState)
    client: FakeAdviceClient = attrs.field(
        factory=lambda: FakeAdviceClient(HttpClient(''), 1.0)
    )
    wake_calls: list[bool] = attrs.Factory(list)

    def make_advice(self) -> Advice:
        """Creates the ticket cache under test."""
        return Advice(
            self.cluster,
            self.client,
            self.clock.monotonic,
            lambda: self.wake_calls.append(True),
        )

    def add(self, name: str) -> Worker:
        """Adds a worker."""
        return add_worker(self.cluster, name)

    def admit(self, job_id: str) -> Task:
        """Admits a job of the advised queue; returns its task."""
        admit(self.cluster, make_job(job_id, policy=ADVISED))
        return find_task(self.cluster, job_id)


async def run_briefly(advice: Advice, pauses: int = 3) -> None:
    """Runs the ticket cache long enough for a few calls."""
    asking = asyncio.create_task(advice.run())
    for _ in range(pauses):
        await asyncio.sleep(0.03)
    asking.cancel()
    await asyncio.gather(asking, return_exceptions=True)


def test_a_task_is_placed_only_on_allowed_workers() -> None:
    """A task was placed on a worker that the advice service excludes."""
    fixture = AdviceFixture()
    fixture.client.eligible = {'may'}
    allowed, other = fixture.add('may'), fixture.add('other')
    task = fixture.admit('a')
    advice = fixture.make_advice()
    assert not advice.allows(task, allowed)
    run(run_briefly(advice))
    assert advice.get_ticket(task, allowed) == 'a.0.0/may'
    assert advice.allows(task, allowed)
    assert not advice.allows(task, other)
    assert fixture.wake_calls
    assert len(fixture.client.asked) == 1
    fixture.clock.advance(VALID_SECONDS)
    run(run_briefly(advice))
    assert fixture.client.asked[1:] == [['may']]


def test_a_ticket_expires_and_is_valid_for_one_incarnation() -> None:
    """Workers reject a start with a ticket that is no longer valid."""
    fixture = AdviceFixture()
    fixture.client.eligible = {'w'}
    worker = fixture.add('w')
    task = fixture.admit('a')
    advice = fixture.make_advice()
    run(run_briefly(advice))
    fixture.cluster.register_worker(make_entry('w', started_ms=2))
    assert not advice.allows(task, worker)
    fixture.cluster.register_worker(make_entry('w', started_ms=1))
    assert advice.allows(task, worker)
    fixture.clock.advance(VALID_SECONDS - 0.1)
    assert not advice.allows(task, worker)


@attrs.define(eq=False)
class RestartingAdvice(AdviceClient):
    """An advice service whose answer comes after the restart of a worker.

    Attributes:
      cluster: Contains the worker.
    """

    cluster: ClusterState

    async def ask(self, step: str, workers: list[str]) -> Tickets | None:
        """See `AdviceClient`."""
        for name in workers:
            self.cluster.register_worker(make_entry(name, started_ms=2))
        return Tickets(dict.fromkeys(workers, 'ticket'), 10.0)


def test_a_ticket_of_an_earlier_incarnation_is_not_used() -> None:
    """A ticket requested before a restart was taken for one of after it."""
    clock = ManualClock()
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('job', policy=make_policy(advised=True)))
    task = find_task(cluster, 'job')

    async def work() -> None:
        client = RestartingAdvice(HttpClient(''), 1.0, cluster)
        advice = Advice(cluster, client, clock.monotonic, lambda: None)
        running = asyncio.create_task(advice.run())
        await asyncio.sleep(0.01)
        running.cancel()
        assert not advice.get_ticket(task, worker)

    run_virtual(work(), clock)


def test_a_ticket_is_requested_again_after_a_restart() -> None:
    """A step waited for a ticket of an incarnation that had ended."""
    clock = ManualClock()
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('job', policy=ADVISED))
    task = find_task(cluster, 'job')

    async def work() -> None:
        client = RestartingAdvice(HttpClient(''), 1.0, cluster)
        advice = Advice(cluster, client, clock.monotonic, lambda: None)
        running = asyncio.create_task(advice.run())
        await asyncio.sleep(1.5 * PAUSE_SECONDS)
        running.cancel()
        assert advice.get_ticket(task, worker) == 'ticket'

    run_virtual(work(), clock)


def test_few_workers_are_named_in_a_call() -> None:
    """If no worker of a call may run the step, others are asked next."""
    fixture = AdviceFixture()
    names = [f'w{number:02}' for number in range(2 * WORKERS_PER_CALL)]
    for name in names:
        fixture.add(name)
    fixture.client.eligible = {names[-1]}
    task = fixture.admit('a')
    advice = fixture.make_advice()
    run(run_briefly(advice))
    assert [len(asked) for asked in fixture.client.asked] == [
        WORKERS_PER_CALL
    ] * 2
    assert advice.allows(task, fixture.cluster.workers[names[-1]])


def test_an_unavailable_advice_service_blocks_only_advised_queues() -> None:
    fixture = AdviceFixture()
    fixture.client.is_down = True
    worker = fixture.add('w')
    task = fixture.admit('a')
    admit(fixture.cluster, make_job('free'))
    advice = fixture.make_advice()
    run(run_briefly(advice))
    assert not advice.allows(task, worker)
    assert advice.allows(find_task(fixture.cluster, 'free'), worker)


def test_tickets_of_a_finished_job_are_removed() -> None:
    fixture = AdviceFixture()
    fixture.client.eligible = {'w'}
    worker = fixture.add('w')
    task = fixture.admit('a')
    advice = fixture.make_advice()
    run(run_briefly(advice))
    advice.forget('a')
    assert not advice.allows(task, worker)
