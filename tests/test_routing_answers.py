"""Tests that a caller gets the complete response to its own request or none."""

from __future__ import annotations

import asyncio

import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from lentilmount.access import Authenticator
from lentilmount.daemon.callers import make_callers_app
from lentilmount.errors import Ran, UpstreamError
from lentilmount.routing.forward import Result
from lentilmount.routing.router import Router
from lentilmount.settings import AccessSettings
from stand_ins.processes import hash_token
from stand_ins.raw import Act, RawOptions, RawRequest
from tests.helpers import run
from tests.routing_fixtures import RoutingFixture, make_call

BROKEN = (
    Act.CUT_BODY,
    Act.CUT_BODY_WITHOUT_LENGTH,
    Act.ANSWER_ANOTHER,
    Act.RESET_AFTER,
)


@pytest.mark.parametrize('act', BROKEN)
def test_broken_answer_is_never_passed_on(act: Act) -> None:
    """The caller gets an error that says "unknown", never a wrong response."""

    async def check() -> None:
        async with await RoutingFixture.start(1) as fixture:
            fixture.upstreams[0].choose_act = lambda _: act
            with pytest.raises(UpstreamError) as caught:
                await fixture.router.route(make_call(1), None)
            assert caught.value.ran is Ran.UNKNOWN

    run(check())


@pytest.mark.parametrize('act', BROKEN)
def test_broken_answer_is_retried_elsewhere(act: Act) -> None:
    """The caller gets the correct response, from the second upstream."""

    async def check() -> None:
        async with await RoutingFixture.start(2) as fixture:
            fixture.upstreams[0].choose_act = lambda _: act
            for number in range(4):
                call = make_call(number)
                reply = await fixture.router.route(call, None)
                assert reply.body == b'POST ' + call.body

    run(check())


@pytest.mark.parametrize(
    'act',
    [Act.ANSWER_TWICE, Act.ANSWER_WITHOUT_ID_TWICE, Act.CLOSE_UNANNOUNCED],
)
def test_second_answer_never_reaches_another_caller(act: Act) -> None:
    """Callers get their own responses although every response comes twice."""

    async def check() -> None:
        async with await RoutingFixture.start(1) as fixture:
            fixture.upstreams[0].choose_act = lambda _: act
            failed = 0
            for number in range(30):
                call = make_call(number)
                reply = await fixture.forwarder.send(
                    fixture.upstreams[0].address, call, 1.0, 8
                )
                await asyncio.sleep(0.001)
                if reply.result is Result.ANSWERED:
                    assert reply.body == b'POST ' + call.body
                else:
                    failed += 1
            # After the first wrong request id no connection is reused.
            assert failed <= 1

    run(check())


def test_answers_out_of_order_reach_their_callers() -> None:
    """Forty concurrent callers get their own responses, in any order."""

    async def check() -> None:
        options = RawOptions(mean_ms=5, spread=1.0)
        async with await RoutingFixture.start(2, options) as fixture:
            calls = [make_call(n, idempotent=n % 2 == 0) for n in range(40)]
            replies = await asyncio.gather(
                *(fixture.router.route(call, None) for call in calls)
            )
            for call, reply in zip(calls, replies, strict=True):
                assert reply.body == b'POST ' + call.body

    run(check())


TOKEN = 'token'
ACCESS = AccessSettings('caller', hash_token(TOKEN), '*', ('call',))


def serve(router: Router) -> tuple[HTTPServer, int]:
    """Starts a server for callers; returns it and its port."""
    (socket,) = bind_sockets(0, '127.0.0.1')
    server = HTTPServer(make_callers_app(Authenticator((ACCESS,)), router))
    server.add_socket(socket)
    return server, socket.getsockname()[1]


def make_request(number: int) -> bytes:
    body = b'body-%d' % number
    return (
        b'POST /call/desk/quota/check HTTP/1.1\r\nHost: x\r\n'
        b'Authorization: Bearer token\r\nLentilmount-Idempotent: true\r\n'
        b'Lentilmount-Request: request-%d\r\nContent-Length: %d\r\n\r\n%s'
        % (number, len(body), body)
    )


async def read_answer(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.lower().split(b'\r\n')
    (length,) = [x for x in lines if x.startswith(b'content-length')]
    return head, await reader.readexactly(int(length.partition(b':')[2]))


def test_disconnected_caller_does_not_affect_others() -> None:
    """The next callers on a kept connection get their own responses."""

    async def check() -> None:
        options = RawOptions(mean_ms=20)
        async with await RoutingFixture.start(1, options) as fixture:
            server, port = serve(fixture.router)
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(make_request(0))
            await asyncio.sleep(0.005)
            writer.transport.abort()
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            for number in (1, 2):
                writer.write(make_request(number) + make_request(number + 10))
                for n in (number, number + 10):
                    _, body = await read_answer(reader)
                    assert body == b'POST body-%d' % n
            writer.close()
            server.stop()
            await server.close_all_connections()

    run(check())


def test_path_arrives_as_it_was_sent() -> None:
    async def check() -> None:
        async with await RoutingFixture.start(1) as fixture:
            paths: list[str] = []

            def record_path(request: RawRequest) -> Act:
                paths.append(request.path)
                return Act.ANSWER

            fixture.upstreams[0].choose_act = record_path
            server, port = serve(fixture.router)
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            path = b'a%20b/%2E%2E/../c%3Fd?e=%26&f'
            writer.write(make_request(1).replace(b'check', path))
            await read_answer(reader)
            assert paths == ['/' + path.decode()]
            writer.close()
            server.stop()
            await server.close_all_connections()

    run(check())


def test_repeated_headers_are_kept() -> None:
    async def check() -> None:
        async with await RoutingFixture.start(1) as fixture:
            upstream = fixture.upstreams[0]

            def add_cookies(request: RawRequest) -> Act:
                for connection in upstream.connections:
                    body = b'POST ' + request.body
                    cookies = ('Set-Cookie: a=1', 'Set-Cookie: b=2')
                    head = connection.make_head(request, body, 200, cookies)
                    connection.send(head + body)
                return Act.IGNORE

            upstream.choose_act = add_cookies
            server, port = serve(fixture.router)
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(make_request(1))
            head, _ = await read_answer(reader)
            assert head.lower().count(b'set-cookie') == 2
            writer.close()
            server.stop()
            await server.close_all_connections()

    run(check())
