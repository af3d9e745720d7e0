"""The link to one worker: leases renewed, orders sent, reports read.

Each link is one task, written straight down: wait, build the commands from
the ledger, send them, take in the answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from lentilmount.batch.drafts import Draft
from lentilmount.batch.ledger import Ledger
from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.batch.reports import (
    AttemptKey,
    JudgeFailure,
    apply_report,
    is_news,
    update_worker,
)
from lentilmount.batch.states import HOLDING, STOPPING
from lentilmount.coordination.leases import CLOCK_DRIFT
from lentilmount.resources import Phase
from lentilmount.upstream.workers import (
    Action,
    AttemptReport,
    AttemptState,
    Command,
    Outcome,
    SyncAnswer,
    SyncRequest,
    Usage,
    WorkerError,
    Workers,
)
from lentilmount.waiting import wait_briefly

STOPPING_SECONDS = 0.2
"""How often a worker is called while it stops something: urgent work waits
for the room, and a worker takes a moment to save a checkpoint."""

LAST_CHECKPOINT_SHARE = 0.1
"""Share of the promise before its end in which tasks save a checkpoint."""

NOTE_CHECKPOINT_SECONDS = 300.0
"""How often a task's newest checkpoint is recorded in the table."""


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
        judge_failure: JudgeFailure,
    ):
        self.name = name
        self.reachable = False
        self.usage: tuple[Usage, ...] = ()
        self._ledger = ledger
        self._workers = workers
        self._options = options
        self._monotonic = monotonic
        self._on_change = on_change
        self._judge_failure = judge_failure
        self._anchor: _Anchor | None = None
        self._wake = asyncio.Event()
        self._orders: dict[tuple[Action, str, int], Command] = {}
        self._intake: asyncio.Task[None] | None = None
        # When each start was last sent, while it may still take effect.
        self._starts: dict[AttemptKey, float] = {}
        self._refused: set[AttemptKey] = set()
        # Attempts that are being given up. They get no command any more: the
        # transaction may apply at any later time, so a worker that comes back
        # meanwhile must not begin or go on with them.
        self._ending: set[AttemptKey] = set()
        self._checkpoints: dict[AttemptKey, str] = {}
        self._noted: dict[AttemptKey, float] = {}
        self._saved: dict[AttemptKey, float] = {}
        # Until these times a task on the worker may be running under a lease
        # that a former owner gave, or that this one gave. A former owner may
        # renew up to the end of its promise, until the worker has seen our
        # epoch and refuses it.
        self._others_horizon = monotonic() + (
            ledger.promise_seconds + ledger.task_lease_seconds
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
        key = (command.action, command.task, command.attempt)
        self._orders[key] = command

    async def run(self) -> None:
        """Keeps the link until cancelled.

        Raises:
          LeaseLostError: Another daemon holds the slice.
        """
        try:
            while True:
                await self._synchronize()
                await wait_briefly(self._wake, self._pause())
                self._wake.clear()
                self._raise_failure()
        finally:
            if self._intake is not None:
                self._intake.cancel()

    def _pause(self) -> float:
        stopping = any(task.phase in STOPPING for task in self.list_held())
        pause = self._options.sync_seconds
        return min(pause, STOPPING_SECONDS) if stopping else pause

    async def _synchronize(self) -> None:
        sent_at = self._monotonic()
        request = self._make_request(sent_at)
        if request.commands:
            own = self._get_own_horizon(sent_at)
            self._own_horizon = max(self._own_horizon, own)
        try:
            answer = await self._workers.sync(self.record.address, request)
        except WorkerError:
            self.reachable = False
            horizon = max(self._own_horizon, self._others_horizon)
            if self._monotonic() > horizon:
                self._spawn(self._give_up())
            return
        self._take_answer(request, answer)
        self._spawn(self._take_in(answer, sent_at))

    def _take_answer(self, request: SyncRequest, answer: SyncAnswer) -> None:
        now = self._monotonic()
        if not self._is_fenced:
            # The worker has our epoch now and refuses former owners; the
            # last lease that one of them gave it ends within a lease's time.
            self._is_fenced = True
            lease = self._ledger.task_lease_seconds
            self._others_horizon = now + lease * (1 + 2 * CLOCK_DRIFT)
        self._anchor = _Anchor(answer.boot, answer.clock, now)
        self.usage = answer.usage
        for command, outcome in zip(
            request.commands, answer.outcomes, strict=False
        ):
            self._take_outcome(command, outcome)
        if not self.reachable:
            self.reachable = True
            self.wake()

    def _take_outcome(self, command: Command, outcome: Outcome) -> None:
        attempt = (command.task, command.attempt)
        if command.action is Action.START and outcome is Outcome.REFUSED:
            self._refused.add(attempt)
        order = (command.action, *attempt)
        sent = self._orders.get(order)
        if sent is not None and sent.share == command.share:
            del self._orders[order]

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        # Taking a report in waits for the table. Leases must be renewed
        # meanwhile, or an outage of the table would end running tasks; the
        # worker repeats its report, so one that comes too early is dropped.
        if self._intake is not None and not self._intake.done():
            work.close()
            return
        self._raise_failure()
        self._intake = asyncio.create_task(work)

    def _raise_failure(self) -> None:
        intake, self._intake = self._intake, None
        if intake is not None and intake.done():
            intake.result()
        else:
            self._intake = intake

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
        commands = [
            command
            for task in self.list_held()
            for command in self._make_commands(task, now)
        ]
        # An order that is delayed on its way must not undo a later one.
        clock = self._read_remote_clock(now)
        late = clock + self._options.start_seconds
        commands += [
            attrs.evolve(order, not_after=order.not_after or late)
            for order in self._orders.values()
        ]
        return SyncRequest(scope, epoch, self._anchor.boot, tuple(commands))

    def _read_remote_clock(self, now: float) -> float:
        assert self._anchor is not None
        return self._anchor.remote + (now - self._anchor.local)

    def list_held(self) -> list[Task]:
        """Returns the tasks that are committed on the worker."""
        return [
            task
            for commitment in self.record.commitments
            if (task := self._ledger.tasks.get(commitment.rpartition('#')[0]))
            and task.worker == self.name
            and task.phase in HOLDING
        ]

    def _make_commands(self, task: Task, now: float) -> list[Command]:
        assert self._anchor is not None
        key = (task.id, task.attempt)
        # An attempt belongs to one boot of its worker. After a restart the
        # table will be told that it is over; started on the new boot, it
        # would go on there after that.
        if key in self._ending or task.boot != self._anchor.boot:
            return []
        if task.phase in STOPPING:
            return [Command(Action.STOP, task.id, task.attempt)]
        if not self._may_renew(now):
            return []
        if task.phase is Phase.STARTING:
            return self._make_start(task, now)
        lease_until = self._read_remote_clock(now) + self._options.lease_seconds
        return [
            Command(
                self._choose_renewal(task, now),
                task.id,
                task.attempt,
                lease_until=lease_until,
                not_after=lease_until,
            )
        ]

    def _make_start(self, task: Task, now: float) -> list[Command]:
        key = (task.id, task.attempt)
        if key in self._refused:
            return []
        self._starts[key] = now
        clock = self._read_remote_clock(now)
        return [
            Command(
                action=Action.START,
                task=task.id,
                attempt=task.attempt,
                lease_until=clock + self._options.lease_seconds,
                not_after=clock + self._options.start_seconds,
                demand=task.demand,
                job_class=task.job_class,
                payload=task.payload,
                resume_from=task.checkpoint,
                save_as=task.save_as,
            )
        ]

    def _may_renew(self, now: float) -> bool:
        # A store outage must not disturb running work, but a new owner that
        # cannot reach the worker waits out just this promise. A start is
        # bound by it as well: a daemon that was paused, or cut off from the
        # table, would else start what was given up long ago.
        renewed_at = self._ledger.lease.renewed_at
        return now < renewed_at + self._options.promise_seconds

    def _choose_renewal(self, task: Task, now: float) -> Action:
        # Before the promise ends each task saves what it has, once, so that
        # it resumes from there when the table is back.
        renewed_at = self._ledger.lease.renewed_at
        promise = self._options.promise_seconds
        key = (task.id, task.attempt)
        early = now < renewed_at + promise * (1 - LAST_CHECKPOINT_SHARE)
        if early or task.is_service or self._saved.get(key) == renewed_at:
            return Action.RENEW
        self._saved[key] = renewed_at
        return Action.CHECKPOINT

    async def _take_in(self, answer: SyncAnswer, sent_at: float) -> None:
        reports = {(r.task, r.attempt): r for r in answer.attempts}
        for key, report in reports.items():
            if report.checkpoint:
                self._checkpoints[key] = report.checkpoint
        moves = self._find_moves(answer, reports, sent_at)
        due = self._list_due_checkpoints(sent_at)
        if moves or due or self._has_changed(answer):
            async with self._ledger.change() as draft:
                update_worker(draft, self.name, answer)
                self._apply(draft, moves)
                self._note_checkpoints(draft, due, sent_at)
            self._on_change()
            self.wake()
        self._forget_finished(reports, sent_at)
        self._clean_up(reports)

    def _apply(
        self, draft: Draft, moves: list[tuple[str, AttemptReport]]
    ) -> None:
        # What does not fit is reported again with the next call.
        for task_id, report in moves:
            if draft.is_full:
                break
            known = self._checkpoints.get((task_id, report.attempt), '')
            checkpoint = report.checkpoint or known
            whole = attrs.evolve(report, checkpoint=checkpoint)
            apply_report(draft, task_id, whole, self.name, self._judge_failure)

    def _has_changed(self, answer: SyncAnswer) -> bool:
        record = self.record
        now = (answer.boot, answer.capacity, answer.leaving or record.leaving)
        return now != (record.boot, record.capacity, record.leaving)

    def _find_moves(
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
            if report and is_news(task, report):
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
            or key in self._ending
        )
        if gone:
            return AttemptReport(*key, AttemptState.LAPSED)
        if self._may_still_start(key, sent_at):
            return None
        if key in self._refused:
            message = 'the worker refused to start it'
            return AttemptReport(*key, AttemptState.FAILED, message=message)
        if task.phase in STOPPING:
            return AttemptReport(*key, AttemptState.LAPSED)
        return None

    def _may_still_start(self, key: AttemptKey, sent_at: float) -> bool:
        if key not in self._starts:
            return False
        limit = self._options.start_seconds * (1 + 2 * CLOCK_DRIFT)
        return sent_at <= self._starts[key] + limit

    def _forget_finished(
        self, reports: dict[AttemptKey, AttemptReport], sent_at: float
    ) -> None:
        for key, report in reports.items():
            task = self._ledger.tasks.get(key[0])
            current = task is not None and task.attempt == key[1]
            if current and task is not None and task.phase in HOLDING:
                continue
            if key[0] in self._ledger.unread:
                continue
            if report.state is AttemptState.RUNNING:
                self.send(Command(Action.STOP, *key))
            # Once forgotten, an attempt would be begun again by a copy of
            # its start that was delayed on the way.
            elif not self._may_still_start(key, sent_at):
                self.send(Command(Action.FORGET, *key))

    def _list_due_checkpoints(self, now: float) -> list[Task]:
        # Without this, progress is lost when a worker and the owner of its
        # slice are lost together; written at each report, it would be a
        # write storm.
        due = []
        for task in self.list_held():
            key = (task.id, task.attempt)
            since = self._noted.setdefault(key, now)
            known = self._checkpoints.get(key, '')
            fresh = known not in ('', task.checkpoint)
            if fresh and now - since >= NOTE_CHECKPOINT_SECONDS:
                due.append(task)
        return due

    def _note_checkpoints(
        self, draft: Draft, due: list[Task], now: float
    ) -> None:
        for task in due:
            key = (task.id, task.attempt)
            current = draft.get_task(task.id)
            if draft.is_full or current is None or current.phase not in HOLDING:
                continue
            if current.attempt == task.attempt:
                draft.set_checkpoint(current, self._checkpoints[key])
                self._noted[key] = now

    def _clean_up(self, reports: dict[AttemptKey, AttemptReport]) -> None:
        held = {(task.id, task.attempt) for task in self.list_held()}
        known = held | set(reports)
        self._ending &= held
        self._refused &= held
        for kept in (self._checkpoints, self._noted, self._saved, self._starts):
            for key in [key for key in kept if key not in known]:
                del kept[key]

    async def _give_up(self) -> None:
        held = self.list_held()
        if not held:
            return
        self._ending.update((task.id, task.attempt) for task in held)
        async with self._ledger.change() as draft:
            for task in held:
                if draft.is_full:
                    break
                report = AttemptReport(
                    task.id,
                    task.attempt,
                    AttemptState.LAPSED,
                    checkpoint=self._checkpoints.get(
                        (task.id, task.attempt), ''
                    ),
                    message='the worker is not reachable',
                )
                apply_report(
                    draft, task.id, report, self.name, self._judge_failure
                )
        self._on_change()
