"""The users' platform's table service in memory.

It has rows with versions, conditional transactions, a feed of changes, and
faults that tests inject.
"""

from __future__ import annotations

import asyncio
import base64
import enum
import itertools
import math
import time
from typing import Any, cast

import attrs
import orjson
from tornado.web import Application, RequestHandler

MAX_CHANGES = 2000
"""Maximum number of changes that the feed keeps."""

MAX_QUEUE_SECONDS = 1.0
"""Time of waiting transactions above which further ones are refused."""

MAX_ANSWER_BYTES = 1_000_000
"""Maximum size of the encoded values in an answer that lists rows."""

Address = tuple[str, str, str]
"""Table, part and key of a row."""


class Fault(enum.Enum):
    """Ways in which the service fails.

    LOST_ANSWER carries out a call and closes the connection unanswered;
    LOST_SUBMISSION does so for writes to the table of jobs only.
    """

    NONE = 'none'
    REFUSE = 'refuse'
    SILENT = 'silent'
    LOST_ANSWER = 'lost-answer'
    LOST_SUBMISSION = 'lost-submission'


@attrs.define
class StoreListener:
    """One address of the service, which can fail while others work.

    Attributes:
      address: Host and port.
      fault: Fault of the calls to this address.
    """

    address: str = ''
    fault: Fault = Fault.NONE


@attrs.define
class Change:
    """One version of a row; the value is None if it was removed."""

    address: Address
    version: int
    value: bytes | None


@attrs.define(eq=False)
class RowStore:
    """Rows that share one version counter.

    Attributes:
      version: Version of the newest transaction.
      rows: Current rows.
      changes: Changes that the feed can still return, oldest first.
      trimmed_version: Newest version that was dropped from the feed.
      fault: Fault of the calls to every address.
      max_changes: Maximum number of changes that the feed keeps.
      transaction_seconds: Time that a transaction takes. They are carried out
        one after another.
    """

    version: int = 0
    rows: dict[Address, Change] = attrs.Factory(dict)
    changes: list[Change] = attrs.Factory(list)
    trimmed_version: int = 0
    fault: Fault = Fault.NONE
    max_changes: int = MAX_CHANGES
    transaction_seconds: float = 0.0
    _free_at: float = -math.inf
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def queue_transaction(self, now: float) -> float | None:
        """Returns the seconds until a transaction is carried out.

        Args:
          now: Time in seconds.

        Returns:
          The seconds; None if it is refused, as too many others are waiting.
        """
        begin = max(now, self._free_at)
        if begin - now > MAX_QUEUE_SECONDS:
            return None
        self._free_at = begin + self.transaction_seconds
        return self._free_at - now

    def write(self, address: Address, value: bytes | None) -> None:
        """Writes one row without a condition, as other programs do."""
        self.version += 1
        self._apply(address, value)
        self._wake()

    def transact(
        self,
        conditions: dict[Address, int],
        writes: dict[Address, bytes | None],
    ) -> dict[Address, int] | None:
        """Applies all writes if every row has the expected version.

        Args:
          conditions: Expected version of each row; 0 for no row.
          writes: New value of each row; None removes it.

        Returns:
          None if applied, else the current versions of the rows in
          `conditions`.
        """
        current = {
            address: self.rows[address].version if address in self.rows else 0
            for address in conditions
        }
        if current != conditions:
            return current
        self.version += 1
        for address, value in writes.items():
            self._apply(address, value)
        self._wake()
        return None

    def _apply(self, address: Address, value: bytes | None) -> None:
        change = Change(address, self.version, value)
        if value is None:
            self.rows.pop(address, None)
        else:
            self.rows[address] = change
        self.changes.append(change)
        if len(self.changes) > self.max_changes:
            self.trimmed_version = self.changes.pop(0).version

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def drop_history(self) -> None:
        """Drops all changes of the feed, so that followers must rescan."""
        self.changes.clear()
        self.trimmed_version = self.version

    def scan(
        self, table: str, part: str, start: str, end: str, limit: int
    ) -> list[Change]:
        """Returns rows of a part, ordered by key; `end` is exclusive."""
        keys = sorted(
            address
            for address in self.rows
            if address[:2] == (table, part)
            and address[2] >= start
            and (not end or address[2] < end)
        )
        return [self.rows[address] for address in keys[:limit]]

    async def follow(
        self, table: str, after: int, wait: float
    ) -> list[Change] | None:
        """Waits for changes of a table.

        Args:
          table: The table's name.
          after: Version after which changes are returned.
          wait: Timeout in seconds.

        Returns:
          The changes, none at the timeout; None if some were dropped.
        """
        if after < self.trimmed_version:
            return None
        found = self._list_changes(table, after)
        if not found and wait > 0:
            try:
                async with asyncio.timeout(wait):
                    while not found:
                        await self._changed.wait()
                        found = self._list_changes(table, after)
            except TimeoutError:
                return []
        return found

    def _list_changes(self, table: str, after: int) -> list[Change]:
        newer = itertools.takewhile(
            lambda change: change.version > after, reversed(self.changes)
        )
        return [change for change in newer if change.address[0] == table][::-1]


