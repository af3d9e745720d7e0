"""Polls one worker: renews its leases and reconciles the runs it reports."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

import attrs
import logbook

from lentilmount.control.late_calls import LateCalls
from lentilmount.platform.workers import CallStatus, WorkerClient
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.crashes import PROOF_SECONDS
from lentilmount.scheduling.history import ChangeReason
from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.poll_intervals import (
    DEFAULT_SECONDS,
    MAX_PAUSE_SECONDS,
    MIN_POLL_SECONDS,
)
from lentilmount.scheduling.reconciliation import Reconciler, ReconcileResult
from lentilmount.scheduling.reports import StaleRun, WorkerReport
from lentilmount.waiting import wait_with_timeout

log = logbook.Logger('links')

FAST_POLL_SECONDS = 0.25
"""Longest time that a poll of a worker waits for a run to end if the worker
does not answer commands, as only its clock shows that a start has expired
there, or if its leases may soon be renewed again."""

START_TIMEOUT_SECONDS = 3.0
"""Time within which a worker must begin a start. Until then the task of an
unanswered start can't be placed on another worker. It allows three calls."""

RETRY_SECONDS = 0.1
"""Delay before a worker is polled again after a failed call."""

UNRECORDED_ENDS_PAUSE_SECONDS = 0.25
"""Delay between polls while run ends can't be recorded, as each report lists
all of them again."""

MIN_CLOCK_RATE = 0.98
"""Slowest rate of a worker's clock that the platform allows."""

CLOCK_TOLERANCE_MS = 50
"""Time for which an answer may have been on its way."""

EXPIRY_MARGIN_SECONDS = 0.1
"""Time for a worker to end its tasks once a lease has expired."""

FORGET_SECONDS = 1.0
"""Delay before the session of an unregistered worker without tasks ends; also
the time for which a worker that refused a start, or had no room for it, gets no
tasks."""


def choose_no_pause(worker: Worker) -> float:
    """Returns that the next poll of a worker follows its report at once."""
    del worker
    return 0.0


