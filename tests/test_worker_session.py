"""Leases that an owner gives to its workers."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Coroutine
from typing import Any

import attrs

from lentilmount.clock import ManualClock
from lentilmount.control.owner import RENEW_WITHOUT_STORE_SECONDS
from lentilmount.control.worker_commands import CommandSender
from lentilmount.control.worker_session import WorkerSession
from lentilmount.platform.workers import (
    CallStatus,
    CommandAnswer,
    StartCommand,
    WorkerClient,
)
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.reconciliation import ReconcileResult
from lentilmount.scheduling.reports import WorkerEntry, WorkerReport
from lentilmount.upstream.http import HttpClient
from tests.helpers import run
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_report,
    make_running,
    make_step,
    run_task,
)

LEASE_SECONDS = 6.0
CALL_SECONDS = 1.0
CLOCK_MS = 1000


class IgnoringListener:
    """Takes what a link tells, and forgets it."""

    def handle_lease_lost(self, reason: str) -> None:
        """See `SessionListener`."""

    def handle_poll_result(
        self, worker: Worker, result: ReconcileResult
    ) -> None:
        """See `SessionListener`."""

    def handle_tasks_ended(
        self, worker: Worker, tasks: list[Task], why: str
    ) -> None:
        """See `SessionListener`."""

    def may_renew(self) -> bool:
        """See `SessionListener`."""
        return True


def test_starts_to_a_worker_that_is_gone_do_not_renew_its_leases() -> None:
    """Repeated starts to a lost worker kept its tasks away for good."""
    clock = ManualClock()
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    calls = WorkerClient(HttpClient(''), 1, 1.0)
    session = WorkerSession(
        worker,
        cluster,
        calls,
        IgnoringListener(),
        LEASE_SECONDS,
        clock.monotonic,
    )
    session.update_clock(1000)
    end = session.choose_lease_end()
    lapses_at = worker.leases_expire_at
    clock.advance(1.0)
    assert session.choose_lease_end() > end
    assert worker.leases_expire_at > lapses_at
    end, lapses_at = session.choose_lease_end(), worker.leases_expire_at
    worker.reachable = False
    clock.advance(5.0)
    assert session.choose_lease_end() == end
    assert worker.leases_expire_at == lapses_at


@attrs.define(eq=False)
class Promise(IgnoringListener):
    """Lets leases be renewed for the promised time; keeps what lapsed."""

    clock: ManualClock
    until: float
    lapsed: list[Task] = attrs.Factory(list)

    def handle_tasks_ended(
        self, worker: Worker, tasks: list[Task], why: str
    ) -> None:
        """See `SessionListener`."""
        self.lapsed += tasks

    def may_renew(self) -> bool:
        """See `SessionListener`."""
        return self.clock.monotonic() < self.until


class SilentCalls(WorkerClient):
    """Calls without an answer, each of which takes a while.

    Attributes:
      ends: Ends of the leases that the starts carried.
      looks: Answers to the first looks.
    """

    def __init__(self, clock: ManualClock):
        super().__init__(HttpClient(''), 1, CALL_SECONDS)
        self.ends: list[int] = []
        self.looks: list[WorkerReport] = []
        self._clock = clock

    async def start(
        self, worker: WorkerEntry, order: StartCommand
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        self.ends.append(order.lease_until_ms)
        self._clock.advance(CALL_SECONDS)
        return CommandAnswer(CallStatus.UNKNOWN)

    async def poll(
        self, *args: object, **options: object
    ) -> WorkerReport | CallStatus:
        """See `WorkerClient`."""
        self._clock.advance(CALL_SECONDS)
        return self.looks.pop(0) if self.looks else CallStatus.UNKNOWN


@attrs.define(eq=False)
class Pending:
    """A worker with a task that lasts, and a start that gets no answer."""

    clock: ManualClock
    lasting: Task
    starting: Task
    session: WorkerSession
    calls: SilentCalls
    events: Promise


def open_pending(group: asyncio.TaskGroup, promise_seconds: float) -> Pending:
    """Gives a worker's first leases, and sends the start for ever."""
    clock = ManualClock()
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('lasts', make_step(lasting=True)))
    admit(cluster, make_job('starts'))
    lasting, starting = (
        find_task(cluster, 'lasts'),
        find_task(cluster, 'starts'),
    )
    run_task(cluster, lasting, worker, clock.monotonic())
    cluster.place([starting], worker, clock.monotonic())
    events = Promise(clock, clock.monotonic() + promise_seconds)
    calls = SilentCalls(clock)
    session = WorkerSession(
        worker, cluster, calls, events, LEASE_SECONDS, clock.monotonic
    )
    session.update_clock(CLOCK_MS)

    def start_task(work: Coroutine[Any, Any, None]) -> None:
        group.create_task(work)

    commands = CommandSender(
        cluster,
        calls,
        {worker.id: session},
        events,
        clock.monotonic,
        start_task,
        lambda task, worker: '',
        lambda: None,
    )
    commands.start(starting)
    return Pending(clock, lasting, starting, session, calls, events)


