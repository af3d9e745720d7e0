"""The platform's table service, as the `Table` that everything stands on."""

from __future__ import annotations

import asyncio
import base64
import math
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import orjson

from lentilmount.coordination.table import (
    Check,
    ConflictError,
    Delete,
    Key,
    Operation,
    Put,
    Row,
    UnavailableError,
)
from lentilmount.platform.calls import (
    ANSWERED_STATUSES,
    REFUSED_STATUSES,
    NoRelay,
    StoreCall,
    StoreRelay,
)
from lentilmount.upstream.http import HttpClient, HttpResponse

CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
WORKERS_TABLE = 'servers'

SEPARATOR = '/'
"""Between table and part in the partition of a `Key`."""

LEAST_WAY_SECONDS = 0.1
"""Time below which a second way is not tried: a call that ran into its timeout
has used up what its caller waits for."""

PAGE_ROWS = 150
"""Most rows asked for in one answer; the service gives 500. Jobs of 1.1 kB take
a link of 5 Mbit/s 0.27 s. Fewer would cost a new owner more answers from a slow
store."""

PROBE_KEY = '~'
"""Sorts after all keys in use, so that the answer to a probe holds no row. The
configuration's would take longer on a small link than a probe may."""

READ_SECONDS = 5.0
"""Longest time for an answer to a reading that keeps arriving. The longest row,
a configuration of a thousand routes, takes the smallest link (5 Mbit/s) half a
second alone, and several times that beside everything else there."""

Observe = Callable[[str, int, bool, float], None]
"""Takes the part that a call was about ('' for a whole table), the HTTP status,
whether that is an answer of a service that works, and the seconds it took."""


class RefusedError(UnavailableError):
    """The service refused a call; nothing was done."""


class HistoryLostError(UnavailableError):
    """The feed cannot go on from where it was; read everything again."""


@attrs.frozen
class RawRow:
    """A row as others write it.

    Attributes:
      key: Its key.
      value: Its bytes; empty if it was removed.
      version: Version of the store at its last write.
      removed: Whether it is gone.
      part: Its part of the table; a feed tells of all parts.
    """

    key: str
    value: bytes
    version: int
    removed: bool = False
    part: str = ''


@attrs.frozen
class Changes:
    """Rows as of one version of the store.

    Attributes:
      rows: The rows.
      version: The version.
      has_more: Whether there are more rows than the answer could hold.
    """

    rows: tuple[RawRow, ...]
    version: int
    has_more: bool = False


def make_partition(table: str, part: str = '') -> str:
    """Returns the partition of a `Key` for a table's part."""
    return f'{table}{SEPARATOR}{part}'


def _split(partition: str) -> tuple[str, str]:
    table, _, part = partition.partition(SEPARATOR)
    return table, part


def _make_address(key: Key) -> dict[str, str]:
    table, part = _split(key.partition)
    return {'table': table, 'part': part, 'key': key.sort}


def _decode_raw(row: dict[str, Any]) -> RawRow:
    try:
        value = base64.b64decode(row.get('value') or '')
    except ValueError:
        value = b''
    return RawRow(
        key=row['key'],
        value=value,
        version=int(row['ver']),
        removed=bool(row.get('deleted')),
        part=row.get('part') or '',
    )


def decode_row(key: Key, raw: RawRow) -> Row:
    """Decodes a row that this system wrote.

    Raises:
      ValueError: It did not write it.
    """
    token, body = orjson.loads(raw.value)
    return Row(key, raw.version, token, body)


