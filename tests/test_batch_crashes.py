"""Tests of batch tasks that crash the workers that start them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from lentilmount.batch.crashes import Survival
from lentilmount.batch.starts import Starts
from lentilmount.clock import ManualClock
from lentilmount.resources import Phase
from lentilmount.upstream.workers import (
    Action,
    AttemptReport,
    AttemptState,
    Command,
    Outcome,
)
from stand_ins.cell import Cell, CellDaemon, CellOptions
from stand_ins.virtual_time import run_virtual

SOON = pytest.mark.parametrize('crash_after', [0.0, 0.5])


def run_scenario(
    scenario: Callable[[Cell], Awaitable[None]], workers: int = 6
) -> Cell:
    """Runs a scenario, waits for all jobs and checks all guarantees."""
    clock = ManualClock()

    async def work() -> Cell:
        async with Cell(clock, CellOptions(workers=workers)) as cell:
            await cell.wait_for_owner()
            await scenario(cell)
            assert await cell.finish(), 'jobs did not end'
            assert cell.find_violations() == []
            return cell

    return run_virtual(work(), clock)


def read_attempt(daemon: CellDaemon, task: str) -> int:
    """Returns the number of a task's last attempt, one more if that ended."""
    known = daemon.owner.ledger.tasks.get(task) if daemon.owner else None
    if known is None:
        return 0
    return known.attempt + (known.phase is Phase.PENDING)


def count_runs(cell: Cell, task: str) -> int:
    return sum(run.task == task for run in cell.list_runs())


@SOON
@pytest.mark.parametrize('restart_seconds', [0.5, 5.0, 40.0])
def test_a_task_that_crashes_its_workers_is_given_up(
    crash_after: float, restart_seconds: float
) -> None:
    """A task crashed one worker after the other, without end.

    The loss of an attempt with its worker was taken for an eviction.
    """

    async def scenario(cell: Cell) -> None:
        for worker in cell.workers:
            worker.options.restart_seconds = restart_seconds
        await cell.submit('bad', crash_after=crash_after)

    cell = run_scenario(scenario)
    (bad,) = cell.accepted
    done = cell.read_done(bad)
    assert done.phase is Phase.FAILED
    assert 'crashed 3 workers' in done.reason
    assert count_runs(cell, bad) == 3
    assert len({run.worker for run in cell.list_runs()}) == 3


@pytest.mark.parametrize('is_recorded', [True, False])
def test_the_crashes_of_a_task_are_counted_across_owners(
    is_recorded: bool,
) -> None:
    """With a new owner a task that crashes its workers began anew.

    The owner ends after it has recorded a crash, or before.
    """

    async def scenario(cell: Cell) -> None:
        bad = await cell.submit('bad', crash_after=0.0)
        for crashes in (1, 2):
            while count_runs(cell, bad) < crashes:
                await asyncio.sleep(0.1)
            old = await cell.wait_for_owner()
            while is_recorded and read_attempt(old, bad) <= crashes:
                await asyncio.sleep(0.1)
            cell.add_daemon()
            await old.kill()

    cell = run_scenario(scenario)
    assert cell.read_done(cell.accepted[0]).phase is Phase.FAILED
    assert count_runs(cell, cell.accepted[0]) == 3


@SOON
def test_tasks_beside_one_that_crashes_its_workers_complete(
    crash_after: float,
) -> None:
    """Tasks that started together with one that crashes workers were blamed.

    After a crash all tasks of the worker are pending at the same time, so they
    were placed together again.
    """

    async def scenario(cell: Cell) -> None:
        for number in range(8):
            await cell.submit(f'old-{number}', 60.0)
        await asyncio.sleep(10.0)
        await cell.submit('bad', crash_after=crash_after)
        for number in range(8):
            await cell.submit(f'young-{number}', 20.0)

    cell = run_scenario(scenario)
    phases = {task: cell.read_done(task).phase for task in cell.accepted}
    failed = [t for t, phase in phases.items() if phase is Phase.FAILED]
    assert failed == ['Job/crew/bad/0']
    assert set(phases.values()) == {Phase.FAILED, Phase.COMPLETED}
    assert count_runs(cell, failed[0]) == 3


