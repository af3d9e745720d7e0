"""What a daemon holds and calls while it owns nothing.

Load pattern: dozens of daemons beside one owner. What each of them holds and
calls for nothing costs more than the owner does.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import subprocess
import sys

import pytest
import yaml

from lentilmount.clock import ManualClock
from lentilmount.control import election as elections
from lentilmount.control.election import LEASE_SECONDS
from lentilmount.control.keys import make_owner_key
from lentilmount.control.owner_modules import GC_THRESHOLDS
from lentilmount.coordination.leases import LeaseKeeper
from lentilmount.coordination.table import Key, Row, UnavailableError
from lentilmount.errors import SettingsError
from lentilmount.platform.host_settings import read_host_settings
from stand_ins.table import MemoryTable
from tests.helpers import run
from tests.platform_fixtures import (
    SERVICE,
    make_election,
    make_settings,
    open_platform,
    open_table,
    wait_for_line,
)
from tests.test_owner_watch import HOSTS, OWNER, find_standbys, make_candidates

KEY = make_owner_key(SERVICE)
HOLDER = f'{OWNER}.0a'
STORE = '127.0.0.1:1'

LONG_LOAD_SECONDS = 1.0
"""Longer than the interval between two reads of a lease."""

MESSAGES = ['Loaded the owner.', 'Taken: desk.']

OWNER_ONLY = (
    *('lentilmount.control.owner', 'lentilmount.control.lease_data'),
    *('lentilmount.control.start_relay', 'lentilmount.control.dispatcher'),
    *('lentilmount.control.state_writer', 'lentilmount.control.worker_session'),
    *('lentilmount.control.advice', 'lentilmount.control.registry'),
)

SHARED_SCHEDULING = {
    'lentilmount.scheduling',
    'lentilmount.scheduling.admission',
    'lentilmount.scheduling.model',
    'lentilmount.scheduling.reports',
    'lentilmount.scheduling.specs',
}
"""What the documents of the platform are decoded to, and what judges jobs at
their arrival, which each daemon does."""


PARSERS = {'yaml', 'argparse', 'json5', 'lentilmount.policyfile'}
"""Parsers that a daemon with JSON settings and no options does without."""

LIST_MODULES = """
import sys
from lentilmount.control import __main__ as program
from lentilmount.platform.host_settings import read_host_settings
program._read_policies(program._find_policies_path(sys.argv[2:]))
read_host_settings(sys.argv[1])
print(*sys.modules)
"""


def list_idle_modules(path: pathlib.Path, text: str, *options: str) -> set[str]:
    """Returns the modules that a daemon has loaded when it starts.

    Args:
      path: Path for its settings file.
      text: Content of that file.
      *options: Options of the daemon.
    """
    path.write_text(text, 'utf-8')
    found = subprocess.run(
        [sys.executable, '-c', LIST_MODULES, str(path), *options],
        capture_output=True,
        check=True,
        text=True,
    )
    return set(found.stdout.split())


def test_a_daemon_starts_without_the_modules_of_an_owner(
    tmp_path: pathlib.Path,
) -> None:
    """Forty daemons held what only one of them needed."""
    text = json.dumps(make_settings(STORE))
    modules = list_idle_modules(tmp_path / 'local.json', text)
    scheduling = {m for m in modules if m.startswith('lentilmount.scheduling')}
    assert scheduling == SHARED_SCHEDULING
    assert not modules & {*OWNER_ONLY}


def test_a_daemon_loads_only_the_parsers_that_it_needs(
    tmp_path: pathlib.Path,
) -> None:
    """Each daemon kept parsers of files that it did not have."""
    path = tmp_path / 'local'
    document = make_settings(STORE)
    assert not list_idle_modules(path, json.dumps(document)) & PARSERS
    assert 'yaml' in list_idle_modules(path, yaml.safe_dump(document))
    policies = tmp_path / 'policies.json'
    policies.write_text('{}', 'utf-8')
    options = ['--policies', str(policies)]
    loaded = list_idle_modules(path, json.dumps(document), *options)
    assert loaded & PARSERS == PARSERS - {'yaml'}


def test_settings_mean_the_same_in_json_and_yaml(
    tmp_path: pathlib.Path,
) -> None:
    document = make_settings(STORE)
    path = tmp_path / 'local'
    path.write_text(json.dumps(document), 'utf-8')
    as_json = read_host_settings(str(path))
    path.write_text(yaml.safe_dump(document), 'utf-8')
    assert read_host_settings(str(path)) == as_json
    assert as_json.name == document['nodeName']


@pytest.mark.parametrize('text', ['{"zone": [', 'zone: [', '\t', '{} {}'])
def test_settings_in_neither_format_are_refused(
    text: str, tmp_path: pathlib.Path
) -> None:
    """A file that was cut short started a daemon with half its settings."""
    path = tmp_path / 'local'
    path.write_text(text, 'utf-8')
    with pytest.raises(SettingsError):
        read_host_settings(str(path))


class _Loads:
    """Counts the loads of an owner's modules, each of which takes a while."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, seconds: float = 0.0):
        self.count = 0
        self._seconds = seconds
        monkeypatch.setattr(elections, 'is_owner_loaded', lambda: False)
        monkeypatch.setattr(elections, 'load_owner', self.load)

    def load(self) -> float:
        self.count += 1
        return self._seconds