class PlatformTable:
    """Calls to the table service.

    Args:
      caller: Sends the calls.
      timeout: Seconds for a call.
      observe: Told of each direct call; see `Observe`.
      relay: Another way, taken where the direct one fails.
      write_timeout: Seconds for a transaction; `timeout` if None.
    """

    def __init__(
        self,
        caller: HttpClient,
        timeout: float,
        observe: Observe = lambda part, status, is_good, took: None,
        relay: StoreRelay | None = None,
        write_timeout: float | None = None,
    ):
        self._caller = caller
        self._timeout = timeout
        self._observe = observe
        self._detour = relay or NoRelay()
        self._write_timeout = write_timeout or timeout

    async def read(self, keys: list[Key]) -> dict[Key, Row]:
        """See `Table`."""
        found: dict[Key, Row] = {}
        for key in keys:
            table, part = _split(key.partition)
            last = key.sort + '\0'
            raws = await self._get(table, part, key.sort, last, 1)
            for raw in raws.rows:
                found[key] = decode_row(key, raw)
        return found

    async def scan(
        self, partition: str, after: str = '', limit: int = PAGE_ROWS
    ) -> list[Row]:
        """See `Table`."""
        table, part = _split(partition)
        found = await self._list(table, part, after, limit)
        return [decode_row(Key(partition, raw.key), raw) for raw in found.rows]

    async def transact(self, token: str, operations: list[Operation]) -> int:
        """See `Table`; each row carries the token of its last write."""
        body: dict[str, list[dict[str, Any]]] = {
            'precondition': [],
            'writes': [],
            'removals': [],
        }
        part = ''
        for operation in operations:
            part = _split(operation.key.partition)[1]
            address: dict[str, Any] = _make_address(operation.key)
            body['precondition'].append({**address, 'ver': operation.expected})
            if isinstance(operation, Put):
                value = orjson.dumps([token, operation.body])
                encoded = base64.b64encode(value).decode()
                body['writes'].append({**address, 'value': encoded})
            elif isinstance(operation, Delete):
                body['removals'].append(address)
            else:
                assert isinstance(operation, Check)
        extra = self._write_timeout - self._timeout
        answer = await self._call('POST', '/rows-tx', body, extra, part)
        document = orjson.loads(answer.body)
        if answer.status == 412:
            raise ConflictError(_list_failed(operations, document))
        return int(document['ver'])

    async def read_all(self, table: str, part: str = '') -> Changes:
        """Reads a part as of one moment, if it fits into one answer."""
        return await self._list(table, part)

    async def _list(
        self,
        table: str,
        part: str,
        after: str = '',
        limit: float = math.inf,
    ) -> Changes:
        """Reads rows of a part, answer by answer, in the order of their keys.

        An answer may hold fewer rows than were asked for, as it is also bound
        in bytes; only the service knows whether more follow.

        Returns:
          The rows, and the version of the first answer: what changes since
          is told by the feed.
        """
        rows: list[RawRow] = []
        version = 0
        while len(rows) < limit:
            start = after + '\0' if after else ''
            most = int(min(PAGE_ROWS, limit - len(rows)))
            page = await self._get(table, part, start, '', most)
            rows.extend(page.rows)
            version = version or page.version
            if not page.rows or not page.has_more:
                break
            after = page.rows[-1].key
        return Changes(tuple(rows), version)

    async def follow(self, table: str, after: int, wait: float) -> Changes:
        """Waits for rows of a table that changed after a version.

        Raises:
          HistoryLostError: That version is no longer kept.
          UnavailableError: No answer.
        """
        wait_ms = int(wait * 1000)
        path = f'/rows-feed?table={table}&after={after}&waitMs={wait_ms}'
        answer = await self._call(
            'GET', path, extra=wait, total_timeout=READ_SECONDS
        )
        document = orjson.loads(answer.body)
        rows = tuple(_decode_raw(row) for row in document.get('rows') or ())
        return Changes(rows, int(document['ver']))

    async def _get(
        self, table: str, part: str, start: str, end: str, limit: int
    ) -> Changes:
        query: dict[str, Any] = {'table': table, 'part': part, 'limit': limit}
        if start:
            query['from'] = start
        if end:
            query['to'] = end
        path = '/rows-get?' + urllib.parse.urlencode(query)
        total_timeout = READ_SECONDS if limit > 1 else None
        answer = await self._call(
            'GET', path, part=part, total_timeout=total_timeout
        )
        document = orjson.loads(answer.body)
        rows = tuple(_decode_raw(row) for row in document['rows'])
        has_more = bool(document.get('hasMore'))
        return Changes(rows, int(document['ver']), has_more)

    def make_probe(self, partition: str) -> StoreCall:
        """Returns a cheap call that shows whether a part answers."""
        table, part = _split(partition)
        query = urllib.parse.urlencode(
            {'table': table, 'part': part, 'limit': 1, 'from': PROBE_KEY}
        )
        return StoreCall(part, 'GET', f'/rows-get?{query}', None, self._timeout)

    async def send_directly(self, call: StoreCall) -> HttpResponse:
        """Sends a call; never raises for a status or a failure."""
        clock = asyncio.get_running_loop()
        sent_at = clock.time()
        answer = await self._caller.call(
            call.method,
            call.path,
            call.body,
            {'Content-Type': 'application/json'},
            timeout=call.timeout,
            total_timeout=call.total_timeout,
        )
        is_good = answer.status in ANSWERED_STATUSES
        took = clock.time() - sent_at
        self._observe(call.part, answer.status, is_good, took)
        return answer

    async def _send(self, call: StoreCall) -> HttpResponse:
        """Sends a call on the ways that there are, until one has an answer.

        If none has, and one may have delivered the call, its effect is not
        known, whatever the other one was told.
        """
        ways: list[Callable[[StoreCall], Awaitable[HttpResponse | None]]]
        ways = [self.send_directly, self._detour.send]
        if self._detour.is_preferred(call.part):
            ways.reverse()
        clock = asyncio.get_running_loop()
        end = clock.time() + call.timeout
        failures: list[HttpResponse] = []
        for send in ways:
            left = end - clock.time()
            if failures and left < LEAST_WAY_SECONDS:
                break
            answer = await send(attrs.evolve(call, timeout=left))
            if answer is not None and answer.status in ANSWERED_STATUSES:
                return answer
            if answer is not None:
                failures.append(answer)
        return max(
            failures, key=lambda answer: answer.status not in REFUSED_STATUSES
        )

    async def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        extra: float = 0.0,
        part: str = '',
        total_timeout: float | None = None,
    ) -> HttpResponse:
        data = None if body is None else orjson.dumps(body)
        call = StoreCall(
            part, method, path, data, self._timeout + extra, total_timeout
        )
        answer = await self._send(call)
        if answer.status in (200, 412):
            return answer
        name = path.partition('?')[0]
        if answer.status == 410:
            raise HistoryLostError(f'{name}: the history was dropped')
        if answer.status in REFUSED_STATUSES:
            raise RefusedError(f'{name}: HTTP status {answer.status}')
        detail = answer.body[:200].decode(errors='replace')
        raise UnavailableError(f'{name}: HTTP {answer.status} {detail}')


def _list_failed(
    operations: list[Operation], document: dict[str, Any]
) -> tuple[Key, ...]:
    """Finds the rows whose version is not the one expected."""
    current = {
        (row['table'], row.get('part') or '', row['key']): int(row['ver'])
        for row in document.get('rows') or ()
        if not row.get('deleted')
    }
    failed = []
    for operation in operations:
        table, part = _split(operation.key.partition)
        version = current.get((table, part, operation.key.sort), 0)
        if version != operation.expected:
            failed.append(operation.key)
    return tuple(failed)
