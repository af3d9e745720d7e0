"""A transactional table in memory, served as DynamoDB JSON."""

from __future__ import annotations

import asyncio
import collections
import json
import time
from collections.abc import Callable
from typing import Any

import attrs
from sortedcontainers import SortedDict
from tornado.web import Application

from lentilmount.coordination.table import (
    ABSENT,
    Check,
    ConflictError,
    Delete,
    Key,
    Operation,
    Put,
    Row,
)
from lentilmount.upstream.table import make_item, parse_item
from stand_ins.faults import FAULTS_PATH, Faults, FaultsHandler, FaultyHandler

MAX_HISTORY = 200_000


@attrs.frozen
class Write:
    """One entry of the write history, for checkers.

    Attributes:
      at: Monotonic time in seconds.
      key: Key of the row.
      version: The row's new version.
      token: Token of the transaction.
      body: The row's new content; None if it was deleted.
    """

    at: float
    key: Key
    version: int
    token: str
    body: dict[str, Any] | None


class MemoryTable:
    """An in-memory implementation of the `Table` protocol.

    Attributes:
      history: The last `MAX_HISTORY` writes, oldest first.
      reads: Number of rows read.
      writes: Number of rows written.
      calls: Number of calls, by method name.
    """

    def __init__(self, monotonic: Callable[[], float] = time.monotonic) -> None:
        self._monotonic = monotonic
        self._rows: SortedDict = SortedDict()
        self.history: collections.deque[Write] = collections.deque(
            maxlen=MAX_HISTORY
        )
        self.reads = 0
        self.writes = 0
        self.calls: collections.Counter[str] = collections.Counter()

    async def read(self, keys: list[Key]) -> dict[Key, Row]:
        """See `Table`."""
        self.reads += len(keys)
        self.calls['read'] += 1
        return {key: self._rows[key] for key in keys if key in self._rows}

    async def scan(
        self, partition: str, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """See `Table`."""
        self.calls['scan'] += 1
        found: list[Row] = []
        start = Key(partition, after)
        for key in self._rows.irange(start, inclusive=(False, False)):
            if key.partition != partition or len(found) == limit:
                break
            found.append(self._rows[key])
        self.reads += max(1, len(found))
        return found

    async def transact(self, token: str, operations: list[Operation]) -> None:
        """See `Table`."""
        self.calls['transact'] += 1
        failed = tuple(
            op.key for op in operations if self._version(op.key) != op.expected
        )
        if failed:
            raise ConflictError(failed)
        for operation in operations:
            self._apply(token, operation)

    def list_history(self) -> list[dict[str, Any]]:
        """Returns the write history as JSON values, for checkers."""
        return [
            {
                'at': write.at,
                'partition': write.key.partition,
                'sort': write.key.sort,
                'version': write.version,
                'token': write.token,
                'body': write.body,
            }
            for write in self.history
        ]

    def _version(self, key: Key) -> int:
        return self._rows[key].version if key in self._rows else ABSENT

    def _apply(self, token: str, operation: Operation) -> None:
        if isinstance(operation, Check):
            return
        self.writes += 1
        key, version = operation.key, operation.expected + 1
        body = operation.body if isinstance(operation, Put) else None
        if body is None:
            del self._rows[key]
        else:
            self._rows[key] = Row(key, version, token, body)
        self.history.append(Write(self._monotonic(), key, version, token, body))


def _read_operation(item: dict[str, Any]) -> Operation:
    ((name, fields),) = item.items()
    values = fields.get('ExpressionAttributeValues')
    expected = int(values[':v']['N']) if values else ABSENT
    if name == 'Put':
        row = parse_item(fields['Item'])
        return Put(row.key, row.body, expected)
    key = Key(fields['Key']['p']['S'], fields['Key']['s']['S'])
    if name == 'Delete':
        return Delete(key, expected)
    return Check(key, expected)


def _write_row(row: Row) -> dict[str, Any]:
    return make_item(row.key, row.version, row.token, row.body)


class TableHandler(FaultyHandler):
    """Serves the three DynamoDB operations that lentilmount uses."""

    async def post(self) -> None:
        """Dispatches on the operation in the target header."""
        name = self.request.headers['X-Amz-Target'].partition('.')[2]
        request = json.loads(self.request.body)
        table: MemoryTable = self.parts['table']
        calls = {
            'TransactGetItems': self._get,
            'Query': self._query,
            'TransactWriteItems': self._write,
        }
        await calls[name](table, request)

    async def _get(self, table: MemoryTable, request: Any) -> None:
        keys = [
            Key(item['Get']['Key']['p']['S'], item['Get']['Key']['s']['S'])
            for item in request['TransactItems']
        ]
        rows = await table.read(keys)
        responses = [
            {'Item': _write_row(rows[key])} if key in rows else {}
            for key in keys
        ]
        self.reply({'Responses': responses})

    async def _query(self, table: MemoryTable, request: Any) -> None:
        rows = await table.scan(
            request['ExpressionAttributeValues'][':p']['S'],
            request.get('ExclusiveStartKey', {}).get('s', {'S': ''})['S'],
            request['Limit'],
        )
        self.reply({'Items': [_write_row(row) for row in rows]})

    async def _write(self, table: MemoryTable, request: Any) -> None:
        operations = [_read_operation(i) for i in request['TransactItems']]
        token = request['ClientRequestToken']
        if self.faults.late_writes:
            self._write_late(table, token, operations)
            return
        try:
            await table.transact(token, operations)
        except ConflictError as error:
            reasons = [
                {
                    'Code': 'ConditionalCheckFailed'
                    if op.key in error.keys
                    else 'None'
                }
                for op in operations
            ]
            self.reply(
                {
                    '__type': 'com.amazonaws.dynamodb.v20120810#'
                    'TransactionCanceledException',
                    'CancellationReasons': reasons,
                },
                400,
            )
            return
        self.reply({})

    def _write_late(
        self, table: MemoryTable, token: str, operations: list[Operation]
    ) -> None:
        async def apply() -> None:
            await asyncio.sleep(self.faults.late_writes)
            try:
                await table.transact(token, operations)
            except ConflictError:
                return

        self.parts['late'].append(asyncio.ensure_future(apply()))
        self.cut_off()


class TableStatsHandler(FaultyHandler):
    """Reports the table's counters and history to benchmarks and checkers."""

    def get(self) -> None:
        """Answers with the counters, and with the history on request."""
        table: MemoryTable = self.parts['table']
        answer: dict[str, Any] = {
            'reads': table.reads,
            'writes': table.writes,
            'calls': dict(table.calls),
        }
        if self.get_query_argument('history', ''):
            answer['history'] = table.list_history()
        self.finish(json.dumps(answer))


def make_table_app(table: MemoryTable, faults: Faults) -> Application:
    """Builds the HTTP application of a table."""
    parts: dict[str, Any] = {'table': table, 'faults': faults, 'late': []}
    return Application(
        [
            (FAULTS_PATH, FaultsHandler, {'faults': faults}),
            ('/_stats', TableStatsHandler, parts),
            ('/', TableHandler, parts),
        ]
    )
