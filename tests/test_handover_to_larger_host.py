"""Handover of a service to a larger host, and its failures."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import time
from typing import cast

import orjson
import pytest
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from lentilmount.clock import SystemClock
from lentilmount.control import dispatcher
from lentilmount.control import election as elections
from lentilmount.control.candidates import Candidates
from lentilmount.control.peer_api import make_peer_api
from lentilmount.control.routes import RouteTable
from lentilmount.control.store_health import (
    OutageDetector,
    PeerList,
    StoreHealth,
)
from lentilmount.platform.host_settings import Capacity
from lentilmount.platform.store import PlatformTable
from lentilmount.scheduling.placement import Placer
from lentilmount.upstream.http import HttpClient
from tests.helpers import run
from tests.platform_fixtures import (
    SERVICE,
    PlatformFixture,
    make_election,
    open_blocked_table,
    open_platform,
    wait_for_line,
)
from tests.test_ownership import FIRST, SMALL

SMALL_HOST = Capacity(0.5, 5.0)
LARGE_HOST = Capacity(2.1, 100.0)

RESTART_TIMEOUT_SECONDS = 30.0
"""With unlimited handovers a task was not restarted within this time."""

OBSERVED_SECONDS = 8.5
"""Longer than the interval between reads of the other daemons (4 s) and the
shortest tenure (3 s) together."""


def test_an_owner_places_tasks_before_it_hands_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A small owner handed over before its first placement pass."""
    monkeypatch.setattr(elections, 'MIN_TENURE_SECONDS', 0.3)
    monkeypatch.setattr(elections, 'LARGER_HOST_HEAD_START_SECONDS', 0.1)
    monkeypatch.setattr(elections, 'LARGER_POLL_SECONDS', 0.05)
    monkeypatch.setattr(dispatcher, 'FIRST_POLL_TIMEOUT_SECONDS', 0.05)
    passes: list[float] = []

    def record_pass(*args: object) -> list[object]:
        passes.append(time.monotonic())
        return []

    monkeypatch.setattr(Placer, 'place', record_pass)

    async def play() -> None:
        async with contextlib.AsyncExitStack() as stack:
            _, table = open_blocked_table(stack)
            candidates = Candidates(SMALL_HOST)
            candidates.update({'large:1': LARGE_HOST}, True)
            election = make_election(table, candidates)
            running = asyncio.create_task(election.run())
            async with asyncio.timeout(10):
                while election.owner is None:
                    await asyncio.sleep(0.01)
            owner = election.owner
            await asyncio.sleep(0.8)
            table.gate.set()
            async with asyncio.timeout(10):
                while election.owner is owner:
                    await asyncio.sleep(0.01)
            election.stop()
            await running

    run(play())
    assert passes


def test_a_daemon_that_never_reached_the_store_is_no_successor() -> None:
    """A service was handed to a host that had not reached the store."""

    async def play() -> bool:
        health = StoreHealth(SystemClock().monotonic, SERVICE)
        caller = HttpClient('')
        peer_detector = OutageDetector(health, caller, PeerList('b'))
        application = make_peer_api(
            lambda part: peer_detector,
            cast(PlatformTable, None),
            RouteTable(health.monotonic, 2.0),
        )
        sockets = bind_sockets(0, '127.0.0.1')
        server = HTTPServer(application)
        server.add_sockets(sockets)
        own_health = StoreHealth(SystemClock().monotonic, SERVICE)
        own_detector = OutageDetector(own_health, caller, PeerList('a'))
        try:
            port = sockets[0].getsockname()[1]
            return await own_detector.may_own(f'127.0.0.1:{port}')
        finally:
            server.stop()
            caller.close()

    assert not run(play())


def test_a_host_does_not_hand_over_to_its_own_address(
    tmp_path: pathlib.Path,
) -> None:
    """A host handed its service over to itself every few seconds."""

    async def play() -> int:
        async with open_platform(tmp_path) as platform:
            small = await platform.start('host-1', limits=SMALL)
            await wait_for_line(platform, small, 'Taken: desk.')
            line = small.select(message='Started.')[0]
            body = {
                'address': line['internal'],
                'cores': 2.1,
                'link_mbps': 100.0,
            }
            platform.store.write(
                ('daemons', '', 'host-9'), orjson.dumps(['old', body])
            )
            await asyncio.sleep(OBSERVED_SECONDS)
            message = 'Handing desk over to a larger host.'
            return len(small.select(message=message))

    assert run(play()) == 0


def add_larger_host(platform: PlatformFixture) -> None:
    """Adds a daemon that reaches the store and never acquires a lease."""
    health = StoreHealth(SystemClock().monotonic, 'desk')
    health.record(True)
    outage = OutageDetector(health, HttpClient(''), PeerList('b'))
    server = HTTPServer(
        make_peer_api(
            lambda part: outage,
            cast(PlatformTable, None),
            RouteTable(health.monotonic, 2.0),
        )
    )
    sockets = bind_sockets(0, '127.0.0.1')
    server.add_sockets(sockets)
    platform.stack.callback(server.stop)
    body = {
        'address': f'127.0.0.1:{sockets[0].getsockname()[1]}',
        'cores': 2.1,
        'link_mbps': 100.0,
    }
    platform.store.write(('daemons', '', 'host-9'), orjson.dumps(['old', body]))


def test_a_long_running_task_is_restarted_across_handovers(
    tmp_path: pathlib.Path,
) -> None:
    """Each new owner waited for the full leases of a lost worker."""

    async def play() -> None:
        async with open_platform(tmp_path) as platform:
            for worker in platform.fleet.workers:
                worker.long_running_payloads.add('long')
            add_larger_host(platform)
            small = await platform.start('host-1', limits=SMALL)
            await wait_for_line(platform, small, 'Taken: desk.')
            await platform.submit(small, FIRST, 'long', longRunning=True)
            await platform.wait_for_state(small, FIRST, 'running')
            lost = next(w for w in platform.fleet.workers if w.running)
            lost.silent = True
            lost.running.clear()

            async def is_restarted() -> bool:
                others = [w for w in platform.fleet.workers if w is not lost]
                return any(worker.running for worker in others)

            async with asyncio.timeout(RESTART_TIMEOUT_SECONDS):
                while not await is_restarted():
                    await asyncio.sleep(0.05)

    run(play())
