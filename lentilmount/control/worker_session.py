"""Polls one worker: renews its leases and reconciles the runs it reports."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

import attrs
import logbook

from lentilmount.control.command_state import reset_command_state
from lentilmount.control.late_calls import LateCalls
from lentilmount.control.poll_waits import choose_ends_pause, choose_poll_wait
from lentilmount.control.session_listener import SessionListener
from lentilmount.control.worker_leases import WorkerLeases
from lentilmount.platform.workers import CallStatus, WorkerClient
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.crashes import PROOF_SECONDS
from lentilmount.scheduling.history import ChangeReason
from lentilmount.scheduling.model import Worker
from lentilmount.scheduling.poll_intervals import MAX_PAUSE_SECONDS
from lentilmount.scheduling.reconciliation import Reconciler
from lentilmount.scheduling.reports import StaleRun, WorkerReport
from lentilmount.waiting import wait_with_timeout

log = logbook.Logger('links')

RETRY_SECONDS = 0.1
"""Delay before a worker is polled again after a failed call."""

FORGET_SECONDS = 1.0
"""Delay before the session of an unregistered worker without tasks ends; also
the time for which a worker that refused a start, or lacked the capacity for it,
gets no tasks."""


def choose_no_pause(worker: Worker) -> float:
    """Returns that the next poll of a worker follows its report at once."""
    del worker
    return 0.0


@attrs.define(eq=False)
class WorkerSession:
    """An owner's connection to one worker: polls, leases and run ends.

    Attributes:
      worker: The worker.
      cluster: Jobs, tasks and workers of the service.
      worker_client: Sends calls to workers.
      listener: Receives the callbacks.
      lease_seconds: Longest lease, in seconds.
      monotonic: Returns monotonic time in seconds.
      choose_pause: Returns the time in seconds from a report to the next poll.
      received_end: Number of the last run end that was reconciled.
      written_end: Number of the last run end whose effects are recorded.
      incarnation: Number of restarts of the worker seen by this session; run
        ends are numbered anew after each.
      is_probed: Whether the worker is being probed after an unanswered command.
      end_written: Set when run ends were acknowledged.
    """

    worker: Worker
    cluster: ClusterState
    worker_client: WorkerClient
    listener: SessionListener
    lease_seconds: float
    monotonic: Callable[[], float]
    choose_pause: Callable[[Worker], float] = choose_no_pause
    received_end: int = 0
    written_end: int = 0
    incarnation: int = 0
    is_probed: bool = False
    end_written: asyncio.Event = attrs.field(factory=asyncio.Event)
    _start_sent: asyncio.Event = attrs.field(factory=asyncio.Event)
    _started_ms: int | None = None
    _ended_incarnation_ms: int | None = None
    _registered_at: float = -math.inf
    _acknowledged_end: int = 0
    _report_asked_at: float = -math.inf
    _reported_at: float = -math.inf
    _leases: WorkerLeases = attrs.field(init=False)
    _late_calls: LateCalls = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Takes over the leases of the previous owner."""
        self._leases = WorkerLeases(
            self.worker,
            self.lease_seconds,
            self.monotonic,
            self.listener,
        )
        self._late_calls = LateCalls(self.monotonic)

    async def poll_first(self) -> None:
        """Polls the worker once, before `run`, if its address is known."""
        if self.worker.entry.address and not self._is_retired():
            await self._poll()

    async def run(self) -> None:
        """Polls the worker until it is unregistered and runs no tasks."""
        while True:
            if self._is_retired():
                await asyncio.sleep(FORGET_SECONDS)
                if self._is_unused():
                    return
            if not self.worker.entry.address:
                await self._wait_for_expiry()
                continue
            await self._poll()

    def _is_retired(self) -> bool:
        """Returns whether the worker has neither a registration nor tasks."""
        return not self.worker.is_registered and not self.worker.tasks

    def _is_unused(self) -> bool:
        """Returns whether the worker is retired and executes no late call.

        A late start would run there, and a late poll would renew the leases of
        its next incarnation.
        """
        worker = self.worker
        if self.monotonic() - worker.lost_at > PROOF_SECONDS:
            self.cluster.suspects.clear(worker, worker.suspects)
        has_late_calls = (
            bool(self._late_calls.list_starts())
            or self._late_calls.get_lease_delay() > 0
        )
        return self._is_retired() and not has_late_calls and not worker.suspects

    async def _wait_for_expiry(self) -> None:
        self.worker.has_missed_poll = True
        await asyncio.sleep(RETRY_SECONDS)
        self._check_expiry('its leases ran out, and it is not registered')

    def _check_expiry(self, why: str) -> None:
        now = self.monotonic()
        if self.worker.tasks and now > self.worker.leases_expire_at:
            self.listener.handle_tasks_ended(
                self.worker,
                self.cluster.end_worker_tasks(self.worker, now),
                why,
            )
        if self.worker.has_crashed:
            self._confirm_crash()

    def _clear_suspects(self) -> None:
        """Clears the suspects of a worker that has answered again."""
        worker = self.worker
        if worker.suspects:
            log.info(
                'Has not crashed: it is the incarnation of before.',
                extra={
                    'worker': worker.id,
                    'tasks': [str(task.id) for task in worker.suspects],
                },
            )
            self.cluster.suspects.clear(worker, worker.suspects)

    def _confirm_crash(self) -> None:
        suspects = self.cluster.suspects.confirm_crash(self.worker)
        if suspects:
            self.listener.handle_crash(self.worker, suspects)

    async def _poll(self) -> None:
        if self.received_end > self.written_end:
            # The worker would return the same run ends at once.
            self.end_written.clear()
            await wait_with_timeout(
                self.end_written, choose_ends_pause(self.listener)
            )
        pause = await self._pause()
        worker = self.worker
        may_wait = self.received_end <= self.written_end and worker.reachable
        asked_at = self.monotonic()
        acknowledged_end = self._choose_acknowledgement()
        renewal_expiry = self._leases.choose_renewal_expiry()
        answer = await self.worker_client.poll(
            worker.entry,
            acknowledged_end,
            renewal_expiry,
            choose_poll_wait(worker, self.listener, pause) if may_wait else 0.0,
        )
        if answer is CallStatus.UNKNOWN and renewal_expiry is not None:
            self._late_calls.add_renewal(asked_at)
        if not isinstance(answer, WorkerReport):
            await self._handle_failure(answer)
        elif self._is_outdated(answer, asked_at):
            await self._handle_failure(CallStatus.OTHER_INSTANCE)
        else:
            self._acknowledged_end = max(
                self._acknowledged_end, acknowledged_end
            )
            self._handle_report(answer, asked_at)

    async def _pause(self) -> float:
        """Pauses after the last report; returns for how many seconds."""
        worker = self.worker
        if not worker.reachable or not worker.answers_commands:
            return 0.0
        began_at = self.monotonic()
        pause = self._reported_at + self.choose_pause(worker) - began_at
        if pause <= 0:
            return 0.0
        if pause <= MAX_PAUSE_SECONDS:
            await asyncio.sleep(pause)
            return pause
        if self._late_calls.list_starts():
            return 0.0
        self._start_sent.clear()
        await wait_with_timeout(self._start_sent, pause)
        return self.monotonic() - began_at

    def _is_outdated(self, report: WorkerReport, asked_at: float) -> bool:
        """Returns whether a report is that of an incarnation that has ended.

        One that was requested after a registration was read is not, as all
        incarnations before the registered one had ended by then. It is newer
        if the worker has restarted again.
        """
        ended_ms = self._ended_incarnation_ms
        return report.started_ms == ended_ms and asked_at < self._registered_at

    def _choose_acknowledgement(self) -> int:
        """Returns the number of the last run end that the next poll confirms.

        Each number is sent until a poll with it was answered, and not after a
        failed poll: if the worker has restarted, it would confirm ends of the
        next incarnation that this owner has not seen, and their tasks would
        run again.
        """
        is_due = self.written_end > self._acknowledged_end
        return self.written_end if is_due and self.worker.reachable else 0

    @property
    def clock_behind_at(self) -> float:
        """See `WorkerLeases`."""
        return self._leases.clock_behind_at

    def update_clock(self, clock_ms: int | None) -> None:
        """Updates the worker's clock from the answer to a call."""
        self._leases.update_clock(clock_ms)

    def choose_lease_end(self) -> int:
        """See `WorkerLeases.choose_lease_end`."""
        return self._leases.choose_lease_end()

    def choose_start_deadline(self) -> int:
        """See `WorkerLeases.choose_start_deadline`."""
        return self._leases.choose_start_deadline()

    def is_asked_since(self, at: float) -> bool:
        """Returns whether the newest report was requested after a time."""
        return self._report_asked_at > at

    def add_unanswered_start(self, task: str, run: int) -> None:
        """Records that a start is about to be sent; ends a pause of polls."""
        self._start_sent.set()
        self._late_calls.add_start(StaleRun(self.worker.id, task, run))

    def settle_start(self, task: str, run: int) -> None:
        """Records that no copy of a start can be executed later."""
        self._late_calls.settle_start(StaleRun(self.worker.id, task, run))

    def _handle_report(self, report: WorkerReport, asked_at: float) -> None:
        worker = self.worker
        if (
            self._started_ms is not None
            and report.started_ms != self._started_ms
        ):
            self.handle_restart('it restarted', asked_at)
        self._started_ms = worker.incarnation_ms = report.started_ms
        self._report_asked_at = asked_at
        self._reported_at = self.monotonic()
        worker.has_crashed = False
        if not worker.has_answered:
            self._leases.bound_inherited()
            self.cluster.suspects.add_inherited(
                worker, report.started_ms, self.monotonic()
            )
            self._confirm_crash()
        self._clear_suspects()
        if not worker.has_answered or not worker.reachable:
            log.info('Reached.', extra={'worker': worker.id})
            worker.reached_at = self.monotonic()
            reset_command_state(worker)
        worker.has_answered = worker.reachable = True
        worker.has_missed_poll = False
        self.update_clock(report.clock_ms)
        new_ends = tuple(
            e for e in report.ended if e.number > self.received_end
        )
        result = Reconciler(self.cluster).reconcile(
            worker,
            attrs.evolve(report, ended=new_ends),
            asked_at,
            self.monotonic(),
        )
        self.received_end = max(self.received_end, result.last_end_number)
        self.listener.handle_poll_result(worker, result)

    def handle_registration(self, started_ms: int) -> None:
        """Handles the registration of an incarnation of the worker.

        It ends no runs, as this incarnation may have started some already;
        only its first report shows which. Reports of the earlier one that
        were requested before and arrive from now on are dropped.
        """
        is_known = self._started_ms == started_ms
        self._ended_incarnation_ms = None if is_known else self._started_ms
        self._registered_at = self.monotonic()

    def acknowledge(self, incarnation: int, number: int) -> None:
        """Acknowledges run ends up to a number, for one incarnation.

        Numbers restart with each incarnation. Those of an earlier one would
        make the worker drop ends that were never received, and completed tasks
        would run again.
        """
        if incarnation == self.incarnation:
            self.written_end = max(self.written_end, number)
        self.end_written.set()

    def handle_restart(self, why: str, asked_at: float = math.inf) -> None:
        """Resets the session after a restart: all runs there have ended.

        A start without an answer may still reach the new incarnation, which
        executes it: stops are forgotten, and on the new clock its deadline is
        far away. Its task is kept until the new incarnation has accepted a
        stop of that run. For as long as a call with a lease may be executed
        there, the longest lease from then on is assumed.

        Args:
          why: How the restart was noticed.
          asked_at: Monotonic time at which the report that shows the restart
            was requested. The new incarnation may have started the runs that
            were confirmed since then.
        """
        self.received_end = self.written_end = self._acknowledged_end = 0
        self.incarnation += 1
        self._started_ms = None
        worker = self.worker
        reset_command_state(worker)
        late_starts = self._late_calls.list_starts()
        self._leases.reset(self._late_calls.get_lease_delay())
        tasks = self.cluster.end_worker_tasks(
            worker,
            self.monotonic(),
            frozenset(late_starts),
            asked_at,
            ChangeReason.RESTARTED,
        )
        if tasks:
            self.listener.handle_tasks_ended(worker, tasks, why)
        if late_starts:
            self.listener.handle_late_starts(worker, late_starts)
        self._confirm_crash()

    async def _handle_failure(self, status: CallStatus) -> None:
        if status is CallStatus.FENCED:
            self.listener.handle_lease_lost(
                f'{self.worker.id} has seen a higher token'
            )
        if status is CallStatus.OTHER_INSTANCE:
            self.worker.has_crashed = True
        if self.worker.reachable:
            log.warning(
                'Cannot be reached: {}.',
                status.value,
                extra={'worker': self.worker.id},
            )
        self.worker.reachable = False
        self.worker.has_missed_poll = True
        self._check_expiry('it could not be reached until its leases ran out')
        await asyncio.sleep(RETRY_SECONDS)
