"""The link to one worker: leases renewed, orders sent, reports read.

Each link is one task, written straight down: wait, build the commands from
the ledger, send them, take in the answer.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from lentilmount.batch.ledger import MOVES_A_TRANSACTION, Draft, Ledger
from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.batch.states import HOLDING, STOPPING, Move
from lentilmount.coordination.leases import CLOCK_DRIFT
from lentilmount.resources import Phase
from lentilmount.upstream.workers import (
    Action,
    AttemptReport,
    AttemptState,
    Command,
    SyncAnswer,
    SyncRequest,
    Usage,
    WorkerError,
    Workers,
)

FAILURES_OF_JOB = 3
"""A job that fails on this many workers is at fault itself."""

_MOVES_BY_STATE = {
    AttemptState.RUNNING: Move.STARTED,
    AttemptState.FINISHED: Move.FINISH,
    AttemptState.FAILED: Move.FAIL,
    AttemptState.STOPPED: Move.STOPPED,
    AttemptState.LAPSED: Move.LOST,
}


@attrs.frozen
class LinkOptions:
    """Times of the leases that workers hold tasks under.

    Attributes:
      sync_seconds: How often a worker is called when nothing happens.
      lease_seconds: How long a task runs on without renewal.
      start_seconds: How late a start may take effect.
      promise_seconds: How long leases are renewed without the table.
    """

    sync_seconds: float = 2.0
    lease_seconds: float = 15.0
    start_seconds: float = 5.0
    promise_seconds: float = 600.0


@attrs.define
class _Anchor:
    """The worker's clock, as last read: at `local` it showed `remote`."""

    boot: str
    remote: float
    local: float


