"""Tests that a leaving upstream gets no new requests, whoever reports it."""

from __future__ import annotations

import asyncio
import contextlib

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lentilmount.clock import ManualClock
from lentilmount.daemon.lifecycle import Daemon
from lentilmount.errors import ErrorKind, UpstreamError
from lentilmount.resources import (
    Kind,
    Phase,
    Resource,
    Room,
    UpstreamSpec,
    WorkerSpec,
)
from lentilmount.routing.forward import Reply, Result
from lentilmount.routing.leaving import LeavingMark, LeavingMarks
from lentilmount.settings import (
    PlatformSettings,
    Settings,
    TimeSettings,
)
from lentilmount.upstream.hosts import Host
from stand_ins.platform import Platform, PlatformOptions, ZoneOptions
from stand_ins.raw import Act
from tests.helpers import run
from tests.routing_fixtures import (
    ZONE,
    RoutingFixture,
    ScriptedForwarder,
    make_call,
    make_configuration,
    make_resource,
    make_router,
    make_task,
)

WORKERS = ('w0', 'w1')


class LeavingMarksMachine(RuleBasedStateMachine):
    """Compares marks with a model: a boot that was marked stays marked."""

    def __init__(self) -> None:
        super().__init__()
        self.marks = LeavingMarks()
        self.boots = dict.fromkeys(WORKERS, 0)
        self.left: set[tuple[str, int]] = set()
        self.listed: set[str] = set()

    @rule(worker=st.sampled_from(WORKERS))
    def reboot(self, worker: str) -> None:
        self.boots[worker] += 1

    @rule(worker=st.sampled_from(WORKERS), back=st.integers(0, 2))
    def report_leaving(self, worker: str, back: int) -> None:
        boot = max(0, self.boots[worker] - back)
        self.marks.add(LeavingMark(worker, str(boot)))
        self.left.add((worker, boot))

    @rule(listed=st.sets(st.sampled_from(WORKERS)))
    def read_list(self, listed: set[str]) -> None:
        boots = {w: str(boot) for w, boot in self.boots.items()}
        self.marks.update_from_host_list(listed, boots)
        for worker in listed - self.listed:
            self.left.add((worker, self.boots[worker]))
        self.listed = listed

    @invariant()
    def newest_boots_are_right(self) -> None:
        for worker, boot in self.boots.items():
            expected = (worker, boot) in self.left or worker in self.listed
            assert self.marks.is_leaving(worker, str(boot)) is expected


TestLeavingMarks = LeavingMarksMachine.TestCase
TestLeavingMarks.settings = settings(
    max_examples=40, stateful_step_count=30, derandomize=True, deadline=None
)


def answer(address: str, _: object) -> Reply:
    return Reply(Result.ANSWERED, 200, body=address.encode())


async def collect(router: object, count: int = 20) -> set[str]:
    """Routes requests; returns the addresses that responded."""
    bodies = set()
    for number in range(count):
        reply = await router.route(make_call(number), None)  # type: ignore[attr-defined]
        bodies.add(reply.body.decode())
    return bodies


def make_hosts(*leaving: int) -> list[Host]:
    return [
        Host(f'{ZONE}-{n}', '127.0.0.1:1', ZONE, 'r', n in leaving)
        for n in range(3)
    ]


@pytest.mark.parametrize('source', ['list', 'peer', 'upstream'])
def test_first_report_of_leaving_is_final(source: str) -> None:
    """After the first report of leaving an upstream gets no more requests."""

    async def check() -> None:
        leaving = source == 'upstream'
        forwarder = ScriptedForwarder(
            lambda address, _: Reply(
                Result.ANSWERED,
                200,
                body=address.encode(),
                is_leaving=leaving and address == 'a0',
            )
        )
        # By the real clock, an upstream is left out that once seemed slow.
        router, directory = make_router(
            ['a0', 'a1', 'a2'], forwarder, monotonic=ManualClock().monotonic
        )
        mark = LeavingMark(f'{ZONE}-0', 'boot-1')
        if source == 'list':
            router.pools.update_hosts(make_hosts(0))
        elif source == 'peer':
            router.pools.mark_leaving(mark, 'entry-1')
        else:
            assert 'a0' in await collect(router)
        assert await collect(router) == {'a1', 'a2'}
        router.pools.update_hosts(make_hosts())
        assert await collect(router) == {'a1', 'a2'}
        directory.update(f'{ZONE}/0', make_task(0, 'a0', ZONE, 2, 'boot-2'))
        leaving = False
        router.pools.mark_leaving(mark, 'entry-2')
        assert await collect(router) == {'a0', 'a1', 'a2'}

    run(check())


