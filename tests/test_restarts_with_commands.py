"""Calls to a worker that outlive its restart under the same id."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import attrs
import pytest

from lentilmount.clock import ManualClock
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
from lentilmount.scheduling.reconciliation import ReconcileResult
from lentilmount.scheduling.reports import (
    EndKind,
    EndReport,
    RunReport,
    StaleRun,
    WorkerEntry,
    WorkerReport,
)
from lentilmount.upstream.http import HttpClient
from stand_ins.virtual_time import run_virtual
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_end,
    make_job,
)
from tests.test_worker_session import LEASE_SECONDS, IgnoringListener

TIMEOUT_SECONDS = 0.8
CALL_SECONDS = 0.01
DELAY_SECONDS = 0.5
"""Time for which a start is on its way; less than its timeout."""


@attrs.define(eq=False)
class RestartingWorker(WorkerClient):
    """A worker and the client for it: a restart leaves no state.

    Attributes:
      incarnation: Number of the incarnation.
      start_seconds: Time for which a start is on its way.
      silent: Whether no call reaches it.
      silent_polls: Whether no poll reaches it.
      is_replaced: Whether another instance answers at its address.
      running: Current run of each task.
      highest: Highest run that was stopped or ended, by task.
      executed: Incarnation, task and run of each start that was executed.
      ended: Run ends that no poll has acknowledged.
      late_starts: Starts that arrived at another incarnation than the one to
        which they were sent.
    """

    incarnation: int = 1
    start_seconds: float = CALL_SECONDS
    silent: bool = False
    silent_polls: bool = False
    is_replaced: bool = False
    running: dict[str, int] = attrs.Factory(dict)
    highest: dict[str, int] = attrs.Factory(dict)
    executed: list[tuple[int, str, int]] = attrs.Factory(list)
    ended: list[EndReport] = attrs.Factory(list)
    late_starts: int = 0
    booted_at: float = 0.0

    @property
    def clock_ms(self) -> int:
        """Its clock, which starts anew with each incarnation."""
        now = asyncio.get_running_loop().time()
        return int(1000 * (now - self.booted_at)) + 1

    def restart(self) -> None:
        """Starts a new incarnation."""
        self.incarnation += 1
        self.running.clear()
        self.highest.clear()
        self.booted_at = asyncio.get_running_loop().time()

    def finish(self, task: Task) -> None:
        """Ends a run as done."""
        run = self.running.pop(str(task.id))
        self.ended.append(make_end(1, task, run, EndKind.DONE))

    async def start(
        self, worker: WorkerEntry, command: StartCommand
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        sent_to = self.incarnation
        if self.silent:
            await asyncio.sleep(TIMEOUT_SECONDS)
            return CommandAnswer(CallStatus.UNKNOWN)
        await asyncio.sleep(self.start_seconds)
        self.late_starts += sent_to != self.incarnation
        if command.run <= self.highest.get(command.task, 0):
            return CommandAnswer(CallStatus.STALE_RUN, self.clock_ms)
        if command.lease_until_ms < self.clock_ms:
            return CommandAnswer(CallStatus.TOO_LATE, self.clock_ms)
        if self.running.get(command.task) != command.run:
            self.running[command.task] = command.run
            self.executed.append((self.incarnation, command.task, command.run))
        return CommandAnswer(CallStatus.DONE, self.clock_ms)

    async def stop(
        self, worker: WorkerEntry, task: str, run: int
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        if self.silent:
            await asyncio.sleep(TIMEOUT_SECONDS)
            return CommandAnswer(CallStatus.UNKNOWN)
        await asyncio.sleep(CALL_SECONDS)
        self.highest[task] = max(run, self.highest.get(task, 0))
        if self.running.get(task, run + 1) <= run:
            del self.running[task]
        return CommandAnswer(CallStatus.DONE, self.clock_ms)

    async def poll(
        self,
        worker: WorkerEntry,
        seen: int,
        lease_until_ms: int | None,
        wait: float,
    ) -> WorkerReport | CallStatus:
        """See `WorkerClient`."""
        if self.silent or self.silent_polls:
            await asyncio.sleep(TIMEOUT_SECONDS + wait)
            return CallStatus.UNKNOWN
        await asyncio.sleep(CALL_SECONDS)
        if self.is_replaced:
            return CallStatus.OTHER_INSTANCE
        self.ended = [end for end in self.ended if end.number > seen]
        running = tuple(
            RunReport(task, run, '', 0, None)
            for task, run in self.running.items()
        )
        return WorkerReport(
            self.incarnation, self.clock_ms, running, tuple(self.ended)
        )


@attrs.define(eq=False)
class RecordingListener(IgnoringListener):
    """A listener that stops stale runs, as an owner does."""

    commands: CommandSender | None = None

    def handle_poll_result(
        self, worker: Worker, result: ReconcileResult
    ) -> None:
        """See `SessionListener`."""
        assert self.commands is not None
        for stale_run in result.stale_runs:
            self.commands.stop_stale_run(stale_run)

    def handle_late_starts(
        self, worker: Worker, late_starts: list[StaleRun]
    ) -> None:
        """See `SessionListener`."""
        assert self.commands is not None
        self.commands.stop_late_starts(late_starts)


@attrs.define(eq=False)
class RestartScene:
    """A worker with one session, and a task that was just placed on it."""

    cluster: ClusterState
    worker: Worker
    other: Worker
    task: Task
    session: WorkerSession
    client: RestartingWorker
    commands: CommandSender

    async def wait_until(self, check: Callable[[], bool]) -> None:
        """Waits until a check holds."""
        async with asyncio.timeout(20.0):
            while not check():
                await asyncio.sleep(CALL_SECONDS)

    async def observe(self, seconds: float) -> None:
        """Checks for a while that the task never runs on both workers.

        It is placed on the other worker as soon as it may be.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            if self.task.id in self.cluster.ready:
                self.cluster.place([self.task], self.other, loop.time())
            is_elsewhere = self.task.worker == self.other.id
            assert not (is_elsewhere and self.client.running)
            await asyncio.sleep(CALL_SECONDS)


