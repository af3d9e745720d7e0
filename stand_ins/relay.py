"""A TCP relay that can drop traffic, to partition daemons in tests."""

from __future__ import annotations

import asyncio
import contextlib
import enum

CHUNK_BYTES = 65536
LOOPBACK = '127.0.0.1'


class Flow(enum.Enum):
    """Treatment of the bytes of one direction."""

    PASS = 'pass'
    DROP = 'drop'


class Relay:
    """Relays connections to a target.

    Dropped bytes are lost for their connection, as on a network that loses
    every packet of one direction: both ends stay connected and receive
    nothing.

    Attributes:
      address: IP address and port to use in place of the target's.
      target: IP address and port of the target.
      forward: Treatment of bytes towards the target.
      backward: Treatment of bytes from the target.
    """

    def __init__(self, target: str = ''):
        self.address = ''
        self.target = target
        self.forward = Flow.PASS
        self.backward = Flow.PASS
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aenter__(self) -> Relay:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._handle_connection, LOOPBACK, 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{LOOPBACK}:{port}'
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes every connection."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set(self, flow: Flow) -> None:
        """Sets both directions."""
        self.forward = self.backward = flow

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._relay_bytes(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _relay_bytes(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(':')
        other_reader, other_writer = await asyncio.open_connection(
            host, int(port)
        )
        pumps = [
            asyncio.create_task(self._pump(reader, other_writer, True)),
            asyncio.create_task(self._pump(other_reader, writer, False)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)
            other_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_forward: bool,
    ) -> None:
        lossy = False
        while data := await reader.read(CHUNK_BYTES):
            flow = self.forward if is_forward else self.backward
            # After a gap the rest of the byte stream would be corrupt.
            lossy = lossy or flow is Flow.DROP
            if not lossy:
                writer.write(data)
                await writer.drain()