@pytest.mark.parametrize(
    'drain',
    [
        make_resource(Kind.UPSTREAM, 'quota.0', UpstreamSpec(True), 'desk'),
        make_resource(Kind.WORKER, f'{ZONE}-0', WorkerSpec(drain=True)),
    ],
)
def test_drained_upstream_gets_no_requests(drain: Resource) -> None:
    async def check() -> None:
        router, _ = make_router(
            ['a0', 'a1'],
            ScriptedForwarder(answer),
            make_configuration(more=[drain]),
        )
        assert await collect(router) == {'a1'}

    run(check())


def test_waiting_requests_do_not_get_a_leaving_upstream() -> None:
    """Waiting requests are refused at once when the last upstream leaves."""

    async def check() -> None:
        async with await RoutingFixture.start(1) as fixture:
            fixture.upstreams[0].choose_act = lambda _: Act.IGNORE
            calls = [
                asyncio.create_task(fixture.router.route(make_call(n), 0.4))
                for n in range(12)
            ]
            await asyncio.sleep(0.05)
            mark = LeavingMark(f'{ZONE}-0', 'boot-1')
            fixture.router.pools.mark_leaving(mark, 'entry-1')
            done, _ = await asyncio.wait(calls, timeout=0.1)
            assert len(done) == 5
            for task in done:
                error = task.exception()
                assert isinstance(error, UpstreamError)
                assert error.kind is ErrorKind.OVERLOADED
            await asyncio.gather(*calls, return_exceptions=True)

    run(check())


def make_settings(
    platform: Platform, name: str, peers: tuple[str, ...]
) -> Settings:
    return Settings(
        name,
        ZONE,
        (ZONE,),
        PlatformSettings(
            f'http://{platform.table_address}',
            f'http://{platform.objects_address}',
            f'http://{platform.hosts_address}',
        ),
        peers=peers,
        times=TimeSettings(heartbeat=0.1, sync=1.0, drain=0.01),
    )


def test_all_daemons_learn_of_leaving_within_seconds() -> None:
    """Two daemons mark a worker within 3 s while the host list lags by 30 s."""

    async def check() -> None:
        options = PlatformOptions(
            (ZoneOptions(ZONE, 2, 8, Room(8.0, 1024)),), host_lag=30.0
        )
        async with contextlib.AsyncExitStack() as stack:
            platform = await stack.enter_async_context(Platform(options))
            daemons: list[Daemon] = []
            seeds: tuple[str, ...] = ()
            for number in range(2):
                daemon = Daemon(
                    make_settings(platform, f'entry-{number}', seeds)
                )
                daemons.append(await stack.enter_async_context(daemon))
                seeds = (daemon.addresses['peers'],)
            await wait_until_owned(*daemons)
            platform.workers[0].leaving = True
            marks = [daemon.router.pools.marks for daemon in daemons]
            async with asyncio.timeout(3.0):
                while not all(m.list_marks() for m in marks):
                    await asyncio.sleep(0.02)

    run(check())


async def wait_until_owned(*daemons: Daemon) -> None:
    """Waits until some daemon has sessions with both workers."""
    async with asyncio.timeout(10.0):
        while not any(
            len(owner.sessions) == 2
            and all(session.reachable for session in owner.sessions.values())
            for daemon in daemons
            for owner in daemon.manager.owners.values()
        ):
            await asyncio.sleep(0.02)


def test_newest_attempt_and_phase_decide() -> None:
    """An update of an older attempt does not restore its address."""

    async def check() -> None:
        router, directory = make_router(['a0', 'a1'], ScriptedForwarder(answer))
        slice_name = f'{ZONE}/0'
        directory.update(slice_name, make_task(0, 'b0', attempt=2))
        directory.update(slice_name, make_task(0, 'a0', attempt=1))
        assert await collect(router) == {'b0', 'a1'}
        stopped = make_task(0, 'b0', attempt=2, phase=Phase.EVICTING)
        directory.update(slice_name, stopped)
        assert await collect(router) == {'a1'}
        directory.load(f'{ZONE}/1', [])
        assert await collect(router) == {'a1'}

    run(check())
