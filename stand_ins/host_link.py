"""A host with a small link and processor, and calls to a store over that link.

What the host sends passes through one queue, and what it receives through
another, first come, first served. A request that has entered the queue is
delivered even if its sender no longer waits, as its timeout runs from the call.
"""

from __future__ import annotations

import asyncio
import base64
import math
import urllib.parse
from typing import Any

import attrs
import orjson

from lentilmount.upstream.http import (
    HEAD_BYTES,
    HttpClient,
    HttpResponse,
    measure_request,
)
from stand_ins.rowstore import (
    Address,
    RowStore,
    encode_change,
    limit_bytes,
    read_address,
)

STORE_SECONDS = 0.004
"""Time that a call to the store takes each way beside the link."""

NO_ANSWER = HttpResponse(599, b'', {})


@attrs.define(eq=False)
class HostLink:
    """The link and processor of a host on the clock of the event loop.

    Attributes:
      bytes_per_second: Rate of the link, each way.
      seconds_per_call: Time of the processor that a call takes before it is
        sent.
      sent: Bytes sent.
      received: Bytes received.
    """

    bytes_per_second: float = math.inf
    seconds_per_call: float = 0.0
    sent: int = 0
    received: int = 0
    _processor_free_at: float = 0.0
    _sending_free_at: float = 0.0
    _receiving_free_at: float = 0.0

    def send(self, size: int) -> float:
        """Queues a request; returns the seconds until it has passed."""
        now = asyncio.get_running_loop().time()
        start = max(now, self._processor_free_at) + self.seconds_per_call
        self._processor_free_at = start
        start = max(start, self._sending_free_at)
        self._sending_free_at = start + size / self.bytes_per_second
        self.sent += size
        return self._sending_free_at - now

    def receive(self, size: int) -> float:
        """Queues a response; returns the seconds until it has passed."""
        now = asyncio.get_running_loop().time()
        start = max(now, self._receiving_free_at)
        self._receiving_free_at = start + size / self.bytes_per_second
        self.received += size
        return self._receiving_free_at - now


@attrs.define(eq=False)
class StoreCalls(HttpClient):
    """Sends calls to a store in this process over a host's link.

    Attributes:
      store: The store.
      host_link: The link.
    """

    store: RowStore
    host_link: HostLink

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str] | None,
        timeout: float | None,
        base: str | None,
        total_timeout: float | None,
        reads_headers: bool,
        connect_timeout: float,
    ) -> HttpResponse:
        """See `HttpClient`."""
        # A long answer is bounded as a whole, since it arrives continuously.
        limit = timeout if total_timeout is None else total_timeout
        try:
            async with asyncio.timeout(limit):
                return await self._exchange(
                    path, body or b'', measure_request(path, body, headers)
                )
        except TimeoutError:
            return NO_ANSWER

    async def _exchange(
        self, path: str, body: bytes, size: int
    ) -> HttpResponse:
        loop = asyncio.get_running_loop()
        arrival: asyncio.Future[tuple[int, dict[str, Any]]]
        arrival = loop.create_future()
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query))

        def deliver() -> None:
            answer = self._carry_out(url.path, query, body)
            if not arrival.done():
                arrival.set_result(answer)

        loop.call_later(self.host_link.send(size) + STORE_SECONDS, deliver)
        status, document = await arrival
        if url.path == '/rows-feed':
            status, document = await self._follow(query)
        answer = orjson.dumps({**document, 'nowMs': int(1000 * loop.time())})
        passing = self.host_link.receive(HEAD_BYTES + len(answer))
        await asyncio.sleep(STORE_SECONDS + passing)
        return HttpResponse(status, answer, {})

    def _carry_out(
        self, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if path == '/rows-tx':
            return self._transact(orjson.loads(body))
        if path != '/rows-get':
            return 200, {}
        limit = int(query['limit'])
        rows = self.store.scan(
            query['table'],
            query.get('part', ''),
            query.get('from', ''),
            query.get('to', ''),
            limit,
        )
        fitting = limit_bytes(rows)
        return 200, {
            'rows': list(map(encode_change, fitting)),
            'hasMore': len(rows) == limit or len(fitting) < len(rows),
            'ver': self.store.version,
        }

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        conditions = {
            read_address(row): row['ver'] for row in body['precondition']
        }
        writes: dict[Address, bytes | None] = {
            read_address(row): base64.b64decode(row['value'])
            for row in body['writes']
        }
        writes |= {read_address(row): None for row in body['removals']}
        current = self.store.transact(conditions, writes)
        if current is None:
            return 200, {'ver': self.store.version}
        found = [self.store.rows[a] for a in current if a in self.store.rows]
        rows = list(map(encode_change, found))
        return 412, {'ver': self.store.version, 'rows': rows}

    async def _follow(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        found = await self.store.follow(
            query['table'], int(query['after']), int(query['waitMs']) / 1000
        )
        if found is None:
            return 410, {}
        rows = list(map(encode_change, found))
        return 200, {'rows': rows, 'ver': self.store.version}
