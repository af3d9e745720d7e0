"""Fixtures: servers on real sockets, one for HTTP that resets connections."""

from __future__ import annotations

import asyncio
import enum
import re
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import attrs

RESETTING = struct.pack('ii', 1, 0)
"""Value of SO_LINGER with which closing a socket resets its connection."""


ServeConnection = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]
"""Serves one connection."""


@asynccontextmanager
async def serve_connections(
    serve: ServeConnection, backlog: int = 100
) -> AsyncIterator[str]:
    """Serves connections on loopback; all of them are closed at the end.

    Args:
      serve: Serves one connection. Its connection is closed when it returns,
        and when the client closes it.
      backlog: Number of connections that may wait to be accepted.

    Yields:
      The address.
    """
    tasks: set[asyncio.Task[None]] = set()

    async def run(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            await serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # The client has closed the connection.
        except asyncio.CancelledError:
            pass  # The server is being stopped.
        finally:
            writer.close()
            tasks.discard(task)

    listener = await asyncio.start_server(run, '127.0.0.1', 0, backlog=backlog)
    try:
        yield f'127.0.0.1:{listener.sockets[0].getsockname()[1]}'
    finally:
        listener.close()
        # Connections that were just accepted have no task yet.
        await asyncio.sleep(0)
        running = tuple(tasks)
        for task in running:
            task.cancel()
        await asyncio.gather(*running)


class Ending(enum.Enum):
    """How a connection goes on after a response."""

    KEEP = 'keep'
    CLOSE = 'close'
    RESET = 'reset'


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
      status: HTTP status, or None to send nothing.
      body: The body.
      ending: How the connection goes on afterwards.
    """

    status: int | None = 200
    body: bytes = b'{}'
    ending: Ending = Ending.KEEP


DELIVERED_AND_RESET = Response(None, ending=Ending.RESET)


Handle = Callable[[Request], Awaitable[Response]]
"""Returns the response to a request."""


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

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        connection = self.connections
        self.connections += 1
        await self._serve_requests(reader, writer, connection)

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
            if response.status is not None:
                body = b'' if method == 'HEAD' else response.body
                writer.write(
                    f'HTTP/1.1 {response.status} Status\r\n'
                    f'Content-Length: {len(response.body)}\r\n\r\n'.encode()
                    + body
                )
                await writer.drain()
            if response.ending is Ending.RESET:
                connection_socket = writer.get_extra_info('socket')
                connection_socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESETTING
                )
                writer.transport.abort()
            if response.ending is not Ending.KEEP:
                return


@asynccontextmanager
async def open_server(handle: Handle) -> AsyncIterator[SocketServer]:
    """Opens a server on a free port of the loopback interface."""
    server = SocketServer(handle)
    async with serve_connections(server.serve) as address:
        server.address = address
        yield server
