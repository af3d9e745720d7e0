"""Leases that an owner grants to its workers."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from lentilmount.clock import ManualClock
from lentilmount.control.owner_settings import RENEW_WITHOUT_STORE_SECONDS
from lentilmount.control.worker_commands import CommandSender
from lentilmount.control.worker_session import WorkerSession
from lentilmount.platform.workers import (
    CallStatus,
    CommandAnswer,
    StartCommand,
    WorkerClient,
)
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.poll_intervals import DEFAULT_SECONDS
from lentilmount.scheduling.reconciliation import ReconcileResult
from lentilmount.scheduling.reports import (
    StaleRun,
    WorkerEntry,
    WorkerReport,
)
from lentilmount.upstream.http import HttpClient
from stand_ins.virtual_time import run_virtual
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
    """A listener that ignores all callbacks."""

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

    def handle_crash(self, worker: Worker, suspects: list[Task]) -> None:
        """See `SessionListener`."""

    def handle_late_starts(
        self, worker: Worker, late_starts: list[StaleRun]
    ) -> None:
        """See `SessionListener`."""

    def may_renew(self) -> bool:
        """See `SessionListener`."""
        return True

    def choose_poll_seconds(self, worker: Worker) -> float:
        """See `SessionListener`."""
        return DEFAULT_SECONDS


def test_starts_to_a_worker_that_is_gone_do_not_renew_its_leases() -> None:
    """Repeated starts renewed a lost worker's leases: its tasks never moved."""
    clock = ManualClock()
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    client = WorkerClient(HttpClient(''), 1, 1.0)
    session = WorkerSession(
        worker,
        cluster,
        client,
        IgnoringListener(),
        LEASE_SECONDS,
        clock.monotonic,
    )
    session.update_clock(1000)
    end = session.choose_lease_end()
    leases_expire_at = worker.leases_expire_at
    clock.advance(1.0)
    assert session.choose_lease_end() > end
    assert worker.leases_expire_at > leases_expire_at
    end, leases_expire_at = session.choose_lease_end(), worker.leases_expire_at
    worker.reachable = False
    clock.advance(5.0)
    assert session.choose_lease_end() == end
    assert worker.leases_expire_at == leases_expire_at


@attrs.define(eq=False)
class ExpiringListener(IgnoringListener):
    """Allows renewals until a time; collects the tasks that ended.

    Attributes:
      clock: The clock.
      until: Monotonic time until which leases may be renewed.
      ended_tasks: The tasks that ended.
    """

    clock: ManualClock
    until: float
    ended_tasks: list[Task] = attrs.Factory(list)

    def handle_tasks_ended(
        self, worker: Worker, tasks: list[Task], why: str
    ) -> None:
        """See `SessionListener`."""
        self.ended_tasks += tasks

    def may_renew(self) -> bool:
        """See `SessionListener`."""
        return self.clock.monotonic() < self.until


class UnansweredClient(WorkerClient):
    """A client whose calls time out.

    Attributes:
      ends: Expiry times of the leases in the starts sent.
      reports: Reports returned by the first polls.
    """

    def __init__(self, clock: ManualClock):
        super().__init__(HttpClient(''), 1, CALL_SECONDS)
        self.ends: list[int] = []
        self.reports: list[WorkerReport] = []
        self._clock = clock
        self._booted_at = clock.monotonic() - CLOCK_MS / 1000

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
        return self.reports.pop(0) if self.reports else CallStatus.UNKNOWN