async def _read_lease(
    host: str, unchanged_seconds: float, is_table_down: bool = False
) -> bool:
    """Returns whether a host is about to own a service after two reads.

    Args:
      host: Name of the host.
      unchanged_seconds: Time between the two reads of a held lease.
      is_table_down: Whether the second read fails.
    """
    clock = ManualClock()
    table = MemoryTable(clock.monotonic)
    holder = LeaseKeeper(table, HOLDER, LEASE_SECONDS, clock.monotonic)
    assert await holder.try_acquire(KEY) is not None
    candidates = make_candidates(host)
    async with open_table() as (_, platform_table):
        election = make_election(platform_table, candidates)
        keeper = LeaseKeeper(table, host, LEASE_SECONDS, clock.monotonic)
        delay = election._choose_delay(HOLDER)
        await keeper.try_acquire(KEY, delay=delay)
        election.owner_host = OWNER
        clock.advance(unchanged_seconds)
        if is_table_down:
            with pytest.raises(UnavailableError):
                await _read_from_nothing(keeper)
        else:
            await keeper.try_acquire(KEY, delay=delay)
        return election._may_own_soon(keeper, delay)


async def _read_from_nothing(keeper: LeaseKeeper) -> None:
    class DownTable(MemoryTable):
        async def read(self, keys: list[Key]) -> dict[Key, Row]:
            raise UnavailableError('down')

    keeper._table = DownTable()
    await keeper.try_acquire(KEY)


def _find_other(size_of: str) -> str:
    """Returns a host of the size of another one that is no standby."""
    standbys = {*find_standbys(), OWNER}
    return next(
        host
        for host in HOSTS
        if host not in standbys and HOSTS[host] == HOSTS[size_of]
    )


