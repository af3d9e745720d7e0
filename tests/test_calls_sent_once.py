"""How often a call is sent where connections are closed or reset."""

from __future__ import annotations

import asyncio
import itertools

import attrs
import pytest

from lentilmount.upstream.http import HttpClient, HttpResponse
from tests.helpers import run
from tests.socket_fixtures import (
    DELIVERED_AND_RESET,
    Ending,
    Request,
    Response,
    open_server,
)

SETTLE_SECONDS = 0.02
"""Time for the end of a connection to arrive."""

LONG_IDLE_SECONDS = 1.2
"""Idle time after which libcurl checks a connection before it is reused."""

LARGE_BODY = 300_000
"""Size of a body that takes several writes, in bytes."""


@attrs.frozen
class Sent:
    """Method and body of a call."""

    method: str
    body: bytes | None = None

    def __str__(self) -> str:
        size = 'no' if self.body is None else str(len(self.body))
        return f'{self.method}-{size}'

    async def send(self, client: HttpClient) -> HttpResponse:
        """Makes the call."""
        return await client.call(self.method, '/path', self.body)


CHANGES = (
    Sent('POST', b'{"a":1}'),
    Sent('POST', b''),
    Sent('POST'),
    Sent('POST', bytes(LARGE_BODY)),
    Sent('PUT', b'object'),
    Sent('PUT', b''),
    Sent('DELETE'),
    Sent('DELETE', b'x'),
)
READS = (Sent('GET'), Sent('HEAD'))


async def _call_twice(
    call: Sent, first: Response, second: Response, pause: float
) -> tuple[list[HttpResponse], list[Request]]:
    """Makes a call twice, each answered as given, and a third time."""
    answers = iter((first, second))

    async def handle(request: Request) -> Response:
        return next(answers, Response())

    async with open_server(handle) as server:
        client = HttpClient(f'http://{server.address}')
        responses = [await call.send(client)]
        await asyncio.sleep(pause)
        responses += [await call.send(client), await call.send(client)]
        client.close()
        return responses, server.requests


@pytest.mark.parametrize('ending', [Ending.CLOSE, Ending.RESET])
@pytest.mark.parametrize('call', CHANGES, ids=str)
def test_a_delivered_change_is_sent_once(call: Sent, ending: Ending) -> None:
    """A call that was delivered before a reset was sent again unnoticed."""
    lost = Response(None, ending=ending)
    responses, requests = run(_call_twice(call, Response(), lost, 0.0))
    assert [response.status for response in responses] == [200, 599, 200]
    assert len(requests) == 3


@pytest.mark.parametrize('call', READS, ids=str)
def test_a_delivered_read_is_sent_again(call: Sent) -> None:
    """A read would fail with each connection that its service closes."""
    responses, requests = run(
        _call_twice(call, Response(), DELIVERED_AND_RESET, 0.0)
    )
    assert [response.status for response in responses] == [200, 200, 200]
    assert len(requests) == 4


def test_a_delivered_change_is_not_sent_on_another_idle_connection() -> None:
    """The copy went out on any other connection that was kept alive."""

    async def play() -> None:
        async def handle(request: Request) -> Response:
            if request.body == b'delivered':
                return DELIVERED_AND_RESET
            await asyncio.sleep(SETTLE_SECONDS)
            return Response()

        async with open_server(handle) as server:
            client = HttpClient(f'http://{server.address}')
            warm_up = Sent('POST', b'warm-up')
            await asyncio.gather(*(warm_up.send(client) for _ in range(4)))
            response = await Sent('POST', b'delivered').send(client)
            client.close()
            assert response.status == 599
            bodies = [request.body for request in server.requests]
            assert bodies == [b'warm-up'] * 4 + [b'delivered']
            assert server.requests[-1].connection < 4

    run(play())


@pytest.mark.parametrize('call', (*CHANGES, *READS), ids=str)
def test_a_change_is_sent_where_an_idle_connection_was_reset(
    call: Sent,
) -> None:
    """A call of which nothing was sent was taken for one without an answer."""
    reset = Response(ending=Ending.RESET)
    responses, requests = run(
        _call_twice(call, reset, Response(), SETTLE_SECONDS)
    )
    assert [response.status for response in responses] == [200, 200, 200]
    assert len(requests) == 3


def test_a_change_is_sent_where_its_connection_was_closed_long_ago() -> None:
    """A call failed with each connection that its service had given up."""

    async def play() -> None:
        closed = Response(ending=Ending.CLOSE)
        results = await asyncio.gather(
            *(
                _call_twice(call, closed, Response(), LONG_IDLE_SECONDS)
                for call in CHANGES
            )
        )
        for responses, requests in results:
            assert [response.status for response in responses] == [200] * 3
            assert len(requests) == 3

    run(play())


@pytest.mark.parametrize(
    'calls', list(itertools.permutations((*CHANGES, *READS), 2)), ids=str
)
def test_a_handle_keeps_nothing_of_the_request_before(
    calls: tuple[Sent, Sent],
) -> None:
    """A reused handle sent the method or the body of another request."""

    async def play() -> None:
        async def handle(request: Request) -> Response:
            return Response()

        async with open_server(handle) as server:
            client = HttpClient(f'http://{server.address}', clients=1)
            for call in calls:
                await call.send(client)
            client.close()
            other = HttpClient(f'http://{server.address}', clients=1)
            await calls[1].send(other)
            other.close()
            _, reused, fresh = server.requests
            assert reused.method == calls[1].method
            assert reused.body == (calls[1].body or b'')
            assert reused.bytes == fresh.bytes

    run(play())


def test_a_read_is_sent_again_by_a_handle_that_sent_a_change() -> None:
    """A handle kept the limit of the change that it sent before."""

    async def play() -> None:
        answers = iter((Response(), Response(), DELIVERED_AND_RESET))

        async def handle(request: Request) -> Response:
            return next(answers, Response())

        async with open_server(handle) as server:
            client = HttpClient(f'http://{server.address}', clients=1)
            for call in (CHANGES[0], READS[0], READS[0]):
                assert (await call.send(client)).status == 200
            client.close()
            assert len(server.requests) == 4

    run(play())
