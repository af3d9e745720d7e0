"""Compares the reported run state of failed requests with actual runs."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import pytest
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError

from lentilmount.clock import ManualClock
from lentilmount.errors import ErrorKind, Ran, UpstreamError
from lentilmount.resources import ConfigurationSpec
from lentilmount.routing.forward import Call, CurlForwarder, Result
from lentilmount.routing.response_times import MIN_SAMPLES, SORT_INTERVAL
from stand_ins.raw import LOOPBACK, Act, RawOptions, RawRequest, RawUpstream
from tests.helpers import run
from tests.routing_fixtures import (
    SERVICE,
    SPEC,
    RoutingFixture,
    make_call,
    make_configuration,
)

FAILURES = (
    Act.RESET_BEFORE,
    Act.RESET_AFTER,
    Act.CUT_BODY,
    Act.ANSWER_ANOTHER,
    Act.REFUSE,
    Act.IGNORE,
)


async def try_route(
    fixture: RoutingFixture, call: Call, timeout: float
) -> Ran | None:
    """Routes a call; returns the run state if it failed, else None."""
    try:
        await fixture.router.route(call, timeout)
    except UpstreamError as error:
        return error.ran
    return None


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize('act', FAILURES)
def test_not_run_is_reported_only_when_true(act: Act, idempotent: bool) -> None:
    """The caller gets "not run" only if no upstream ran the request."""

    async def check() -> None:
        async with await RoutingFixture.start(3) as fixture:
            for upstream in fixture.upstreams[:2]:
                upstream.choose_act = lambda _: act
            calls = [make_call(n, idempotent) for n in range(12)]
            reported = await asyncio.gather(
                *(try_route(fixture, call, 0.2) for call in calls)
            )
            for call, ran in zip(calls, reported, strict=True):
                runs = fixture.count_runs(call)
                assert ran is not Ran.NO or runs == 0
                assert idempotent or runs <= 1
                if ran is None:
                    assert runs >= 1

    run(check())


def test_refused_connections_are_not_run() -> None:
    async def check() -> None:
        async with await RoutingFixture.start(2) as fixture:
            for upstream in fixture.upstreams:
                upstream.stop()
            with pytest.raises(UpstreamError) as caught:
                await fixture.router.route(make_call(1, False), None)
            assert caught.value.ran is Ran.NO

    run(check())


def test_refusing_upstreams_are_reported_as_overload() -> None:
    async def check() -> None:
        async with await RoutingFixture.start(2) as fixture:
            for upstream in fixture.upstreams:
                upstream.choose_act = lambda _: Act.REFUSE
            with pytest.raises(UpstreamError) as caught:
                await fixture.router.route(make_call(1, False), None)
            assert caught.value.kind is ErrorKind.OVERLOADED
            assert caught.value.ran is Ran.NO
            assert caught.value.retry_after

    run(check())


def die_after_first(upstream: RawUpstream) -> None:
    """Makes an upstream answer one request, run the next and reset."""
    answered: list[str] = []

    def choose(request: RawRequest) -> Act:
        answered.append(request.id)
        return Act.ANSWER if len(answered) == 1 else Act.RESET_AFTER

    upstream.choose_act = choose


async def post_with_plain_client(
    client: CurlAsyncHTTPClient, address: str, call: Call
) -> None:
    """Sends a POST with an unmodified client."""
    with contextlib.suppress(CurlError):
        await client.fetch(
            f'http://{address}/check',
            method='POST',
            body=call.body,
            headers={'Lentilmount-Request': call.id},
        )


@pytest.mark.parametrize('with_forwarder', [False, True])
def test_libcurl_resends_on_a_closed_connection(with_forwarder: bool) -> None:
    """A plain client runs a POST twice; the forwarder runs it once."""

    async def check() -> int:
        async with await RoutingFixture.start(1) as fixture:
            upstream = fixture.upstreams[0]
            die_after_first(upstream)
            client = CurlAsyncHTTPClient(force_instance=True)
            for number in (1, 2):
                call = make_call(number, idempotent=False)
                if with_forwarder:
                    await fixture.forwarder.send(upstream.address, call, 1.0, 8)
                else:
                    await post_with_plain_client(client, upstream.address, call)
            client.close()
            return upstream.served['request-2']

    assert run(check()) == (1 if with_forwarder else 2)


def test_refusal_after_a_libcurl_retry_is_unknown() -> None:
    """The caller gets "unknown" although the last error is "refused"."""

    async def check() -> None:
        async with await RoutingFixture.start(1) as fixture:
            upstream = fixture.upstreams[0]
            first = make_call(1)
            await fixture.forwarder.send(upstream.address, first, 1.0, 8)

            def stop(request: RawRequest) -> Act:
                upstream.served[request.id] += 1
                upstream.stop()
                return Act.IGNORE

            upstream.choose_act = stop
            call = make_call(2)
            reply = await fixture.forwarder.send(upstream.address, call, 1.0, 8)
            assert upstream.served[call.id] == 1
            assert upstream.accepted == 1
            assert reply.result is Result.UNKNOWN

    run(check())


def make_first_copies_slow(upstreams: list[RawUpstream]) -> None:
    """Makes upstreams slow for the first copy of each request only."""
    seen: set[str] = set()

    def choose_for(upstream: RawUpstream) -> Callable[[RawRequest], Act]:
        def choose(request: RawRequest) -> Act:
            upstream.factor = 1.0 if request.id in seen else 300.0
            seen.add(request.id)
            return Act.ANSWER

        return choose

    for upstream in upstreams:
        upstream.choose_act = choose_for(upstream)


def test_hedge_is_only_for_idempotent_requests() -> None:
    """A slow non-idempotent request runs once; an idempotent one twice."""

    async def check() -> None:
        weights = ConfigurationSpec(hedge_share=1.0)
        configuration = make_configuration(weights=weights)
        options = RawOptions(mean_ms=2)
        async with await RoutingFixture.start(
            2,
            options,
            configuration,
            entry_hosts=1,
            monotonic=ManualClock().monotonic,
        ) as fixture:
            times = fixture.router.pools.get(SERVICE, SPEC).response_times
            for _ in range(MIN_SAMPLES + SORT_INTERVAL):
                times.add(0.005)
            assert times.high_quantile == 0.005
            make_first_copies_slow(fixture.upstreams)
            for first in (200, 202):
                calls = [
                    make_call(number, number < 204)
                    for number in (first, first + 1, first + 4, first + 5)
                ]
                reported = await asyncio.gather(
                    *(try_route(fixture, call, 5.0) for call in calls)
                )
                assert reported == [None] * len(calls)
                runs = [fixture.count_runs(call) for call in calls]
                assert runs == [2, 2, 1, 1]

    run(check())


def test_path_that_cannot_be_sent_is_not_run() -> None:
    async def check() -> None:
        forwarder = CurlForwarder()
        call = Call('r', 'desk/quota', 'GET', 'caf\u00e9')
        reply = await forwarder.send(f'{LOOPBACK}:1', call, 1.0, 8)
        assert reply.result is Result.NOT_RUN
        forwarder.close()

    run(check())
