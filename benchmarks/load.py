"""Open-loop load generator: requests are sent when due, not after responses.

Latencies are measured from the time a request was due, so that a stalled
system does not slow the load down and hide its own delay.
"""

from __future__ import annotations

import asyncio
import collections
import json
import random
import time
from collections.abc import Iterator, Sequence

import attrs
from hdrh.histogram import HdrHistogram

HISTOGRAM_RANGE = (1, 60_000_000, 3)
CALLER_GRACE_SECONDS = 1.0
"""Time that a caller waits for a response beyond the timeout."""


@attrs.frozen
class Stream:
    """A stream of requests to one service.

    Attributes:
      service: Name of the service, as team/name.
      rate: Mean number of requests per second.
      begin: Begin of the stream, in seconds from the start of the run.
      end: End of the stream, in seconds from the start of the run.
      idempotent: Share of idempotent requests.
      counted_from: Time from which results are counted, in seconds from the
        start of the run; earlier requests are the warm-up.
      timeout: Timeout of a request in seconds.
    """

    service: str
    rate: float
    begin: float
    end: float
    idempotent: float = 0.8
    counted_from: float = 0.0
    timeout: float = 4.0


@attrs.define
class Tally:
    """Results of one stream, as seen by its callers.

    Attributes:
      histogram: Time until a response or a failure, in microseconds, without
        refused requests that did not run.
      sent: Number of counted requests.
      answered: Number of complete, successful responses.
      in_time: Number of successful responses within the latency target.
      refused: Number of responses which state that the request did not run.
      failed: Number of other failures.
      wrong: Number of responses that belong to another request.
      reported_not_run: Ids of requests reported as not run, counted or not.
      non_idempotent: Ids of non-idempotent requests, counted or not.
    """

    histogram: HdrHistogram = attrs.Factory(
        lambda: HdrHistogram(*HISTOGRAM_RANGE)
    )
    sent: int = 0
    answered: int = 0
    in_time: int = 0
    refused: int = 0
    failed: int = 0
    wrong: int = 0
    reported_not_run: set[str] = attrs.Factory(set)
    non_idempotent: set[str] = attrs.Factory(set)

    def get_percentile_ms(self, percentile: float) -> float:
        """Returns a percentile of the histogram in milliseconds."""
        value: int = self.histogram.get_value_at_percentile(percentile)
        return value / 1000


@attrs.frozen
class Response:
    """An HTTP response.

    Attributes:
      status: Status code.
      ran: Value of the Lentilmount-Ran header, or an empty string.
      body: Body.
    """

    status: int
    ran: str
    body: bytes


