"""Never more than 64 connections to an upstream, over all entry hosts."""

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
    Scene,
    make_call,
    make_configuration,
    make_router,
)

SEATS = 8


async def flood(address: str, share: int, count: int, start: int) -> None:
    """Is an entry host that sends a burst and goes away."""
    forwarder = CurlForwarder()
    router, _ = make_router([address], forwarder, entry_hosts=SEATS)
    calls = (make_call(start + n, n % 3 != 0) for n in range(count))
    await asyncio.gather(
        *(router.route(call, None) for call in calls), return_exceptions=True
    )
    assert sum(router.in_flight.values()) == 0
    forwarder.close()


def test_entry_hosts_come_and_go() -> None:
    """The upstream never counts more than 64 connections."""

    async def play() -> None:
        upstream = await RawUpstream(RawOptions(slots=64, mean_ms=3)).start()

        async def hold_seat(seat: int) -> None:
            for turn in range(3):
                start = (seat * 10 + turn) * 1000
                await flood(upstream.address, 64 // SEATS, 60, start)

        await asyncio.gather(*(hold_seat(seat) for seat in range(SEATS)))
        assert upstream.accepted > 64
        assert 48 <= upstream.most_connections <= 64
        upstream.stop()

    run(play())


def test_idle_connections_count() -> None:
    """An entry host that returns after a pause keeps within its share."""

    async def play() -> None:
        options = RawOptions(slots=64, mean_ms=3)
        async with await Scene.start(1, options) as scene:
            upstream = scene.upstreams[0]
            for idempotent in (True, False, True, False):
                await asyncio.gather(
                    *(
                        scene.router.route(make_call(n, idempotent), None)
                        for n in range(20)
                    )
                )
                await asyncio.sleep(0.01)
            assert upstream.most_connections <= 64 // SEATS

    run(play())


def test_abandoned_transfers_count() -> None:
    """Requests past their deadline do not make room too early."""

    async def play() -> None:
        async with await Scene.start(1) as scene:
            upstream = scene.upstreams[0]
            upstream.silent = True
            rng = random.Random(1)
            await asyncio.gather(
                *(
                    scene.router.route(make_call(n), rng.uniform(0.01, 0.1))
                    for n in range(60)
                ),
                return_exceptions=True,
            )
            assert upstream.most_connections <= 64 // SEATS

    run(play())


def test_share_too_small_for_every_seat_is_refused() -> None:
    """With fewer connections than seats a share of one would be too many."""

    async def play() -> None:
        spec = SPEC.__class__(SPEC.demand, 1, connections=4)
        configuration = make_configuration(spec)
        async with await Scene.start(1, None, configuration) as scene:
            with pytest.raises(UpstreamError, match='fewer connections'):
                await scene.router.route(make_call(1), None)

    run(play())
