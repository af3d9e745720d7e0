"""Loading of a service by a new owner."""

from __future__ import annotations

import asyncio
import contextlib
import gc
from typing import Any

import pytest

from lentilmount.clock import SystemClock
from lentilmount.control import state_writer, takeover
from lentilmount.control.keys import make_owner_key
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.owner import Owner
from lentilmount.control.owner_settings import OwnerSettings
from lentilmount.coordination.leases import Lease, LeaseKeeper
from lentilmount.coordination.table import UnavailableError
from lentilmount.platform.store import Changes, PlatformTable
from lentilmount.platform.workers import WorkerClient
from lentilmount.scheduling.model import TaskPhase, make_unregistered_worker
from lentilmount.scheduling.reconciliation import Reconciler
from lentilmount.scheduling.reports import WorkerState
from lentilmount.scheduling.takeover import InheritedLeases
from lentilmount.upstream.http import HttpClient
from stand_ins.rowstore import RowStore
from tests.helpers import run
from tests.platform_fixtures import SERVICE, BlockedTable, open_store
from tests.scheduling_fixtures import (
    admit,
    find_task,
    make_entry,
    make_job,
    make_report,
    make_running,
    make_step,
)

WAIT_SECONDS = 10.0


class _RecordingTable(BlockedTable):
    """Table that records whether the collector runs while jobs are read."""

    is_collector_enabled: bool | None = None

    async def read_all(self, table: str, part: str = '') -> Changes:
        if table == 'jobs':
            await self.gate.wait()
            self.is_collector_enabled = gc.isenabled()
        return await super().read_all(table, part)


def _open_table(
    stack: contextlib.AsyncExitStack,
) -> tuple[RowStore, _RecordingTable, LeaseKeeper]:
    store, caller = open_store(stack)
    table = _RecordingTable(caller, 1.0)
    table.gate = asyncio.Event()
    keeper = LeaseKeeper(table, 'host-1.a', 2.0, SystemClock().monotonic)
    return store, table, keeper


def _make_owner(
    table: PlatformTable, keeper: LeaseKeeper, lease: Lease
) -> Owner:
    return Owner(
        OwnerSettings(SERVICE, 6.0, 120.0),
        table,
        keeper,
        lease,
        WorkerClient(HttpClient(''), lease.epoch, 1.0),
        SystemClock(),
        1.0,
        True,
        lambda: False,
        None,
        ControlMetrics(),
        InheritedLeases(),
    )