class _Connection(asyncio.Protocol):
    """A persistent connection that carries one request at a time."""

    def __init__(self) -> None:
        self.response: asyncio.Future[Response] | None = None
        self.transport: asyncio.Transport | None = None
        self._buffer = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the pending request, if any."""
        self.transport = None
        if self.response is not None and not self.response.done():
            self.response.set_exception(ConnectionResetError())

    def data_received(self, data: bytes) -> None:
        """Completes the pending request when its response is complete."""
        self._buffer += data
        head, found, rest = self._buffer.partition(b'\r\n\r\n')
        if not found:
            return
        length, ran = 0, ''
        lines = head.decode('latin-1').split('\r\n')
        for line in lines[1:]:
            name, _, value = line.partition(':')
            if name.lower() == 'content-length':
                length = int(value)
            elif name == 'Lentilmount-Ran':
                ran = value.strip()
        if len(rest) < length:
            return
        self._buffer = b''
        if self.response is not None and not self.response.done():
            status = int(lines[0].split(' ')[1])
            self.response.set_result(Response(status, ran, rest))


class Client:
    """Sends requests to one address over as many connections as needed."""

    def __init__(self, address: str, token: str = ''):
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._token = token
        self._idle: collections.deque[_Connection] = collections.deque()

    async def send(
        self,
        path: str,
        request: str,
        body: bytes,
        idempotent: bool,
        timeout: float,
    ) -> Response:
        """Sends one POST request.

        Raises:
          OSError: The connection was refused or lost.
          TimeoutError: No response within the timeout and the grace period.
        """
        connection = await self._get_connection()
        loop = asyncio.get_running_loop()
        connection.response = loop.create_future()
        head = (
            f'POST {path} HTTP/1.1\r\nHost: {self._host}\r\n'
            f'Authorization: Bearer {self._token}\r\n'
            f'Lentilmount-Request: {request}\r\n'
            f'Lentilmount-Idempotent: {str(idempotent).lower()}\r\n'
            f'Lentilmount-Timeout-Ms: {timeout * 1000:.0f}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        assert connection.transport is not None
        connection.transport.write(head.encode() + body)
        try:
            async with asyncio.timeout(timeout + CALLER_GRACE_SECONDS):
                response = await connection.response
        except (OSError, TimeoutError):
            if connection.transport is not None:
                connection.transport.abort()
            raise
        self._idle.append(connection)
        return response

    async def _get_connection(self) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.transport is not None:
                return connection
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            _Connection, self._host, self._port
        )
        return connection

    def close(self) -> None:
        """Closes the connections."""
        for connection in self._idle:
            if connection.transport is not None:
                connection.transport.close()


class Load:
    """Sends streams of requests, each to a randomly chosen daemon."""

    def __init__(self, clients: Sequence[Client], target: float, seed: int):
        self._clients = clients
        self._target = target
        self._random = random.Random(seed)
        self._sent = 0

    async def run(self, name: str, streams: Sequence[Stream]) -> list[Tally]:
        """Sends all streams and returns their results, in the same order."""
        tallies = [Tally() for _ in streams]
        start = time.monotonic()
        await asyncio.gather(
            *(
                self._send_stream(name, stream, tally, start)
                for stream, tally in zip(streams, tallies, strict=True)
            )
        )
        return tallies

    async def _send_stream(
        self, name: str, stream: Stream, tally: Tally, start: float
    ) -> None:
        tasks = set()
        for due in self._list_times(stream):
            wait = start + due - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            counted = due >= stream.counted_from
            task = asyncio.create_task(
                self._send(name, stream, tally, start + due, counted)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    def _list_times(self, stream: Stream) -> Iterator[float]:
        due = stream.begin
        while True:
            due += self._random.expovariate(stream.rate)
            if due >= stream.end:
                return
            yield due

    async def _send(
        self, name: str, stream: Stream, tally: Tally, due: float, counted: bool
    ) -> None:
        self._sent += 1
        request = f'{name}-{self._sent}'
        idempotent = self._random.random() < stream.idempotent
        if not idempotent:
            tally.non_idempotent.add(request)
        tally.sent += counted
        client = self._random.choice(self._clients)
        path = f'/call/{stream.service}/check'
        body = request.encode()
        try:
            response = await client.send(
                path, request, body, idempotent, stream.timeout
            )
        except (OSError, TimeoutError):
            self._count_failure(tally, due, counted)
            return
        self._count(tally, request, response, due, counted)

    def _count(
        self,
        tally: Tally,
        request: str,
        response: Response,
        due: float,
        counted: bool,
    ) -> None:
        if response.status == 200:
            seconds = time.monotonic() - due
            tally.wrong += response.body != b'POST ' + request.encode()
            if counted:
                tally.answered += 1
                tally.in_time += seconds <= self._target
                _record(tally, seconds)
            return
        if response.ran == 'no':
            tally.reported_not_run.add(request)
            tally.refused += counted
            return
        self._count_failure(tally, due, counted)

    def _count_failure(self, tally: Tally, due: float, counted: bool) -> None:
        # Failed requests count with the time that the callers waited:
        # without them the tail would look best where most requests fail.
        if counted:
            tally.failed += 1
            _record(tally, time.monotonic() - due)


def _record(tally: Tally, seconds: float) -> None:
    tally.histogram.record_value(max(1, int(seconds * 1e6)))


async def send_control(
    address: str, path: str, value: object
) -> dict[str, object]:
    """Sets the faults of a raw upstream, or reads its record of requests."""
    client = Client(address)
    body = json.dumps(value).encode()
    response = await client.send(path, 'control', body, True, 10.0)
    client.close()
    reply: dict[str, object] = json.loads(response.body)
    return reply
