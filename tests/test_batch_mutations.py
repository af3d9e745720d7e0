"""Breaks one safeguard at a time and sees the checker name what follows.

Each scene also runs with nothing broken, and then no promise is broken.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import pytest

from lentilmount.batch import owner, reports, worker_session
from lentilmount.batch.drafts import Draft
from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.batch.states import Transition
from lentilmount.batch.worker_commands import WorkerCommands
from lentilmount.batch.worker_session import WorkerSession
from lentilmount.clock import ManualClock
from lentilmount.coordination.leases import Lease, LeaseKeeper
from lentilmount.coordination.table import (
    Check,
    Delete,
    Operation,
    UnavailableError,
)
from lentilmount.upstream.workers import AttemptState, Command, SyncRequest
from stand_ins import checker
from stand_ins.cell import Cell, CellDaemon
from stand_ins.table import MemoryTable
from stand_ins.virtual_time import run_virtual
from stand_ins.worker import Worker

Patch = pytest.MonkeyPatch


def find_place(cell: Cell) -> str:
    """Returns the worker that the newest task is committed on."""
    for daemon in cell.daemons:
        if daemon.owner:
            for task in reversed(daemon.owner.ledger.tasks.values()):
                if task.worker:
                    return task.worker
    raise AssertionError('nothing is placed')


async def hold_paused_owner(cell: Cell) -> None:
    """The owner is paused while jobs end, and wakes under another's epoch."""
    for number in range(4):
        await cell.submit(f'job-{number}', 8.0)
    await asyncio.sleep(4.0)
    old = await cell.wait_for_owner()
    old.pause()
    await asyncio.sleep(12.0)
    old.wake()
    await asyncio.sleep(30.0)


async def pause_in_commit(cell: Cell) -> None:
    """The owner is paused with a job's completion in hand."""
    await cell.submit('job', 5.0)
    await asyncio.sleep(4.0)
    old = await cell.wait_for_owner()
    old.table.faults.delay = 1.9
    while all(run.ended == 0.0 for run in cell.list_runs()):
        await asyncio.sleep(0.05)
    await asyncio.sleep(2.1)
    old.pause()
    await asyncio.sleep(12.0)
    old.wake()
    await asyncio.sleep(10.0)


async def cut_one_worker(cell: Cell) -> None:
    """A worker runs on under its leases, but no daemon reaches it."""
    for number in range(3):
        await cell.submit(f'job-{number}', 60.0)
    await asyncio.sleep(20.0)
    place = find_place(cell)
    for daemon in cell.daemons:
        daemon.workers.set_down(True, place)
    await asyncio.sleep(30.0)


async def repeat_calls(cell: Cell) -> None:
    """Each call to a worker arrives again three seconds later."""
    for daemon in cell.daemons:
        for faults in daemon.workers.faults.values():
            faults.repeat = 1.0
    for number in range(6):
        await cell.submit(f'job-{number}', 0.5)
    await asyncio.sleep(20.0)


async def cancel_while_saving(cell: Cell) -> None:
    """Full workers are told to stop, and take a second to save."""
    cell.objects.delay = 1.0
    for number in range(12):
        await cell.submit(f'job-{number}', 60.0)
    await asyncio.sleep(5.0)
    for number in range(12):
        await cell.submit(f'next-{number}', 5.0)
    for number in range(12):
        await cell.cancel(cell.accepted[number])
    await asyncio.sleep(20.0)


async def strand_start(cell: Cell) -> CellDaemon:
    """Places a job whose start never arrives; returns its cut-off owner."""
    old = await cell.wait_for_owner()
    old.workers.set_down(True)
    await cell.submit('job', 30.0)
    while not old.owner or not old.owner.count_committed():
        await asyncio.sleep(0.01)
    old.table.faults.down = True
    return old