class Link:
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
        workers: Workers,
        options: LinkOptions,
        monotonic: Callable[[], float],
        on_change: Callable[[], None],
    ):
        self.name = name
        self.reachable = False
        self.usage: tuple[Usage, ...] = ()
        self._ledger = ledger
        self._workers = workers
        self._options = options
        self._monotonic = monotonic
        self._on_change = on_change
        self._anchor: _Anchor | None = None
        self._wake = asyncio.Event()
        self._orders: list[Command] = []
        self._born = monotonic()
        self._starts: dict[tuple[str, int], float] = {}
        self._intake: asyncio.Task[None] | None = None
        # Until this time a task on the worker may be running under a lease
        # that somebody gave. A former owner may have renewed up to the end of
        # its promise, until the worker has seen our epoch and refuses it.
        self._horizon = monotonic() + (
            options.promise_seconds + options.lease_seconds
        ) * (1 + CLOCK_DRIFT)

    @property
    def record(self) -> WorkerRecord:
        """The worker's row."""
        return self._ledger.workers[self.name]

    def wake(self) -> None:
        """Makes the link call now."""
        self._wake.set()

    def send(self, command: Command) -> None:
        """Sends a command with the next call, once."""
        self._orders.append(command)

    async def run(self) -> None:
        """Keeps the link until cancelled."""
        try:
            while True:
                await self._synchronize()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        self._wake.wait(), self._options.sync_seconds
                    )
                self._wake.clear()
        finally:
            if self._intake is not None:
                self._intake.cancel()

    async def _synchronize(self) -> None:
        sent_at = self._monotonic()
        request = self._make_request(sent_at)
        if request.commands:
            own = self._get_own_horizon(sent_at)
            self._horizon = max(self._horizon, own)
        try:
            answer = await self._workers.sync(self.record.address, request)
        except WorkerError:
            self.reachable = False
            if self._monotonic() > self._horizon:
                self._spawn(self._give_up('the worker is not reachable'))
            return
        # The worker has our epoch now, so only our own leases count.
        self._horizon = self._get_own_horizon(sent_at)
        self._anchor = _Anchor(answer.boot, answer.clock, self._monotonic())
        self.usage = answer.usage
        if not self.reachable:
            self.reachable = True
            self.wake()
        self._spawn(self._take_in(answer, sent_at))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        # Taking a report in waits for the table. Leases must be renewed
        # meanwhile, or an outage of the table would end running tasks; the
        # worker repeats its report, so one that comes too early is dropped.
        if self._intake is not None and not self._intake.done():
            work.close()
            return
        self._intake = asyncio.create_task(work)

    def _get_own_horizon(self, now: float) -> float:
        age = now - self._anchor.local if self._anchor else 0.0
        lease = self._options.lease_seconds + age * CLOCK_DRIFT
        return now + lease * (1 + CLOCK_DRIFT)

    def _make_request(self, now: float) -> SyncRequest:
        epoch = self._ledger.lease.epoch
        scope = self._ledger.slice_name
        # A worker that did not answer gets an empty call first: renewals that
        # it may or may not receive would put off for ever the time when its
        # tasks have surely lapsed and can be placed elsewhere.
        if self._anchor is None or not self.reachable:
            return SyncRequest(scope, epoch)
        orders, self._orders = self._orders, []
        commands = [
            command
            for task in self._list_held()
            for command in self._make_commands(task, now)
        ]
        return SyncRequest(
            scope, epoch, self._anchor.boot, tuple(commands + orders)
        )

    def _list_held(self) -> list[Task]:
        return [
            task
            for task in self._ledger.tasks.values()
            if task.worker == self.name and task.phase in HOLDING
        ]

    def _make_commands(self, task: Task, now: float) -> list[Command]:
        assert self._anchor is not None
        clock = self._anchor.remote + (now - self._anchor.local)
        lease_until = clock + self._options.lease_seconds
        if task.phase is Phase.STARTING:
            self._starts[task.id, task.attempt] = now
            return [
                Command(
                    action=Action.START,
                    task=task.id,
                    attempt=task.attempt,
                    lease_until=lease_until,
                    not_after=clock + self._options.start_seconds,
                    demand=task.demand,
                    job_class=task.job_class,
                    payload=task.payload,
                    resume_from=task.checkpoint,
                    save_as=task.save_as,
                )
            ]
        if task.phase in STOPPING:
            return [Command(Action.STOP, task.id, task.attempt)]
        if not self._may_renew(now):
            return []
        return [
            Command(
                Action.RENEW,
                task.id,
                task.attempt,
                lease_until=lease_until,
                not_after=lease_until,
            )
        ]

    def _may_renew(self, now: float) -> bool:
        # A store outage must not disturb running work, but a new owner that
        # cannot reach the worker waits out just this promise.
        renewed_at = self._ledger.lease.renewed_at
        return now < renewed_at + self._options.promise_seconds

    async def _take_in(self, answer: SyncAnswer, sent_at: float) -> None:
        reports = {(r.task, r.attempt): r for r in answer.attempts}
        moves = self._find_moves(answer, reports, sent_at)
        if moves or self._has_changed(answer):
            async with self._ledger.change() as draft:
                self._update_record(draft, answer)
                for task_id, report in moves[:MOVES_A_TRANSACTION]:
                    self._apply(draft, task_id, report)
            self._on_change()
            self.wake()
        self._forget_finished(reports)

    def _has_changed(self, answer: SyncAnswer) -> bool:
        record = self.record
        now = (answer.boot, answer.capacity, answer.leaving or record.leaving)
        return now != (record.boot, record.capacity, record.leaving)

    def _update_record(self, draft: Draft, answer: SyncAnswer) -> None:
        record = draft.get_worker(self.name)
        draft.set_worker(
            attrs.evolve(
                record,
                boot=answer.boot,
                capacity=answer.capacity,
                leaving=answer.leaving or record.leaving,
            )
        )

    def _find_moves(
        self,
        answer: SyncAnswer,
        reports: dict[tuple[str, int], AttemptReport],
        sent_at: float,
    ) -> list[tuple[str, AttemptReport]]:
        moves = []
        for task in self._list_held():
            report = reports.get((task.id, task.attempt))
            if report is None and self._is_gone(task, answer, sent_at):
                report = AttemptReport(
                    task.id, task.attempt, AttemptState.LAPSED
                )
            if report and self._is_news(task, report):
                moves.append((task.id, report))
        return moves

    def _is_gone(self, task: Task, answer: SyncAnswer, sent_at: float) -> bool:
        # Another boot holds nothing of the old one. On the same boot, an
        # attempt that was known to run and is no longer held is over. One
        # that was told to stop before its start was answered is over once
        # a start still on its way would come too late to take effect.
        if task.boot != answer.boot or task.phase is Phase.RUNNING:
            return True
        if task.phase not in STOPPING:
            return False
        started = self._starts.get((task.id, task.attempt), self._born)
        limit = self._options.start_seconds * (1 + CLOCK_DRIFT)
        return sent_at > started + limit

    def _is_news(self, task: Task, report: AttemptReport) -> bool:
        if report.state is not AttemptState.RUNNING:
            return True
        return task.phase is Phase.STARTING

    def _apply(self, draft: Draft, task_id: str, report: AttemptReport) -> None:
        task = draft.get_task(task_id)
        if task is None or task.attempt != report.attempt:
            return
        if task.phase not in HOLDING:
            return
        if report.state is AttemptState.RUNNING:
            if task.phase is Phase.STARTING:
                draft.move(task, Move.STARTED, endpoint=report.endpoint)
            return
        move = _MOVES_BY_STATE[report.state]
        if move is Move.STOPPED and task.phase not in STOPPING:
            move = Move.LOST
        if move is Move.FAIL:
            self._apply_failure(draft, task, report)
            return
        evicted = move in (Move.STOPPED, Move.LOST)
        draft.move(
            task,
            move,
            output=report.output if move is Move.FINISH else '',
            checkpoint=report.checkpoint or task.checkpoint,
            evictions=task.evictions + evicted,
            reason='lease lapsed' if move is Move.LOST else task.reason,
        )

    def _apply_failure(
        self, draft: Draft, task: Task, report: AttemptReport
    ) -> None:
        failed_on = (*task.failed_on, self.name)
        hopeless = len(set(failed_on)) >= FAILURES_OF_JOB
        draft.move(
            task,
            Move.GIVE_UP if hopeless and not task.is_service else Move.FAIL,
            failed_on=failed_on,
            reason=report.message,
            checkpoint=report.checkpoint or task.checkpoint,
        )

    def _forget_finished(
        self, reports: dict[tuple[str, int], AttemptReport]
    ) -> None:
        for (task_id, attempt), report in reports.items():
            task = self._ledger.tasks.get(task_id)
            current = task is not None and task.attempt == attempt
            if current and task is not None and task.phase in HOLDING:
                continue
            forget = report.state is not AttemptState.RUNNING
            action = Action.FORGET if forget else Action.STOP
            self.send(Command(action, task_id, attempt))

    async def _give_up(self, reason: str) -> None:
        held = self._list_held()
        if not held:
            return
        async with self._ledger.change() as draft:
            for task in held[:MOVES_A_TRANSACTION]:
                current = draft.get_task(task.id)
                if current and current.attempt == task.attempt:
                    draft.move(
                        current,
                        Move.LOST,
                        evictions=current.evictions + 1,
                        reason=reason,
                    )
