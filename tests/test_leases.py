"""Tests that a lease has one holder at a time and a late one cannot write."""

import asyncio

import pytest

from lentilmount.clock import ManualClock
from lentilmount.coordination.leases import LeaseKeeper, LeaseLostError
from lentilmount.coordination.table import (
    ConflictError,
    Key,
    Operation,
    Put,
    UnavailableError,
)
from lentilmount.waiting import wait_with_timeout
from stand_ins.table import MemoryTable
from tests.helpers import run

KEY = Key('slice', 'a/0')
DATA = Key('data', 'x')


class LossyTable(MemoryTable):
    """Loses the responses of the next writes after applying them."""

    lost = 0
    conflicts_lost = False

    async def transact(self, token: str, operations: list[Operation]) -> None:
        try:
            await super().transact(token, operations)
        except ConflictError:
            if self.conflicts_lost:
                raise UnavailableError('answer lost') from None
            raise
        if self.lost:
            self.lost -= 1
            raise UnavailableError('answer lost')


def make_keeper(
    table: MemoryTable, name: str, clock: ManualClock
) -> LeaseKeeper:
    return LeaseKeeper(table, name, 3.0, clock.monotonic)


def test_an_expired_lease_is_taken_over_with_a_higher_epoch() -> None:
    async def check() -> None:
        table, clock = MemoryTable(), ManualClock()
        first = await make_keeper(table, 'one', clock).try_acquire(KEY)
        second = make_keeper(table, 'two', clock)
        assert first is not None
        assert await second.try_acquire(KEY) is None
        clock.advance(2.9)
        assert await second.try_acquire(KEY) is None
        clock.advance(0.2)
        taken = await second.try_acquire(KEY)
        assert taken is not None
        assert taken.epoch == first.epoch + 1

    run(check())


def test_a_paused_holder_cannot_write_when_it_resumes() -> None:
    """A holder that resumed after its lease expired overwrote new rows."""

    async def check() -> None:
        table, clock = MemoryTable(), ManualClock()
        keeper = make_keeper(table, 'one', clock)
        lease = await keeper.try_acquire(KEY)
        other = make_keeper(table, 'two', clock)
        assert lease is not None
        await other.try_acquire(KEY)
        clock.advance(4.0)
        assert await other.try_acquire(KEY) is not None
        with pytest.raises(LeaseLostError):
            await keeper.renew(lease, [Put(DATA, {'late': True})])
        assert await table.read([DATA]) == {}

    run(check())


def test_a_lost_response_leads_to_one_write() -> None:
    """A renewal whose response was lost was mistaken for a lost lease."""

    async def check() -> None:
        table, clock = LossyTable(), ManualClock()
        keeper = make_keeper(table, 'one', clock)
        lease = await keeper.try_acquire(KEY)
        assert lease is not None
        table.lost = 1
        await keeper.renew(lease, [Put(DATA, {'n': 1})])
        assert (await table.read([DATA]))[DATA].version == 1
        await keeper.renew(lease)
        assert (await table.read([KEY]))[KEY].version == 3

    run(check())


def test_a_resent_renewal_counts_from_the_first_time() -> None:
    """A holder trusted its lease after another process had taken it."""

    async def check() -> None:
        table, clock = LossyTable(), ManualClock()
        keeper = make_keeper(table, 'one', clock)
        lease = await keeper.try_acquire(KEY)
        assert lease is not None
        table.lost, first = 1, clock.now
        table.conflicts_lost = True
        with pytest.raises(UnavailableError):
            await keeper.renew(lease, token='again')
        table.conflicts_lost = False
        clock.advance(10.0)
        lease.data['more'] = 1
        await keeper.renew(lease, token='again')
        assert lease.valid_until == first + 3.0
        assert (await table.read([KEY]))[KEY].body['data'] == {}

    run(check())


def test_a_cancellation_is_not_lost_when_an_event_is_set() -> None:
    """A waiting task is cancelled at the moment its event is set."""

    async def check() -> None:
        event = asyncio.Event()
        task = asyncio.create_task(wait_with_timeout(event, 60.0))
        await asyncio.sleep(0)
        event.set()
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    run(check())
