"""Tests of starts on workers whose capacity changes while they run."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from lentilmount.clock import ManualClock
from lentilmount.resources import Phase, Room
from stand_ins.cell import Cell, CellOptions
from stand_ins.virtual_time import run_virtual

LARGE = Room(4.0, 16_000, 0)
SMALL = Room(2.0, 16_000, 0)


def set_capacity(cell: Cell, capacity: Room) -> None:
    for worker in cell.workers:
        worker.options.capacity = capacity


def run_scenario(
    scenario: Callable[[Cell], Awaitable[None]], workers: int = 1
) -> Cell:
    """Runs a scenario, waits for all jobs and checks the starts."""
    clock = ManualClock()

    async def work() -> Cell:
        options = CellOptions(workers=workers, daemons=1, capacity=LARGE)
        async with Cell(clock, options) as cell:
            await cell.wait_for_owner()
            await scenario(cell)
            assert await cell.finish(), 'jobs did not end'
            assert [w.overcommits for w in cell.workers] == [[]] * workers
            return cell

    return run_virtual(work(), clock)


@pytest.mark.parametrize('seconds', [0.5, 2.0])
def test_a_task_is_not_started_over_a_capacity_that_shrank(
    seconds: float,
) -> None:
    """Tasks were started on a worker that had shown that it had shrunk.

    Its row still had the former capacity, since the table was slow.
    """

    async def scenario(cell: Cell) -> None:
        await cell.submit('long', 30.0, cores=2.0)
        await asyncio.sleep(5.0)
        cell.daemons[0].table.faults.delay = 1.9
        set_capacity(cell, SMALL)
        await asyncio.sleep(seconds)
        await cell.submit('next', 5.0, cores=2.0)
        await asyncio.sleep(15.0)
        cell.daemons[0].table.faults.delay = 0.002

    cell = run_scenario(scenario)
    assert [run.state for run in cell.list_runs()] == ['finished'] * 2


@pytest.mark.parametrize('seconds', [0.3, 0.6, 0.9, 1.2, 1.5, 1.8])
def test_a_task_is_not_started_over_a_capacity_not_yet_shown(
    seconds: float,
) -> None:
    """A task was started on a worker that had shrunk since its last answer.

    An idle worker is called each two seconds.
    """

    async def scenario(cell: Cell) -> None:
        await cell.submit('long', 30.0, cores=2.0)
        await asyncio.sleep(5.0)
        await cell.submit('next', 5.0, cores=2.0)
        set_capacity(cell, SMALL)

    async def shrink_between_calls(cell: Cell) -> None:
        await asyncio.sleep(seconds)
        await scenario(cell)

    run_scenario(shrink_between_calls)


@pytest.mark.parametrize('seconds', [0.05, 0.15, 0.25, 0.4])
def test_a_task_that_is_being_stopped_counts(seconds: float) -> None:
    """A task was started beside one that was still saving its checkpoint."""

    async def scenario(cell: Cell) -> None:
        cell.objects.delay = 3.0
        first = await cell.submit('first', 60.0, cores=2.0)
        await asyncio.sleep(5.0)
        await cell.cancel(first)
        await asyncio.sleep(seconds)
        set_capacity(cell, SMALL)
        await cell.submit('next', 5.0, cores=2.0)

    cell = run_scenario(scenario)
    assert sorted(run.state for run in cell.list_runs()) == [
        'finished',
        'stopped',
    ]


def test_capacity_that_grows_is_used() -> None:
    """A worker that had grown got no more tasks than before."""

    async def scenario(cell: Cell) -> None:
        set_capacity(cell, SMALL)
        await asyncio.sleep(5.0)
        for number in range(4):
            await cell.submit(f'job-{number}', 30.0, cores=1.0)
        await asyncio.sleep(5.0)
        assert len(cell.list_runs()) == 2
        set_capacity(cell, LARGE)
        await asyncio.sleep(5.0)
        assert len(cell.list_runs()) == 4

    run_scenario(scenario)


def test_a_job_waits_for_a_worker_that_has_shrunk() -> None:
    """A job was refused for ever, since all workers had shrunk for a while."""

    async def scenario(cell: Cell) -> None:
        await asyncio.sleep(5.0)
        set_capacity(cell, SMALL)
        await asyncio.sleep(10.0)
        task = await cell.submit('large', 5.0, cores=3.0)
        await asyncio.sleep(20.0)
        assert cell.list_done() == []
        old = await cell.wait_for_owner()
        cell.add_daemon()
        await old.kill()
        await asyncio.sleep(20.0)
        assert cell.list_done() == []
        set_capacity(cell, LARGE)
        assert await cell.finish(30.0)
        assert cell.read_done(task).phase is Phase.COMPLETED

    run_scenario(scenario)


def test_a_job_larger_than_all_workers_since_their_boot_is_refused() -> None:
    """A job waited for a worker that had become smaller with its restart."""

    async def scenario(cell: Cell) -> None:
        await asyncio.sleep(5.0)
        set_capacity(cell, SMALL)
        for worker in cell.workers:
            worker.restart()
        await asyncio.sleep(5.0)
        task = await cell.submit('large', 5.0, cores=3.0)
        assert await cell.finish(30.0)
        assert cell.read_done(task).phase is Phase.REFUSED

    run_scenario(scenario)
