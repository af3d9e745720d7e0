"""Sends the starts of placed tasks, each one until its outcome is known."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import attrs
import logbook

from lentilmount.control.command_channel import (
    RETRY_SECONDS,
    Backoff,
    CommandChannel,
)
from lentilmount.control.placement_log import StartProgress
from lentilmount.control.start_relay import StartSender
from lentilmount.control.worker_session import FORGET_SECONDS, WorkerSession
from lentilmount.platform.workers import CallStatus, StartCommand
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.history import ChangeReason
from lentilmount.scheduling.model import PlacedRun, Task, TaskPhase, Worker

log = logbook.Logger('links')

_PAUSING = frozenset({CallStatus.REFUSED, CallStatus.NO_ROOM})
"""Rejections after which a worker gets no tasks for a while. One without the
capacity may have shrunk, which its registration shows only later."""

_OF_NO_INSTANCE = frozenset({CallStatus.UNKNOWN, CallStatus.OTHER_INSTANCE})
"""Outcomes that do not show that the worker called is there."""

_STARTED = frozenset({TaskPhase.STARTING, TaskPhase.RUNNING, TaskPhase.DONE})
"""Phases in which the outcome of a task's start is still of use."""


@attrs.frozen(eq=False)
class StartCommands:
    """Sends starts and handles their answers.

    Attributes:
      cluster: Jobs, tasks and workers of the service.
      channel: Sends single commands and records their answers.
      start_sender: Sends starts to workers.
      monotonic: Returns monotonic time in seconds.
      get_ticket: Returns the advice service's ticket for a task on a worker.
      wake: Called when a task may be placed again.
      record_start: Called when no further copy of a start is to be sent.
      stop: Sends the stop of a task in phase STOPPING.
    """

    cluster: ClusterState
    channel: CommandChannel
    start_sender: StartSender
    monotonic: Callable[[], float]
    get_ticket: Callable[[Task, Worker], str]
    wake: Callable[[], None]
    record_start: Callable[[StartProgress], None]
    stop: Callable[[Task], None]
    _in_progress: set[PlacedRun] = attrs.Factory(set)

    async def send(self, placed_run: PlacedRun) -> None:
        """Sends the start of a run unless it is being sent already.

        A rejection of the first copy shows that nothing runs only if no other
        sender has sent one.
        """
        if placed_run in self._in_progress:
            log.error(
                'Not sent: the start is being sent already.',
                extra={'task': str(placed_run.task.id), 'run': placed_run.run},
            )
            return
        self._in_progress.add(placed_run)
        try:
            await self._start(placed_run.task, placed_run.run)
        finally:
            self._in_progress.discard(placed_run)

    async def _start(self, task: Task, run: int) -> None:
        progress = StartProgress(str(task.id), run, task.worker)
        session = self.channel.sessions.get(task.worker)
        is_answered = session is None or await self._send_start(
            session, task, run, progress
        )
        progress.settled_at = self.monotonic()
        is_current = task.run == run and task.phase in _STARTED
        progress.is_superseded = not is_current
        self.record_start(progress)
        if session is not None and not is_answered:
            await self.channel.probe(session, progress.task, run)

    async def _send_start(
        self,
        session: WorkerSession,
        task: Task,
        run: int,
        progress: StartProgress,
    ) -> bool:
        """Sends a start, unless it is needless or no longer accepted.

        Returns:
          Whether the worker needs no probe, as it has answered or nothing was
          sent.
        """
        is_due = task.phase is TaskPhase.STARTING and task.run == run
        if not is_due:
            return True
        together = self._list_members(task)
        if not all(self._accepts_start(member) for member in together):
            self._withdraw(together, 'the worker accepts no starts by now')
            return True
        return await self._send_copies(session, task, run, progress)

    async def _send_copies(
        self,
        session: WorkerSession,
        task: Task,
        run: int,
        progress: StartProgress,
    ) -> bool:
        """Sends copies of a start until it is answered or needless.

        Returns:
          Whether the worker needs no probe, as it has answered.
        """
        command = self._make_start(session, task, run)
        is_first = True
        unanswered_at = -math.inf
        backoff = Backoff()
        while task.phase is TaskPhase.STARTING and task.run == run:
            if self._is_cordoned_since(session, unanswered_at):
                members = self._list_members(task)
                self._withdraw(members, 'its zone is cordoned')
                return True
            if not self._may_repeat_start(session, unanswered_at):
                await asyncio.sleep(RETRY_SECONDS)
                continue
            if task.is_watched:
                probed_at = self.monotonic()
                is_alive = await self._answers_probe(session, task, run)
                if task.run != run or task.phase is not TaskPhase.STARTING:
                    break
                if not is_alive:
                    unanswered_at = probed_at
                    await backoff.wait()
                    continue
                task.start_follows_answer = True
            session.add_unanswered_start(command.task, run)
            sent_at = task.start_sent_at = self.monotonic()
            progress.count_copy(sent_at)
            answer = await self.channel.call(
                session,
                self.start_sender.start(session.worker.entry, command),
            )
            progress.status = answer.status
            if is_first and answer.status is not CallStatus.UNKNOWN:
                session.settle_start(command.task, run)
            if task.run != run or task.phase is not TaskPhase.STARTING:
                break
            status = answer.status
            if status is CallStatus.DONE:
                self.cluster.confirm_start(task, run, self.monotonic())
                return True
            if status is CallStatus.FENCED:
                self.channel.listener.handle_lease_lost(
                    f'{task.worker} has seen a higher token'
                )
                return True
            if status is not CallStatus.UNKNOWN:
                self._handle_rejection(task, run, status, not is_first)
                return True
            is_first = False
            unanswered_at = sent_at
            await backoff.wait()
        return False

    async def _answers_probe(
        self, session: WorkerSession, task: Task, run: int
    ) -> bool:
        """Returns whether a worker answers a stop of the run before one.

        An answer that shows a clock that is behind may be that of the next
        incarnation, of which no report has arrived yet.
        """
        sent_at = self.monotonic()
        status = await self.channel.send_stop(session, str(task.id), run - 1)
        is_behind = session.clock_behind_at >= sent_at
        return status not in _OF_NO_INSTANCE and not is_behind

    def _list_members(self, task: Task) -> list[Task]:
        """Lists the tasks that must start together with a task."""
        if not task.spec.gang:
            return [task]
        return self.cluster.list_step_tasks(task)

    def _accepts_start(self, task: Task) -> bool:
        """Returns whether the worker of a placed task accepts its start."""
        worker = self.cluster.workers.get(task.worker)
        return worker is None or worker.accepts_starts(self.monotonic())

    def _withdraw(self, tasks: list[Task], reason: str) -> None:
        """Requeues placed tasks, none of which may start without the others.

        A task of which no copy was sent certainly does not run. The others are
        stopped.

        Args:
          tasks: The tasks.
          reason: Reason that is logged.
        """
        for task in tasks:
            if task.phase is TaskPhase.STARTING and not task.start_deadline_ms:
                log.info(
                    'Not started: {}.',
                    reason,
                    extra={
                        'task': str(task.id),
                        'run': task.run,
                        'worker': task.worker,
                    },
                )
                self.cluster.reject_start(
                    task, task.run, ChangeReason.NEVER_SENT
                )
            elif task.phase in (TaskPhase.STARTING, TaskPhase.RUNNING):
                log.info(
                    'Stopping: {}.',
                    reason,
                    extra={
                        'task': str(task.id),
                        'run': task.run,
                        'worker': task.worker,
                    },
                )
                self.cluster.begin_stop(task)
                self.stop(task)
        self.wake()

    def _make_start(
        self, session: WorkerSession, task: Task, run: int
    ) -> StartCommand:
        """Returns the start command; all copies sent carry its deadline."""
        task.start_deadline_ms = session.choose_start_deadline()
        return StartCommand(
            task=str(task.id),
            run=run,
            payload=task.job.spec.payload,
            lease_until_ms=task.start_deadline_ms,
            checkpoint=task.checkpoint,
            ticket=self.get_ticket(task, session.worker),
        )

    def _is_cordoned_since(
        self, session: WorkerSession, sent_at: float
    ) -> bool:
        """Returns whether an unanswered start may not be sent again.

        A report that was requested after it shows that it was not carried out
        yet.
        """
        if math.isinf(sent_at) or not session.is_asked_since(sent_at):
            return False
        return session.worker.entry.is_cordoned

    def _may_repeat_start(self, session: WorkerSession, sent_at: float) -> bool:
        """Returns whether a start may be sent after an unanswered call.

        The worker may have crashed, and its next incarnation would execute the
        start as well. An overcommitted worker may have missed the earlier
        copies, and its reports show whether it did.

        Args:
          session: Session of the worker.
          sent_at: Monotonic time at which the last copy, or the last probe
            before it, was sent without an answer; minus infinity if none was.
        """
        if math.isinf(sent_at):
            return True
        return session.is_asked_since(
            sent_at
        ) and not session.worker.may_be_overcommitted(self.monotonic())

    def _handle_rejection(
        self, task: Task, run: int, status: CallStatus, may_be_executed: bool
    ) -> None:
        log.info(
            'Not started: {}.',
            status.value,
            extra={'task': str(task.id), 'run': run, 'worker': task.worker},
        )
        self._settle_rejection(task, run, status, may_be_executed)
        if task.spec.gang:
            members = self.cluster.list_step_tasks(task)
            self._withdraw(members, 'another member was rejected')

    def _settle_rejection(
        self, task: Task, run: int, status: CallStatus, may_be_executed: bool
    ) -> None:
        if may_be_executed:
            # The worker may still execute an earlier copy of the start; a stop
            # of the same run prevents that.
            self.cluster.begin_stop(task)
            self.stop(task)
            return
        worker = self.cluster.workers.get(task.worker)
        if worker is not None and status in _PAUSING:
            worker.quarantined_until = self.monotonic() + FORGET_SECONDS
        self.cluster.reject_start(task, run)
        self.wake()
