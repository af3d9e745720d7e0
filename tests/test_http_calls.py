"""Tests the number of bytes that a call to a worker sends."""

from __future__ import annotations

import asyncio

from lentilmount.platform.workers import WorkerClient
from lentilmount.resources import Room
from lentilmount.scheduling.reports import WorkerEntry, WorkerState
from lentilmount.upstream.http import HttpClient
from tests.helpers import run

MAX_POLL_BYTES = 210
"""Size of a poll: request line, body and the headers that a worker reads."""


async def _send_poll() -> bytes:
    """Sends a poll to a server that records it; returns its bytes."""
    received = bytearray()

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        received.extend(await reader.readuntil(b'}'))
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
    return bytes(received)


def test_a_poll_is_little_more_than_its_body() -> None:
    """Unused headers made up a third of the bytes that an owner sent."""
    received = run(_send_poll())
    assert b'X-Expected-Instance: i-40bb3c7090' in received
    assert len(received) <= MAX_POLL_BYTES
