"""What a call to a service puts on the link."""

from __future__ import annotations

import asyncio

from lentilmount.platform.workers import WorkerClient
from lentilmount.resources import Room
from lentilmount.scheduling.reports import WorkerEntry, WorkerState
from lentilmount.upstream.http import HttpClient
from tests.helpers import run

LOOK_BYTES = 210
"""A look's request line, body and the headers that a worker reads."""


async def _send_look() -> bytes:
    """Sends a look to a server that notes its bytes."""
    heard = bytearray()

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        heard.extend(await reader.readuntil(b'}'))
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
        writer.close()

    server = await asyncio.start_server(answer, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    caller = HttpClient('')
    entry = WorkerEntry(
        'i-40bb3c7090',
        1,
        f'127.0.0.1:{port}',
        'desk',
        'north',
        WorkerState.READY,
        Room(),
    )
    await WorkerClient(caller, 1, 1.0).poll(entry, 33, 482113, 1.5)
    caller.close()
    server.close()
    return bytes(heard)


def test_a_look_is_little_more_than_its_body() -> None:
    """A third of what an owner sends was headers that nobody read."""
    heard = run(_send_look())
    assert b'X-Expected-Instance: i-40bb3c7090' in heard
    assert len(heard) <= LOOK_BYTES
