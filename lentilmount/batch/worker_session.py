"""The link to one worker: leases renewed, orders sent, reports read.

Each link is one task, written straight down: wait, build the commands from
the ledger, send them, take in the answer.
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

STOPPING_SECONDS = 0.2
"""How often a worker is called while it stops something: urgent work waits
for the room, and a worker takes a moment to save a checkpoint."""


class WorkerSession:
    """One worker's link, for as long as this daemon holds the slice.

    Attributes:
      name: The worker.
      reachable: Whether the last call was answered.
      usage: What the worker last reported its tasks to use.
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
        self._view = WorkerState(options.usage_seconds)
        self._held: list[Task] = []
        self._held_at = -1
        self._wake = asyncio.Event()
        self._intake: asyncio.Task[None] | None = None
        self._checkpoints = Checkpoints()
        # Until these times a task on the worker may be running under a lease
        # that a former owner gave, or that this one gave. A former owner may
        # renew up to the end of its promise, until the worker has seen our
        # epoch and refuses it.
        self._others_horizon = monotonic() + (
            ledger.offline_renewal_seconds + ledger.task_lease_seconds
        ) * (1 + CLOCK_DRIFT)
        self._own_horizon = 0.0
        self._is_fenced = False

    @property
    def record(self) -> WorkerRecord:
        """The worker's row."""
        return self._ledger.workers[self.name]

    def wake(self) -> None:
        """Makes the link call now."""
        self._wake.set()

    def send(self, command: Command) -> None:
        """Sends a command with the next call, and again until answered.

        A newer command of the same kind for the same attempt replaces it.
        """
        self._commands.add(command)

    async def run(self) -> None:
        """Keeps the link until cancelled.

        Raises:
          LeaseLostError: Another daemon holds the slice.
        """
        try:
            while True:
                await self._synchronize()
                await wait_with_timeout(self._wake, self._pause())
                self._wake.clear()
                self._raise_failure()
        finally:
            if self._intake is not None:
                self._intake.cancel()

    def _pause(self) -> float:
        # While the table does not answer, nothing is gained by asking often.
        waits = self._is_taking_in()
        stopping = any(task.phase in STOPPING for task in self.list_held())
        pause = self._options.sync_seconds
        return min(pause, STOPPING_SECONDS) if stopping and not waits else pause

    async def _synchronize(self) -> None:
        sent_at = self._monotonic()
        request = self._make_request(sent_at)
        if request.extends_leases:
            own = self._commands.get_latest_expiry(sent_at)
            self._own_horizon = max(self._own_horizon, own)
        try:
            answer = await self._workers.sync(self.record.address, request)
        except WorkerError:
            self.reachable = False
            horizon = max(self._own_horizon, self._others_horizon)
            if self._monotonic() > horizon:
                self._spawn(self._give_up())
            return
        answer = self._view.add_omitted_attempts(answer)
        self._take_answer(request, answer)
        if request.renew_until and request.seen != answer.version:
            # The worker renewed nothing, as its attempts had changed.
            self.wake()
        elif request.renew_until and not self._has_news(answer, sent_at):
            return
        self._spawn(self._take_in(answer, sent_at))

    def _has_news(self, answer: SyncAnswer, now: float) -> bool:
        self._checkpoints.update(answer.attempts)
        due = self._checkpoints.list_due(self.list_held(), now)
        return bool(due) or self._has_changed(answer)

    def _take_answer(self, request: SyncRequest, answer: SyncAnswer) -> None:
        now = self._monotonic()
        if not self._is_fenced:
            # The worker has our epoch now and refuses former owners; the
            # last lease that one of them gave it ends within a lease's time.
            self._is_fenced = True
            lease = self._ledger.task_lease_seconds
            self._others_horizon = now + lease * (1 + 2 * CLOCK_DRIFT)
        self._commands.handle_answer(request, answer, now)
        if request.with_usage:
            self.usage = answer.usage
            self._view.record_usage_read(now)
        if not self.reachable:
            self.reachable = True
            self.wake()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        # Taking a report in waits for the table. Leases must be renewed
        # meanwhile, or an outage of the table would end running tasks; the
        # worker repeats its report, so one that comes too early is dropped.
        if self._is_taking_in():
            work.close()
            return
        try:
            self._raise_failure()
        except BaseException:
            work.close()
            raise
        self._intake = asyncio.create_task(work)

    def _is_taking_in(self) -> bool:
        return self._intake is not None and not self._intake.done()

    def _raise_failure(self) -> None:
        intake, self._intake = self._intake, None
        if intake is not None and intake.done():
            intake.result()
        else:
            self._intake = intake

    def _make_request(self, now: float) -> SyncRequest:
        epoch = self._ledger.lease.epoch
        scope = self._ledger.slice_name
        anchor = self._commands.clock_sample
        # A worker that did not answer gets an empty call first: renewals that
        # it may or may not receive would put off for ever the time when its
        # tasks have surely lapsed and can be placed elsewhere.
        if anchor is None or not self.reachable:
            return SyncRequest(scope, epoch, with_usage=False)
        commands: tuple[Command, ...] = ()
        renew_until = 0.0
        if self._is_steady(now):
            renew_until = self._commands.get_lease_end(now)
        else:
            commands = self._commands.make_commands(self.list_held(), now)
        return self._view.make_request(scope, epoch, commands, renew_until, now)

    def _is_steady(self, now: float) -> bool:
        orders = self._commands
        if not orders.is_empty or not orders.is_before_last_checkpoint(now):
            return False
        if self._is_taking_in():
            return False
        generation = self._ledger.generation
        return self._view.is_steady(self.list_held(), generation)

    def list_held(self) -> list[Task]:
        """Returns the tasks that are committed on the worker."""
        if self._held_at != self._ledger.generation:
            self._held_at = self._ledger.generation
            self._held = self._find_held()
        return self._held

    def _find_held(self) -> list[Task]:
        return [
            task
            for commitment in self.record.commitments
            if (task := self._ledger.tasks.get(commitment.rpartition('#')[0]))
            and task.worker == self.name
            and task.phase in COMMITTED_PHASES
        ]

    async def _take_in(self, answer: SyncAnswer, sent_at: float) -> None:
        reports = {(r.task, r.attempt): r for r in answer.attempts}
        self._checkpoints.update(answer.attempts)
        moves = self._find_transitions(answer, reports, sent_at)
        due = self._checkpoints.list_due(self.list_held(), sent_at)
        if moves or due or self._has_changed(answer):
            urgent = any(self._is_urgent(task) for task, _ in moves)
            async with self._ledger.change(urgent=urgent) as draft:
                update_worker(draft, self.name, answer)
                self._apply(draft, moves)
                self._checkpoints.record(draft, due, sent_at)
            self._on_change()
            self.wake()
        self._forget_finished(reports, sent_at)
        self._clean_up(reports)

    def _is_urgent(self, task_id: str) -> bool:
        # What is evicted makes room for something that cannot wait.
        task = self._ledger.tasks[task_id]
        return task.urgency is Urgency.URGENT or task.phase is Phase.EVICTING

    def _apply(
        self, draft: Draft, moves: list[tuple[str, AttemptReport]]
    ) -> None:
        # What does not fit is reported again with the next call.
        for task_id, report in moves:
            if draft.is_full:
                break
            known = self._checkpoints.get((task_id, report.attempt))
            checkpoint = report.checkpoint or known
            whole = attrs.evolve(report, checkpoint=checkpoint)
            apply_report(draft, task_id, whole, self.name, self._handle_failure)

    def _has_changed(self, answer: SyncAnswer) -> bool:
        record = self.record
        now = (answer.boot, answer.capacity, answer.leaving or record.leaving)
        return now != (record.boot, record.capacity, record.leaving)

    def _find_transitions(
        self,
        answer: SyncAnswer,
        reports: dict[AttemptKey, AttemptReport],
        sent_at: float,
    ) -> list[tuple[str, AttemptReport]]:
        moves = []
        for task in self.list_held():
            report = reports.get((task.id, task.attempt))
            if report is None:
                report = self._explain_absence(task, answer, sent_at)
            if report and requires_transition(task, report):
                moves.append((task.id, report))
        return moves

    def _explain_absence(
        self, task: Task, answer: SyncAnswer, sent_at: float
    ) -> AttemptReport | None:
        # Another boot holds nothing of the old one. On the same boot, an
        # attempt that was known to run and is no longer held is over. One
        # whose start was not yet answered is over once a start still on its
        # way would come too late to take effect; a start that a former owner
        # sent has no effect since the worker saw our epoch.
        key = (task.id, task.attempt)
        gone = (
            task.boot != answer.boot
            or task.phase is Phase.RUNNING
            or key in self._commands.ending
        )
        if gone:
            return AttemptReport(*key, AttemptState.LAPSED)
        if self._commands.may_still_start(key, sent_at):
            return None
        if key in self._commands.refused:
            message = 'the worker refused to start it'
            return AttemptReport(*key, AttemptState.FAILED, message=message)
        if task.phase in STOPPING:
            return AttemptReport(*key, AttemptState.LAPSED)
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
            # Once forgotten, an attempt would be begun again by a copy of
            # its start that was delayed on the way.
            elif not self._commands.may_still_start(key, sent_at):
                self.send(Command(Action.FORGET, *key))

    def _clean_up(self, reports: dict[AttemptKey, AttemptReport]) -> None:
        held = {(task.id, task.attempt) for task in self.list_held()}
        known = held | set(reports)
        self._commands.forget(held, known)
        self._checkpoints.discard_others(known)

    async def _give_up(self) -> None:
        held = self.list_held()
        if not held:
            return
        self._commands.ending.update((task.id, task.attempt) for task in held)
        async with self._ledger.change() as draft:
            for task in held:
                if draft.is_full:
                    break
                report = AttemptReport(
                    task.id,
                    task.attempt,
                    AttemptState.LAPSED,
                    checkpoint=self._checkpoints.get((task.id, task.attempt)),
                    message='the worker is not reachable',
                )
                apply_report(
                    draft, task.id, report, self.name, self._handle_failure
                )
        self._on_change()
