"""Disables one safeguard at a time and expects the checker to detect it.

Each scenario also runs with all safeguards, and then no guarantee is violated.
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
from lentilmount.batch.worker_state import WorkerState
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


def find_committed_worker(cell: Cell) -> str:
    """Returns the worker that the newest task is committed on."""
    for daemon in cell.daemons:
        if daemon.owner:
            for task in reversed(daemon.owner.ledger.tasks.values()):
                if task.worker:
                    return task.worker
    raise AssertionError('nothing is placed')


async def resume_paused_owner(cell: Cell) -> None:
    """The owner is paused while jobs end, and resumes after a takeover."""
    for number in range(4):
        await cell.submit(f'job-{number}', 8.0)
    await asyncio.sleep(4.0)
    old = await cell.wait_for_owner()
    old.pause()
    await asyncio.sleep(12.0)
    old.wake()
    await asyncio.sleep(30.0)


async def pause_in_commit(cell: Cell) -> None:
    """The owner is paused while it writes a job's completion."""
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


async def isolate_one_worker(cell: Cell) -> None:
    """A worker keeps running its leased tasks, but no daemon can reach it."""
    for number in range(3):
        await cell.submit(f'job-{number}', 60.0)
    await asyncio.sleep(20.0)
    place = find_committed_worker(cell)
    for daemon in cell.daemons:
        daemon.workers.set_down(True, place)
    await asyncio.sleep(30.0)


async def repeat_calls(cell: Cell) -> None:
    """Each call to a worker is delivered again three seconds later."""
    for daemon in cell.daemons:
        for faults in daemon.workers.faults.values():
            faults.repeat = 1.0
    for number in range(6):
        await cell.submit(f'job-{number}', 0.5)
    await asyncio.sleep(20.0)


async def cancel_while_saving(cell: Cell) -> None:
    """Tasks on full workers are cancelled and take a second to save."""
    cell.objects.delay = 1.0
    for number in range(12):
        await cell.submit(f'job-{number}', 60.0)
    await asyncio.sleep(5.0)
    for number in range(12):
        await cell.submit(f'next-{number}', 5.0)
    for number in range(12):
        await cell.cancel(cell.accepted[number])
    await asyncio.sleep(20.0)


async def lose_start(cell: Cell) -> CellDaemon:
    """Places a job whose start command is lost; returns its isolated owner."""
    old = await cell.wait_for_owner()
    old.workers.set_down(True)
    await cell.submit('job', 30.0)
    while not old.owner or not old.owner.count_committed():
        await asyncio.sleep(0.01)
    old.table.faults.down = True
    return old


async def isolate_worker_after_takeover(cell: Cell) -> None:
    """The new owner reaches a worker only briefly, the old one always."""
    await cell.submit('job', 60.0)
    await asyncio.sleep(4.0)
    old = await cell.wait_for_owner()
    old.pause()
    new = await cell.wait_for_owner(old.name)
    await asyncio.sleep(2.0)
    new.workers.set_down(True, find_committed_worker(cell))
    old.table.faults.down = True
    old.wake()
    await asyncio.sleep(40.0)


async def restart_before_start(cell: Cell) -> None:
    """A worker restarts before a start command arrives; the table is slow."""
    old = await lose_start(cell)
    place = find_committed_worker(cell)
    cell.find_worker(place).restart()
    old.table.faults.down = False
    old.table.faults.delay = 1.9
    old.workers.set_down(False)
    await asyncio.sleep(2.4)
    old.workers.set_down(True, place)
    await asyncio.sleep(12.0)


async def restart_with_start_in_flight(cell: Cell) -> None:
    """A worker restarts while a copy of a start command is in flight.

    The copy arrives when the owner has seen the restart and has placed the
    task again. Its deadline is a time of the old clock and lies ahead on the
    new one.
    """
    await asyncio.sleep(10.0)
    for daemon in cell.daemons:
        for faults in daemon.workers.faults.values():
            faults.repeat, faults.repeat_seconds = 1.0, 6.0
    task = await cell.submit('job', 30.0)
    while not cell.list_runs():
        await asyncio.sleep(0.01)
    cell.find_worker(find_committed_worker(cell)).restart()
    while [run.task for run in cell.list_runs()] != [task] * 2:
        await asyncio.sleep(0.1)
    await asyncio.sleep(10.0)


async def isolate_worker_past_promise(cell: Cell) -> None:
    """The old owner reaches only one worker, the new one only the others."""
    await cell.submit('job', 150.0)
    await asyncio.sleep(4.0)
    old = await cell.wait_for_owner()
    for daemon in cell.daemons:
        daemon.workers.set_down(daemon is not old, find_committed_worker(cell))
    old.pause()
    await cell.wait_for_owner(old.name)
    old.table.faults.down = True
    old.wake()
    await asyncio.sleep(110.0)


