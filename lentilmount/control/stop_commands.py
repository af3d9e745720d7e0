"""Sends the stops of runs, each one until it is accepted or needless."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import logbook

from lentilmount.control.command_channel import (
    Backoff,
    CommandChannel,
    is_accepted,
)
from lentilmount.control.command_state import record_stop
from lentilmount.control.worker_session import WorkerSession
from lentilmount.platform.workers import CallStatus
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import PlacedRun, Task, TaskPhase
from lentilmount.scheduling.reports import StaleRun

log = logbook.Logger('links')


@attrs.frozen
class _Stop:
    """The stop of a run, which one sender repeats.

    Attributes:
      placed_run: The task and its run.
      session: Session of the worker.
      incarnation: Incarnation of the worker to which it was first sent.
    """

    placed_run: PlacedRun
    session: WorkerSession
    incarnation: int


@attrs.frozen(eq=False)
class StopCommands:
    """Sends stops and records whether workers accept them.

    Attributes:
      cluster: Jobs, tasks and workers of the service.
      channel: Sends single commands and records their answers.
      monotonic: Returns monotonic time in seconds.
    """

    cluster: ClusterState
    channel: CommandChannel
    monotonic: Callable[[], float]
    _in_progress: set[_Stop] = attrs.Factory(set)

    async def stop(self, task: Task, run: int) -> None:
        """Sends the stop of a run unless it is being sent already."""
        session = self.channel.sessions.get(task.worker)
        if session is None:
            log.warning(
                'Not stopped: the worker has no session.',
                extra={
                    'task': str(task.id),
                    'run': run,
                    'worker': task.worker,
                },
            )
            return
        stop = _Stop(PlacedRun(task, run), session, session.incarnation)
        if stop in self._in_progress:
            return
        self._in_progress.add(stop)
        try:
            is_settled = await self._repeat_stop(session, task, run)
        finally:
            self._in_progress.discard(stop)
        if not is_settled:
            await self.channel.probe(session, str(task.id), run)

    async def _repeat_stop(
        self, session: WorkerSession, task: Task, run: int
    ) -> bool:
        """Sends a stop until it is accepted or needless; returns which."""
        backoff = Backoff()
        while _awaits_stop(session, task, run):
            sent_at = self.monotonic()
            incarnation = session.incarnation
            status = await self.channel.send_stop(session, str(task.id), run)
            if status is CallStatus.FENCED:
                return True
            if session.incarnation != incarnation:
                # The worker has forgotten the stop if it accepted it before.
                continue
            record_stop(session.worker, is_accepted(status), sent_at)
            if is_accepted(status):
                if _awaits_stop(session, task, run):
                    self.cluster.accept_stop(task, self.monotonic())
                return True
            await backoff.wait()
        return False

    async def stop_stale_run(self, stale_run: StaleRun) -> None:
        """Sends the stop of a run that a worker must not run, once."""
        session = self.channel.sessions.get(stale_run.worker)
        if session is not None:
            sent_at = self.monotonic()
            status = await self.channel.send_stop(
                session, stale_run.task, stale_run.run
            )
            record_stop(session.worker, is_accepted(status), sent_at)
            await self.channel.probe(session, stale_run.task, stale_run.run)

    async def stop_late_start(self, late_start: StaleRun) -> None:
        """Stops a run elsewhere until the worker accepts it or restarts."""
        session = self.channel.sessions.get(late_start.worker)
        if session is None:
            return
        incarnation = session.incarnation
        backoff = Backoff()
        while self._is_current(session, incarnation):
            status = await self.channel.send_stop(
                session, late_start.task, late_start.run
            )
            if is_accepted(status):
                return
            await backoff.wait()

    def _is_current(self, session: WorkerSession, incarnation: int) -> bool:
        is_known = self.channel.sessions.get(session.worker.id) is session
        return is_known and session.incarnation == incarnation


def _awaits_stop(session: WorkerSession, task: Task, run: int) -> bool:
    """Returns whether a task is kept on a worker until a run is stopped.

    It may have been freed since, and be kept on another one by that number.
    """
    is_there = task.worker == session.worker.id and task.run == run
    return is_there and task.phase is TaskPhase.STOPPING
