"""Tests of a slice's rows: unreadable rows, write rates and deletion."""

from __future__ import annotations

import asyncio
import collections
import time

from lentilmount.batch.ledger import LedgerOptions
from lentilmount.batch.records import make_task_key, read_changes
from lentilmount.batch.retention import Retention, RetentionOptions
from lentilmount.batch.write_limiter import WriteLimiter
from lentilmount.clock import ManualClock
from lentilmount.coordination.table import Key, Put
from lentilmount.resources import Room, Urgency
from lentilmount.rows import is_deleted
from stand_ins.cell import SLICE, Cell, CellOptions
from stand_ins.virtual_time import run_virtual

BURST = 5000


def test_rows_that_cannot_be_read_do_not_stop_a_slice() -> None:
    """One damaged row blocked all jobs after it in the inbox."""
    clock = ManualClock()

    async def work() -> None:
        async with Cell(clock) as cell:
            bad = Key(f'inbox/{SLICE}', '0-bad')
            newer = Key(f'inbox/{SLICE}', '0-newer')
            task = make_task_key(SLICE, 'Job/crew/old/0')
            await cell.table.transact('bad', [Put(bad, {'request': 7})])
            await cell.table.transact('newer', [Put(newer, {'format': 99})])
            await cell.table.transact('task', [Put(task, {'phase': 'odd'})])
            await cell.submit('job', 2.0)
            assert await cell.finish(60.0)
            aside = Key(f'aside/{SLICE}', '0-bad')
            rows = await cell.table.read([bad, newer, task, aside])
            assert set(rows) == {newer, task, aside}
            assert cell.find_violations() == []

    run_virtual(work(), clock)


def test_a_burst_of_cancellations_is_rate_limited() -> None:
    """Urgent jobs were delayed by thousands of cancellations."""
    clock = ManualClock()

    async def work() -> None:
        options = CellOptions(workers=4, tick_seconds=1.0)
        async with Cell(clock, options) as cell:
            await cell.wait_for_owner()
            for number in range(BURST):
                await cell.submit(f'job-{number}', 60.0, cores=4.0)
            await asyncio.sleep(60.0)
            for task in cell.accepted[:BURST]:
                await cell.cancel(task)
            began = clock.now
            await asyncio.sleep(3.0)
            urgent = await cell.submit('u', 1.0, 1.0, Urgency.URGENT)
            asked = clock.now
            while len(cell.list_done()) < BURST:
                await asyncio.sleep(1.0)
            ran = next(r for r in cell.list_runs() if r.task == urgent)
            assert ran.began - asked < 2.1
            assert cell.find_violations() == []
            rows = collections.Counter(
                int(write.at - began)
                for write in cell.table.history
                if write.at >= began and not write.token.startswith('cancel')
            )
            assert sum(rows.values()) > 3 * BURST
            assert max(rows.values()) <= 600

    run_virtual(work(), clock)


def test_the_write_limiter_recovers_over_time() -> None:
    clock = ManualClock()
    limiter = WriteLimiter(100.0, 200.0, clock.monotonic)
    limiter.spend(300)
    assert not limiter.is_open
    clock.advance(1.0)
    assert limiter.is_open


def test_the_change_log_is_pruned_and_its_oldest_entry_published() -> None:
    """The log keeps its newest entries; `oldest` shows which were deleted."""
    clock = ManualClock()

    async def work() -> None:
        async with Cell(clock) as cell:
            for daemon in cell.daemons:
                options = LedgerOptions(changes_kept=5)
                daemon.manager._ledger_options = options
            for number in range(30):
                await cell.submit(f'job-{number}', 1.0)
                await asyncio.sleep(0.5)
            assert await cell.finish()
            rows = await cell.table.scan(f'change/{SLICE}')
            key = Key('slice', SLICE)
            data = (await cell.table.read([key]))[key].body['data']
            kept = [int(row.key.sort) for row in rows]
            assert kept == list(range(data['oldest'], data['sequence'] + 1))
            assert len(kept) <= 6
            assert all(read_changes(row) for row in rows)

    run_virtual(work(), clock)


def test_old_jobs_are_deleted_but_their_names_stay_reserved() -> None:
    """Jobs that ended before the retention time are deleted page by page."""
    clock = ManualClock()

    async def work() -> None:
        async with Cell(clock) as cell:
            for number in range(6):
                await cell.submit(f'job-{number}', 1.0)
            assert await cell.finish()
            options = RetentionOptions(kept_seconds=60.0, page=4)
            recent = Retention(cell.table, SLICE, options)
            assert await recent.step() == 0
            late = time.time() + 61.0
            old = Retention(cell.table, SLICE, options, lambda: late)
            assert [await old.step(), await old.step()] == [4, 2]
            assert await cell.table.scan(f'done/{SLICE}') == []
            jobs = await cell.table.scan('job/crew')
            assert [is_deleted(row) for row in jobs] == [True] * 6
            assert cell.find_violations() == []

    run_virtual(work(), clock)


def test_jobs_queued_during_an_outage_start_in_order() -> None:
    """After a table outage urgent jobs were delayed by batch jobs."""
    clock = ManualClock()

    async def work() -> None:
        options = CellOptions(workers=40, capacity=Room(8.0, 16_000, 0))
        async with Cell(clock, options) as cell:
            await cell.wait_for_owner()
            for daemon in cell.daemons:
                daemon.table.faults.down = True
            for number in range(300):
                await cell.submit(f'job-{number}', 5.0)
            await asyncio.sleep(300.0)
            urgent = await cell.submit('u', 1.0, 1.0, Urgency.URGENT)
            assert cell.list_runs() == []
            for daemon in cell.daemons:
                daemon.table.faults.down = False
            began = clock.now
            assert await cell.finish()
            first = min(cell.list_runs(), key=lambda run: run.began)
            assert first.task == urgent
            rows = collections.Counter(
                int(write.at - began)
                for write in cell.table.history
                if write.at >= began
            )
            assert max(rows.values()) <= 900
            assert cell.find_violations() == []

    run_virtual(work(), clock)