def test_what_a_worker_that_is_gone_ran_is_freed_with_a_start_pending() -> None:
    """A pending start kept a lost worker's tasks away for good."""

    async def play() -> None:
        async with asyncio.TaskGroup() as group:
            pending = open_pending(group, math.inf)
            begun_at = pending.clock.monotonic()
            keeping = group.create_task(pending.session.run())
            while not pending.events.lapsed:
                await asyncio.sleep(0.01)
                passed = pending.clock.monotonic() - begun_at
                assert passed < 3 * LEASE_SECONDS
            assert pending.lasting in pending.events.lapsed
            keeping.cancel()

    run(play())


def test_a_start_sent_again_gives_no_lease_beyond_the_promise() -> None:
    """A repeated start gave a lease that the next owner did not wait for."""

    async def play() -> None:
        async with asyncio.TaskGroup() as group:
            pending = open_pending(group, RENEW_WITHOUT_STORE_SECONDS)
            while len(pending.calls.ends) < 8:
                await asyncio.sleep(0.01)
            pending.session.restart('the end of the test')
        last = CLOCK_MS + 1000 * (RENEW_WITHOUT_STORE_SECONDS + LEASE_SECONDS)
        assert max(pending.calls.ends) <= last

    run(play())


def test_a_start_does_not_end_the_leases_of_the_owner_before() -> None:
    """What an owner before had started ran twice beside a worker's start."""
    clock = ManualClock()
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    worker.leases_expire_at = clock.monotonic() + LEASE_SECONDS
    inherited = worker.leases_expire_at
    calls = SilentCalls(clock)
    session = WorkerSession(
        worker,
        cluster,
        calls,
        IgnoringListener(),
        LEASE_SECONDS,
        clock.monotonic,
    )
    session.update_clock(CLOCK_MS)
    session.choose_start_deadline()
    assert worker.leases_expire_at >= inherited


def test_leases_that_are_not_known_are_waited_for() -> None:
    """What a worker was found to run ran twice once the worker fell silent."""

    async def play() -> None:
        clock = ManualClock()
        cluster = ClusterState()
        worker = add_worker(cluster, 'w')
        worker.has_answered = worker.reachable = False
        calls = SilentCalls(clock)
        calls.looks.append(make_report())
        events = Promise(clock, clock.monotonic())
        session = WorkerSession(
            worker, cluster, calls, events, LEASE_SECONDS, clock.monotonic
        )
        begun_at = clock.monotonic()
        keeping = asyncio.create_task(session.run())
        while not worker.has_answered:
            await asyncio.sleep(0.0)
        keeping.cancel()
        assert (
            worker.leases_expire_at >= begun_at + CALL_SECONDS + LEASE_SECONDS
        )

    run(play())


def test_inherited_leases_are_waited_for_after_a_single_answer() -> None:
    """A worker that answered once and fell silent was given up too soon."""

    async def play() -> None:
        clock = ManualClock()
        cluster = ClusterState()
        worker = add_worker(cluster, 'w')
        admit(cluster, make_job('lasts', make_step(lasting=True)))
        lasting = find_task(cluster, 'lasts')
        lasting.run = 1
        cluster.restore_placed(lasting, worker)
        worker.leases_expire_at = clock.monotonic() + LEASE_SECONDS
        inherited = worker.leases_expire_at
        calls = SilentCalls(clock)
        calls.looks.append(make_report((make_running(lasting, 1),)))
        events = Promise(clock, clock.monotonic())
        session = WorkerSession(
            worker, cluster, calls, events, LEASE_SECONDS, clock.monotonic
        )
        keeping = asyncio.create_task(session.run())
        while not events.lapsed:
            await asyncio.sleep(0.01)
        keeping.cancel()
        assert clock.monotonic() > inherited

    run(play())