async def finish_while_unreachable(cell: Cell) -> None:
    """An unreachable worker finishes a job that is then placed elsewhere."""
    await cell.submit('job', 10.0)
    await asyncio.sleep(4.0)
    place = find_committed_worker(cell)
    for daemon in cell.daemons:
        daemon.workers.set_down(True, place)
    await asyncio.sleep(22.0)
    for daemon in cell.daemons:
        daemon.workers.set_down(False)
    await asyncio.sleep(20.0)


async def lose_table_while_placing(cell: Cell) -> None:
    """The table becomes unavailable while a job is being placed."""
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


def break_lease_expiry(patch: Patch) -> None:
    patch.setattr(WorkerCommands, 'get_latest_expiry', lambda self, now: now)


def break_forget(patch: Patch) -> None:
    patch.setattr(WorkerCommands, 'may_still_start', lambda *_: False)


def break_commitment(patch: Patch) -> None:
    transition = Draft.transition

    def release(
        self: Draft, task: Task, kind: Transition, **changes: Any
    ) -> Task:
        if kind is Transition.CANCEL and task.worker:
            self.set_worker(self.get_worker(task.worker).release(task))
        return transition(self, task, kind, **changes)

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


def break_request_boot(patch: Patch) -> None:
    make = WorkerState.make_request

    def omit(self: WorkerState, *args: Any) -> SyncRequest:
        return attrs.evolve(make(self, *args), boot='')

    patch.setattr(WorkerState, 'make_request', omit)


def break_offline_renewal(patch: Patch) -> None:
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


def break_unknown_outcome(patch: Patch) -> None:
    renew = LeaseKeeper.renew

    async def guess(self: LeaseKeeper, lease: Lease, *args: Any) -> None:
        try:
            await renew(self, lease, *args)
        except UnavailableError:
            lease.version += 1

    patch.setattr(LeaseKeeper, 'renew', guess)


def break_capacity(patch: Patch) -> None:
    patch.setattr(WorkerRecord, 'free', property(lambda w: w.capacity))


def break_admission(patch: Patch) -> None:
    patch.setattr(owner.Owner, '_admit', lambda *_: None)


CASES = {
    'slice version': (
        break_slice_version,
        resume_paused_owner,
        checker.NO_STALE_WRITE,
    ),
    'versions': (break_all_versions, pause_in_commit, checker.COMPLETED_ONCE),
    'horizon': (
        break_lease_expiry,
        isolate_one_worker,
        checker.NO_CONCURRENT_RUNS,
    ),
    'forget': (break_forget, repeat_calls, checker.NO_REPEATED_ATTEMPT),
    'commitment': (
        break_commitment,
        cancel_while_saving,
        checker.NO_OVERCOMMIT,
    ),
    'epoch': (
        break_epoch,
        isolate_worker_after_takeover,
        checker.NO_CONCURRENT_RUNS,
    ),
    'boot': (break_boot, restart_before_start, checker.NO_CONCURRENT_RUNS),
    'boot of a request': (
        break_request_boot,
        restart_with_start_in_flight,
        checker.NO_CONCURRENT_RUNS,
    ),
    'promise': (
        break_offline_renewal,
        isolate_worker_past_promise,
        checker.NO_CONCURRENT_RUNS,
    ),
    'attempt': (
        break_attempt,
        finish_while_unreachable,
        checker.NO_FALSE_COMPLETION,
    ),
    'unknown write': (
        break_unknown_outcome,
        lose_table_while_placing,
        checker.NO_CONCURRENT_RUNS,
    ),
    'room': (break_capacity, cancel_while_saving, checker.NO_OVERCOMMIT),
    'admission': (break_admission, repeat_calls, checker.NO_LOST_JOB),
}


def run_scenario(scenario: Callable[[Cell], Awaitable[Any]]) -> set[str]:
    clock = ManualClock()

    async def work() -> set[str]:
        async with Cell(clock) as cell:
            await cell.wait_for_owner()
            await scenario(cell)
            return {v.invariant for v in cell.find_violations()}

    return run_virtual(work(), clock)


@pytest.mark.parametrize(
    'scenario', dict.fromkeys(case[1] for case in CASES.values())
)
def test_an_unmodified_system_violates_no_guarantee(
    scenario: Callable[[Cell], Awaitable[Any]],
) -> None:
    assert run_scenario(scenario) == set()


@pytest.mark.parametrize('case', CASES)
def test_a_disabled_safeguard_is_detected(
    case: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    breaks, scenario, promise = CASES[case]
    breaks(monkeypatch)
    assert promise in run_scenario(scenario)
