"""Calls to hundreds of workers at the same time.

Load pattern: polls wait at every worker of a large fleet, and calls to the
workers of a lost zone take until their timeout, while starts and stops must
reach the others.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

from lentilmount.control.lifecycle import MAX_WORKER_CALLS
from lentilmount.upstream.http import HttpClient
from tests.helpers import run
from tests.socket_fixtures import serve_connections

WORKERS = 700
"""Workers whose polls wait; the deployments that are planned have 690."""

TIMEOUT_SECONDS = 10.0


@contextlib.asynccontextmanager
async def _open_workers() -> AsyncIterator[tuple[str, list[str]]]:
    """Serves workers that answer commands at once, and polls never.

    Yields:
      Base address, and the paths of the requests that arrived.
    """
    arrived: list[str] = []

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            path = head.split()[1].decode()
            arrived.append(path)
            if path == '/poll':
                await reader.read()
                return
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')

    async with serve_connections(answer, backlog=WORKERS) as address:
        yield f'http://{address}', arrived


def test_polls_of_all_workers_leave_room_for_commands() -> None:
    """A command waited until one of 600 polls ended."""

    async def play() -> None:
        async with _open_workers() as (base, arrived):
            client = HttpClient(base, TIMEOUT_SECONDS, MAX_WORKER_CALLS)
            polls = [
                asyncio.create_task(client.call('GET', '/poll'))
                for _ in range(WORKERS)
            ]
            async with asyncio.timeout(TIMEOUT_SECONDS):
                command = await client.call('GET', '/start')
                while len(arrived) <= WORKERS:
                    await asyncio.sleep(0.01)
            assert command.status == 200
            assert not any(poll.done() for poll in polls)
            for poll in polls:
                poll.cancel()
            client.close()

    run(play())


def test_handles_are_created_on_demand() -> None:
    """Each daemon held handles for the calls of an owner: 4.5 MB a host."""

    async def play() -> None:
        async with _open_workers() as (base, _):
            client = HttpClient(base, TIMEOUT_SECONDS, MAX_WORKER_CALLS)
            for _ in range(3):
                await client.call('GET', '/start')
            assert len(client._client._curls) == 1
            client.close()

    run(play())


def test_calls_beyond_the_limit_wait_for_a_free_handle() -> None:
    """Without a limit, a stuck service would use up the descriptors."""

    async def play() -> None:
        async with _open_workers() as (base, arrived):
            client = HttpClient(base, 0.5, 2)
            calls = [
                asyncio.create_task(client.call('GET', path))
                for path in ('/poll', '/poll', '/start')
            ]
            statuses = [(await call).status for call in calls]
            assert statuses == [599, 599, 200]
            assert arrived[2:] == ['/start']
            client.close()

    run(play())
