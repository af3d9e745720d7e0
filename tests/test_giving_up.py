"""An owner gives its service up: by a planned stop, or to a larger host."""

from __future__ import annotations

import asyncio
import contextlib

import orjson

from lentilmount.clock import SystemClock
from lentilmount.control.campaign import Campaign
from lentilmount.control.candidates import Candidates
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.owner import OwnerSettings
from lentilmount.coordination.table import Operation
from lentilmount.platform.bootfile import Capacity
from lentilmount.platform.store import PlatformTable
from lentilmount.platform.workers import WorkerCalls
from lentilmount.upstream.http import HttpCaller
from stand_ins.rowstore import Door, RowStore
from tests.helpers import run
from tests.platform_scene import SERVICE, serve_store

WAIT_SECONDS = 10.0
HOST = Capacity(2.1, 100.0)


class _LateTable(PlatformTable):
    """A store that a write reaches late, also if its sender has given up."""

    in_flight = 0

    async def transact(self, token: str, operations: list[Operation]) -> int:
        return await asyncio.shield(
            asyncio.ensure_future(self._send_late(token, operations))
        )

    async def _send_late(self, token: str, operations: list[Operation]) -> int:
        self.in_flight += 1
        try:
            await asyncio.sleep(0.1)
            return await super().transact(token, operations)
        finally:
            self.in_flight -= 1


async def _hear(address: str) -> bool:
    return True


def _make_campaign(table: PlatformTable, candidates: Candidates) -> Campaign:
    return Campaign(
        OwnerSettings(SERVICE, 6.0, 120.0),
        table,
        'host-1.a',
        SystemClock(),
        lambda epoch: WorkerCalls(HttpCaller(''), epoch, 1.0),
        lambda: False,
        None,
        ControlMetrics(),
        candidates,
        _hear,
    )


def _open(
    stack: contextlib.AsyncExitStack,
) -> tuple[RowStore, _LateTable]:
    store = RowStore()
    caller = HttpCaller(f'http://{serve_store(store, stack, Door())}')
    stack.callback(caller.close)
    return store, _LateTable(caller, 1.0)


def _read_holder(store: RowStore) -> str:
    change = store.rows.get(('owners', SERVICE, 'owner'))
    if change is None or change.value is None:
        return ''
    holder: str = orjson.loads(change.value)[1]['holder']
    return holder


async def _wait_for_write(table: _LateTable, store: RowStore) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not (_read_holder(store) and table.in_flight):
            await asyncio.sleep(0.005)


def test_a_service_is_free_after_a_stop_with_a_write_on_its_way() -> None:
    """A daemon is stopped as planned while its owner writes, as it often does.

    The write took effect after the release had been tried, so the release
    failed and the lease stayed with a daemon that was gone. Nobody placed
    anything for 2 s, and a larger host that the service was meant for did not
    get it: the small one found the lease still its own.
    """

    async def play() -> str:
        async with contextlib.AsyncExitStack() as stack:
            store, table = _open(stack)
            candidates = Candidates(HOST)
            candidates.note({}, True)
            campaign = _make_campaign(table, candidates)
            running = asyncio.create_task(campaign.run())
            await _wait_for_write(table, store)
            campaign.stop()
            async with asyncio.timeout(WAIT_SECONDS):
                await running
                while table.in_flight:
                    await asyncio.sleep(0.005)
            return _read_holder(store)

    assert run(play()) == ''
