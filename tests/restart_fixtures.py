"""Fixtures: a worker that restarts, its session, and a task placed on it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import attrs

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
from lentilmount.scheduling.model import Task, Worker
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
        if self.is_replaced:
            return CommandAnswer(CallStatus.OTHER_INSTANCE)
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
class LateWorker(RestartingWorker):
    """A worker that executes calls late and whose answers may be delayed.

    Attributes:
      late_start_seconds: Time after which a start without an answer is
        executed; 0 for starts that are answered.
      late_poll_seconds: The same for polls while no poll is answered.
      lost_starts: Whether starts have no answer and no effect.
      refuses_starts: Whether it refuses starts, which then have no effect.
      start_answer_seconds: Time for which answers to starts are on their way.
      received_starts: Number of the run of each start that has arrived.
      lost_commands: Number of stops and throttle commands that are lost next.
      refused_stops: Number of stops that the worker refuses next.
      refused_throttles: Number of throttle commands that it refuses next.
      cpu_percents: Newest CPU share in percent of each task.
      stop_answer_seconds: Time for which answers to stops are on their way.
      poll_seconds: Time for which polls are on their way.
      poll_answer_seconds: Time for which answers to polls are on their way.
      reported: Incarnation that made the newest report.
      lease_until_ms: Expiry of its leases on its clock.
    """

    late_start_seconds: float = 0.0
    late_poll_seconds: float = 0.0
    lost_starts: bool = False
    refuses_starts: bool = False
    start_answer_seconds: float = 0.0
    received_starts: list[int] = attrs.Factory(list)
    lost_commands: int = 0
    refused_stops: int = 0
    refused_throttles: int = 0
    cpu_percents: dict[str, int] = attrs.Factory(dict)
    stop_answer_seconds: float = 0.0
    poll_seconds: float = 0.0
    poll_answer_seconds: float = 0.0
    reported: int = 0
    lease_until_ms: int = 0

    def restart(self) -> None:
        """See `RestartingWorker`."""
        super().restart()
        self.ended.clear()
        self.lease_until_ms = 0

    def renew(self, lease_until_ms: int | None) -> None:
        """Renews its leases, for the longest time at most."""
        longest = self.clock_ms + int(1000 * LEASE_SECONDS)
        until = min(lease_until_ms or 0, longest)
        self.lease_until_ms = max(self.lease_until_ms, until)

    def end_expired(self) -> None:
        """Ends its runs if its leases have expired."""
        if self.clock_ms > self.lease_until_ms:
            self.running.clear()

    async def start(
        self, worker: WorkerEntry, command: StartCommand
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        if self.lost_starts or self.late_start_seconds:
            if self.late_start_seconds:
                asyncio.get_running_loop().call_later(
                    self.late_start_seconds, self._execute, command
                )
            await asyncio.sleep(TIMEOUT_SECONDS)
            return CommandAnswer(CallStatus.UNKNOWN)
        self.received_starts.append(command.run)
        if self.refuses_starts:
            await asyncio.sleep(CALL_SECONDS)
            return CommandAnswer(CallStatus.REFUSED)
        answer = await super().start(worker, command)
        if answer.status in (CallStatus.DONE, CallStatus.STALE_RUN):
            self.renew(command.lease_until_ms)
        await asyncio.sleep(self.start_answer_seconds)
        return answer

    def _execute(self, command: StartCommand) -> None:
        is_rejected = command.run <= self.highest.get(command.task, 0)
        self.renew(command.lease_until_ms)
        if is_rejected or command.lease_until_ms < self.clock_ms:
            return
        self.running[command.task] = command.run
        self.executed.append((self.incarnation, command.task, command.run))

    async def stop(
        self, worker: WorkerEntry, task: str, run: int
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        if self.lost_commands:
            return await self._lose_command()
        if self.refused_stops:
            self.refused_stops -= 1
            await asyncio.sleep(CALL_SECONDS)
            return CommandAnswer(CallStatus.REFUSED)
        delay = self.stop_answer_seconds
        answer = await super().stop(worker, task, run)
        await asyncio.sleep(delay)
        return answer

    async def throttle(
        self, worker: WorkerEntry, task: str, run: int, percent: int
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        if self.lost_commands:
            return await self._lose_command()
        await asyncio.sleep(CALL_SECONDS)
        if self.refused_throttles:
            self.refused_throttles -= 1
            return CommandAnswer(CallStatus.REFUSED)
        self.cpu_percents[task] = percent
        return CommandAnswer(CallStatus.DONE, self.clock_ms)

    async def _lose_command(self) -> CommandAnswer:
        self.lost_commands -= 1
        await asyncio.sleep(TIMEOUT_SECONDS)
        return CommandAnswer(CallStatus.UNKNOWN)

    async def poll(
        self,
        worker: WorkerEntry,
        seen: int,
        lease_until_ms: int | None,
        wait: float,
    ) -> WorkerReport | CallStatus:
        """See `WorkerClient`."""
        if self.silent and self.late_poll_seconds:
            asyncio.get_running_loop().call_later(
                self.late_poll_seconds, self.renew, lease_until_ms
            )
        await asyncio.sleep(self.poll_seconds)
        report = await super().poll(worker, seen, lease_until_ms, wait)
        if isinstance(report, WorkerReport):
            self.reported = self.incarnation
            self.renew(lease_until_ms)
            await asyncio.sleep(self.poll_answer_seconds)
        return report


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
    """A worker with one session, and a task that was just placed on it.

    Attributes:
      polling: Ends with the session.
    """

    cluster: ClusterState
    worker: Worker
    other: Worker
    task: Task
    session: WorkerSession
    client: LateWorker
    commands: CommandSender
    polling: asyncio.Task[None]

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


def play(
    scenario: Callable[[RestartScene], Awaitable[None]], is_new: bool = False
) -> None:
    """Plays a scenario in virtual time.

    Args:
      scenario: The scenario.
      is_new: Whether the owner is new: it has restored the task from a row and
        has not reached the worker yet. Otherwise it was just placed there.
    """
    clock = ManualClock()

    async def work() -> None:
        cluster = ClusterState()
        worker = add_worker(cluster, 'w')
        worker.has_answered = worker.reachable = False
        admit(cluster, make_job('job'))
        task = find_task(cluster, 'job')
        client = LateWorker(HttpClient(''), 1, TIMEOUT_SECONDS)
        listener = RecordingListener()
        if is_new:
            client.silent = True
            task.run = 1
            worker.leases_expire_at = clock.monotonic() + 7.5
            cluster.restore_placed(task, worker)
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
            polling = group.create_task(session.run())
            started.append(polling)
            scene = RestartScene(
                cluster=cluster,
                worker=worker,
                other=add_worker(cluster, 'other'),
                task=task,
                session=session,
                client=client,
                commands=commands,
                polling=polling,
            )
            if not is_new:
                await scene.wait_until(lambda: worker.reachable)
                cluster.place([task], worker, clock.monotonic())
            await scenario(scene)
            for started_task in started:
                started_task.cancel()

    run_virtual(work(), clock)
