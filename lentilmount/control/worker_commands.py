"""Sends commands to workers, each one until its outcome is known."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from lentilmount.control.command_channel import Backoff, CommandChannel
from lentilmount.control.placement_log import StartProgress
from lentilmount.control.session_listener import SessionListener
from lentilmount.control.start_commands import StartCommands
from lentilmount.control.start_relay import StartSender
from lentilmount.control.stop_commands import StopCommands
from lentilmount.control.worker_session import WorkerSession
from lentilmount.platform.workers import CallStatus, WorkerClient
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import PlacedRun, Task, TaskPhase, Worker
from lentilmount.scheduling.reports import StaleRun

_REPEATED = frozenset({CallStatus.UNKNOWN, CallStatus.REFUSED})
"""Answers after which a throttle command is sent again."""


def ignore_start(progress: StartProgress) -> None:
    """Records nothing about a start."""


@attrs.define(eq=False)
class CommandSender:
    """Sends start, stop and throttle commands until their outcome is known.

    Attributes:
      cluster: Jobs, tasks and workers of the service.
      worker_client: Sends calls to workers.
      sessions: Sessions of the workers, by worker id.
      listener: Notified when the lease of the service is lost.
      monotonic: Returns monotonic time in seconds.
      start_task: Runs a coroutine in the background.
      get_ticket: Returns the advice service's ticket for a task on a worker.
      wake: Called when a task may be placed again.
      record_start: Called when no further copy of a start is to be sent.
      start_sender: Sends starts to workers; `worker_client` by default.
    """

    cluster: ClusterState
    worker_client: WorkerClient
    sessions: dict[str, WorkerSession]
    listener: SessionListener
    monotonic: Callable[[], float]
    start_task: Callable[[Coroutine[Any, Any, None]], None]
    get_ticket: Callable[[Task, Worker], str]
    wake: Callable[[], None]
    record_start: Callable[[StartProgress], None] = ignore_start
    start_sender: StartSender = attrs.Factory(
        lambda self: self.worker_client, takes_self=True
    )
    _channel: CommandChannel = attrs.field(init=False)
    _starts: StartCommands = attrs.field(init=False)
    _stops: StopCommands = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Builds the senders of starts and stops on one channel."""
        self._channel = CommandChannel(
            self.worker_client, self.sessions, self.listener
        )
        self._starts = StartCommands(
            self.cluster,
            self._channel,
            self.start_sender,
            self.monotonic,
            self.get_ticket,
            self.wake,
            self.record_start,
            self.stop,
        )
        self._stops = StopCommands(self.cluster, self._channel, self.monotonic)

    def start(self, task: Task) -> None:
        """Sends the start of a task that was placed."""
        self.start_task(self._starts.send(PlacedRun(task, task.run)))

    def stop(self, task: Task) -> None:
        """Sends the stop of a task in phase STOPPING."""
        self.start_task(self._stops.stop(task, task.run))

    def throttle(self, task: Task, cpu_percent: int) -> None:
        """Limits a task to a share of its CPU time.

        Args:
          task: The task.
          cpu_percent: The share, in percent.
        """
        task.previous_cpu_percent = task.cpu_percent
        task.cpu_percent = cpu_percent
        task.throttled_at = self.monotonic()
        worker = self.cluster.workers.get(task.worker)
        if worker is not None:
            worker.change_count += 1
        self.start_task(self._throttle(task, task.run, cpu_percent))

    def stop_stale_run(self, stale_run: StaleRun) -> None:
        """Sends the stop of a run that the worker must not run.

        It is sent once, as each report that lists the run asks for it again,
        or until it is accepted if it is the current run of its task.
        """
        task = self.cluster.find_task(stale_run.task)
        is_stopping = task is not None and self._is_stopping(task, stale_run)
        if task is not None and is_stopping and task.run == stale_run.run:
            self.stop(task)
        else:
            self.start_task(self._stops.stop_stale_run(stale_run))

    def stop_late_starts(self, late_starts: list[StaleRun]) -> None:
        """Stops runs that a restarted worker may still start."""
        for late_start in late_starts:
            task = self.cluster.find_task(late_start.task)
            if task is not None and self._is_stopping(task, late_start):
                self.stop(task)
            else:
                self.start_task(self._stops.stop_late_start(late_start))

    def _is_stopping(self, task: Task, stale_run: StaleRun) -> bool:
        """Returns whether the stop of a task also stops an older run of it."""
        is_there = task.worker == stale_run.worker
        is_included = is_there and task.run >= stale_run.run
        return is_included and task.phase is TaskPhase.STOPPING

    async def _throttle(self, task: Task, run: int, cpu_percent: int) -> None:
        session = self.sessions.get(task.worker)
        if session is None:
            return
        backoff = Backoff()
        while self._is_throttled(task, run, cpu_percent):
            answer = await self._channel.call(
                session,
                self.worker_client.throttle(
                    session.worker.entry, str(task.id), run, cpu_percent
                ),
            )
            if answer.status not in _REPEATED:
                return
            await backoff.wait()
        await self._channel.probe(session, str(task.id), run)

    def _is_throttled(self, task: Task, run: int, cpu_percent: int) -> bool:
        """Returns whether a CPU share is still meant for a run."""
        is_current = (task.run, task.cpu_percent) == (run, cpu_percent)
        return is_current and task.phase.is_placed
