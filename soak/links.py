"""A link: a proxy of HTTP/1.1 in front of a worker or of the table service.

It parses requests, so that it knows when one has been delivered, and applies
the faults that the plan sets.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from typing import Any

import attrs
import orjson

from soak.events import Event, EventKind, EventLog, get_time
from soak.plan import Fault, FaultKind
from soak.worker import RECEIVED_HEADER, REJECTION_HEADER
from stand_ins.model_worker import START_PATH

LOOPBACK = '127.0.0.1'
HEAD_END = b'\r\n\r\n'
ANSWER_SECONDS = 5.0
"""Longest time for which an answer is read whose caller is gone."""

ARMED_SECONDS = 3.0
"""Time for which a fault waits for a call to which it applies."""

_NO_LINGER = struct.pack('ii', 1, 0)


@attrs.frozen
class _Message:
    """A request or a response.

    Attributes:
      first: Its first line.
      headers: Its header lines.
      body: Its body.
    """

    first: bytes
    headers: tuple[bytes, ...]
    body: bytes

    @property
    def path(self) -> str:
        """Path of a request, without its query."""
        return self.first.split()[1].decode().partition('?')[0]

    def encode(self, *more_headers: bytes) -> bytes:
        """Returns its bytes, with further headers."""
        lines = (self.first, *self.headers, *more_headers)
        return b'\r\n'.join(lines) + HEAD_END + self.body

    def replace_body(self, body: bytes) -> bytes:
        """Returns its bytes with another body."""
        headers = tuple(
            b'Content-Length: %d' % len(body) if _is_length(line) else line
            for line in self.headers
        )
        return _Message(self.first, headers, body).encode()


class _ConnectionResetByFaultError(Exception):
    """The fault of a call resets its connection."""


@attrs.define(eq=False)
class Link:
    """A proxy in front of one address.

    Attributes:
      name: Name of the link in events.
      log: Events of all links.
      target: Address to which it connects; '' while there is none.
      address: Address on which it listens.
      armed: Faults that wait for a call, and when they were set.
      silent_until: Time in seconds until which nothing passes.
      calls_cut_until: Time until which no call arrives.
      answers_cut_until: Time until which no answer arrives.
      unhealthy_until: Time until which starts are answered with a status.
      unhealthy_status: That status.
      calls: Number of calls.
      change_answer: Changes the body of each answer.
    """

    name: str
    log: EventLog
    target: str = ''
    address: str = ''
    armed: list[tuple[float, Fault]] = attrs.Factory(list)
    silent_until: float = 0.0
    calls_cut_until: float = 0.0
    answers_cut_until: float = 0.0
    unhealthy_until: float = 0.0
    unhealthy_status: int = 0
    calls: int = 0
    change_answer: Callable[[bytes], bytes] = bytes
    _writers: set[asyncio.StreamWriter] = attrs.Factory(set)
    _tasks: set[asyncio.Task[Any]] = attrs.Factory(set)
    _left: set[asyncio.StreamWriter] = attrs.Factory(set)
    _server: asyncio.Server | None = None

    async def open(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{LOOPBACK}:{port}'

    async def close(self) -> None:
        """Ends all calls and closes all connections."""
        if self._server is not None:
            self._server.close()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks)
        for writer in self._left:
            writer.close()

    def leave_open(self, writer: asyncio.StreamWriter) -> None:
        """Closes a connection to the target a little later."""

        def close() -> None:
            self._left.discard(writer)
            writer.close()

        self._left.add(writer)
        asyncio.get_running_loop().call_later(ANSWER_SECONDS, close)

    def reset_connections(self) -> None:
        """Resets all connections of callers."""
        for writer in list(self._writers):
            _reset(writer)

    def set_fault(self, fault: Fault) -> None:
        """Applies a fault from now on."""
        until = get_time() + fault.seconds
        if fault.kind is FaultKind.SILENCE:
            self.silent_until = until
        elif fault.kind is FaultKind.CUT_CALLS:
            self.calls_cut_until = until
        elif fault.kind is FaultKind.CUT_ANSWERS:
            self.answers_cut_until = until
        elif fault.kind is FaultKind.UNHEALTHY:
            self._set_unhealthy(fault)
        elif fault.kind is FaultKind.BURST:
            self.reset_connections()
        else:
            self.armed += [(get_time(), fault)] * fault.count

    def _set_unhealthy(self, fault: Fault) -> None:
        self.unhealthy_until = get_time() + fault.unhealthy_seconds
        self.unhealthy_status = fault.status

    def _take_fault(self, path: str, is_reused: bool) -> Fault | None:
        now = get_time()
        self.armed = [(t, f) for t, f in self.armed if now < t + ARMED_SECONDS]
        for entry in self.armed:
            fault = entry[1]
            if path != fault.path and fault.path:
                continue
            if fault.kind is FaultKind.RESET and not is_reused:
                continue
            self.armed.remove(entry)
            return fault
        return None

    def _note(
        self, kind: EventKind, request: _Message, detail: str = ''
    ) -> None:
        fields = {}
        if request.path.startswith('/run'):
            body = orjson.loads(request.body)
            fields = {'task': body['task'], 'run': body['run']}
        detail = f'{request.path} {detail}'.strip()
        self.log.write(
            Event(get_time(), kind, self.name, detail=detail, **fields)
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self._writers.add(writer)
        connection = _Upstream(self)
        try:
            is_reused = False
            while (request := await _read_message(reader)) is not None:
                await self._pass_on(request, writer, connection, is_reused)
                is_reused = True
        except (OSError, EOFError, _ConnectionResetByFaultError):
            _reset(writer)
        except asyncio.CancelledError:
            # The link is being closed; the server would log this one.
            return
        finally:
            self._writers.discard(writer)
            writer.close()
            connection.close()

    async def _pass_on(
        self,
        request: _Message,
        writer: asyncio.StreamWriter,
        connection: _Upstream,
        is_reused: bool,
    ) -> None:
        self.calls += 1
        received = get_time()
        fault = self._take_fault(request.path, is_reused)
        kind = fault.kind if fault else None
        await self._hold(request, fault)
        headers = [f'{RECEIVED_HEADER}: {received}'.encode()]
        if request.path == START_PATH and get_time() < self.unhealthy_until:
            status = self.unhealthy_status
            headers.append(f'{REJECTION_HEADER}: {status}'.encode())
        await connection.send(request.encode(*headers))
        if fault is not None and kind is FaultKind.RESET:
            self._note(EventKind.RESET, request)
            if fault.status:
                self._set_unhealthy(fault)
            connection.leave()
            raise _ConnectionResetByFaultError
        answer = await connection.read()
        if kind is FaultKind.DELAY_ANSWER and fault is not None:
            await asyncio.sleep(fault.seconds)
        while (left := self.silent_until - get_time()) > 0:
            await asyncio.sleep(left)
        is_cut = get_time() < self.answers_cut_until
        if kind is FaultKind.LOSE_ANSWER or is_cut:
            self._note(EventKind.LOST, request)
            await asyncio.sleep(ANSWER_SECONDS)
            raise _ConnectionResetByFaultError
        writer.write(answer.replace_body(self.change_answer(answer.body)))
        await writer.drain()

    async def _hold(self, request: _Message, fault: Fault | None) -> None:
        """Delays a call as its fault says and while nothing passes."""
        if fault is not None and fault.kind is FaultKind.DELAY_CALL:
            self._note(EventKind.HELD, request, f'{fault.seconds}')
            await asyncio.sleep(fault.seconds)
        while True:
            until = max(self.silent_until, self.calls_cut_until)
            left = until - get_time()
            if left <= 0:
                return
            self._note(EventKind.HELD, request, f'{left:.3f}')
            await asyncio.sleep(left)


@attrs.define(eq=False)
class _Upstream:
    """The connection to the target of a link, for one connection of a caller.

    Attributes:
      link: The link.
    """

    link: Link
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None
    _is_left: bool = False

    async def send(self, data: bytes) -> None:
        """Sends a request.

        Raises:
          OSError: The target cannot be reached.
        """
        if self._writer is None or self._writer.is_closing():
            host, _, port = self.link.target.rpartition(':')
            if not port:
                raise ConnectionRefusedError(self.link.name)
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )
        self._writer.write(data)
        await self._writer.drain()

    async def read(self) -> _Message:
        """Reads an answer.

        Raises:
          OSError: The connection broke off.
          EOFError: It was closed.
        """
        assert self._reader is not None
        answer = await _read_message(self._reader)
        if answer is None:
            raise EOFError
        return answer

    def leave(self) -> None:
        """Lets the target finish a call whose caller is gone."""
        self._is_left = True
        assert self._writer is not None
        self.link.leave_open(self._writer)

    def close(self) -> None:
        """Closes the connection, unless the target is to finish a call."""
        if self._writer is not None and not self._is_left:
            self._writer.close()


def _is_length(header: bytes) -> bool:
    return header.lower().startswith(b'content-length:')


def _reset(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        writer.get_extra_info('socket').setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
        )
    writer.transport.abort()


async def _read_message(reader: asyncio.StreamReader) -> _Message | None:
    """Reads a message; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(HEAD_END)
    except asyncio.IncompleteReadError:
        return None
    first, *headers = head.removesuffix(HEAD_END).split(b'\r\n')
    length = 0
    for line in headers:
        if _is_length(line):
            length = int(line.partition(b':')[2])
    body = await reader.readexactly(length)
    return _Message(first, tuple(headers), body)
