"""Registrations of workers, and cordons of zones, in the table service."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Mapping
from typing import Any

import attrs
import orjson

from lentilmount.platform.store import (
    CONFIGURATION_TABLE,
    CORDON_PREFIX,
    WORKERS_TABLE,
)
from lentilmount.upstream.http import HttpClient
from stand_ins.limits import HEARTBEAT_SECONDS

EXPIRY_SECONDS = 3.0
"""Time after which the registration of a silent worker is removed."""


@attrs.define(eq=False)
class Registrations:
    """Writes the registrations of workers.

    Attributes:
      client: Client of the table service.
    """

    client: HttpClient
    _newest: dict[str, object] = attrs.Factory(dict)
    _tasks: set[asyncio.Task[None]] = attrs.Factory(set)

    def add(
        self, worker_id: str, registration: dict[str, Any], seconds: float
    ) -> None:
        """Registers a worker after some seconds, and at each heartbeat."""
        self._newest[worker_id] = registration
        value = base64.b64encode(orjson.dumps(registration)).decode()
        row = {**_make_row(worker_id), 'value': value}
        self._schedule(worker_id, seconds, {'writes': [row]}, repeats=True)

    def expire(self, worker_id: str) -> None:
        """Removes a registration in some time, unless the worker is back."""
        self._newest[worker_id] = object()
        change = {'removals': [_make_row(worker_id)]}
        self._schedule(worker_id, EXPIRY_SECONDS, change)

    async def set_cordoned(self, zone: str, is_cordoned: bool) -> None:
        """Writes or removes the row that keeps new work from a zone."""
        row = {
            'table': CONFIGURATION_TABLE,
            'part': '',
            'key': CORDON_PREFIX + zone,
        }
        value = base64.b64encode(b'{}').decode()
        change = (
            {'writes': [{**row, 'value': value}]}
            if is_cordoned
            else {'removals': [row]}
        )
        await self._send(change)

    async def _send(self, change: dict[str, Any]) -> None:
        body = {'precondition': [], 'writes': [], 'removals': [], **change}
        answer = await self.client.call('POST', '/rows-tx', orjson.dumps(body))
        assert answer.status == 200, answer

    def _schedule(
        self,
        worker_id: str,
        seconds: float,
        change: dict[str, Any],
        repeats: bool = False,
    ) -> None:
        work = self._write(worker_id, seconds, change, repeats)
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write(
        self,
        worker_id: str,
        seconds: float,
        change: dict[str, Any],
        repeats: bool,
    ) -> None:
        newest = self._newest[worker_id]
        await asyncio.sleep(seconds)
        while self._newest[worker_id] is newest:
            await self._send(change)
            if not repeats:
                return
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def close(self) -> None:
        """Drops what has not been written yet."""
        for task in self._tasks:
            task.cancel()


def replace_addresses(addresses: Mapping[str, str], body: bytes) -> bytes:
    """Replaces the addresses of workers in an answer of the table service.

    Args:
      addresses: New addresses by registered ones.
      body: Body of the answer.
    """
    if WORKERS_TABLE.encode() not in body:
        return body
    document = orjson.loads(body)
    for row in document.get('rows', ()):
        if row['table'] != WORKERS_TABLE or 'value' not in row:
            continue
        registration = orjson.loads(base64.b64decode(row['value']))
        registration['address'] = addresses[registration['address']]
        row['value'] = base64.b64encode(orjson.dumps(registration)).decode()
    return orjson.dumps(document)


def _make_row(worker_id: str) -> dict[str, str]:
    return {'table': WORKERS_TABLE, 'part': '', 'key': worker_id}
