"""Client for the platform's table service (DynamoDB JSON protocol).

One table; its partition key is `p` and its sort key `s`. The other
attributes are the version `v`, the last transaction's token `t`, and the
body `b` as JSON text.
"""

from __future__ import annotations

import json
from typing import Any

from lentilmount.coordination.table import (
    ABSENT,
    Check,
    ConflictError,
    Delete,
    Key,
    Operation,
    Put,
    Row,
    UnavailableError,
)
from lentilmount.upstream.http import HttpClient

TABLE_NAME = 'lentilmount'
CONTENT_TYPE = 'application/x-amz-json-1.0'
TARGET = 'DynamoDB_20120810.'
READ_LIMIT = 100


def make_key(key: Key) -> dict[str, Any]:
    """Encodes a key for the protocol."""
    return {'p': {'S': key.partition}, 's': {'S': key.sort}}


def make_item(key: Key, version: int, token: str, body: Any) -> dict[str, Any]:
    """Encodes a row for the protocol."""
    return {
        **make_key(key),
        'v': {'N': str(version)},
        't': {'S': token},
        'b': {'S': json.dumps(body, separators=(',', ':'))},
    }


def parse_item(item: dict[str, Any]) -> Row:
    """Decodes a row of the protocol."""
    return Row(
        Key(item['p']['S'], item['s']['S']),
        int(item['v']['N']),
        item['t']['S'],
        json.loads(item['b']['S']),
    )


def _make_condition(expected: int) -> dict[str, Any]:
    if expected == ABSENT:
        return {'ConditionExpression': 'attribute_not_exists(p)'}
    return {
        'ConditionExpression': 'v = :v',
        'ExpressionAttributeValues': {':v': {'N': str(expected)}},
    }


def _make_write(token: str, operation: Operation) -> dict[str, Any]:
    fields: dict[str, Any] = {
        'TableName': TABLE_NAME,
        **_make_condition(operation.expected),
    }
    if isinstance(operation, Put):
        version = operation.expected + 1
        item = make_item(operation.key, version, token, operation.body)
        return {'Put': {**fields, 'Item': item}}
    name = 'Delete' if isinstance(operation, Delete) else 'ConditionCheck'
    assert isinstance(operation, Delete | Check)
    return {name: {**fields, 'Key': make_key(operation.key)}}


class HttpTable:
    """The `Table` protocol over HTTP."""

    def __init__(self, base: str, timeout: float = 2.0):
        self._caller = HttpClient(base, timeout)

    async def read(self, keys: list[Key]) -> dict[Key, Row]:
        """See `Table`."""
        found: dict[Key, Row] = {}
        for start in range(0, len(keys), READ_LIMIT):
            items = [
                {'Get': {'TableName': TABLE_NAME, 'Key': make_key(key)}}
                for key in keys[start : start + READ_LIMIT]
            ]
            response = await self._call(
                'TransactGetItems', {'TransactItems': items}
            )
            for entry in response['Responses']:
                if 'Item' in entry:
                    row = parse_item(entry['Item'])
                    found[row.key] = row
        return found

    async def scan(
        self, partition: str, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """See `Table`."""
        request: dict[str, Any] = {
            'TableName': TABLE_NAME,
            'ConsistentRead': True,
            'KeyConditionExpression': 'p = :p',
            'ExpressionAttributeValues': {':p': {'S': partition}},
            'Limit': limit,
        }
        if after:
            request['ExclusiveStartKey'] = make_key(Key(partition, after))
        response = await self._call('Query', request)
        return [parse_item(item) for item in response['Items']]

    async def transact(self, token: str, operations: list[Operation]) -> None:
        """See `Table`."""
        request = {
            'ClientRequestToken': token,
            'TransactItems': [_make_write(token, op) for op in operations],
        }
        response = await self._call('TransactWriteItems', request)
        reasons = response.get('CancellationReasons')
        if reasons is None:
            return
        failed = tuple(
            operation.key
            for operation, reason in zip(operations, reasons, strict=True)
            if reason['Code'] != 'None'
        )
        raise ConflictError(failed)

    async def _call(self, name: str, request: Any) -> dict[str, Any]:
        response = await self._caller.call(
            'POST',
            '/',
            json.dumps(request).encode(),
            {'Content-Type': CONTENT_TYPE, 'X-Amz-Target': TARGET + name},
        )
        cancelled = b'TransactionCanceledException' in response.body
        if response.status == 200 or (response.status == 400 and cancelled):
            result: dict[str, Any] = json.loads(response.body)
            return result
        raise UnavailableError(f'{name}: HTTP status {response.status}')

    def close(self) -> None:
        """Closes the connections."""
        self._caller.close()
