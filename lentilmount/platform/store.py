"""Client of the outer platform's table service, as a `Table`."""

from __future__ import annotations

import asyncio
import base64
import math
import time
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
from lentilmount.upstream.http import CallKind, HttpClient, HttpResponse
from lentilmount.version_times import VersionTimes

CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
WORKERS_TABLE = 'servers'
CORDON_PREFIX = 'evacuate/'
CORDON_END = 'evacuate0'
"""Bounds of the keys that each cordon the zone named after the prefix, in the
table of the configuration."""

SEPARATOR = '/'
"""Separates table and part in the partition of a `Key`."""

MIN_ROUTE_SECONDS = 0.1
"""Remaining time below which a call is not sent on a second route: the first
one has used up the timeout."""

SLOW_SECONDS = 0.1
"""Mean duration of calls above which the service is slow."""

SLOW_WRITE_SECONDS = 2.0
"""Timeout of a transaction while the service is slow. It may wait for others
for a second, and takes over half a second by itself."""

SAMPLE_WEIGHT = 0.3
"""Weight of a call in the mean duration of calls."""

PAGE_ROWS = 150
"""Rows requested per answer; the service allows 500. 150 jobs of 1.1 kB take
0.27 s on a link of 5 Mbit/s. With fewer rows, a new owner would need more calls
to a slow store."""

WORKER_PAGE_ROWS = 400
"""The same for registrations of workers, of about 430 bytes. The list is only
as new as the request of its first page."""

PROBE_KEY = '~'
"""Sorts after all keys in use, so that the answer to a probe has no rows. The
configuration's row would exceed the timeout of a probe on a small link."""

READ_SECONDS = 5.0
"""Longest time for the answer to a read while it keeps arriving. The longest
row, a configuration of a thousand routes, takes half a second on the smallest
link (5 Mbit/s) if idle, and several times that beside other traffic."""

_KINDS = {
    '/rows-get': CallKind.TABLE_READ,
    '/rows-tx': CallKind.TABLE_WRITE,
    '/rows-feed': CallKind.TABLE_FEED,
}

CallObserver = Callable[[str, int, bool, float], None]
"""Called after each direct call with the part that it addressed ('' for a whole
table), the HTTP status, whether a working service answered, and the duration in
seconds."""


class RefusedError(UnavailableError):
    """The service rejected a call without executing it."""


class HistoryLostError(UnavailableError):
    """The service no longer has the requested changes; read all rows again."""


@attrs.frozen
class RawRow:
    """A row with an undecoded value.

    Attributes:
      key: Key within its part.
      value: Value in bytes; empty if the row was removed.
      version: Version of the store at its last write.
      removed: Whether the row was removed.
      part: Part of the table; a feed covers all parts.
    """

    key: str
    value: bytes
    version: int
    removed: bool = False
    part: str = ''


@attrs.frozen
class Changes:
    """Rows as of a version of the store.

    Attributes:
      rows: The rows.
      version: Version of the store.
      has_more: Whether more rows follow than fit into the answer.
    """

    rows: tuple[RawRow, ...]
    version: int
    has_more: bool = False


def make_partition(table: str, part: str = '') -> str:
    """Returns the partition of a `Key` for a part of a table."""
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
    """Decodes a row that was written by `PlatformTable.transact`.

    Raises:
      ValueError: The value has another format.
    """
    token, body = orjson.loads(raw.value)
    return Row(key, raw.version, token, body)


