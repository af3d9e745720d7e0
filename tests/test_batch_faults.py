"""Tests of batch scheduling under faults, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lentilmount.batch.worker_commands import SessionOptions
from lentilmount.clock import ManualClock
from stand_ins.cell import Cell, CellOptions
from stand_ins.virtual_time import run_virtual

Scenario = Callable[[Cell], Awaitable[None]]


def run_scenario(
    scenario: Scenario, options: CellOptions | None = None
) -> Cell:
    """Runs a scenario, waits for all jobs and checks all guarantees."""
    clock = ManualClock()

    async def work() -> Cell:
        async with Cell(clock, options) as cell:
            await cell.wait_for_owner()
            await scenario(cell)
            assert await cell.finish(), 'jobs did not end'
            assert cell.find_violations() == []
            return cell

    return run_virtual(work(), clock)


async def submit_jobs(cell: Cell, count: int = 6, seconds: float = 20) -> None:
    for number in range(count):
        await cell.submit(f'job-{number}', seconds)
    await asyncio.sleep(5.0)


def count_runs(cell: Cell) -> dict[str, int]:
    runs = [run.task for run in cell.list_runs()]
    return {task: runs.count(task) for task in cell.accepted}


def test_jobs_run_once_where_nothing_fails() -> None:
    cell = run_scenario(submit_jobs)
    assert set(count_runs(cell).values()) == {1}


def test_a_paused_owner_resumes_after_its_lease() -> None:
    """An owner that resumed after its lease had ended ran jobs twice."""

    async def scenario(cell: Cell) -> None:
        await submit_jobs(cell)
        old = await cell.wait_for_owner()
        old.pause()
        await cell.wait_for_owner(old.name)
        await asyncio.sleep(8.0)
        old.wake()

    assert set(count_runs(run_scenario(scenario)).values()) == {1}


def test_every_daemon_is_replaced_at_once() -> None:
    """Replacing all daemons at once restarted running tasks."""

    async def scenario(cell: Cell) -> None:
        await submit_jobs(cell)
        for daemon in list(cell.daemons):
            await daemon.kill()
        cell.add_daemon()
        cell.add_daemon()

    assert set(count_runs(run_scenario(scenario)).values()) == {1}


def test_an_owner_cut_off_from_the_table_is_replaced() -> None:
    """An owner cut off from the table kept acting after its replacement."""

    async def scenario(cell: Cell) -> None:
        await submit_jobs(cell)
        old = await cell.wait_for_owner()
        old.table.faults.down = True
        old.pause()
        await cell.wait_for_owner(old.name)
        old.wake()
        await asyncio.sleep(10.0)
        old.table.faults.down = False

    assert set(count_runs(run_scenario(scenario)).values()) == {1}


def test_a_partitioned_zone_keeps_its_tasks_during_offline_renewal() -> None:
    """A partition restarted tasks too early, or ran them twice at once."""

    def partition(seconds: float) -> Scenario:
        async def scenario(cell: Cell) -> None:
            await submit_jobs(cell, seconds=200.0)
            old = await cell.wait_for_owner()
            (new,) = [d for d in cell.daemons if d is not old]
            new.workers.set_down(True)
            old.pause()
            while not new.owner:
                await asyncio.sleep(0.1)
            old.table.faults.down = True
            old.wake()
            await asyncio.sleep(seconds)
            new.workers.set_down(False)
            old.table.faults.down = False

        return scenario

    assert set(count_runs(run_scenario(partition(50.0))).values()) == {1}
    assert set(count_runs(run_scenario(partition(100.0))).values()) == {2}


def test_a_graceful_stop_withdraws_offline_renewal() -> None:
    """After a graceful stop the next owner waited for the old renewals."""

    async def scenario(cell: Cell) -> None:
        task = await cell.submit('job', 200.0)
        await asyncio.sleep(90.0)
        old = await cell.wait_for_owner()
        (new,) = [d for d in cell.daemons if d is not old]
        new.workers.set_down(True, cell.list_runs()[0].worker)
        old.membership.stop()
        old.manager.stop()
        await asyncio.sleep(30.0)
        assert new.owner
        assert new.owner.ledger.tasks[task].attempt == 2
        new.workers.set_down(False)

    run_scenario(scenario)


def test_a_paused_worker_is_replaced_and_resumes() -> None:
    """A worker that resumed kept running tasks that were placed elsewhere."""

    async def scenario(cell: Cell) -> None:
        await submit_jobs(cell, seconds=60.0)
        cell.workers[0].paused = True
        await asyncio.sleep(40.0)
        cell.workers[0].paused = False

    counts = count_runs(run_scenario(scenario))
    assert sorted(set(counts.values())) == [1, 2]


def test_tasks_of_a_lost_rack_resume_on_other_racks() -> None:
    """Work up to the checkpoints was repeated after the loss of a rack."""

    async def scenario(cell: Cell) -> None:
        await submit_jobs(cell, 4, seconds=60.0)
        await asyncio.sleep(20.0)
        for worker in cell.workers[:2]:
            worker.restart()
            worker.paused = True
        await asyncio.sleep(60.0)
        for worker in cell.workers[:2]:
            worker.paused = False

    cell = run_scenario(scenario)
    for task in cell.accepted:
        runs = [run for run in cell.list_runs() if run.task == task]
        assert sum(run.ended - run.began for run in runs) < 65.0


def test_starts_and_stops_are_delayed_and_repeated() -> None:
    """A delayed copy of a start command restarted an attempt that had ended."""

    async def scenario(cell: Cell) -> None:
        for daemon in cell.daemons:
            for faults in daemon.workers.faults.values():
                faults.lose = 0.3
                faults.repeat = 0.5
        await submit_jobs(cell, 12, seconds=3.0)
        for number in range(0, 12, 2):
            await cell.cancel(cell.accepted[number])
        await asyncio.sleep(20.0)

    counts = count_runs(run_scenario(scenario))
    assert max(counts.values()) == 1


def test_the_table_loses_answers_and_writes_late() -> None:
    """A write of unknown outcome completed a job twice."""

    async def scenario(cell: Cell) -> None:
        for daemon in cell.daemons:
            daemon.table.faults.lose = 0.3
        await submit_jobs(cell, 8, seconds=5.0)
        for _ in range(4):
            for daemon in cell.daemons:
                daemon.table.faults.late = 1.5
                daemon.table.faults.down = True
            await asyncio.sleep(4.0)
            for daemon in cell.daemons:
                daemon.table.faults.down = False
            await asyncio.sleep(4.0)

    run_scenario(scenario)


def test_a_ten_minute_table_outage_keeps_tasks_running() -> None:
    """A table outage within the offline renewal time stopped running tasks."""

    async def scenario(cell: Cell) -> None:
        await submit_jobs(cell, 4, seconds=300.0)
        for daemon in cell.daemons:
            daemon.table.faults.down = True
        await cell.submit('later', 5.0)
        await asyncio.sleep(600.0)
        assert len(cell.list_runs()) == 4
        for daemon in cell.daemons:
            daemon.table.faults.down = False

    sessions = SessionOptions(offline_renewal_seconds=660.0)
    cell = run_scenario(
        scenario, CellOptions(sessions=sessions, tick_seconds=1.0)
    )
    assert set(count_runs(cell).values()) == {1}


def test_a_table_outage_beyond_offline_renewal_ends_in_checkpoints() -> None:
    """A table outage beyond the offline renewal time lost work."""

    async def scenario(cell: Cell) -> None:
        await submit_jobs(cell, 4, seconds=150.0)
        for daemon in cell.daemons:
            daemon.table.faults.down = True
        await asyncio.sleep(120.0)
        for daemon in cell.daemons:
            daemon.table.faults.down = False

    cell = run_scenario(scenario)
    assert set(count_runs(cell).values()) == {2}
    spent = sum(run.ended - run.began for run in cell.list_runs())
    assert spent < 4 * 152.0


def test_a_slow_table_delays_only_new_jobs() -> None:
    """With a table delay of 1.5 s leases were not renewed in time."""

    async def scenario(cell: Cell) -> None:
        await submit_jobs(cell, 3, seconds=40.0)
        for daemon in cell.daemons:
            daemon.table.faults.delay = 1.5
        await submit_more_jobs(cell)
        await asyncio.sleep(60.0)

    assert set(count_runs(run_scenario(scenario)).values()) == {1}


async def submit_more_jobs(cell: Cell) -> None:
    for number in range(3):
        await cell.submit(f'more-{number}', 5.0)


def test_clocks_run_at_different_rates() -> None:
    """With clock drift a task ran on after its lease counted as expired."""

    async def scenario(cell: Cell) -> None:
        await submit_jobs(cell, 9, seconds=90.0)
        for daemon in cell.daemons:
            daemon.workers.set_down(True, 'a-000', 'a-001')
        await asyncio.sleep(40.0)
        for daemon in cell.daemons:
            daemon.workers.set_down(False)

    run_scenario(scenario, CellOptions(clock_rates=(1.005, 0.995, 1.0)))


def test_the_object_store_is_down() -> None:
    """Without the object store tasks restarted from scratch or lost output."""

    async def scenario(cell: Cell) -> None:
        await submit_jobs(cell, 6, seconds=60.0)
        await asyncio.sleep(20.0)
        cell.objects.down = True
        cell.workers[0].restart()
        await asyncio.sleep(60.0)
        assert cell.list_done() == []
        cell.objects.down = False

    cell = run_scenario(scenario)
    starts = [a.command for w in cell.workers for a in w.attempts.values()]
    for command in starts:
        name = command.resume_from
        assert not name or name in cell.objects.objects


def test_a_missing_checkpoint_fails_the_attempt() -> None:
    """An attempt whose checkpoint was missing restarted from scratch."""

    async def scenario(cell: Cell) -> None:
        await submit_jobs(cell, 1, seconds=60.0)
        await asyncio.sleep(10.0)
        cell.objects.objects.clear()
        for worker in cell.workers:
            worker.restart()

    cell = run_scenario(scenario)
    (done,) = [
        write['body']['task']
        for write in cell.list_history()
        if write['partition'].startswith('done/')
    ]
    assert done['phase'] == 'failed'
    assert 'is missing' in done['reason']
