"""Calls to the store by daemons that own nothing, counted in virtual time.

Load pattern: dozens of daemons beside one owner, each of which asks the store
several times a second for nothing new.
"""

from __future__ import annotations

import asyncio
import collections
import random
from typing import cast

import attrs
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.configuration_follower import follow_configuration
from lentilmount.control.configuration_relay import (
    ConfigurationSources,
    PeerConfiguration,
)
from lentilmount.control.keys import make_owner_key
from lentilmount.control.owner_watch import OwnerWatch
from lentilmount.control.routes import RouteTable
from lentilmount.control.store_health import (
    OutageDetector,
    PeerList,
    StoreHealth,
    probe_store,
)
from lentilmount.coordination.leases import LeaseKeeper
from lentilmount.coordination.table import Key, Row
from lentilmount.platform.store import Changes, RawRow
from lentilmount.upstream.http import HttpClient
from stand_ins.model_network import MemoryTable
from stand_ins.rowstore import RowStore
from stand_ins.virtual_time import run_virtual
from tests.platform_fixtures import SERVICE, make_configuration, make_election
from tests.test_owner_watch import HOSTS, OWNER, find_standbys, make_candidates

SECONDS = 60.0
APPLY_SECONDS = 3.0
RENEW_SECONDS = 0.5
PROBE_PAUSE_SECONDS = 0.2
SEED = 53

LONGEST_READ_SECONDS = 0.62
"""Longest time between two reads of a lease, by which hosts see an expired one
and tell an owner whether the store answers them."""


@attrs.define(eq=False)
class _Calls:
    """Counts calls about the parts of the store, and records their outcome."""

    detectors: dict[str, OutageDetector]
    counts: collections.Counter[str] = attrs.Factory(collections.Counter)

    def add(self, part: str, kind: str) -> None:
        self.counts[kind] += 1
        self.detectors[part].health.record(True, 0.004)

    async def probe(self, part: str) -> None:
        """See `store_health.Probe`."""
        self.add(part, 'probe')


class _CountingTable(MemoryTable):
    """A table that counts the reads of leases and of the feed."""

    def __init__(self, store: RowStore, calls: _Calls):
        super().__init__(store)
        self._calls = calls

    async def read(self, keys: list[Key]) -> dict[Key, Row]:
        """See `PlatformTable`."""
        self._calls.add(SERVICE, 'lease')
        return await super().read(keys)

    async def read_all(self, table: str, part: str = '') -> Changes:
        """See `PlatformTable`."""
        self._calls.add('', 'feed')
        return Changes((RawRow('config', make_configuration(1), 1),), 1)

    async def follow(self, table: str, after: int, wait: float) -> Changes:
        """See `PlatformTable`."""
        await asyncio.sleep(wait)
        self._calls.add('', 'feed')
        return Changes((), after)


class _Source:
    """Stands for the daemons that serve the configuration."""

    def choose(self) -> str:
        return 'large:1'

    async def read(self, after: int, wait: float) -> PeerConfiguration:
        asked_at = asyncio.get_running_loop().time()
        await asyncio.sleep(wait)
        row = RawRow('config', make_configuration(1), 1)
        return PeerConfiguration(None if after else row, 1, asked_at)


async def _renew(keeper: LeaseKeeper) -> None:
    lease = await keeper.try_acquire(make_owner_key(SERVICE))
    assert lease is not None
    while True:
        await keeper.renew(lease)
        await asyncio.sleep(RENEW_SECONDS)


def count_calls(
    host: str, monkeypatch: pytest.MonkeyPatch, has_source: bool = False
) -> collections.Counter[str]:
    """Counts the calls of a daemon that owns nothing, by kind.

    Args:
      host: Name of its host.
      monkeypatch: Keeps it from connecting to the owner.
      has_source: Whether it reads the configuration from another daemon.
    """
    random.seed(SEED)
    clock = ManualClock()
    detectors = {
        part: OutageDetector(
            StoreHealth(clock.monotonic, part), HttpClient(''), PeerList('a')
        )
        for part in ('', SERVICE)
    }
    calls = _Calls(detectors)

    async def ignore(watch: OwnerWatch) -> None:
        del watch

    monkeypatch.setattr(OwnerWatch, 'check', ignore)

    async def play() -> None:
        store = RowStore()
        table = _CountingTable(store, calls)
        holder = LeaseKeeper(
            MemoryTable(store), f'{OWNER}.0a', 2.0, clock.monotonic
        )
        election = make_election(table, make_candidates(host))
        election.clock = clock
        routes = RouteTable(clock.monotonic, APPLY_SECONDS)
        sources = cast(ConfigurationSources, _Source())
        renewing = asyncio.create_task(_renew(holder))
        await asyncio.sleep(0.1)
        tasks = [
            renewing,
            asyncio.create_task(election.run()),
            asyncio.create_task(
                follow_configuration(
                    table, routes, sources if has_source else None
                )
            ),
            asyncio.create_task(
                probe_store(detectors, calls.probe, PROBE_PAUSE_SECONDS)
            ),
        ]
        await asyncio.sleep(SECONDS)
        assert election.owner is None
        assert not routes.is_outdated
        for task in tasks:
            assert not task.done()
            task.cancel()
        await asyncio.wait(tasks)

    run_virtual(play(), clock)
    return calls.counts


def find_small() -> str:
    """Returns a host that leaves the service to larger ones."""
    return next(host for host in HOSTS if HOSTS[host] != HOSTS[OWNER])


@pytest.mark.parametrize('host', [find_standbys()[0], find_small()])
def test_an_idle_daemon_reads_a_lease_as_often_as_a_takeover_needs(
    host: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A rarer read delayed the takeover from a killed owner.

    It also told an owner later that the store was away for all, when its lease
    had ended already.
    """
    reads = count_calls(host, monkeypatch)['lease']
    assert SECONDS / LONGEST_READ_SECONDS <= reads <= 2.0 * SECONDS


def test_a_daemon_that_reads_the_feed_probes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Probes beside calls about the same part told nothing new."""
    counts = count_calls(find_standbys()[0], monkeypatch)
    assert counts['probe'] <= 2
    assert 1.2 * SECONDS <= counts['feed'] <= 1.4 * SECONDS
    assert counts.total() <= 3.2 * SECONDS


def test_a_daemon_with_a_source_calls_the_store_less(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Hosts with small links read the feed that another one passed on."""
    counts = count_calls(find_small(), monkeypatch, has_source=True)
    assert counts['feed'] <= 1
    # Of the part with the configuration, as no other call tells of it.
    assert 0.8 * SECONDS <= counts['probe'] <= 1.0 * SECONDS
    assert counts.total() <= 2.8 * SECONDS