class PlatformTable:
    """Client of the table service.

    Args:
      http_client: Sends the direct calls.
      timeout: Timeout of a call, in seconds.
      observe: Called after each direct call; see `CallObserver`.
      relay: Another route to the service, used when direct calls fail.
      write_timeout: Timeout of a transaction in seconds; None for `timeout`.
      version_times: Records when versions of the store were the newest ones.
    """

    def __init__(
        self,
        http_client: HttpClient,
        timeout: float,
        observe: CallObserver = lambda part, status, is_answered, took: None,
        relay: StoreRelay | None = None,
        write_timeout: float | None = None,
        version_times: VersionTimes | None = None,
    ):
        self.version_times = version_times or VersionTimes(time.monotonic)
        self._http_client = http_client
        self._timeout = timeout
        self._observe = observe
        self._relay = relay or NoRelay()
        self._write_timeout = write_timeout or timeout
        self._mean_seconds = 0.0

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
        """See `Table`; each row stores the token of its last write."""
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
        extra_seconds = self._choose_write_timeout() - self._timeout
        answer = await self._call('POST', '/rows-tx', body, extra_seconds, part)
        if answer.status == 412:
            document = orjson.loads(answer.body)
            raise ConflictError(_list_failed(operations, document))
        return int(self._decode(answer)['ver'])

    def _choose_write_timeout(self) -> float:
        """Returns the timeout of a transaction in seconds.

        While the service is slow, one that is given up is carried out all the
        same, and its repetition waits behind it.
        """
        if self._mean_seconds <= SLOW_SECONDS:
            return self._write_timeout
        return max(self._write_timeout, SLOW_WRITE_SECONDS)

    async def read_all(self, table: str, part: str = '') -> Changes:
        """Reads all rows of a part.

        They are a consistent snapshot only if they fit into one answer; changes
        after the returned version come from `follow`.
        """
        return await self._list(table, part)

    async def _list(
        self,
        table: str,
        part: str = '',
        after: str = '',
        limit: float = math.inf,
        end: str = '',
    ) -> Changes:
        """Reads rows of a part in pages, in the order of their keys.

        A page may have fewer rows than requested, as the service also limits
        its bytes; only `has_more` shows whether rows follow.

        Returns:
          The rows, and the version of the first page: the feed has all changes
          after it.
        """
        rows: list[RawRow] = []
        version = 0
        while len(rows) < limit:
            start = after + '\0' if after else ''
            most = WORKER_PAGE_ROWS if table == WORKERS_TABLE else PAGE_ROWS
            page_rows = int(min(most, limit - len(rows)))
            page = await self._get(table, part, start, end, page_rows)
            rows.extend(page.rows)
            version = version or page.version
            if not page.rows or not page.has_more:
                break
            after = page.rows[-1].key
        return Changes(tuple(rows), version)

    async def list_cordoned_zones(self) -> frozenset[str]:
        """Returns the zones to which operators let no new work be sent.

        Raises:
          UnavailableError: The service did not answer.
        """
        found = await self.read_range(
            CONFIGURATION_TABLE, CORDON_PREFIX, CORDON_END
        )
        # The key alone cordons a zone; the value has no meaning.
        return frozenset(
            row.key.removeprefix(CORDON_PREFIX) for row in found.rows
        )

    async def read_range(self, table: str, after: str, end: str) -> Changes:
        """Reads the rows without a part between two keys, both excluded."""
        return await self._list(table, after=after, end=end)

    async def follow(self, table: str, after: int, wait: float) -> Changes:
        """Returns the rows of a table that changed after a version.

        Args:
          table: Name of the table.
          after: The version.
          wait: Longest time in seconds to wait for a change.

        Raises:
          HistoryLostError: The service no longer has the changes since then.
          UnavailableError: The service did not answer.
        """
        wait_ms = int(wait * 1000)
        path = f'/rows-feed?table={table}&after={after}&waitMs={wait_ms}'
        answer = await self._call(
            'GET', path, extra_seconds=wait, total_timeout=READ_SECONDS
        )
        document = self._decode(answer)
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
        document = self._decode(answer)
        rows = tuple(_decode_raw(row) for row in document['rows'])
        has_more = bool(document.get('hasMore'))
        return Changes(rows, int(document['ver']), has_more)

    def _decode(self, answer: HttpResponse) -> dict[str, Any]:
        document: dict[str, Any] = orjson.loads(answer.body)
        if 'nowMs' in document:
            self.version_times.record(
                int(document['ver']), float(document['nowMs']) / 1000
            )
        return document

    def make_probe(self, partition: str) -> StoreCall:
        """Returns a call with a short answer, to test whether a part works."""
        table, part = _split(partition)
        query = urllib.parse.urlencode(
            {'table': table, 'part': part, 'limit': 1, 'from': PROBE_KEY}
        )
        return StoreCall(part, 'GET', f'/rows-get?{query}', None, self._timeout)

    async def send_directly(self, call: StoreCall) -> HttpResponse:
        """Sends a call without the relay; returns failures as a status."""
        clock = asyncio.get_running_loop()
        sent_at = clock.time()
        kind = _KINDS.get(call.path.partition('?')[0], CallKind.OTHER)
        answer = await self._http_client.call(
            call.method,
            call.path,
            call.body,
            {'Content-Type': 'application/json'},
            timeout=call.timeout,
            total_timeout=call.total_timeout,
            kind=kind,
        )
        is_answered = answer.status in ANSWERED_STATUSES
        took = clock.time() - sent_at
        if is_answered and not kind.waits:
            self._mean_seconds += SAMPLE_WEIGHT * (took - self._mean_seconds)
        self._observe(call.part, answer.status, is_answered, took)
        return answer

    async def _send(self, call: StoreCall) -> HttpResponse:
        """Sends a call on each route until one gets an answer.

        If none does, a failure that leaves the call's effect unknown takes
        precedence over a rejection on the other route.
        """
        routes: list[Callable[[StoreCall], Awaitable[HttpResponse | None]]]
        routes = [self.send_directly, self._relay.send]
        if self._relay.is_preferred(call.part):
            routes.reverse()
        clock = asyncio.get_running_loop()
        end = clock.time() + call.timeout
        failures: list[HttpResponse] = []
        for send in routes:
            remaining = end - clock.time()
            if failures and remaining < MIN_ROUTE_SECONDS:
                break
            answer = await send(attrs.evolve(call, timeout=remaining))
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
        extra_seconds: float = 0.0,
        part: str = '',
        total_timeout: float | None = None,
    ) -> HttpResponse:
        data = None if body is None else orjson.dumps(body)
        call = StoreCall(
            part,
            method,
            path,
            data,
            self._timeout + extra_seconds,
            total_timeout,
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
    """Returns the keys of rows whose version differs from the expected one."""
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
