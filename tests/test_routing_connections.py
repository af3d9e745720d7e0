"""Tests that all entry hosts together open at most 64 connections."""

from __future__ import annotations

import asyncio
import random

import pytest

from lentilmount.errors import UpstreamError
from lentilmount.routing.forward import CurlForwarder
from stand_ins.raw import RawOptions, RawUpstream
from tests.helpers import run
from tests.routing_fixtures import (
    SPEC,
    RoutingFixture,
    make_call,
    make_configuration,
    make_router,
)

ENTRY_HOSTS = 8


async def flood(address: str, share: int, count: int, start: int) -> None:
    """Runs an entry host that sends a burst of requests and stops."""
    forwarder = CurlForwarder()
    router, _ = make_router([address], forwarder, entry_hosts=ENTRY_HOSTS)
    calls = (make_call(start + n, n % 3 != 0) for n in range(count))
    await asyncio.gather(
        *(router.route(call, None) for call in calls), return_exceptions=True
    )
    assert sum(router.in_flight.values()) == 0
    forwarder.close()


def test_entry_hosts_come_and_go() -> None:
    """An upstream has at most 64 connections while entry hosts restart."""

    async def check() -> None:
        upstream = await RawUpstream(RawOptions(slots=64, mean_ms=3)).start()

        async def run_entry_host(host: int) -> None:
            for turn in range(3):
                start = (host * 10 + turn) * 1000
                await flood(upstream.address, 64 // ENTRY_HOSTS, 60, start)

        await asyncio.gather(
            *(run_entry_host(host) for host in range(ENTRY_HOSTS))
        )
        assert upstream.accepted > 64
        assert 48 <= upstream.most_connections <= 64
        upstream.stop()

    run(check())


def test_idle_connections_count() -> None:
    """Idle connections of an entry host count towards its share."""

    async def check() -> None:
        options = RawOptions(slots=64, mean_ms=3)
        async with await RoutingFixture.start(1, options) as fixture:
            upstream = fixture.upstreams[0]
            for idempotent in (True, False, True, False):
                await asyncio.gather(
                    *(
                        fixture.router.route(make_call(n, idempotent), None)
                        for n in range(20)
                    )
                )
                await asyncio.sleep(0.01)
            assert upstream.most_connections <= 64 // ENTRY_HOSTS

    run(check())


def test_abandoned_transfers_count() -> None:
    """Requests past their deadline do not free connections too early."""

    async def check() -> None:
        async with await RoutingFixture.start(1) as fixture:
            upstream = fixture.upstreams[0]
            upstream.silent = True
            rng = random.Random(1)
            await asyncio.gather(
                *(
                    fixture.router.route(make_call(n), rng.uniform(0.01, 0.1))
                    for n in range(60)
                ),
                return_exceptions=True,
            )
            assert upstream.most_connections <= 64 // ENTRY_HOSTS

    run(check())


def test_too_few_connections_for_entry_hosts_is_refused() -> None:
    """A share of one connection per entry host would exceed the limit."""

    async def check() -> None:
        spec = SPEC.__class__(SPEC.demand, 1, connections=4)
        configuration = make_configuration(spec)
        async with await RoutingFixture.start(
            1, None, configuration
        ) as fixture:
            with pytest.raises(UpstreamError, match='fewer connections'):
                await fixture.router.route(make_call(1), None)

    run(check())
