"""What a call sends, and what it returns."""

from __future__ import annotations

import asyncio
import functools
import re

import pytest

from lentilmount.platform.workers import WorkerClient
from lentilmount.resources import Room
from lentilmount.scheduling.reports import WorkerEntry, WorkerState
from lentilmount.upstream.http import CURL_ERROR, HttpClient
from tests.helpers import run
from tests.socket_fixtures import serve_connections

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

    async with serve_connections(answer) as address:
        caller = HttpClient('')
        entry = WorkerEntry(
            'i-40bb3c7090',
            1,
            address,
            'desk',
            'north',
            WorkerState.READY,
            Room(),
        )
        await WorkerClient(caller, 1, 1.0).poll(entry, 33, 482113, 1.5)
        caller.close()
    return bytes(received)


def test_a_poll_is_little_more_than_its_body() -> None:
    """Unused headers made up a third of the bytes that an owner sent."""
    received = run(_send_poll())
    assert b'X-Expected-Instance: i-40bb3c7090' in received
    assert len(received) <= MAX_POLL_BYTES


@pytest.mark.parametrize('reads_headers', [True, False])
@pytest.mark.parametrize('method', ['GET', 'POST', 'PUT', 'DELETE'])
def test_a_request_is_sent_as_given(method: str, reads_headers: bool) -> None:
    """The options that the client sets must be all that a request needs."""

    async def play() -> None:
        requests: list[bytes] = []

        async def answer(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            head = await reader.readuntil(b'\r\n\r\n')
            size = re.search(rb'Content-Length: (\d+)', head)
            body = await reader.readexactly(int(size[1]) if size else 0)
            requests.append(head + body)
            writer.write(
                b'HTTP/1.1 201 Created\r\nX-Name: value\r\n'
                b'Content-Length: 2\r\n\r\nok'
            )

        async with serve_connections(answer) as address:
            client = HttpClient(f'http://{address}')
            body = b'{"a":1}' if method in ('POST', 'PUT') else None
            response = await client.call(
                method, '/path', body, {'X-A': 'b'}, reads_headers=reads_headers
            )
            client.close()
        assert (response.status, response.body) == (201, b'ok')
        expected = 'value' if reads_headers else None
        assert response.headers.get('X-Name') == expected
        assert requests[0].startswith(f'{method} /path HTTP/1.1\r\n'.encode())
        assert b'\r\nX-A: b\r\n' in requests[0]
        assert requests[0].endswith(b'\r\n\r\n' + (body or b''))
        for name in (b'Expect', b'Content-Type', b'User-Agent'):
            assert name not in requests[0]

    run(play())


def test_a_header_with_a_line_break_is_not_sent() -> None:
    """A worker's id from the store could add headers to a request."""

    async def play() -> int:
        client = HttpClient('http://127.0.0.1:9')
        response = await client.call('GET', '/', headers={'X-A': 'b\r\nX-C: d'})
        client.close()
        return response.status

    assert run(play()) == 599


async def _serve(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, answers: int
) -> None:
    """Answers some requests of one connection and closes it at the next."""
    for number in range(answers + 1):
        await reader.readuntil(b'body')
        if number < answers:
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')


@pytest.mark.parametrize('answers', [0, 1])
def test_a_request_that_was_read_counts_as_sent(answers: int) -> None:
    """A start was sent directly after another daemon had got it."""

    async def scenario() -> bool:
        serve = functools.partial(_serve, answers=answers)
        async with serve_connections(serve) as address:
            caller = HttpClient(f'http://{address}')
            for _ in range(answers):
                assert (await caller.call('POST', '/', b'body')).status == 200
            response = await caller.call('POST', '/', b'body')
            caller.close()
        assert response.status == CURL_ERROR
        return response.was_sent

    assert run(scenario())


def test_a_request_without_a_connection_was_not_sent() -> None:
    """Starts waited for reports although a daemon was known to be gone."""

    async def scenario() -> bool:
        server = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        caller = HttpClient(f'http://127.0.0.1:{port}')
        response = await caller.call('POST', '/', b'body')
        caller.close()
        assert response.status == CURL_ERROR
        return response.was_sent

    assert not run(scenario())
