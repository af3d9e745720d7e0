"""Choice of the owner where hosts differ in size."""

from __future__ import annotations

import pathlib
from typing import cast

import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.candidates import (
    Candidates,
    make_announcement,
    read_capacities,
)
from lentilmount.control.election import (
    HELD_LEASE_HEAD_START_SECONDS,
    LARGER_HOST_HEAD_START_SECONDS,
)
from lentilmount.coordination.leases import LeaseKeeper
from lentilmount.coordination.table import Key
from lentilmount.platform.host_settings import Capacity
from lentilmount.platform.store import PlatformTable
from stand_ins.table import MemoryTable
from tests.helpers import run
from tests.platform_fixtures import (
    make_election,
    open_platform,
    wait_for_line,
)

FIRST = '0123456789abcdef'
SECOND = 'fedcba9876543210'

SMALL = {'cpuShare': 0.5, 'cores': 1, 'linkMbps': 5}
LARGE = {'cpuShare': 0.7, 'cores': 3, 'linkMbps': 100}


def test_a_small_host_hands_a_service_over_to_a_larger_one(
    tmp_path: pathlib.Path,
) -> None:
    """Commands of a small owner were late on its saturated link."""

    async def play() -> None:
        async with open_platform(tmp_path) as platform:
            for worker in platform.fleet.workers:
                worker.long_running_payloads.add('long')
            small = await platform.start('host-1', limits=SMALL)
            await platform.submit(small, FIRST, 'long', longRunning=True)
            await platform.wait_for_state(small, FIRST, 'running')
            large = await platform.start('host-2', limits=LARGE)
            await wait_for_line(platform, large, 'Taken: desk.')
            assert not small.select(part='owner', level='warning')
            await platform.submit(small, SECOND)
            await platform.wait_for_state(small, SECOND, 'completed')
            starts = [task for task, _, _ in platform.fleet.list_starts()]
            assert sorted(starts) == [f'{FIRST}.0.0.0', f'{SECOND}.0.0.0']

    run(play())


KEY = Key('owners', 'owner')
SMALL_HOST = Capacity(0.5, 5.0)
LARGE_HOST = Capacity(2.1, 100.0)


@pytest.mark.parametrize(
    ('own', 'other', 'is_larger'),
    [
        (SMALL_HOST, LARGE_HOST, True),
        (LARGE_HOST, SMALL_HOST, False),
        (SMALL_HOST, SMALL_HOST, False),
        # The link is the limit, however fast the processor is.
        (Capacity(2.1, 5.0), LARGE_HOST, True),
        (SMALL_HOST, Capacity(2.1, 5.0), False),
        # A slightly larger host is not worth a takeover.
        (Capacity(1.0, 100.0), Capacity(1.4, 100.0), False),
    ],
)
def test_only_a_much_larger_host_is_preferred(
    own: Capacity, other: Capacity, is_larger: bool
) -> None:
    candidates = Candidates(own)
    rows = [make_announcement('b:1', 'north', other), {'address': 'old:1'}]
    candidates.update(read_capacities(rows), True)
    assert candidates.list_larger() == (['b:1'] if is_larger else [])
    assert candidates.may_have_larger is is_larger


def test_a_host_that_knows_no_others_yet_expects_larger_ones() -> None:
    candidates = Candidates(LARGE_HOST)
    assert candidates.may_have_larger
    candidates.update({}, False)
    assert candidates.may_have_larger
    candidates.update({}, True)
    assert not candidates.may_have_larger


def test_a_free_lease_is_deferred_for_a_limited_time() -> None:
    """A free lease that small hosts deferred was taken by no host."""

    async def check() -> None:
        table, clock = MemoryTable(), ManualClock()
        small = LeaseKeeper(table, 'small', 2.0, clock.monotonic)
        large = LeaseKeeper(table, 'large', 2.0, clock.monotonic)
        assert await small.try_acquire(KEY, delay=1.0) is None
        first = await large.try_acquire(KEY)
        assert first is not None
        assert await small.try_acquire(KEY, delay=1.0) is None
        clock.advance(2.5)
        assert await small.try_acquire(KEY, delay=1.0) is None
        clock.advance(1.0)
        second = await small.try_acquire(KEY, delay=1.0)
        assert second is not None
        await small.release(second)
        assert await small.try_acquire(KEY, delay=1.0) is None
        clock.advance(1.1)
        assert await small.try_acquire(KEY, delay=1.0) is not None

    run(check())


def test_a_small_host_defers_the_lease_of_its_ended_process() -> None:
    """After a kill of all daemons a small host owned the service again."""

    async def check() -> None:
        table, clock = MemoryTable(), ManualClock()
        before = LeaseKeeper(table, 'a.1', 2.0, clock.monotonic)
        assert await before.try_acquire(KEY) is not None

        def has_ended(holder: str) -> bool:
            return holder == 'a.1'

        after = LeaseKeeper(table, 'a.2', 2.0, clock.monotonic, has_ended)
        assert await after.try_acquire(KEY, delay=1.0) is None
        clock.advance(2.5)
        assert await after.try_acquire(KEY, delay=1.0) is None
        clock.advance(1.0)
        assert await after.try_acquire(KEY, delay=1.0) is not None

    run(check())


@pytest.mark.parametrize(
    ('holder', 'larger', 'seconds'),
    [
        ('large-2.0a', True, HELD_LEASE_HEAD_START_SECONDS),
        ('', True, LARGER_HOST_HEAD_START_SECONDS),
        # An earlier process of this host holds it no longer.
        ('host-1.0a', True, LARGER_HOST_HEAD_START_SECONDS),
        ('large-2.0a', False, 0.0),
    ],
)
def test_a_small_host_leaves_a_held_lease_to_larger_ones_for_longer(
    holder: str, larger: bool, seconds: float
) -> None:
    """A small host took the lease of a live owner while the store was slow.

    The renewals of the owner came late, and so did the small host's write.
    """
    candidates = Candidates(Capacity(0.5, 20.0))
    candidates.update({'large:1': LARGE_HOST} if larger else {}, True)
    table = cast(PlatformTable, None)
    election = make_election(table, candidates)
    assert election._choose_delay(holder) == seconds