async def cut_after_takeover(cell: Cell) -> None:
    """A new owner reaches a worker once; the old one reaches it all along."""
    await cell.submit('job', 60.0)
    await asyncio.sleep(4.0)
    old = await cell.wait_for_owner()
    old.pause()
    new = await cell.wait_for_owner(old.name)
    await asyncio.sleep(2.0)
    new.workers.set_down(True, find_place(cell))
    old.table.faults.down = True
    old.wake()
    await asyncio.sleep(40.0)


async def restart_before_start(cell: Cell) -> None:
    """A worker restarts before a start arrives, and the table is slow."""
    old = await strand_start(cell)
    place = find_place(cell)
    cell.find_worker(place).restart()
    old.table.faults.down = False
    old.table.faults.delay = 1.9
    old.workers.set_down(False)
    await asyncio.sleep(2.4)
    old.workers.set_down(True, place)
    await asyncio.sleep(12.0)


async def cut_past_promise(cell: Cell) -> None:
    """The old owner reaches one worker only, the new one all others."""
    await cell.submit('job', 150.0)
    await asyncio.sleep(4.0)
    old = await cell.wait_for_owner()
    for daemon in cell.daemons:
        daemon.workers.set_down(daemon is not old, find_place(cell))
    old.pause()
    await cell.wait_for_owner(old.name)
    old.table.faults.down = True
    old.wake()
    await asyncio.sleep(110.0)


async def finish_out_of_sight(cell: Cell) -> None:
    """A cut-off worker finishes a job that then runs elsewhere."""
    await cell.submit('job', 10.0)
    await asyncio.sleep(4.0)
    place = find_place(cell)
    for daemon in cell.daemons:
        daemon.workers.set_down(True, place)
    await asyncio.sleep(22.0)
    for daemon in cell.daemons:
        daemon.workers.set_down(False)
    await asyncio.sleep(20.0)


async def lose_the_placing(cell: Cell) -> None:
    """The table goes down while a job is being placed."""
    old = await cell.wait_for_owner()
    for daemon in cell.daemons:
        if daemon is not old:
            await daemon.kill()
    old.table.faults.delay = 0.5
    await cell.submit('job', 30.0)
    await asyncio.sleep(1.7)
    old.table.faults.down = True
    for _ in range(250):
        await asyncio.sleep(0.1)
        if old.owner and old.owner.count_committed():
            break
    await asyncio.sleep(0.5)
    old.table.faults.down = False
    for run in cell.list_runs():
        old.workers.set_down(True, run.worker)
    await asyncio.sleep(12.0)


def skip_versions(patch: Patch, partition: str) -> None:
    transact = MemoryTable.transact

    def renew(table: MemoryTable, operation: Operation) -> Operation:
        if not operation.key.partition.startswith(partition):
            return operation
        version = table._version(operation.key)
        return attrs.evolve(operation, expected=version)

    async def loose(
        table: MemoryTable, token: str, operations: list[Operation]
    ) -> None:
        present = [
            renew(table, operation)
            for operation in operations
            if not isinstance(operation, Delete | Check)
            or table._version(operation.key)
        ]
        await transact(table, token, present)

    patch.setattr(MemoryTable, 'transact', loose)


def break_slice_version(patch: Patch) -> None:
    skip_versions(patch, 'slice')


def break_all_versions(patch: Patch) -> None:
    skip_versions(patch, '')


def break_horizon(patch: Patch) -> None:
    patch.setattr(WorkerCommands, 'get_latest_expiry', lambda self, now: now)


def break_forget(patch: Patch) -> None:
    patch.setattr(WorkerCommands, 'may_still_start', lambda *_: False)


def break_commitment(patch: Patch) -> None:
    move = Draft.transition

    def release(
        self: Draft, task: Task, kind: Transition, **changes: Any
    ) -> Task:
        if kind is Transition.CANCEL and task.worker:
            self.set_worker(self.get_worker(task.worker).release(task))
        return move(self, task, kind, **changes)

    patch.setattr(Draft, 'transition', release)