class SessionListener(Protocol):
    """Callbacks from the session of a worker to its owner."""

    def handle_lease_lost(self, reason: str) -> None:
        """Called when a worker has seen a higher fencing token."""

    def handle_poll_result(
        self, worker: Worker, result: ReconcileResult
    ) -> None:
        """Called after each report of the worker was reconciled."""

    def handle_tasks_ended(
        self, worker: Worker, tasks: list[Task], why: str
    ) -> None:
        """Called when all tasks on a worker have ended."""

    def handle_crash(self, worker: Worker, suspects: list[Task]) -> None:
        """Called when a worker has certainly crashed.

        Args:
          worker: The worker.
          suspects: Tasks that may have crashed it.
        """

    def handle_late_starts(
        self, worker: Worker, late_starts: list[StaleRun]
    ) -> None:
        """Called when a restarted worker may still execute earlier starts."""

    def may_renew(self) -> bool:
        """Returns whether workers' leases may still be renewed."""

    def choose_poll_seconds(self, worker: Worker) -> float:
        """Returns how long a poll of a worker may wait for a run to end."""


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
      clock_behind_at: Monotonic time at which an answer last showed a clock
        that was behind, perhaps that of a new incarnation.
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
    clock_behind_at: float = -math.inf
    is_probed: bool = False
    end_written: asyncio.Event = attrs.field(factory=asyncio.Event)
    _start_sent: asyncio.Event = attrs.field(factory=asyncio.Event)
    _started_ms: int | None = None
    _ended_incarnation_ms: int | None = None
    _registered_at: float = -math.inf
    _acknowledged_end: int = 0
    _report_asked_at: float = -math.inf
    _reported_at: float = -math.inf
    _clock_ms: int | None = None
    _clock_read_at: float = 0.0
    _last_expiry_ms: int = 0
    _inherited_expiry: float = attrs.field(init=False)
    _late_calls: LateCalls = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Stores when the previous owner's leases expire."""
        self._inherited_expiry = self.worker.leases_expire_at
        self._late_calls = LateCalls(self.monotonic)

    async def poll_first(self) -> None:
        """Polls the worker once, before `run`, if its address is known."""
        if self.worker.entry.address and not self._is_gone():
            await self._poll()

    async def run(self) -> None:
        """Polls the worker until it is unregistered and runs no tasks."""
        while True:
            if self._is_gone():
                await asyncio.sleep(FORGET_SECONDS)
                if self._is_unused():
                    return
            if not self.worker.entry.address:
                await self._wait_for_expiry()
                continue
            await self._poll()

    def _is_gone(self) -> bool:
        """Returns whether the worker has neither a registration nor tasks."""
        return not self.worker.is_registered and not self.worker.tasks

    def _is_unused(self) -> bool:
        """Returns whether the worker is gone and executes no late call.

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
        return self._is_gone() and not has_late_calls and not worker.suspects

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
            await wait_with_timeout(self.end_written, self._choose_pause())
        pause = await self._pause()
        may_wait = (
            self.received_end <= self.written_end and self.worker.reachable
        )
        asked_at = self.monotonic()
        acknowledged_end = self._choose_acknowledgement()
        renewal_expiry = self._choose_renewal_expiry()
        answer = await self.worker_client.poll(
            self.worker.entry,
            acknowledged_end,
            renewal_expiry,
            self._choose_poll_wait(pause) if may_wait else 0.0,
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

    def _choose_pause(self) -> float:
        """Returns how long, in seconds, a poll waits for ends to be recorded.

        An owner that may not renew leases has lost the store while others may
        reach it, so it can't act on reports. With frequent polls, hundreds of
        workers reporting the same ends four times a second saturated a small
        network link: the owner's calls to the store failed, and it did not
        learn that it had been replaced even after the store was back.
        """
        if self.listener.may_renew():
            return UNRECORDED_ENDS_PAUSE_SECONDS
        return DEFAULT_SECONDS

    def _choose_poll_wait(self, pause: float) -> float:
        """Returns how long, in seconds, a poll after a pause may wait."""
        worker = self.worker
        if worker.is_reported_unreachable or (
            worker.tasks and not worker.answers_commands
        ):
            return FAST_POLL_SECONDS
        seconds = self.listener.choose_poll_seconds(worker)
        return max(MIN_POLL_SECONDS, seconds - pause) if pause else seconds

    def _choose_renewal_expiry(self) -> int | None:
        """Returns when renewed leases expire on the worker's clock, or None.

        A worker whose answers get lost may still receive every call. If each
        call renewed its leases, nobody could know that they have expired, so
        only the first call without an answer renews them.
        """
        return self.choose_lease_end() if self._may_renew() else None

    def _may_renew(self) -> bool:
        worker = self.worker
        is_allowed = worker.renews_leases and not worker.is_reported_unreachable
        return worker.reachable and is_allowed and self.listener.may_renew()

    def choose_lease_end(self) -> int:
        """Returns when a lease granted now expires, on the worker's clock.

        For an unreachable worker this is the previous expiry. A start is sent
        until it is answered: if each copy renewed the leases of a lost worker,
        they would never expire and its tasks could not start elsewhere. The
        same applies when this owner may no longer renew leases, as the next
        owner starts the tasks elsewhere once these leases have expired.
        """
        return self._grant_lease(self.lease_seconds)

    def choose_start_deadline(self) -> int:
        """Returns the time by which a start must begin, on the worker's clock.

        It is much closer than the end of a lease. The worker executes no copy
        of the start after it, so the task can soon go to another worker. The
        worker's leases, which polls renew, do not become shorter.
        """
        return self._grant_lease(min(START_TIMEOUT_SECONDS, self.lease_seconds))

    def _grant_lease(self, seconds: float) -> int:
        if self._clock_ms is None or not self._may_renew():
            return self._last_expiry_ms
        elapsed = self.monotonic() - self._clock_read_at
        expiry_ms = self._clock_ms + int(1000 * (elapsed + seconds))
        self._last_expiry_ms = max(self._last_expiry_ms, expiry_ms)
        self._update_lease_expiry()
        return expiry_ms

    def _update_lease_expiry(self) -> None:
        if self._clock_ms is None or not self._last_expiry_ms:
            # This owner has granted no lease yet. Those of the previous owner
            # may still hold, and its tasks would run twice if freed early.
            return
        remaining = (self._last_expiry_ms - self._clock_ms) / 1000
        expires_at = (
            self._clock_read_at
            + remaining / MIN_CLOCK_RATE
            + EXPIRY_MARGIN_SECONDS
        )
        # The previous owner's leases may end after the deadline of a start.
        self.worker.leases_expire_at = max(expires_at, self._inherited_expiry)

    def update_clock(self, clock_ms: int | None) -> None:
        """Updates the worker's clock from the answer to a call."""
        if clock_ms is None:
            return
        if self._is_behind(clock_ms):
            # Perhaps a new incarnation, which takes a deadline by the clock of
            # the earlier one for the longest lease.
            self.clock_behind_at = self.monotonic()
            self._bound_leases(0.0)
        if clock_ms < (self._clock_ms or 0):
            return
        self._clock_ms = clock_ms
        self._clock_read_at = self.worker.last_answer_at = self.monotonic()
        self._update_lease_expiry()
        self._expire_starts(clock_ms)

    def _is_behind(self, clock_ms: int) -> bool:
        """Returns whether the worker's clock shows less than it must by now."""
        if self._clock_ms is None:
            return False
        elapsed = self.monotonic() - self._clock_read_at
        expected_ms = self._clock_ms + 1000 * elapsed * MIN_CLOCK_RATE
        return clock_ms < expected_ms - CLOCK_TOLERANCE_MS

    def _expire_starts(self, clock_ms: int) -> None:
        """Marks the starts whose deadline has passed on the worker's clock."""
        now = self.monotonic()
        for task in self.worker.tasks.values():
            is_pending = math.isinf(task.confirmed_at)
            if is_pending and 0 < task.start_deadline_ms < clock_ms:
                task.start_expired_at = min(task.start_expired_at, now)

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

    def record_command(self, status: CallStatus) -> None:
        """Records whether the worker answered a command."""
        worker = self.worker
        if status is CallStatus.REFUSED:
            return
        is_answered = status is not CallStatus.UNKNOWN
        if is_answered and not worker.answers_commands:
            log.info('Takes commands again.', extra={'worker': worker.id})
        elif worker.answers_commands and not is_answered:
            log.warning('Answers no commands.', extra={'worker': worker.id})
        worker.answers_commands = is_answered

    def _reset_command_state(self) -> None:
        """Resets the command state after the worker was unreachable."""
        worker = self.worker
        worker.answers_commands = worker.renews_leases = True
        worker.stop_unanswered_since = math.inf

    def record_stop(self, is_accepted: bool, sent_at: float) -> None:
        """Records whether the worker accepted a stop command.

        Args:
          is_accepted: Whether it did.
          sent_at: Monotonic time in seconds at which the stop was sent.
        """
        worker = self.worker
        if is_accepted:
            worker.stop_unanswered_since = math.inf
        else:
            since = min(worker.stop_unanswered_since, sent_at)
            worker.stop_unanswered_since = since

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
            self._bound_inherited_leases()
            self.cluster.suspects.add_inherited(
                worker, report.started_ms, self.monotonic()
            )
            self._confirm_crash()
        self._clear_suspects()
        if not worker.has_answered or not worker.reachable:
            log.info('Reached.', extra={'worker': worker.id})
            worker.reached_at = self.monotonic()
            self._reset_command_state()
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

    def _bound_inherited_leases(self) -> None:
        """Bounds the expiry of leases that the previous owner may have granted.

        The worker has answered this owner, so it accepts no more from others.
        """
        if not self.worker.leases_expire_at:
            self._bound_leases(0.0)

    def _bound_leases(self, delay: float) -> None:
        """Assumes the longest lease from any call of up to now.

        Args:
          delay: Longest time in seconds until such a call arrives.
        """
        longest = self.lease_seconds / MIN_CLOCK_RATE + EXPIRY_MARGIN_SECONDS
        self._inherited_expiry = self.monotonic() + delay + longest
        self.worker.leases_expire_at = max(
            self.worker.leases_expire_at, self._inherited_expiry
        )

    def handle_registration(self, started_ms: int) -> None:
        """Handles the registration of an incarnation of the worker.

        It ends no runs, as this incarnation may have started some already;
        only its first report tells which. Reports of the earlier one that
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
        self._clock_ms = None
        self._last_expiry_ms = 0
        self._inherited_expiry = 0.0
        worker = self.worker
        self._reset_command_state()
        late_starts = self._late_calls.list_starts()
        self._bound_leases(self._late_calls.get_lease_delay())
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
