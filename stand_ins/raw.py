"""A fast HTTP upstream without a framework, for load and broken answers.

It runs requests in slots, first come, first served, and counts requests and
connections. `python -m stand_ins.raw FILE` serves many upstreams in one
process; FILE holds `RawOptions` as JSON.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import enum
import json
import math
import pathlib
import random
import sys
from collections.abc import Callable

import attrs

from lentilmount.codec import decode

LOOPBACK = '127.0.0.1'
RECORD_PATH = '/_record'
FAULTS_PATH = '/_faults'
REPEAT_DELAY_SECONDS = 0.005


class Act(enum.Enum):
    """How the upstream handles a request."""

    ANSWER = 'answer'
    RESET_BEFORE = 'reset before it runs'
    RESET_AFTER = 'reset after it ran'
    CUT_BODY = 'cut in the body'
    CUT_BODY_WITHOUT_LENGTH = 'cut in a body that has no length'
    ANSWER_ANOTHER = 'answer another request'
    ANSWER_TWICE = 'answer twice'
    ANSWER_WITHOUT_ID = 'answer without naming the request'
    ANSWER_WITHOUT_ID_TWICE = 'answer twice without naming the request'
    CLOSE_UNANNOUNCED = 'answer, then close without telling'
    REFUSE = 'refuse it'
    IGNORE = 'never answer'


@attrs.frozen
class RawRequest:
    """A parsed request.

    Attributes:
      method: HTTP method.
      path: Path with the query.
      headers: Headers, by lower-case name.
      body: The whole body.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """The request id; empty if there is none."""
        return self.headers.get('lentilmount-request', '')


@attrs.define
class RawOptions:
    """Options of the upstreams of one process.

    Attributes:
      names: Names of the upstreams.
      slots: Maximum number of requests that each runs at once.
      mean_ms: Mean service time of a request, in milliseconds.
      spread: Sigma of the log-normal distribution of the service time.
      seed: Seed of the service times.
    """

    names: tuple[str, ...] = ('raw',)
    slots: int = 8
    mean_ms: float = 0.0
    spread: float = 0.25
    seed: int = 1


def _choose_answer(_: RawRequest) -> Act:
    return Act.ANSWER


class RawUpstream:
    """One upstream.

    Attributes:
      address: IP address and port.
      choose_act: Returns how a request is handled.
      factor: Factor on the service time of each request.
      silent: Whether it reads requests without running or answering them.
      leaving: Whether its answers announce that it is leaving.
      served: Number of runs of each request, by request id.
      connections: Open connections.
      most_connections: Highest number of connections open at once.
      accepted: Number of connections accepted so far.
    """

    def __init__(self, options: RawOptions):
        self.address = ''
        self.choose_act: Callable[[RawRequest], Act] = _choose_answer
        self.factor = 1.0
        self.silent = False
        self.leaving = False
        self.served: collections.Counter[str] = collections.Counter()
        self.connections: set[RawConnection] = set()
        self.most_connections = 0
        self.accepted = 0
        self._options = options
        self._free = options.slots
        self._waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._random = random.Random(options.seed)
        self._server: asyncio.Server | None = None

    async def start(self, port: int = 0) -> RawUpstream:
        """Starts to listen; port 0 takes a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: RawConnection(self), LOOPBACK, port, backlog=512
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{LOOPBACK}:{port}'
        return self

    def stop(self) -> None:
        """Stops listening and resets every connection."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def run(self, request: RawRequest, done: Callable[[], None]) -> None:
        """Runs a request once a slot is free, then calls `done`."""
        if self._free:
            self._free -= 1
            self._start_request(request, done)
        else:
            self._waiting.append(lambda: self._start_request(request, done))

    def _start_request(
        self, request: RawRequest, done: Callable[[], None]
    ) -> None:
        self.served[request.id] += 1
        spread = self._options.spread
        # The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
        share = self._random.lognormvariate(-(spread**2) / 2, spread)
        seconds = self._options.mean_ms / 1000 * share * self.factor
        loop = asyncio.get_running_loop()
        if seconds:
            loop.call_later(seconds, self._end_request, done)
        else:
            loop.call_soon(self._end_request, done)

    def _end_request(self, done: Callable[[], None]) -> None:
        self._free += 1
        if self._waiting:
            self._free -= 1
            self._waiting.popleft()()
        done()

    def answer_control(self, request: RawRequest) -> bytes:
        """Sets the attributes that the body names; returns the counters."""
        if request.path == FAULTS_PATH:
            for name, value in json.loads(request.body).items():
                setattr(self, name, value)
            self._waiting.clear()
        return json.dumps(
            {
                'served': self.served if request.path == RECORD_PATH else {},
                'most_connections': self.most_connections,
                'accepted': self.accepted,
            }
        ).encode()