def test_a_new_owner_renews_its_lease_while_loading(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A new owner lost its lease while it read a thousand jobs."""
    monkeypatch.setattr(takeover, 'RENEW_SECONDS', 0.01)

    async def play() -> int:
        async with contextlib.AsyncExitStack() as stack:
            store, table, keeper = _open_table(stack)
            lease = await keeper.try_acquire(make_owner_key(SERVICE))
            assert lease is not None
            before = lease.version
            owner = _make_owner(table, keeper, lease)
            running = asyncio.create_task(owner.run())
            async with asyncio.timeout(WAIT_SECONDS):
                while lease.version < before + 3:
                    await asyncio.sleep(0.01)
                table.gate.set()
                while len(store.rows) < 2:
                    await asyncio.sleep(0.01)
            owner.stop()
            await running
            return lease.epoch

    assert run(play()) == 1


def test_the_garbage_collector_is_paused_while_loading() -> None:
    """A takeover spent most of its time in the garbage collector."""

    async def play() -> bool | None:
        async with contextlib.AsyncExitStack() as stack:
            store, table, keeper = _open_table(stack)
            lease = await keeper.try_acquire(make_owner_key(SERVICE))
            assert lease is not None
            owner = _make_owner(table, keeper, lease)
            table.gate.set()
            running = asyncio.create_task(owner.run())
            async with asyncio.timeout(WAIT_SECONDS):
                while len(store.rows) < 2:
                    await asyncio.sleep(0.01)
            owner.stop()
            await running
            return table.is_collector_enabled

    assert run(play()) is False
    assert gc.isenabled()


def test_a_host_that_loses_the_lease_while_loading_stops(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Another host takes the lease while this one is still loading."""
    monkeypatch.setattr(takeover, 'RENEW_SECONDS', 0.01)

    async def play() -> str:
        async with contextlib.AsyncExitStack() as stack:
            store, table, keeper = _open_table(stack)
            key = make_owner_key(SERVICE)
            lease = await keeper.try_acquire(key)
            assert lease is not None
            owner = _make_owner(table, keeper, lease)
            address = ('owners', SERVICE, 'owner')
            taken = b'["other",{"holder":"host-2.b","epoch":2,"data":{}}]'
            store.write(address, taken)
            async with asyncio.timeout(WAIT_SECONDS):
                await owner.run()
            return owner.lost_reason

    assert 'took the lease' in run(play())


def test_a_stop_while_loading_does_not_wait_for_the_writer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A stop during loading waited for a writer that never started."""
    monkeypatch.setattr(state_writer, 'SETTLE_SECONDS', 1e9)

    async def play() -> None:
        async with contextlib.AsyncExitStack() as stack:
            _, table, keeper = _open_table(stack)
            table.gate.set()
            lease = await keeper.try_acquire(make_owner_key(SERVICE))
            assert lease is not None
            owner = _make_owner(table, keeper, lease)
            owner.stop()
            async with asyncio.timeout(WAIT_SECONDS):
                await owner.run()

    run(play())


def test_a_stop_while_loading_does_not_wait_for_the_store() -> None:
    """A stop during loading waited for a store that was unavailable."""

    async def play() -> None:
        async with contextlib.AsyncExitStack() as stack:
            _, table, keeper = _open_table(stack)
            lease = await keeper.try_acquire(make_owner_key(SERVICE))
            assert lease is not None
            owner = _make_owner(table, keeper, lease)

            async def fail(*args: Any, **options: Any) -> Any:
                await asyncio.sleep(0.6)
                raise UnavailableError('no answer')

            table.transact = fail  # type: ignore[method-assign]
            table.read_all = fail  # type: ignore[method-assign]
            table.read = fail  # type: ignore[method-assign]
            running = asyncio.create_task(owner.run())
            await asyncio.sleep(0.7)
            owner.stop()
            with contextlib.suppress(UnavailableError):
                await asyncio.wait_for(running, 4.5)

    run(play())


def test_a_new_owner_moves_tasks_off_a_draining_worker() -> None:
    """A new owner left long-running tasks on a draining worker."""

    async def play() -> None:
        async with contextlib.AsyncExitStack() as stack:
            _, table, keeper = _open_table(stack)
            lease = await keeper.try_acquire(make_owner_key(SERVICE))
            assert lease is not None
            owner = _make_owner(table, keeper, lease)
            cluster = owner.cluster
            admit(cluster, make_job('a', make_step(lasting=True)))
            task = find_task(cluster, 'a')
            task.run = 1
            worker = cluster.workers['w'] = make_unregistered_worker('w')
            cluster.restore_placed(task, worker)
            owner._add_session(worker)
            owner._register_worker(make_entry('w', state=WorkerState.DRAINING))
            assert task.phase is TaskPhase.STOPPING

    run(play())


def test_a_task_found_on_a_draining_worker_is_moved() -> None:
    """Tasks were moved only at the moment at which their worker drained."""

    async def play() -> None:
        async with contextlib.AsyncExitStack() as stack:
            _, table, keeper = _open_table(stack)
            lease = await keeper.try_acquire(make_owner_key(SERVICE))
            assert lease is not None
            owner = _make_owner(table, keeper, lease)
            cluster = owner.cluster
            admit(cluster, make_job('a', make_step(lasting=True)))
            admit(cluster, make_job('b'))
            lasting, short = (find_task(cluster, name) for name in 'ab')
            owner._register_worker(make_entry('w', state=WorkerState.DRAINING))
            worker = cluster.workers['w']
            report = make_report(
                (make_running(lasting, 1), make_running(short, 1))
            )
            result = Reconciler(cluster).reconcile(worker, report, 1.0, 1.0)
            owner.handle_poll_result(worker, result)
            assert lasting.phase is TaskPhase.STOPPING
            assert short.phase is TaskPhase.RUNNING

    run(play())