class LostStartClient(UnansweredClient):
    """A client in virtual time whose polls are answered and starts are not."""

    async def start(
        self, worker: WorkerEntry, order: StartCommand
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        self.ends.append(order.lease_until_ms)
        await asyncio.sleep(CALL_SECONDS)
        return CommandAnswer(CallStatus.UNKNOWN)

    async def stop(
        self, worker: WorkerEntry, task: str, run: int
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        return CommandAnswer(CallStatus.DONE)

    async def poll(self, *args: object, **options: object) -> WorkerReport:
        """See `WorkerClient`."""
        await asyncio.sleep(CALL_SECONDS / 10)
        uptime = self._clock.monotonic() - self._booted_at
        return WorkerReport(1, int(1000 * uptime), (), ())


@attrs.define(eq=False)
class PendingStart:
    """A worker with a long-running task and a pending, unanswered start."""

    clock: ManualClock
    long_running: Task
    starting: Task
    session: WorkerSession
    client: UnansweredClient
    listener: ExpiringListener


def open_pending_start(
    group: asyncio.TaskGroup,
    renewal_seconds: float,
    clock: ManualClock,
    make_client: Callable[[ManualClock], UnansweredClient] = UnansweredClient,
) -> PendingStart:
    """Grants a worker its first leases, and keeps sending a start."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('lasts', make_step(lasting=True)))
    admit(cluster, make_job('starts'))
    long_running, starting = (
        find_task(cluster, 'lasts'),
        find_task(cluster, 'starts'),
    )
    run_task(cluster, long_running, worker, clock.monotonic())
    cluster.place([starting], worker, clock.monotonic())
    listener = ExpiringListener(clock, clock.monotonic() + renewal_seconds)
    client = make_client(clock)
    session = WorkerSession(
        worker, cluster, client, listener, LEASE_SECONDS, clock.monotonic
    )
    session.update_clock(CLOCK_MS)

    def start_task(work: Coroutine[Any, Any, None]) -> None:
        group.create_task(work)

    commands = CommandSender(
        cluster,
        client,
        {worker.id: session},
        listener,
        clock.monotonic,
        start_task,
        lambda task, worker: '',
        lambda: None,
    )
    commands.start(starting)
    return PendingStart(
        clock, long_running, starting, session, client, listener
    )


def test_tasks_of_a_lost_worker_are_freed_with_a_start_pending() -> None:
    """With a start pending, a lost worker's tasks never ran elsewhere."""

    async def scenario() -> None:
        async with asyncio.TaskGroup() as group:
            pending = open_pending_start(group, math.inf, ManualClock())
            started_at = pending.clock.monotonic()
            session_task = group.create_task(pending.session.run())
            while not pending.listener.ended_tasks:
                await asyncio.sleep(0.01)
                elapsed = pending.clock.monotonic() - started_at
                assert elapsed < 3 * LEASE_SECONDS
            assert pending.long_running in pending.listener.ended_tasks
            session_task.cancel()

    run(scenario())


def test_a_repeated_start_grants_no_lease_after_renewals_end() -> None:
    """A repeated start granted a lease that the next owner did not wait for."""
    clock = ManualClock()

    async def scenario() -> None:
        async with asyncio.TaskGroup() as group:
            pending = open_pending_start(
                group, RENEW_WITHOUT_STORE_SECONDS, clock, LostStartClient
            )
            session_task = group.create_task(pending.session.run())
            while pending.starting.phase is TaskPhase.STARTING:
                await asyncio.sleep(0.01)
            session_task.cancel()
            pending.session.handle_restart('the end of the test')
        assert len(pending.client.ends) > 1
        last = CLOCK_MS + 1000 * (RENEW_WITHOUT_STORE_SECONDS + LEASE_SECONDS)
        assert max(pending.client.ends) <= last

    run_virtual(scenario(), clock)


def test_a_start_does_not_end_the_leases_of_the_previous_owner() -> None:
    """Tasks of the previous owner ran twice after a start on their worker."""
    clock = ManualClock()
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    worker.leases_expire_at = clock.monotonic() + LEASE_SECONDS
    inherited = worker.leases_expire_at
    client = UnansweredClient(clock)
    session = WorkerSession(
        worker,
        cluster,
        client,
        IgnoringListener(),
        LEASE_SECONDS,
        clock.monotonic,
    )
    session.update_clock(CLOCK_MS)
    session.choose_start_deadline()
    assert worker.leases_expire_at >= inherited


def test_unknown_leases_are_waited_for() -> None:
    """Tasks found running on a worker ran twice once it was unreachable."""

    async def scenario() -> None:
        clock = ManualClock()
        cluster = ClusterState()
        worker = add_worker(cluster, 'w')
        worker.has_answered = worker.reachable = False
        client = UnansweredClient(clock)
        client.reports.append(make_report())
        listener = ExpiringListener(clock, clock.monotonic())
        session = WorkerSession(
            worker, cluster, client, listener, LEASE_SECONDS, clock.monotonic
        )
        started_at = clock.monotonic()
        session_task = asyncio.create_task(session.run())
        while not worker.has_answered:
            await asyncio.sleep(0.0)
        session_task.cancel()
        assert (
            worker.leases_expire_at >= started_at + CALL_SECONDS + LEASE_SECONDS
        )

    run(scenario())


def test_inherited_leases_are_waited_for_after_a_single_answer() -> None:
    """A worker unreachable after one answer lost its tasks too early."""

    async def scenario() -> None:
        clock = ManualClock()
        cluster = ClusterState()
        worker = add_worker(cluster, 'w')
        admit(cluster, make_job('lasts', make_step(lasting=True)))
        long_running = find_task(cluster, 'lasts')
        long_running.run = 1
        cluster.restore_placed(long_running, worker)
        worker.leases_expire_at = clock.monotonic() + LEASE_SECONDS
        inherited = worker.leases_expire_at
        client = UnansweredClient(clock)
        client.reports.append(make_report((make_running(long_running, 1),)))
        listener = ExpiringListener(clock, clock.monotonic())
        session = WorkerSession(
            worker, cluster, client, listener, LEASE_SECONDS, clock.monotonic
        )
        session_task = asyncio.create_task(session.run())
        while not listener.ended_tasks:
            await asyncio.sleep(0.01)
        session_task.cancel()
        assert clock.monotonic() > inherited

    run(scenario())