@pytest.mark.parametrize(
    ('host', 'unchanged_seconds', 'is_loaded'),
    [
        (find_standbys()[0], 0.1, True),
        (_find_other(OWNER), 0.6, False),
        (_find_other(OWNER), 1.1, True),
        # It leaves a held lease to larger hosts for 4 s.
        (_find_other('small-0'), 4.5, False),
        (_find_other('small-0'), 5.1, True),
    ],
)
def test_a_host_loads_the_owner_before_it_may_take_the_lease(
    host: str,
    unchanged_seconds: float,
    is_loaded: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A takeover waited for the modules of the new owner."""
    _Loads(monkeypatch)
    assert run(_read_lease(host, unchanged_seconds)) is is_loaded


def test_no_host_loads_the_owner_since_the_store_is_down(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An outage of the store made each daemon larger for good."""
    _Loads(monkeypatch)
    host = _find_other(OWNER)
    assert not run(_read_lease(host, 60.0, is_table_down=True))


def test_a_loaded_owner_is_not_loaded_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(elections, 'is_owner_loaded', lambda: True)
    assert not run(_read_lease(find_standbys()[0], 0.1))


def test_a_standby_loads_the_owner_while_another_host_owns_the_service(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A standby that had loaded nothing was the last to write the lease."""
    loads = _Loads(monkeypatch)

    async def play() -> None:
        async with open_table() as (_, table):
            other = LeaseKeeper(table, HOLDER, 60.0, ManualClock().monotonic)
            assert await other.try_acquire(KEY) is not None
            candidates = make_candidates(find_standbys()[0])
            # No address that the watch of the owner could connect to.
            others = {**HOSTS}
            candidates.update(others, True, {name: name for name in others})
            election = make_election(table, candidates)
            running = asyncio.create_task(election.run())
            async with asyncio.timeout(10):
                while not loads.count:
                    await asyncio.sleep(0.01)
            assert election.owner is None
            election.stop()
            await running

    run(play())


def test_loading_the_owner_delays_no_read_of_the_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A host that loaded ahead of a lease took it a tenth of a second later."""
    loads = _Loads(monkeypatch, seconds=LONG_LOAD_SECONDS)
    pauses: list[float] = []

    async def record(event: asyncio.Event, seconds: float) -> None:
        del event
        pauses.append(seconds)
        await asyncio.sleep(0)

    monkeypatch.setattr(elections, 'wait_with_timeout', record)

    async def play() -> None:
        async with open_table() as (_, table):
            other = LeaseKeeper(table, HOLDER, 60.0, ManualClock().monotonic)
            assert await other.try_acquire(KEY) is not None
            candidates = make_candidates(find_standbys()[0])
            others = {**HOSTS}
            candidates.update(others, True, {name: name for name in others})
            election = make_election(table, candidates)
            running = asyncio.create_task(election.run())
            async with asyncio.timeout(10):
                while len(pauses) < 3:
                    await asyncio.sleep(0.01)
            election.stop()
            await running

    run(play())
    assert loads.count >= 3
    assert set(pauses) == {0.0}


def test_the_standby_of_a_killed_owner_had_loaded_what_it_needs(
    tmp_path: pathlib.Path,
) -> None:
    """After a kill no task was started while a successor read its modules."""

    async def play() -> list[str]:
        async with open_platform(tmp_path) as platform:
            first = await platform.start('host-1')
            await wait_for_line(platform, first, 'Taken: desk.')
            second = await platform.start('host-2')
            await wait_for_line(platform, second, 'Loaded the owner.')
            assert not second.select(message='Taken: desk.')
            first.process.send_signal(signal.SIGKILL)
            await wait_for_line(platform, second, 'Taken: desk.')
            messages = [line['message'] for line in second.lines]
            return [m for m in messages if m in MESSAGES]

    assert run(play()) == MESSAGES


THRESHOLDS = """
import gc
print(*gc.get_threshold())
from lentilmount.control import __main__
from lentilmount.control.owner_modules import load_owner
print(*gc.get_threshold())
load_owner()
print(*gc.get_threshold())
"""


def test_only_an_owner_lets_garbage_grow() -> None:
    """Idle daemons held garbage of 10,000 objects, as owners need to."""
    found = subprocess.run(
        [sys.executable, '-c', THRESHOLDS],
        capture_output=True,
        check=True,
        text=True,
    )
    default, idle, owner = found.stdout.splitlines()[:3]
    assert idle == default
    assert owner == ' '.join(map(str, GC_THRESHOLDS))
    assert idle != owner