def test_a_task_that_runs_for_a_while_is_not_given_up() -> None:
    """A task was blamed for crashes of workers on which it had run for long."""

    async def scenario(cell: Cell) -> None:
        task = await cell.submit('job', 60.0)
        for crashes in range(1, 5):
            while count_runs(cell, task) < crashes:
                await asyncio.sleep(0.1)
            await asyncio.sleep(6.0)
            run = cell.list_runs()[-1]
            running = next(r for r in cell.list_runs() if not r.ended)
            assert run.task == task
            cell.find_worker(running.worker).crash()

    cell = run_scenario(scenario)
    assert cell.read_done(cell.accepted[0]).phase is Phase.COMPLETED
    assert count_runs(cell, cell.accepted[0]) == 5


@pytest.mark.parametrize('seconds', [0.0, 0.4, 0.8, 1.2, 1.6])
def test_a_task_is_not_blamed_for_an_earlier_crash(seconds: float) -> None:
    """A task was blamed for the crash of a worker that was already down.

    An idle worker is called each two seconds, and its crash is noticed then.
    """

    async def scenario(cell: Cell) -> None:
        await asyncio.sleep(4.0 + seconds)
        cell.workers[0].crash()
        await cell.submit('job', 10.0)

    cell = run_scenario(scenario, workers=1)
    rows = [
        write['body']
        for write in cell.list_history()
        if write['partition'].startswith('task/') and write['body']
    ]
    assert {tuple(row['failed_on']) for row in rows} == {()}


def test_a_task_that_must_start_alone_starts_among_many_others() -> None:
    """A task that had to start alone waited while others started everywhere."""

    async def scenario(cell: Cell) -> None:
        task = await cell.submit('job', 10.0)
        for crashes in (1, 2):
            while count_runs(cell, task) < crashes:
                await asyncio.sleep(0.1)
            run = next(run for run in cell.list_runs() if not run.ended)
            if crashes == 2:
                for number in range(200):
                    await cell.submit(f'other-{number}', 3 + number % 5 / 2)
            cell.find_worker(run.worker).crash()
        while task not in cell.list_done():
            await asyncio.sleep(0.5)
        assert len(cell.list_done()) < 100

    cell = run_scenario(scenario, workers=3)
    assert cell.read_done(cell.accepted[0]).phase is Phase.COMPLETED


def test_a_task_that_crashes_the_only_worker_is_given_up() -> None:
    """A task crashed the only worker without end, or failed after one crash."""

    async def scenario(cell: Cell) -> None:
        await cell.submit('bad', crash_after=0.0)

    cell = run_scenario(scenario, workers=1)
    assert cell.read_done(cell.accepted[0]).phase is Phase.FAILED
    assert count_runs(cell, cell.accepted[0]) == 3


KEY = ('Job/crew/job/0', 1)
START = Command(Action.START, *KEY)


@pytest.mark.parametrize(
    ('outcomes', 'survival'),
    [
        ((), Survival.CRASHED),
        ((Outcome.DONE,), Survival.CRASHED),
        ((Outcome.FENCED,), Survival.UNKNOWN),
        ((Outcome.LATE,), Survival.UNKNOWN),
        ((Outcome.REFUSED,), Survival.UNKNOWN),
    ],
)
def test_a_start_without_effect_crashed_no_worker(
    outcomes: tuple[Outcome, ...], survival: Survival
) -> None:
    """A task was blamed for a crash before its start reached the worker."""
    starts = Starts()
    starts.record_sent([START])
    starts.record_outcomes([START], outcomes)
    assert starts.judge(KEY, is_worker_lost=True) is survival
    assert starts.judge(KEY, is_worker_lost=False) is Survival.UNKNOWN


def test_a_start_without_an_answer_may_have_had_an_effect() -> None:
    """A repeated start was late, but the first one had crashed the worker."""
    starts = Starts()
    starts.record_sent([START])
    starts.record_sent([START])
    starts.record_outcomes([START], [Outcome.LATE])
    assert starts.judge(KEY, is_worker_lost=True) is Survival.CRASHED


@pytest.mark.parametrize(
    ('seconds', 'survival'),
    [(0.9, Survival.CRASHED), (1.0, Survival.SURVIVED)],
)
def test_an_attempt_that_was_reported_for_a_while_is_not_blamed(
    seconds: float, survival: Survival
) -> None:
    """A task was blamed for a crash long after its start."""
    starts = Starts()
    starts.record_sent([START])
    for now in (5.0, 5.0 + seconds):
        report = AttemptReport(*KEY, AttemptState.RUNNING)
        starts.record_reports([report], now)
    assert starts.judge(KEY, is_worker_lost=True) is survival