class RawConnection(asyncio.Protocol):
    """One connection; requests on it are answered in order."""

    def __init__(self, upstream: RawUpstream):
        self._upstream = upstream
        self._buffer = b''
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Adds the connection to the upstream's counters."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        upstream = self._upstream
        upstream.connections.add(self)
        upstream.accepted += 1
        upstream.most_connections = max(
            upstream.most_connections, len(upstream.connections)
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection from the open ones."""
        self._upstream.connections.discard(self)

    def abort(self) -> None:
        """Resets the connection."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Handles each request that has been received whole."""
        self._buffer += data
        while b'\r\n\r\n' in self._buffer:
            head, _, rest = self._buffer.partition(b'\r\n\r\n')
            lines = head.decode('latin-1').split('\r\n')
            method, path, _ = lines[0].split(' ')
            headers = _read_headers(lines[1:])
            length = int(headers.get('content-length', 0))
            if len(rest) < length:
                return
            self._buffer = rest[length:]
            self._handle_request(
                RawRequest(method, path, headers, rest[:length])
            )

    def _handle_request(self, request: RawRequest) -> None:
        upstream = self._upstream
        if request.path in (RECORD_PATH, FAULTS_PATH):
            self._write(request, upstream.answer_control(request))
            return
        act = upstream.choose_act(request)
        if upstream.silent or act is Act.IGNORE:
            return
        if act is Act.RESET_BEFORE:
            self.abort()
        elif act is Act.REFUSE:
            self._write(request, b'busy', 503, ('Lentilmount-Ran: no',))
        else:
            upstream.run(request, lambda: self._finish(request, act))

    def _finish(self, request: RawRequest, act: Act) -> None:
        body = request.method.encode() + b' ' + request.body
        respond = _RESPONDERS.get(act, RawConnection._write)
        respond(self, request, body)

    def _write(
        self,
        request: RawRequest,
        body: bytes,
        status: int = 200,
        headers: tuple[str, ...] = (),
        request_id: str | None = None,
    ) -> None:
        self.send(
            self.make_head(request, body, status, headers, request_id) + body
        )

    def make_head(
        self,
        request: RawRequest,
        body: bytes,
        status: int = 200,
        headers: tuple[str, ...] = (),
        request_id: str | None = None,
    ) -> bytes:
        """Builds the head of an answer.

        Args:
          request: The request.
          body: Body that follows.
          status: HTTP status.
          headers: Further header lines.
          request_id: Request id to answer with; None for the request's own,
            empty for none.
        """
        lines = [f'HTTP/1.1 {status} -', f'Content-Length: {len(body)}']
        lines += headers
        request_id = request.id if request_id is None else request_id
        if request_id:
            lines.append(f'Lentilmount-Request: {request_id}')
        if self._upstream.leaving:
            lines.append('Lentilmount-Leaving: true')
        return '\r\n'.join([*lines, '', '']).encode('latin-1')

    def send(self, data: bytes) -> None:
        """Writes data unless the connection is closed or closing."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def close(self) -> None:
        """Closes the connection after the pending writes."""
        if self._transport is not None:
            self._transport.close()


def _read_headers(lines: list[str]) -> dict[str, str]:
    headers: dict[str, str] = {}
    for line in lines:
        name, _, value = line.partition(':')
        earlier = headers.get(name.lower())
        value = value.strip()
        headers[name.lower()] = f'{earlier},{value}' if earlier else value
    return headers


def _reset(connection: RawConnection, _: RawRequest, __: bytes) -> None:
    connection.abort()


def _cut(connection: RawConnection, request: RawRequest, body: bytes) -> None:
    connection.send(connection.make_head(request, body) + body[:-2])
    connection.close()


def _cut_without_length(
    connection: RawConnection, request: RawRequest, body: bytes
) -> None:
    head = f'HTTP/1.1 200 -\r\nLentilmount-Request: {request.id}\r\n\r\n'
    connection.send(head.encode() + body[:-2])
    connection.close()


def _answer_another(
    connection: RawConnection, request: RawRequest, _: bytes
) -> None:
    body = b"another's"
    connection.send(
        connection.make_head(request, body, request_id='another') + body
    )


def _answer_without_id(
    connection: RawConnection, request: RawRequest, body: bytes
) -> None:
    connection.send(connection.make_head(request, body, request_id='') + body)


def _send_twice(connection: RawConnection, answer: bytes) -> None:
    connection.send(answer)
    # The second answer arrives when the connection is idle and in the pool.
    loop = asyncio.get_running_loop()
    loop.call_later(REPEAT_DELAY_SECONDS, connection.send, answer)


def _answer_twice(
    connection: RawConnection, request: RawRequest, body: bytes
) -> None:
    _send_twice(connection, connection.make_head(request, body) + body)


def _answer_without_id_twice(
    connection: RawConnection, request: RawRequest, body: bytes
) -> None:
    head = connection.make_head(request, body, request_id='')
    _send_twice(connection, head + body)


def _close_unannounced(
    connection: RawConnection, request: RawRequest, body: bytes
) -> None:
    connection.send(connection.make_head(request, body) + body)
    connection.close()


_RESPONDERS: dict[Act, Callable[[RawConnection, RawRequest, bytes], None]] = {
    Act.RESET_AFTER: _reset,
    Act.CUT_BODY: _cut,
    Act.CUT_BODY_WITHOUT_LENGTH: _cut_without_length,
    Act.ANSWER_ANOTHER: _answer_another,
    Act.ANSWER_TWICE: _answer_twice,
    Act.ANSWER_WITHOUT_ID: _answer_without_id,
    Act.ANSWER_WITHOUT_ID_TWICE: _answer_without_id_twice,
    Act.CLOSE_UNANNOUNCED: _close_unannounced,
}


def get_capacity(upstreams: int, options: RawOptions) -> float:
    """Returns the requests per second that all slots can serve."""
    seconds = options.mean_ms / 1000
    return math.inf if not seconds else upstreams * options.slots / seconds


async def serve(options: RawOptions) -> None:
    """Prints the addresses of all upstreams and serves until cancelled."""
    addresses = {}
    for number, name in enumerate(options.names):
        upstream = RawUpstream(
            attrs.evolve(options, seed=options.seed * 1000 + number)
        )
        addresses[name] = (await upstream.start()).address
    print(json.dumps(addresses), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Reads the options file and serves."""
    data = pathlib.Path(sys.argv[1]).read_bytes()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(decode(data, RawOptions)))


if __name__ == '__main__':
    main()