def encode_change(change: Change) -> dict[str, Any]:
    """Returns a row as the service lists it."""
    table, part, key = change.address
    row: dict[str, Any] = {
        'table': table,
        'part': part,
        'key': key,
        'ver': change.version,
    }
    if change.value is None:
        row['deleted'] = True
    else:
        row['value'] = base64.b64encode(change.value).decode()
    return row


def limit_bytes(rows: list[Change]) -> list[Change]:
    """Returns the leading rows that fit into one answer."""
    total = 0
    for number, change in enumerate(rows):
        total += len(base64.b64encode(change.value or b''))
        if total > MAX_ANSWER_BYTES:
            return rows[:number]
    return rows


def read_address(row: dict[str, Any]) -> Address:
    """Returns the address of a row in a call."""
    return row['table'], row['part'], row['key']


class _RowsHandler(RequestHandler):
    """Answers one call, or fails with the fault that is set."""

    def initialize(self, store: RowStore, listener: StoreListener) -> None:
        self.store = store
        self.listener = listener

    async def prepare(self) -> None:
        faults = (self.store.fault, self.listener.fault)
        if Fault.REFUSE in faults:
            self.set_status(503)
            self.finish()
        elif Fault.SILENT in faults:
            await asyncio.sleep(60)

    def respond(
        self, document: dict[str, Any], status: int = 200, table: str = ''
    ) -> None:
        lost = self.store.fault is Fault.LOST_ANSWER
        if table == 'jobs':
            lost |= self.store.fault is Fault.LOST_SUBMISSION
        if lost:
            connection = cast(Any, self.request.connection)
            self._auto_finish = False
            connection.detach().close()
            return
        self.set_status(status)
        self.finish(
            orjson.dumps({**document, 'nowMs': int(1000 * time.monotonic())})
        )


class _TransactHandler(_RowsHandler):
    def post(self) -> None:
        body = orjson.loads(self.request.body)
        conditions = {
            read_address(row): row['ver'] for row in body['precondition']
        }
        writes: dict[Address, bytes | None] = {
            read_address(row): base64.b64decode(row['value'])
            for row in body['writes']
        }
        writes |= {read_address(row): None for row in body['removals']}
        entries = len(conditions) + len(writes)
        parts = {address[1] for address in (*conditions, *writes)}
        if entries > 100 or len(parts) > 1:
            self.respond({'error': 'too many entries or parts'}, 400)
            return
        table = next(iter(writes), ('', '', ''))[0]
        current = self.store.transact(conditions, writes)
        if current is None:
            self.respond({'ver': self.store.version}, table=table)
            return
        rows = [
            encode_change(self.store.rows[address])
            for address in current
            if address in self.store.rows
        ]
        self.respond({'ver': self.store.version, 'rows': rows}, 412, table)


class _GetHandler(_RowsHandler):
    def get(self) -> None:
        limit = int(self.get_query_argument('limit', '500'))
        rows = self.store.scan(
            self.get_query_argument('table'),
            self.get_query_argument('part', ''),
            self.get_query_argument('from', '', strip=False),
            self.get_query_argument('to', '', strip=False),
            min(limit, 500),
        )
        fitting = limit_bytes(rows)
        self.respond(
            {
                'rows': [encode_change(change) for change in fitting],
                'hasMore': len(rows) == limit or len(fitting) < len(rows),
                'ver': self.store.version,
            }
        )


class _FeedHandler(_RowsHandler):
    async def get(self) -> None:
        found = await self.store.follow(
            self.get_query_argument('table'),
            int(self.get_query_argument('after')),
            int(self.get_query_argument('waitMs', '0')) / 1000,
        )
        if found is None:
            self.respond({}, 410)
            return
        rows = [encode_change(change) for change in found]
        self.respond({'rows': rows, 'ver': self.store.version})


def make_row_service(
    store: RowStore, listener: StoreListener | None = None
) -> Application:
    """Builds the HTTP application of a store."""
    arguments = {'store': store, 'listener': listener or StoreListener()}
    return Application(
        [
            ('/rows-tx', _TransactHandler, arguments),
            ('/rows-get', _GetHandler, arguments),
            ('/rows-feed', _FeedHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
