"""Tests that partitioned zones keep serving and recover without a burst."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from typing import Any

import attrs

from lentilmount.daemon.lifecycle import Daemon
from lentilmount.resources import Room
from lentilmount.settings import PlatformSettings, Settings, TimeSettings
from lentilmount.upstream.http import HttpClient
from stand_ins.platform import Platform, PlatformOptions, make_zones
from stand_ins.processes import ADMIN, ADMIN_TOKEN
from stand_ins.relay import Flow, Relay
from tests.helpers import run

ZONES = ('a', 'b')
ACCESS = {'Authorization': f'Bearer {ADMIN_TOKEN}'}
TIMES = TimeSettings(
    heartbeat=0.1,
    silence=0.5,
    poll=0.1,
    host_list=0.2,
    slice_lease=1.0,
    sync=0.2,
    settle=0.5,
    members=0.5,
)


class Node:
    """A daemon in this process whose connections go through relays.

    Attributes:
      daemon: The daemon.
      inbound: Relay of connections from peers to the daemon.
      table: Relay of connections from the daemon to the table service.
    """

    def __init__(self) -> None:
        self.inbound = Relay()
        self.table = Relay()

    async def start(
        self, stack: contextlib.AsyncExitStack, settings: Settings
    ) -> None:
        self.table.target = settings.platform.table.removeprefix('http://')
        for relay in (self.inbound, self.table):
            await stack.enter_async_context(relay)
        table = f'http://{self.table.address}'
        platform = attrs.evolve(settings.platform, table=table)
        self.daemon = Daemon(attrs.evolve(settings, platform=platform))
        await stack.enter_async_context(self.daemon)
        self.inbound.target = self.daemon.addresses['peers']
        self.daemon.membership.local_member = attrs.evolve(
            self.daemon.membership.local_member, address=self.inbound.address
        )

    async def call(self) -> int:
        return await self._send('callers', '/call/t/s/x', b'body')

    async def apply(self, kind: str, value: dict[str, Any]) -> int:
        body = json.dumps(value).encode()
        return await self._send('operators', f'/v1/{kind}', body)

    async def _send(self, listener: str, path: str, body: bytes) -> int:
        caller = HttpClient(f'http://{self.daemon.addresses[listener]}')
        try:
            return (await caller.call('POST', path, body, ACCESS)).status
        finally:
            caller.close()

    @property
    def up(self) -> set[str]:
        return {member.name for member in self.daemon.membership.list_active()}

    @property
    def revision(self) -> int:
        return self.daemon.configuration.revision


class ZoneFixture:
    """A platform of two zones, with daemons in this process."""

    def __init__(self, workers: int = 2):
        zones = make_zones(ZONES, workers, 8, Room(32.0, 4096, 0))
        self.platform = Platform(PlatformOptions(zones))
        self.stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> ZoneFixture:
        await self.stack.enter_async_context(self.platform)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.stack.aclose()

    async def start(self, name: str, zone: str, **changes: Any) -> Node:
        addresses = self.platform.get_addresses()
        settings = Settings(
            name=name,
            zone=zone,
            zones=ZONES,
            platform=PlatformSettings(
                addresses['table'], addresses['objects'], addresses['hosts']
            ),
            access=(ADMIN,),
            times=TIMES,
        )
        node = Node()
        await node.start(self.stack, attrs.evolve(settings, **changes))
        return node

    async def serve(self, node: Node, replicas: int = 2) -> None:
        spec = {
            'replicas': replicas,
            'demand': {'cores': 1, 'memory_mb': 64},
            'payload': '{"service_ms": 1}',
        }
        metadata = {'team': 't', 'name': 's'}
        value = {'kind': 'Service', 'metadata': metadata, 'spec': spec}
        assert await node.apply('services', value) == 201
        directory = node.daemon.directory
        await wait_until(lambda: len(directory.list_all()) == replicas)


async def change(node: Node, team: str) -> int:
    value = {'kind': 'Team', 'metadata': {'name': team}, 'spec': {'weight': 2}}
    return await node.apply('teams', value)


async def wait_until(is_met: Callable[[], bool], seconds: float = 8.0) -> None:
    async with asyncio.timeout(seconds):
        while not is_met():
            await asyncio.sleep(0.02)


def test_a_partitioned_zone_serves_and_recovers() -> None:
    """A zone that could not reach the table service refused its callers."""

    async def check() -> None:
        async with ZoneFixture() as fixture:
            one, two = [await fixture.start(f'e-{z}', z) for z in ZONES]
            await wait_until(lambda: one.up == two.up == {'e-a', 'e-b'})
            await fixture.serve(one)
            await wait_until(lambda: len(two.daemon.directory.list_all()) == 2)
            relays = (one.inbound, two.inbound, two.table)
            for relay in relays:
                relay.set(Flow.DROP)
            await wait_until(lambda: one.up == {'e-a'} and two.up == {'e-b'})
            assert await change(one, 'x') == 201
            assert [await two.call() for _ in range(20)] == [200] * 20
            assert two.daemon.find_fault() == ''
            assert two.revision == 1
            before = fixture.platform.table.reads
            for relay in relays:
                relay.set(Flow.PASS)
            await wait_until(lambda: two.revision == one.revision == 2)
            await wait_until(lambda: one.up == two.up == {'e-a', 'e-b'})
            assert fixture.platform.table.reads - before < 400

    run(check())


def test_a_daemon_that_starts_in_a_partitioned_zone_learns_from_peers() -> None:
    """A daemon that started in a partitioned zone refused all requests."""

    async def check() -> None:
        async with ZoneFixture() as fixture:
            one = await fixture.start('e-a', 'a')
            await fixture.serve(one)
            node = await fixture.start(
                'e-b',
                'b',
                peers=(one.inbound.address,),
                platform=attrs.evolve(
                    one.daemon.settings.platform, table='http://127.0.0.1:9'
                ),
            )
            await wait_until(lambda: node.daemon.find_fault() == '')
            await wait_until(lambda: len(node.daemon.directory.list_all()) == 2)
            assert [await node.call() for _ in range(5)] == [200] * 5
            assert await change(one, 'x') == 201
            await wait_until(lambda: node.revision == one.revision == 2)
            assert node.daemon.manager.owners == {}

    run(check())


def test_one_way_partitions_are_detected() -> None:
    """A one-way partition was taken for a two-way one, or for none."""

    async def check() -> None:
        async with ZoneFixture() as fixture:
            one = await fixture.start('e-a', 'a')
            two = await fixture.start('e-b', 'a')
            await wait_until(lambda: one.up == two.up == {'e-a', 'e-b'})
            two.inbound.forward = Flow.DROP
            one.inbound.backward = Flow.DROP
            await wait_until(lambda: two.up == {'e-b'})
            await asyncio.sleep(2 * TIMES.silence)
            assert (one.up, two.up) == ({'e-a', 'e-b'}, {'e-b'})
            for node in (one, two):
                node.inbound.set(Flow.DROP)
            await wait_until(lambda: (one.up, two.up) == ({'e-a'}, {'e-b'}))
            await fixture.start('e-z', 'a')
            everybody = {'e-a', 'e-b', 'e-z'}
            await wait_until(lambda: one.up == two.up == everybody)
            for _ in range(20):
                await asyncio.sleep(TIMES.silence / 10)
                assert one.up == two.up == everybody

    run(check())


def test_a_joining_daemon_takes_over_slices() -> None:
    """Tasks were restarted when their slice got another owner."""

    async def check() -> None:
        async with ZoneFixture(workers=12) as fixture:
            one = await fixture.start('e-a', 'a', slices_per_zone=2)
            other = await fixture.start('e-b', 'b', slices_per_zone=2)
            await fixture.serve(one, 4)
            assert len(one.daemon.manager.owners) == 2
            two = await fixture.start('e-c', 'a', slices_per_zone=2)
            nodes = (one, two)
            while {len(n.daemon.manager.owners) for n in nodes} != {1}:
                assert await one.call() == 200
                await asyncio.sleep(0.02)
            await asyncio.sleep(3 * TIMES.settle)
            assert {len(n.daemon.manager.owners) for n in nodes} == {1}
            tasks = [
                task
                for node in (*nodes, other)
                for owner in node.daemon.manager.owners.values()
                for task in owner.ledger.tasks.values()
            ]
            assert [task.attempt for task in tasks] == [1] * 4

    run(check())
