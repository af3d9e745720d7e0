"""Release of a service at a graceful shutdown or a handover."""

from __future__ import annotations

import asyncio
import contextlib

import orjson
import pytest

from lentilmount.control import takeover
from lentilmount.control.candidates import Candidates
from lentilmount.coordination.table import Operation
from lentilmount.platform.host_settings import Capacity
from lentilmount.platform.store import Changes, PlatformTable
from stand_ins.rowstore import RowStore
from tests.helpers import run
from tests.platform_fixtures import SERVICE, make_election, open_store

WAIT_SECONDS = 10.0
HOST = Capacity(2.1, 100.0)
OWNER_ROW = ('owners', SERVICE, 'owner')


class _LateTable(PlatformTable):
    """Table that writes reach late, also after their sender gave up."""

    in_flight = 0
    is_unresponsive = False

    async def read_all(self, table: str, part: str = '') -> Changes:
        while self.is_unresponsive:
            await asyncio.sleep(0.01)
        return await super().read_all(table, part)

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


def _open_table(
    stack: contextlib.AsyncExitStack,
) -> tuple[RowStore, _LateTable]:
    store, caller = open_store(stack)
    return store, _LateTable(caller, 1.0)


def _read_holder(store: RowStore) -> str:
    change = store.rows.get(OWNER_ROW)
    if change is None or change.value is None:
        return ''
    holder: str = orjson.loads(change.value)[1]['holder']
    return holder


async def _wait_for_write(
    table: _LateTable, store: RowStore, is_held: bool
) -> None:
    async with asyncio.timeout(WAIT_SECONDS):
        while not table.in_flight or is_held != bool(_read_holder(store)):
            await asyncio.sleep(0.005)


async def _stop_during_a_write(
    is_reading: bool = False, is_held: bool = True
) -> str:
    """Stops an election while a write is in flight; returns the holder then."""
    async with contextlib.AsyncExitStack() as stack:
        store, table = _open_table(stack)
        table.is_unresponsive = is_reading
        candidates = Candidates(HOST)
        candidates.update({}, True)
        election = make_election(table, candidates)
        running = asyncio.create_task(election.run())
        await _wait_for_write(table, store, is_held)
        election.stop()
        async with asyncio.timeout(WAIT_SECONDS):
            await running
            while table.in_flight:
                await asyncio.sleep(0.005)
        return _read_holder(store)


def test_a_service_is_free_after_a_stop_with_a_write_in_flight() -> None:
    """A stopped daemon kept its lease because its last write came late."""
    assert run(_stop_during_a_write()) == ''


def test_a_service_is_free_after_a_stop_while_it_is_loaded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The same while a new owner loads and renews its lease."""
    monkeypatch.setattr(takeover, 'RENEW_SECONDS', 0.01)
    assert run(_stop_during_a_write(is_reading=True)) == ''


def test_a_service_is_free_after_a_stop_while_its_lease_is_acquired() -> None:
    """The same while the first write of the lease is in flight."""
    assert run(_stop_during_a_write(is_held=False)) == ''


def test_a_stop_while_loading_keeps_the_note_of_unrecorded_starts() -> None:
    """A stop during loading dropped the note on unrecorded starts."""

    async def play() -> bool:
        async with contextlib.AsyncExitStack() as stack:
            store, table = _open_table(stack)
            body = {'holder': '', 'epoch': 3, 'data': {'unwritten': True}}
            store.write(OWNER_ROW, orjson.dumps(['before', body]))
            table.is_unresponsive = True
            candidates = Candidates(HOST)
            candidates.update({}, True)
            election = make_election(table, candidates)
            running = asyncio.create_task(election.run())
            await _wait_for_write(table, store, is_held=True)
            election.stop()
            async with asyncio.timeout(WAIT_SECONDS):
                await running
            released = orjson.loads(store.rows[OWNER_ROW].value or b'')[1]
            assert released['holder'] == ''
            return bool(released['data']['unwritten'])

    assert run(play())
