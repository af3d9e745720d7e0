"""Batch work through faults: real slice managers on virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lentilmount.clock import ManualClock
from stand_ins.cell import Cell, CellOptions
from stand_ins.virtual_time import run_virtual

Scene = Callable[[Cell], Awaitable[None]]


def play(scene: Scene, options: CellOptions | None = None) -> Cell:
    """Plays a scene, lets every job end, and checks all promises."""
    clock = ManualClock()

    async def work() -> Cell:
        async with Cell(clock, options) as cell:
            await cell.wait_for_owner()
            await scene(cell)
            assert await cell.finish(), 'jobs did not end'
            assert cell.find_violations() == []
            return cell

    return run_virtual(work(), clock)


async def submit_some(cell: Cell, count: int = 6, seconds: float = 20) -> None:
    for number in range(count):
        await cell.submit(f'job-{number}', seconds)
    await asyncio.sleep(5.0)


def count_runs(cell: Cell) -> dict[str, int]:
    runs = [run.task for run in cell.list_runs()]
    return {task: runs.count(task) for task in cell.accepted}


def test_jobs_run_once_where_nothing_fails() -> None:
    cell = play(submit_some)
    assert set(count_runs(cell).values()) == {1}
