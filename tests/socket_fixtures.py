"""Fixtures: an HTTP server on real sockets that may reset connections."""

from __future__ import annotations

import asyncio
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import attrs


@attrs.frozen
class Request:
    """A request that was delivered.

    Attributes:
      method: HTTP method.
      path: Path and query.
      body: The body.
      connection: Number of its connection, from 0.
      bytes: All of its bytes.
    """

    method: str
    path: str
    body: bytes
    connection: int
    bytes: bytes


@attrs.frozen
class Response:
    """A response to a request.

    Attributes:
      status: HTTP status.
      body: The body.
      closes: Whether the server closes the connection afterwards.
    """

    status: int = 200
    body: bytes = b'{}'
    closes: bool = False


Handle = Callable[[Request], Awaitable[Response | None]]
"""Returns the response to a request, or None to reset its connection."""


@attrs.define(eq=False)
class SocketServer:
    """A server that records the requests delivered to it.

    Attributes:
      handle: Answers requests.
      requests: The requests, in order.
      connections: Number of connections accepted.
      address: Its IP address and port.
    """

    handle: Handle
    requests: list[Request] = attrs.Factory(list)
    connections: int = 0
    address: str = ''
    _tasks: set[asyncio.Task[None]] = attrs.Factory(set)
    _writers: set[asyncio.StreamWriter] = attrs.Factory(set)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        connection = self.connections
        self.connections += 1
        try:
            await self._serve_requests(reader, writer, connection)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # The client has closed the connection.
        finally:
            writer.close()
            self._tasks.discard(task)
            self._writers.discard(writer)

    async def _serve_requests(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: int,
    ) -> None:
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            size = re.search(rb'(?i)content-length: (\d+)', head)
            body = await reader.readexactly(int(size[1]) if size else 0)
            method, path, _ = head.decode('latin-1').split(' ', 2)
            request = Request(method, path, body, connection, head + body)
            self.requests.append(request)
            response = await self.handle(request)
            if response is None:
                writer.transport.abort()
                return
            length = len(response.body)
            writer.write(
                f'HTTP/1.1 {response.status} Status\r\n'
                f'Content-Length: {length}\r\n\r\n'.encode()
                + (b'' if method == 'HEAD' else response.body)
            )
            await writer.drain()
            if response.closes:
                return

    async def stop(self) -> None:
        """Resets all connections and waits until they are closed."""
        for writer in tuple(self._writers):
            writer.transport.abort()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@asynccontextmanager
async def open_server(handle: Handle) -> AsyncIterator[SocketServer]:
    """Opens a server on a free port of the loopback interface."""
    server = SocketServer(handle)
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    port = listener.sockets[0].getsockname()[1]
    server.address = f'127.0.0.1:{port}'
    try:
        yield server
    finally:
        listener.close()
        await server.stop()
