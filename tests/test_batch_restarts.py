"""Tests of what an owner remembers of a worker that restarts."""

from __future__ import annotations

import asyncio

from lentilmount.batch.worker_state import WorkerState
from lentilmount.clock import ManualClock
from lentilmount.resources import Room
from lentilmount.upstream.workers import (
    AttemptReport,
    AttemptState,
    SyncAnswer,
)
from stand_ins.cell import Cell
from stand_ins.virtual_time import run_virtual


def test_a_version_of_one_boot_is_not_taken_for_one_of_the_next() -> None:
    """A worker that restarted seemed to run the attempts from before.

    Each boot numbers the versions of its attempts anew.
    """
    report = AttemptReport('Job/crew/job/0', 1, AttemptState.RUNNING)
    first = SyncAnswer('b1', 9.0, Room(), attempts=(report,), version=2)
    state = WorkerState(0.0)
    state.add_omitted_attempts(first)
    same_boot = SyncAnswer('b1', 10.0, Room(), version=2)
    assert state.add_omitted_attempts(same_boot).attempts == (report,)
    next_boot = SyncAnswer('b2', 1.0, Room(), version=2)
    assert state.add_omitted_attempts(next_boot).attempts == ()
    request = state.make_request('a/0', 1, (), 20.0, 11.0)
    assert (request.boot, request.seen) == ('b2', 2)


def test_a_restart_to_the_same_version_is_noticed() -> None:
    """An idle worker restarted, and tasks placed there never started.

    Its new boot had the version that the owner had seen of the former one, so
    the call seemed to have changed nothing.
    """
    clock = ManualClock()

    async def work() -> None:
        async with Cell(clock) as cell:
            daemon = await cell.wait_for_owner()
            await asyncio.sleep(5.0)
            for worker in cell.workers:
                worker.restart()
            await asyncio.sleep(5.0)
            assert daemon.owner
            records = daemon.owner.ledger.workers
            for worker in cell.workers:
                assert records[worker.options.name].boot == worker.boot
            await cell.submit('job', 2.0)
            assert await cell.finish(10.0)
            assert [run.attempt for run in cell.list_runs()] == [1]
            assert cell.find_violations() == []

    run_virtual(work(), clock)
