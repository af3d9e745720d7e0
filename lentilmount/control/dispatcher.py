"""Places ready tasks in passes, and writes placements before sending starts."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import attrs
import logbook

from lentilmount.control.advice import Advice
from lentilmount.control.copier import Copier, log_copy
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.placement_log import Start, log_starts
from lentilmount.control.state_writer import StateWriter
from lentilmount.coordination.leases import Lease
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Job, Task, Worker
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.takeover import UnrecordedStarts
from lentilmount.waiting import wait_with_timeout

log = logbook.Logger('owner')

PASS_SECONDS = 0.1
"""Longest interval between placement passes without an event: quarantines end
and gathered steps become due by time alone."""

FULL_PASS_SECONDS = 0.03
"""The same while tasks wait for answers to the starts under way."""

FIRST_POLL_TIMEOUT_SECONDS = 0.7
"""Timeout for the first answers of workers before a new owner places anything.
Workers that answer at all do so within a few ms."""

FIRST_POLL_CHECK_SECONDS = 0.01

PASS_PAUSE_SECONDS = 0.008
"""Pause between passes, so that several run ends and arrivals share one pass. A
pass costs a few ms while tasks are waiting."""

WINDOW_LOG_SECONDS = 1.0
"""Interval between log lines while the starts under way are limited."""

LOGGED_WAIT_SECONDS = 1.0
"""Time until its first start after which a job is logged if zones are cordoned:
what waits then may wait for room."""

LOGGED_JOBS = 100
"""Number of jobs that a log line names at most."""

MAX_PASS_SHARE = 0.2
"""Largest share of time spent in passes. On a slow host with a thousand waiting
tasks each takes tens of ms, and calls to workers wait meanwhile."""


@attrs.define(eq=False)
class Dispatcher:
    """Places the tasks of one service.

    Attributes:
      cluster: State of jobs, tasks and workers.
      placer: Chooses workers for tasks.
      state_writer: Writes placements and then sends the starts.
      advice: Returns which workers may run advised steps.
      unrecorded_starts: Starts by the previous owner that may be in no row.
      metrics: Metrics of the daemon.
      monotonic: Clock for durations.
      lease: The lease on the service.
      is_outage: Returns whether the store is unavailable to all daemons.
      wake: Set when there may be tasks to place.
      stop: Stops a task for a given reason, to be placed again.
      log_starts: Logs the starts of a pass.
      copier: Starts copies of slow tasks; None if there are to be none.
    """

    cluster: ClusterState
    placer: Placer
    state_writer: StateWriter
    advice: Advice
    unrecorded_starts: UnrecordedStarts
    metrics: ControlMetrics
    monotonic: Callable[[], float]
    lease: Lease
    is_outage: Callable[[], bool]
    wake: asyncio.Event
    stop: Callable[[Task, str], None]
    log_starts: Callable[[list[Start]], None] = log_starts
    copier: Copier | None = None
    _window_logged_at: float = -math.inf

    @property
    def may_start(self) -> bool:
        """Whether no other daemon can own the service now."""
        valid = self.monotonic() < self.lease.valid_until
        return valid or self.is_outage()

    async def run(self) -> None:
        """Runs placement passes until it is cancelled."""
        await self._wait_for_first_polls()
        while True:
            is_full = self.placer.window.is_binding
            await wait_with_timeout(
                self.wake, FULL_PASS_SECONDS if is_full else PASS_SECONDS
            )
            self.wake.clear()
            began_at = self.monotonic()
            if self.may_start:
                self._place()
                if self.placer.is_incomplete:
                    self.wake.set()
            took = self.monotonic() - began_at
            await asyncio.sleep(
                max(PASS_PAUSE_SECONDS, took * (1 / MAX_PASS_SHARE - 1))
            )

    async def _wait_for_first_polls(self) -> None:
        """Waits for all workers to list their tasks, with a timeout.

        A task that the previous owner started in an outage is in no row; placed
        again before its worker has listed it, it would run twice.
        """
        deadline = self.monotonic() + FIRST_POLL_TIMEOUT_SECONDS
        while self.monotonic() < deadline:
            registered = [
                w for w in self.cluster.workers.values() if w.is_registered
            ]
            if registered and all(w.has_answered for w in registered):
                return
            await asyncio.sleep(FIRST_POLL_CHECK_SECONDS)

    def _place(self) -> None:
        now = self.monotonic()
        self.cluster.occurrences.open_backlog()
        newly_started: set[Job] = set()
        can_start = self.advice.allows
        if self.unrecorded_starts.may_exist(now):
            can_start = self._can_start_new
        starts: list[Start] = []
        for task, worker in self.placer.place(now, can_start):
            self.state_writer.add_start(task)
            self.metrics.count_start()
            if task.job.first_placed_at == now:
                newly_started.add(task.job)
            starts.append((str(task.id), task.run, worker.id))
        self.log_starts(starts)
        if starts and self.cluster.occurrences.backlog:
            self.wake.set()
        self._start_copies(now)
        self._log_window(now)
        if self._may_move(now):
            for task in self.placer.choose_moves(now):
                self.stop(task, 'it serves better elsewhere')
        self._log_waits(newly_started, now)
        for job in newly_started:
            self.metrics.observe_first_start(now - job.accepted_at)
        if self.is_outage():
            self.state_writer.send_unrecorded()

    def _start_copies(self, now: float) -> None:
        if self.copier is None or not self._may_move(now):
            return
        for copy in self.copier.start(
            now, self.advice.allows, self.placer.window
        ):
            task = copy.slow.task
            self.state_writer.add_start(task)
            self.metrics.count_start()
            self.log_starts([(str(task.id), task.run, task.worker)])
            log_copy(copy)

    def _may_move(self, now: float) -> bool:
        """Returns whether tasks may be stopped to run elsewhere, or be copied.

        While starts wait for answers, each move would add to what waits, and
        choosing them takes as long as a pass.
        """
        if self.placer.window.is_binding or self.is_outage():
            return False
        return not self.unrecorded_starts.may_exist(now)

    def _log_window(self, now: float) -> None:
        """Logs that tasks wait for answers to starts, once in a while."""
        window = self.placer.window
        is_due = now - self._window_logged_at >= WINDOW_LOG_SECONDS
        if window.is_binding and is_due:
            self._window_logged_at = now
            log.info(
                'The starts under way are limited.',
                extra={
                    'limit_bytes': round(window.limit),
                    'in_flight_bytes': window.in_flight,
                    'answer_seconds': round(window.mean_answer_seconds, 3),
                    'unanswered': window.unanswered,
                    'waiting': len(self.cluster.ready),
                },
            )

    def _log_waits(self, jobs: set[Job], now: float) -> None:
        """Logs the jobs whose first start waited while zones are cordoned."""
        waited = [
            (job.spec.id, round(now - job.accepted_at, 3))
            for job in jobs
            if now - job.accepted_at >= LOGGED_WAIT_SECONDS
        ]
        if not waited:
            return
        workers = self.cluster.workers.values()
        zones = {w.entry.zone for w in workers if w.entry.is_cordoned}
        if zones:
            log.info(
                'Started after a wait, while zones are cordoned.',
                extra={'zones': sorted(zones), 'waited': waited[:LOGGED_JOBS]},
            )

    def _can_start_new(self, task: Task, worker: Worker) -> bool:
        if self.unrecorded_starts.affects(task):
            return False
        return self.advice.allows(task, worker)