def break_epoch(patch: Patch) -> None:
    sync = Worker.sync

    def trust(self: Worker, request: SyncRequest) -> Any:
        return sync(self, attrs.evolve(request, epoch=10**9))

    patch.setattr(Worker, 'sync', trust)


def break_boot(patch: Patch) -> None:
    make = WorkerCommands._make_commands

    def ignore(self: WorkerCommands, task: Task, now: float) -> list[Command]:
        assert self.clock_sample is not None
        known = attrs.evolve(task, boot=self.clock_sample.boot)
        return make(self, known, now)

    patch.setattr(WorkerCommands, '_make_commands', ignore)


def break_promise(patch: Patch) -> None:
    patch.setattr(WorkerCommands, '_may_renew', lambda *_: True)


def break_attempt(patch: Patch) -> None:
    find, apply = WorkerSession._find_transitions, reports.apply_report

    def find_any(
        self: WorkerSession, answer: Any, known: Any, at: float
    ) -> Any:
        late = [
            (report.task, report)
            for report in answer.attempts
            if report.state is AttemptState.FINISHED
        ]
        return find(self, answer, known, at) + late

    def apply_any(draft: Draft, name: str, report: Any, *more: Any) -> None:
        task = draft.get_task(name)
        if task is not None:
            report = attrs.evolve(report, attempt=task.attempt)
            apply(draft, name, report, task.worker, *more[1:])

    patch.setattr(WorkerSession, '_find_transitions', find_any)
    patch.setattr(worker_session, 'apply_report', apply_any)


def break_unknown_write(patch: Patch) -> None:
    renew = LeaseKeeper.renew

    async def guess(self: LeaseKeeper, lease: Lease, *args: Any) -> None:
        try:
            await renew(self, lease, *args)
        except UnavailableError:
            lease.version += 1

    patch.setattr(LeaseKeeper, 'renew', guess)


def break_room(patch: Patch) -> None:
    patch.setattr(WorkerRecord, 'free', property(lambda w: w.capacity))


def break_admission(patch: Patch) -> None:
    patch.setattr(owner.Owner, '_admit', lambda *_: None)


CASES = {
    'slice version': (
        break_slice_version,
        hold_paused_owner,
        checker.FENCED,
    ),
    'versions': (break_all_versions, pause_in_commit, checker.ONCE),
    'horizon': (break_horizon, cut_one_worker, checker.ONE_PLACE),
    'forget': (break_forget, repeat_calls, checker.ONE_RUN),
    'commitment': (break_commitment, cancel_while_saving, checker.ROOM),
    'epoch': (break_epoch, cut_after_takeover, checker.ONE_PLACE),
    'boot': (break_boot, restart_before_start, checker.ONE_PLACE),
    'promise': (break_promise, cut_past_promise, checker.ONE_PLACE),
    'attempt': (break_attempt, finish_out_of_sight, checker.TRUE),
    'unknown write': (
        break_unknown_write,
        lose_the_placing,
        checker.ONE_PLACE,
    ),
    'room': (break_room, cancel_while_saving, checker.ROOM),
    'admission': (break_admission, repeat_calls, checker.KEPT),
}


def play(scene: Callable[[Cell], Awaitable[Any]]) -> set[str]:
    clock = ManualClock()

    async def work() -> set[str]:
        async with Cell(clock) as cell:
            await cell.wait_for_owner()
            await scene(cell)
            return {v.promise for v in cell.find_violations()}

    return run_virtual(work(), clock)


@pytest.mark.parametrize(
    'scene', dict.fromkeys(case[1] for case in CASES.values())
)
def test_a_whole_system_keeps_every_promise(
    scene: Callable[[Cell], Awaitable[Any]],
) -> None:
    assert play(scene) == set()


@pytest.mark.parametrize('case', CASES)
def test_a_broken_safeguard_is_named(
    case: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    breaks, scene, promise = CASES[case]
    breaks(monkeypatch)
    assert promise in play(scene)