def play(scenario: Callable[[RestartScene], Awaitable[None]]) -> None:
    """Plays a scenario in virtual time, after the first poll of the worker."""
    clock = ManualClock()

    async def work() -> None:
        cluster = ClusterState()
        worker = add_worker(cluster, 'w')
        worker.has_answered = worker.reachable = False
        admit(cluster, make_job('job'))
        client = RestartingWorker(HttpClient(''), 1, TIMEOUT_SECONDS)
        listener = RecordingListener()
        session = WorkerSession(
            worker, cluster, client, listener, LEASE_SECONDS, clock.monotonic
        )
        async with asyncio.TaskGroup() as group:
            started: list[asyncio.Task[None]] = []

            def start_task(command: Coroutine[Any, Any, None]) -> None:
                started.append(group.create_task(command))

            commands = listener.commands = CommandSender(
                cluster,
                client,
                {worker.id: session},
                listener,
                clock.monotonic,
                start_task,
                lambda task, worker: '',
                lambda: None,
            )
            started.append(group.create_task(session.run()))
            scene = RestartScene(
                cluster,
                worker,
                add_worker(cluster, 'other'),
                find_task(cluster, 'job'),
                session,
                client,
                commands,
            )
            await scene.wait_until(lambda: worker.reachable)
            cluster.place([scene.task], worker, clock.monotonic())
            await scenario(scene)
            for task in started:
                task.cancel()

    run_virtual(work(), clock)


def test_a_start_in_flight_during_a_restart_runs_on_one_worker() -> None:
    """A start reached the next incarnation; its task ran elsewhere as well."""

    async def scenario(scene: RestartScene) -> None:
        scene.client.start_seconds = DELAY_SECONDS
        scene.commands.start(scene.task)
        await asyncio.sleep(DELAY_SECONDS / 2)
        scene.client.restart()
        await scene.observe(3.0)
        assert scene.client.late_starts

    play(scenario)


@pytest.mark.parametrize('seconds', [0.3, 2.0, 5.5, 5.9, 6.1])
def test_a_start_is_not_repeated_to_the_next_incarnation(
    seconds: float,
) -> None:
    """A start without an answer was sent again to a worker that was back."""

    async def scenario(scene: RestartScene) -> None:
        scene.client.silent = True
        scene.commands.start(scene.task)
        await scene.observe(seconds)
        scene.client.silent = False
        scene.client.restart()
        await scene.observe(3.0)
        assert not scene.client.executed

    play(scenario)


def test_ends_of_the_next_incarnation_are_not_acknowledged_unseen() -> None:
    """The number of an old end acknowledged a new one, whose task ran again."""

    async def scenario(scene: RestartScene) -> None:
        session, client = scene.session, scene.client
        session.acknowledge(session.incarnation, 3)
        client.silent_polls = True
        await asyncio.sleep(DELAY_SECONDS)
        client.restart()
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: bool(client.running))
        client.finish(scene.task)
        client.silent_polls = False
        await scene.observe(3.0)
        assert scene.task.phase is TaskPhase.DONE

    play(scenario)
