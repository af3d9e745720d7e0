"""Session with one worker: renews leases, sends commands and processes reports.

Each session runs as one asyncio task that waits, builds the commands from the
slice's rows, sends them, and processes the response.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from lentilmount.batch.checkpoints import Checkpoints
from lentilmount.batch.drafts import Draft
from lentilmount.batch.ledger import Ledger
from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.batch.reports import (
    AttemptKey,
    HandleFailure,
    apply_report,
    requires_transition,
    update_worker,
)
from lentilmount.batch.starts import Starts
from lentilmount.batch.states import COMMITTED_PHASES, STOPPING
from lentilmount.batch.worker_commands import SessionOptions, WorkerCommands
from lentilmount.batch.worker_state import WorkerState
from lentilmount.coordination.leases import CLOCK_DRIFT
from lentilmount.resources import Phase, Urgency
from lentilmount.upstream.workers import (
    Action,
    AttemptReport,
    AttemptState,
    Command,
    SyncAnswer,
    SyncClient,
    SyncRequest,
    Usage,
    WorkerError,
)
from lentilmount.waiting import wait_with_timeout

STOPPING_SYNC_SECONDS = 0.2
"""Interval of calls to a worker while it stops an attempt.

Urgent tasks wait for its resources while the worker saves a checkpoint.
"""


class WorkerSession:
    """Session with one worker, used while this daemon owns the slice.

    Args:
      name: Name of the worker.
      ledger: The slice's rows.
      workers: Client for the workers.
      options: Timeouts and intervals.
      monotonic: Clock for durations.
      on_change: Called after a report changed the rows.
      handle_failure: Records a failed attempt; returns whether to give it up.

    Attributes:
      name: Name of the worker.
      reachable: Whether the worker answered the last call.
      usage: The last reported measurements of the tasks' resource usage.
    """

    def __init__(
        self,
        name: str,
        ledger: Ledger,
        workers: SyncClient,
        options: SessionOptions,
        monotonic: Callable[[], float],
        on_change: Callable[[], None],
        handle_failure: HandleFailure,
    ):
        self.name = name
        self.reachable = False
        self.usage: tuple[Usage, ...] = ()
        self._ledger = ledger
        self._workers = workers
        self._options = options
        self._monotonic = monotonic
        self._on_change = on_change
        self._handle_failure = handle_failure
        self._commands = WorkerCommands(ledger.lease, options)
        self._worker_state = WorkerState(options.usage_seconds)
        self._committed: list[Task] = []
        self._committed_generation = -1
        self._wake = asyncio.Event()
        self._report_task: asyncio.Task[None] | None = None
        self._checkpoints = Checkpoints()
        self._starts = Starts()
        self._starts.record_inherited(self.list_committed())
        # Until these times a task may be running on the worker under a lease
        # from a previous owner or from this one. A previous owner may renew
        # until its offline renewal ends, or until the worker has received
        # this owner's epoch and rejects older ones.
        self._previous_leases_end = monotonic() + (
            ledger.offline_renewal_seconds + ledger.task_lease_seconds
        ) * (1 + CLOCK_DRIFT)
        self._own_leases_end = 0.0
        self._is_fenced = False

    @property
    def record(self) -> WorkerRecord:
        """The worker's row."""
        return self._ledger.workers[self.name]

    def wake(self) -> None:
        """Calls the worker immediately."""
        self._wake.set()

    def send(self, command: Command) -> None:
        """Adds a command to the next calls until one is answered.

        A newer command of the same action for the same attempt replaces it.
        """
        self._commands.add(command)

    async def run(self) -> None:
        """Calls the worker periodically until cancelled.

        Raises:
          LeaseLostError: Another daemon holds the slice.
        """
        try:
            while True:
                await self._synchronize()
                await wait_with_timeout(self._wake, self._get_interval())
                self._wake.clear()
                self._raise_failure()
        finally:
            if self._report_task is not None:
                self._report_task.cancel()

    def _get_interval(self) -> float:
        # While a report is waiting for the table, frequent calls are useless.
        is_processing = self._is_processing()
        stopping = any(task.phase in STOPPING for task in self.list_committed())
        pause = self._options.sync_seconds
        return (
            min(pause, STOPPING_SYNC_SECONDS)
            if stopping and not is_processing
            else pause
        )

    async def _synchronize(self) -> None:
        sent_at = self._monotonic()
        request = self._make_request(sent_at)
        if request.extends_leases:
            expiry = self._commands.get_latest_expiry(sent_at)
            self._own_leases_end = max(self._own_leases_end, expiry)
        self._starts.record_sent(request.commands)
        try:
            answer = await self._workers.sync(self.record.address, request)
        except WorkerError:
            self.reachable = False
            leases_end = max(self._own_leases_end, self._previous_leases_end)
            if self._monotonic() > leases_end:
                self._start_processing(self._give_up_tasks())
            return
        answer = self._worker_state.add_omitted_attempts(answer)
        self._handle_answer(request, answer)
        if request.renew_until and request.seen != answer.version:
            # The worker renewed no lease, because its attempts had changed.
            self.wake()
        elif request.renew_until and not self._must_process(answer, sent_at):
            return
        self._start_processing(self._process_report(answer, sent_at))

    def _must_process(self, answer: SyncAnswer, now: float) -> bool:
        self._checkpoints.update(answer.attempts)
        due = self._checkpoints.list_due(self.list_committed(), now)
        return bool(due) or self._has_worker_changed(answer)

    def _handle_answer(self, request: SyncRequest, answer: SyncAnswer) -> None:
        now = self._monotonic()
        if not self._is_fenced:
            # The worker knows this owner's epoch now and rejects previous
            # owners; the last lease from one of them ends within its duration.
            self._is_fenced = True
            lease = self._ledger.task_lease_seconds
            self._previous_leases_end = now + lease * (1 + 2 * CLOCK_DRIFT)
        self._commands.handle_answer(request, answer, now)
        self._starts.record_outcomes(request.commands, answer.outcomes)
        self._starts.record_reports(answer.attempts, now)
        if request.with_usage:
            self.usage = answer.usage
            self._worker_state.record_usage_read(now)
        if not self.reachable or self._commands.has_deferred:
            self.reachable = True
            self.wake()

    def _start_processing(self, work: Coroutine[Any, Any, None]) -> None:
        # Processing a report waits for the table. Leases must be renewed
        # meanwhile, or a table outage would end running tasks. The worker
        # repeats its report, so one that arrives during this time is dropped.
        if self._is_processing():
            work.close()
            return
        try:
            self._raise_failure()
        except BaseException:
            work.close()
            raise
        self._report_task = asyncio.create_task(work)

    def _is_processing(self) -> bool:
        return self._report_task is not None and not self._report_task.done()

    def _raise_failure(self) -> None:
        report_task, self._report_task = self._report_task, None
        if report_task is not None and report_task.done():
            report_task.result()
        else:
            self._report_task = report_task

    def _make_request(self, now: float) -> SyncRequest:
        epoch = self._ledger.lease.epoch
        scope = self._ledger.slice_name
        clock_sample = self._commands.clock_sample
        # A worker that did not answer first gets a call without renewals:
        # renewals of unknown outcome would postpone forever the time when its
        # leases have surely expired and its tasks can be placed elsewhere.
        if clock_sample is None or not self.reachable:
            return SyncRequest(scope, epoch, with_usage=False)
        commands: tuple[Command, ...] = ()
        renew_until = 0.0
        if self._is_steady(now):
            renew_until = self._commands.get_lease_end(now)
        else:
            commands = self._commands.make_commands(
                self.record, self.list_committed(), now
            )
        return self._worker_state.make_request(
            scope, epoch, commands, renew_until, now
        )

    def _is_steady(self, now: float) -> bool:
        commands = self._commands
        if not commands.is_empty or not commands.is_before_last_checkpoint(now):
            return False
        if self._is_processing():
            return False
        generation = self._ledger.generation
        return self._worker_state.is_steady(self.list_committed(), generation)

    def list_committed(self) -> list[Task]:
        """Returns the tasks that are committed on the worker."""
        if self._committed_generation != self._ledger.generation:
            self._committed_generation = self._ledger.generation
            self._committed = self._find_committed()
        return self._committed

    def _find_committed(self) -> list[Task]:
        return [
            task
            for commitment in self.record.commitments
            if (task := self._ledger.tasks.get(commitment.rpartition('#')[0]))
            and task.worker == self.name
            and task.phase in COMMITTED_PHASES
        ]

    async def _process_report(self, answer: SyncAnswer, sent_at: float) -> None:
        reports = {(r.task, r.attempt): r for r in answer.attempts}
        self._checkpoints.update(answer.attempts)
        relevant = self._find_transitions(answer, reports, sent_at)
        due = self._checkpoints.list_due(self.list_committed(), sent_at)
        if relevant or due or self._has_worker_changed(answer):
            urgent = any(self._is_urgent(task) for task, _ in relevant)
            async with self._ledger.change(urgent=urgent) as draft:
                update_worker(draft, self.name, answer)
                self._apply(draft, relevant)
                self._checkpoints.record(draft, due, sent_at)
            self._on_change()
            self.wake()
        self._forget_finished(reports, sent_at)
        self._discard_ended(reports)

    def _is_urgent(self, task_id: str) -> bool:
        # Evictions free resources for urgent tasks.
        task = self._ledger.tasks[task_id]
        return task.urgency is Urgency.URGENT or task.phase is Phase.EVICTING

    def _apply(
        self, draft: Draft, relevant: list[tuple[str, AttemptReport]]
    ) -> None:
        # The worker repeats the reports that do not fit into the draft.
        for task_id, report in relevant:
            if draft.is_full:
                break
            known = self._checkpoints.get((task_id, report.attempt))
            checkpoint = report.checkpoint or known
            full_report = attrs.evolve(report, checkpoint=checkpoint)
            self._apply_report(draft, task_id, full_report)

    def _apply_report(
        self,
        draft: Draft,
        task_id: str,
        report: AttemptReport,
        is_worker_lost: bool = False,
    ) -> None:
        task = draft.get_task(task_id)
        boot = draft.get_worker(self.name).boot
        has_restarted = task is not None and task.boot != boot
        key = (task_id, report.attempt)
        survival = self._starts.judge(key, is_worker_lost or has_restarted)
        apply_report(
            draft, task_id, report, self.name, self._handle_failure, survival
        )

    def _has_worker_changed(self, answer: SyncAnswer) -> bool:
        record = self.record
        now = (answer.boot, answer.capacity, answer.leaving or record.leaving)
        return now != (record.boot, record.capacity, record.leaving)

    def _find_transitions(
        self,
        answer: SyncAnswer,
        reports: dict[AttemptKey, AttemptReport],
        sent_at: float,
    ) -> list[tuple[str, AttemptReport]]:
        relevant = []
        for task in self.list_committed():
            report = reports.get((task.id, task.attempt))
            if report is None:
                report = self._report_missing(task, answer, sent_at)
            if report and requires_transition(task, report):
                relevant.append((task.id, report))
        return relevant

    def _report_missing(
        self, task: Task, answer: SyncAnswer, sent_at: float
    ) -> AttemptReport | None:
        # Attempts do not survive a restart of the worker. Within the same
        # boot, a running attempt that is no longer reported has ended. An
        # attempt whose start was not yet answered has ended once a delayed
        # copy of the start would arrive too late to take effect; a start from
        # a previous owner has no effect after the worker received this
        # owner's epoch.
        key = (task.id, task.attempt)
        has_ended = (
            task.boot != answer.boot
            or task.phase is Phase.RUNNING
            or key in self._commands.ending
        )
        if has_ended:
            return AttemptReport(*key, AttemptState.LAPSED)
        if self._commands.may_still_start(key, sent_at):
            return None
        if key in self._commands.refused:
            message = 'the worker refused to start it'
            return AttemptReport(*key, AttemptState.FAILED, message=message)
        if task.phase in STOPPING:
            return AttemptReport(*key, AttemptState.LAPSED)
        if key in self._commands.withheld:
            self._commands.ending.add(key)
            message = 'the worker has shrunk'
            return AttemptReport(*key, AttemptState.LAPSED, message=message)
        return None

    def _forget_finished(
        self, reports: dict[AttemptKey, AttemptReport], sent_at: float
    ) -> None:
        for key, report in reports.items():
            task = self._ledger.tasks.get(key[0])
            current = task is not None and task.attempt == key[1]
            if current and task is not None and task.phase in COMMITTED_PHASES:
                continue
            if key[0] in self._ledger.unreadable:
                continue
            if report.state is AttemptState.RUNNING:
                self.send(Command(Action.STOP, *key))
            # After a forget, a delayed copy of the start command would start
            # the attempt again.
            elif not self._commands.may_still_start(key, sent_at):
                self.send(Command(Action.FORGET, *key))

    def _discard_ended(self, reports: dict[AttemptKey, AttemptReport]) -> None:
        committed = {(task.id, task.attempt) for task in self.list_committed()}
        known = committed | set(reports)
        self._commands.forget(committed, known)
        self._checkpoints.discard_others(known)
        self._starts.discard_others(known)

    async def _give_up_tasks(self) -> None:
        committed = self.list_committed()
        if not committed:
            return
        self._commands.ending.update(
            (task.id, task.attempt) for task in committed
        )
        async with self._ledger.change() as draft:
            for task in committed:
                if draft.is_full:
                    break
                report = AttemptReport(
                    task.id,
                    task.attempt,
                    AttemptState.LAPSED,
                    checkpoint=self._checkpoints.get((task.id, task.attempt)),
                    message='the worker is not reachable',
                )
                self._apply_report(draft, task.id, report, True)
        self._on_change()
