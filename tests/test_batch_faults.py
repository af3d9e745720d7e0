"""Batch work through faults: real slice managers on virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from lentilmount.batch.worker_commands import SessionOptions
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


def test_a_paused_owner_wakes_after_its_lease() -> None:
    """An owner that wakes after its lease doubled jobs."""

    async def scene(cell: Cell) -> None:
        await submit_some(cell)
        old = await cell.wait_for_owner()
        old.pause()
        await cell.wait_for_owner(old.name)
        await asyncio.sleep(8.0)
        old.wake()

    assert set(count_runs(play(scene)).values()) == {1}


def test_every_daemon_is_replaced_at_once() -> None:
    """With all daemons replaced, running tasks were begun again."""

    async def scene(cell: Cell) -> None:
        await submit_some(cell)
        for daemon in list(cell.daemons):
            await daemon.kill()
        cell.add_daemon()
        cell.add_daemon()

    assert set(count_runs(play(scene)).values()) == {1}


def test_an_owner_cut_off_from_the_table_is_replaced() -> None:
    """An owner without the table acted beside its successor."""

    async def scene(cell: Cell) -> None:
        await submit_some(cell)
        old = await cell.wait_for_owner()
        old.table.faults.down = True
        old.pause()
        await cell.wait_for_owner(old.name)
        old.wake()
        await asyncio.sleep(10.0)
        old.table.faults.down = False

    assert set(count_runs(play(scene)).values()) == {1}


def test_a_cut_zone_keeps_its_tasks_for_the_promise() -> None:
    """A cut shorter than the promise restarted tasks, or doubled them."""

    def cut(seconds: float) -> Scene:
        async def scene(cell: Cell) -> None:
            await submit_some(cell, seconds=200.0)
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

        return scene

    assert set(count_runs(play(cut(50.0))).values()) == {1}
    assert set(count_runs(play(cut(100.0))).values()) == {2}


def test_a_planned_stop_takes_the_promise_back() -> None:
    """After a planned stop the next owner waited for the promise."""

    async def scene(cell: Cell) -> None:
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

    play(scene)


def test_a_paused_worker_is_replaced_and_wakes() -> None:
    """A worker that wakes ran on what had been placed elsewhere."""

    async def scene(cell: Cell) -> None:
        await submit_some(cell, seconds=60.0)
        cell.workers[0].paused = True
        await asyncio.sleep(40.0)
        cell.workers[0].paused = False

    counts = count_runs(play(scene))
    assert sorted(set(counts.values())) == [1, 2]


def test_a_lost_rack_moves_to_other_racks() -> None:
    """What a lost rack had done up to its checkpoints was done twice."""

    async def scene(cell: Cell) -> None:
        await submit_some(cell, 4, seconds=60.0)
        await asyncio.sleep(20.0)
        for worker in cell.workers[:2]:
            worker.restart()
            worker.paused = True
        await asyncio.sleep(60.0)
        for worker in cell.workers[:2]:
            worker.paused = False

    cell = play(scene)
    for task in cell.accepted:
        runs = [run for run in cell.list_runs() if run.task == task]
        assert sum(run.ended - run.began for run in runs) < 65.0


def test_starts_and_stops_are_delayed_and_repeated() -> None:
    """A late copy of a start began an attempt that was over."""

    async def scene(cell: Cell) -> None:
        for daemon in cell.daemons:
            for faults in daemon.workers.faults.values():
                faults.lose = 0.3
                faults.repeat = 0.5
        await submit_some(cell, 12, seconds=3.0)
        for number in range(0, 12, 2):
            await cell.cancel(cell.accepted[number])
        await asyncio.sleep(20.0)

    counts = count_runs(play(scene))
    assert max(counts.values()) == 1


def test_the_table_loses_answers_and_writes_late() -> None:
    """A write whose fate was unknown completed a job twice."""

    async def scene(cell: Cell) -> None:
        for daemon in cell.daemons:
            daemon.table.faults.lose = 0.3
        await submit_some(cell, 8, seconds=5.0)
        for _ in range(4):
            for daemon in cell.daemons:
                daemon.table.faults.late = 1.5
                daemon.table.faults.down = True
            await asyncio.sleep(4.0)
            for daemon in cell.daemons:
                daemon.table.faults.down = False
            await asyncio.sleep(4.0)

    play(scene)


def test_a_store_outage_of_ten_minutes_disturbs_nothing() -> None:
    """An outage within the promise stopped running tasks."""

    async def scene(cell: Cell) -> None:
        await submit_some(cell, 4, seconds=300.0)
        for daemon in cell.daemons:
            daemon.table.faults.down = True
        await cell.submit('later', 5.0)
        await asyncio.sleep(600.0)
        assert len(cell.list_runs()) == 4
        for daemon in cell.daemons:
            daemon.table.faults.down = False

    sessions = SessionOptions(offline_renewal_seconds=660.0)
    cell = play(scene, CellOptions(sessions=sessions, tick_seconds=1.0))
    assert set(count_runs(cell).values()) == {1}


def test_a_store_outage_beyond_the_promise_ends_in_checkpoints() -> None:
    """An outage beyond the promise threw work away."""

    async def scene(cell: Cell) -> None:
        await submit_some(cell, 4, seconds=150.0)
        for daemon in cell.daemons:
            daemon.table.faults.down = True
        await asyncio.sleep(120.0)
        for daemon in cell.daemons:
            daemon.table.faults.down = False

    cell = play(scene)
    assert set(count_runs(cell).values()) == {2}
    spent = sum(run.ended - run.began for run in cell.list_runs())
    assert spent < 4 * 152.0


def test_a_slow_store_slows_only_new_work() -> None:
    """Each call to the table takes 1.5 s; leases are still renewed in time."""

    async def scene(cell: Cell) -> None:
        await submit_some(cell, 3, seconds=40.0)
        for daemon in cell.daemons:
            daemon.table.faults.delay = 1.5
        await submit_some_more(cell)
        await asyncio.sleep(60.0)

    assert set(count_runs(play(scene)).values()) == {1}


async def submit_some_more(cell: Cell) -> None:
    for number in range(3):
        await cell.submit(f'more-{number}', 5.0)


def test_clocks_run_at_different_rates() -> None:
    """With clocks that drift apart a lapsed task was still running."""

    async def scene(cell: Cell) -> None:
        await submit_some(cell, 9, seconds=90.0)
        for daemon in cell.daemons:
            daemon.workers.set_down(True, 'a-000', 'a-001')
        await asyncio.sleep(40.0)
        for daemon in cell.daemons:
            daemon.workers.set_down(False)

    play(scene, CellOptions(clock_rates=(1.005, 0.995, 1.0)))


def test_the_object_store_is_down() -> None:
    """Without the object store tasks resumed from nothing, or lost output."""

    async def scene(cell: Cell) -> None:
        await submit_some(cell, 6, seconds=60.0)
        await asyncio.sleep(20.0)
        cell.objects.down = True
        cell.workers[0].restart()
        await asyncio.sleep(60.0)
        assert cell.list_done() == []
        cell.objects.down = False

    cell = play(scene)
    starts = [a.command for w in cell.workers for a in w.attempts.values()]
    for command in starts:
        name = command.resume_from
        assert not name or name in cell.objects.objects


def test_a_missing_checkpoint_fails_the_attempt() -> None:
    """An attempt without its checkpoint began again from nothing."""

    async def scene(cell: Cell) -> None:
        await submit_some(cell, 1, seconds=60.0)
        await asyncio.sleep(10.0)
        cell.objects.objects.clear()
        for worker in cell.workers:
            worker.restart()

    cell = play(scene)
    (done,) = [
        write['body']['task']
        for write in cell.list_history()
        if write['partition'].startswith('done/')
    ]
    assert done['phase'] == 'failed'
    assert 'is missing' in done['reason']
