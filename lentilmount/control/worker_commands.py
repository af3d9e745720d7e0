"""Orders to workers, each sent until its outcome is known."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs
import logbook

from lentilmount.control.worker_session import (
    FORGET_SECONDS,
    SessionListener,
    WorkerSession,
)
from lentilmount.platform.workers import (
    CallStatus,
    CommandAnswer,
    StartCommand,
    WorkerClient,
)
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.reconciliation import StaleRun

log = logbook.Logger('links')

RETRY_SECONDS = 0.1
"""Before an order without an answer is sent again; doubled each time."""

LONGEST_RETRY_SECONDS = 1.0
"""The longest such pause."""


@attrs.define(eq=False)
class CommandSender:
    """Carries out what was decided, until each order's outcome is known.

    Attributes:
      cluster: Where the tasks are.
      worker_client: How workers are called.
      sessions: The links, by worker.
      events: Who is told.
      monotonic: The clock for durations.
      start_task: Runs a coroutine in the background.
      get_ticket: Returns what the advice service gave for a task's worker.
      wake: Called when a task may be placed again.
    """

    cluster: ClusterState
    worker_client: WorkerClient
    sessions: dict[str, WorkerSession]
    events: SessionListener
    monotonic: Callable[[], float]
    start_task: Callable[[Coroutine[Any, Any, None]], None]
    get_ticket: Callable[[Task, Worker], str]
    wake: Callable[[], None]

    def start(self, task: Task) -> None:
        """Starts a task that was placed."""
        self.start_task(self._start(task, task.run))

    def stop(self, task: Task) -> None:
        """Stops a task that was marked."""
        self.start_task(self._stop(task, task.run))

    def throttle(self, task: Task, percent: int) -> None:
        """Lets a task work for a share of the time only."""
        task.previous_cpu_percent = task.cpu_percent
        task.cpu_percent = percent
        task.throttled_at = self.monotonic()
        worker = self.cluster.workers.get(task.worker)
        if worker is not None:
            worker.change_count += 1
        self.start_task(self._pace(task, task.run, percent))

    def stop_stale_run(self, stale_run: StaleRun) -> None:
        """Stops a run that should not be there."""
        self.start_task(self._stop_stale_run(stale_run))

    async def _start(self, task: Task, run: int) -> None:
        session = self.sessions.get(task.worker)
        is_due = task.phase is TaskPhase.STARTING and task.run == run
        if session is None or not is_due:
            return
        order = self._make_start(session, task, run)
        is_first = True
        pause = RETRY_SECONDS
        while task.phase is TaskPhase.STARTING and task.run == run:
            answer = await self.worker_client.start(session.worker.entry, order)
            self._note_answer(session, answer)
            if task.run != run or task.phase is not TaskPhase.STARTING:
                break
            verdict = answer.verdict
            if verdict is CallStatus.DONE:
                self.cluster.confirm_start(task, run, self.monotonic())
                return
            if verdict is CallStatus.FENCED:
                self.events.handle_lease_lost(
                    f'{task.worker} knows a higher token'
                )
                return
            if verdict is not CallStatus.UNKNOWN:
                self._take_rejection(task, run, verdict, not is_first)
                return
            is_first = False
            pause = await _back_off(pause)
        await self._probe(session, order.task, run)

    def _make_start(
        self, session: WorkerSession, task: Task, run: int
    ) -> StartCommand:
        """Makes a start, of which each copy carries the same deadline."""
        task.start_deadline_ms = session.choose_start_deadline()
        return StartCommand(
            task=str(task.id),
            run=run,
            payload=task.job.spec.payload,
            lease_until_ms=task.start_deadline_ms,
            checkpoint=task.checkpoint,
            ticket=self.get_ticket(task, session.worker),
        )

    def _note_answer(
        self, session: WorkerSession, answer: CommandAnswer
    ) -> None:
        session.record_command(answer.verdict)
        session.update_clock(answer.clock_ms)

    def _take_rejection(
        self, task: Task, run: int, verdict: CallStatus, uncertain: bool
    ) -> None:
        log.info(
            'Not started: {}.',
            verdict.value,
            extra={'task': str(task.id), 'run': run, 'worker': task.worker},
        )
        if uncertain:
            # An earlier copy of the start may still be carried out there;
            # a stop of the same run prevents that.
            self.cluster.begin_stop(task)
            self.stop(task)
            return
        worker = self.cluster.workers.get(task.worker)
        if worker is not None and verdict is CallStatus.REFUSED:
            worker.quarantined_until = self.monotonic() + FORGET_SECONDS
        self.cluster.reject_start(task, run)
        self.wake()

    async def _stop(self, task: Task, run: int) -> None:
        session = self.sessions.get(task.worker)
        if session is None:
            return
        pause = RETRY_SECONDS
        name = str(task.id)
        while task.phase is TaskPhase.STOPPING and task.run == run:
            sent_at = self.monotonic()
            verdict = await self._send_stop(session, name, run)
            if verdict is CallStatus.FENCED:
                return
            session.record_stop(_is_taken(verdict), sent_at)
            if _is_taken(verdict):
                if task.run == run:
                    task.stopped_at = min(task.stopped_at, self.monotonic())
                return
            pause = await _back_off(pause)
        await self._probe(session, name, run)

    async def _send_stop(
        self, session: WorkerSession, name: str, run: int
    ) -> CallStatus:
        """Sends a stop once; returns what became of it."""
        answer = await self.worker_client.stop(session.worker.entry, name, run)
        self._note_answer(session, answer)
        if answer.verdict is CallStatus.FENCED:
            self.events.handle_lease_lost(
                f'{session.worker.id} knows a higher token'
            )
        return answer.verdict

    async def _probe(self, session: WorkerSession, name: str, run: int) -> None:
        """Asks a worker that answers no orders until it answers one.

        The run may be at work there, as its start can have been heard all the
        same. A stop of the one before does no harm, whenever it is carried
        out. One worker gets one at a time.
        """
        if session.is_probed:
            return
        session.is_probed = True
        pause = RETRY_SECONDS
        try:
            while self._ignores_commands(session):
                pause = await _back_off(pause)
                await self._send_stop(session, name, run - 1)
        finally:
            session.is_probed = False

    def _ignores_commands(self, session: WorkerSession) -> bool:
        worker = session.worker
        is_known = self.sessions.get(worker.id) is session and worker.reachable
        return is_known and not worker.answers_commands

    async def _stop_stale_run(self, stale_run: StaleRun) -> None:
        session = self.sessions.get(stale_run.worker)
        if session is not None:
            sent_at = self.monotonic()
            verdict = await self._send_stop(
                session, stale_run.task, stale_run.run
            )
            session.record_stop(_is_taken(verdict), sent_at)

    async def _pace(self, task: Task, run: int, percent: int) -> None:
        session = self.sessions.get(task.worker)
        if session is None:
            return
        pause = RETRY_SECONDS
        while task.run == run and task.cpu_percent == percent:
            if not task.phase.is_placed:
                return
            answer = await self.worker_client.pace(
                session.worker.entry, str(task.id), run, percent
            )
            self._note_answer(session, answer)
            if answer.verdict is not CallStatus.UNKNOWN:
                return
            pause = await _back_off(pause)


def _is_taken(verdict: CallStatus) -> bool:
    return verdict not in (CallStatus.UNKNOWN, CallStatus.REFUSED)


async def _back_off(pause: float) -> float:
    """Waits before an order is sent again; returns the next pause."""
    await asyncio.sleep(pause)
    return min(2 * pause, LONGEST_RETRY_SECONDS)
