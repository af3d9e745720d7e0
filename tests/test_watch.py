"""Watches: from a cursor on, without a gap or a repeat."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilmount.batch.records import Task, make_change_key, make_slice_key
from lentilmount.cli.client import ApiClient
from lentilmount.codec import unstructure
from lentilmount.configuration import CONFIGURATION_LOG
from lentilmount.coordination.table import Delete, Key, Put, UnavailableError
from lentilmount.daemon.lifecycle import Daemon
from lentilmount.errors import ErrorKind, InvalidError, LentilmountError
from lentilmount.queries.feed import LogPosition, encode_cursor
from lentilmount.queries.watch import BOOKMARK, Watcher, WatchFilter
from lentilmount.resources import Demand, Kind
from lentilmount.rows import REVISION_KEY
from stand_ins.site import Site, make_job
from stand_ins.table import MemoryTable
from tests.helpers import run

SLICE = 'alex-a/0'
ALL = WatchFilter()


class Logs:
    """Change logs in a table, and what a daemon knows of them."""

    def __init__(self) -> None:
        self.table = MemoryTable()
        self.known = {CONFIGURATION_LOG: 0, SLICE: 0}
        self.told: list[str] = []
        self.watcher = self.make_watcher()

    def make_watcher(self) -> Watcher:
        return Watcher(self.table, (SLICE,), lambda: dict(self.known))

    async def add(self, *names: str) -> None:
        """Logs one transaction that changed some jobs."""
        self.known[SLICE] += 1
        number = self.known[SLICE]
        changes = [
            {
                'event': 'placed',
                'task': unstructure(Task(f'Job/desk/{n}/0', Demand(1, 1))),
            }
            for n in names
        ]
        key = make_change_key(SLICE, number)
        head = {'data': {'sequence': number}}
        await self.table.transact(
            str(number),
            [
                Put(key, {'changes': changes}),
                Put(make_slice_key(SLICE), head, number - 1),
            ],
        )
        self.told += names

    async def declare(self, name: str) -> None:
        """Logs a change of the configuration."""
        self.known[CONFIGURATION_LOG] += 1
        number = self.known[CONFIGURATION_LOG]
        team = {
            'kind': 'Team',
            'metadata': {'name': name, 'revision': number},
            'spec': {},
        }
        body = {'path': f'Team//{name}', 'resource': team}
        key = make_change_key(CONFIGURATION_LOG, number)
        await self.table.transact(
            name, [Put(key, body), Put(REVISION_KEY, {}, number - 1)]
        )
        self.told.append(name)

    async def take(
        self, cursor: str, most: int = 1000
    ) -> tuple[list[str], str]:
        """Watches until all is told or so much is; returns names, cursor."""
        positions = await self.watcher.read_cursor(cursor)
        names: list[str] = []
        if not most:
            return names, cursor
        async for notice in self.watcher.follow(positions, ALL):
            if notice is None:
                break
            cursor = notice.cursor
            if notice.event != BOOKMARK:
                assert notice.resource is not None
                names.append(notice.resource['metadata']['name'])
            if len(names) == most:
                break
        return names, cursor


@settings(derandomize=True, max_examples=40, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.tuples(st.just('job'), st.integers(1, 4)),
            st.tuples(st.just('team'), st.just(1)),
            st.tuples(st.just('take'), st.integers(0, 3)),
            st.tuples(st.just('other daemon'), st.just(0)),
        ),
        max_size=25,
    )
)
def test_a_cut_watch_goes_on_without_gap_or_repeat(
    steps: list[tuple[str, int]],
) -> None:
    """A watch that was cut missed changes, or told them twice."""

    async def check() -> None:
        logs = Logs()
        cursor = logs.watcher.make_cursor()
        seen: list[str] = []
        for index, (step, number) in enumerate(steps):
            if step == 'job':
                await logs.add(*(f'j{index}-{n}' for n in range(number)))
            elif step == 'team':
                await logs.declare(f't{index}')
            elif step == 'take':
                names, cursor = await logs.take(cursor, number)
                seen += names
            else:
                logs.watcher = logs.make_watcher()
        names, cursor = await logs.take(cursor)
        seen += names
        assert sorted(seen) == sorted(logs.told)
        for letter in 'jt':
            told = [name for name in logs.told if name[0] == letter]
            assert [name for name in seen if name[0] == letter] == told

    run(check())


def test_a_pruned_log_is_told() -> None:
    """A watch went on behind entries that were pruned."""

    async def check() -> None:
        logs = Logs()
        cursor = logs.watcher.make_cursor()
        for number in range(3):
            await logs.add(f'j{number}')
        await logs.table.transact(
            'prune', [Delete(make_change_key(SLICE, 1), 1)]
        )
        logs.watcher = logs.make_watcher()
        with pytest.raises(LentilmountError) as caught:
            await logs.watcher.read_cursor(cursor)
        assert caught.value.kind is ErrorKind.GONE

    run(check())


def test_a_cursor_ahead_of_this_daemon_is_no_future_one() -> None:
    """A cursor of a daemon that is ahead was refused."""

    async def check() -> None:
        logs = Logs()
        await logs.add('a')
        ahead = logs.watcher.make_cursor()
        logs.known[SLICE] = 0
        positions = await logs.watcher.read_cursor(ahead)
        assert positions[SLICE] == LogPosition(1)
        for wrong in (
            {SLICE: LogPosition(2)},
            {SLICE: LogPosition(1, 1)},
            {'x/0': LogPosition()},
        ):
            with pytest.raises(InvalidError):
                await logs.watcher.read_cursor(encode_cursor(wrong))
        for garbage in ('!', 'e30x', 'WzFd', 'x' * 500):
            with pytest.raises(InvalidError):
                await logs.watcher.read_cursor(garbage)

    run(check())


@attrs.define
class _Outage(MemoryTable):
    failing: int = 0

    def __attrs_pre_init__(self) -> None:
        super().__init__()

    async def scan(
        self, partition: str, after: str = '', limit: int = 1000
    ) -> list[Any]:
        if self.failing:
            self.failing -= 1
            raise UnavailableError('down')
        return await super().scan(partition, after, limit)


def test_an_outage_of_the_table_loses_nothing() -> None:
    async def check() -> None:
        logs = Logs()
        logs.table = _Outage()
        logs.watcher = logs.make_watcher()
        cursor = logs.watcher.make_cursor()
        positions = await logs.watcher.read_cursor(cursor)
        await logs.add('a', 'b')
        logs.table.failing = 2
        seen = []
        async for notice in logs.watcher.follow(positions, ALL):
            if notice is None:
                break
            if notice.resource is not None:
                seen.append(notice.task)
        assert seen == ['Job/desk/a/0', 'Job/desk/b/0']

    run(check())


def test_filters() -> None:
    wanted = WatchFilter(frozenset({'desk'}), Kind.JOB, name='run-')
    assert wanted.accepts(Kind.JOB, 'desk', 'run-1')
    assert not wanted.accepts(Kind.JOB, 'rival', 'run-1')
    assert not wanted.accepts(Kind.SERVICE, 'desk', 'run-1')
    assert not wanted.accepts(Kind.JOB, 'desk', 'other')
    own_team = WatchFilter(frozenset({'desk'}))
    assert own_team.accepts(Kind.TEAM, '', 'desk')
    assert not own_team.accepts(Kind.TEAM, '', 'rival')
    assert not own_team.accepts(Kind.WORKER, '', 'desk-worker')


def test_a_job_is_followed_from_accepted_to_completed(site: Site) -> None:
    start = site.call('GET', '/v1/jobs')['cursor']
    site.tool('apply', '-f', '-', '--wait', stdin=json.dumps(make_job('seen')))
    shown = site.tool(
        *('watch', 'job', '--name', 'seen', '--cursor', start),
        *('--count', '4', '--output', 'jsonl'),
    )
    notices = [json.loads(line) for line in shown.out.splitlines()]
    events = [notice['event'] for notice in notices]
    assert events == ['accepted', 'placed', 'running', 'completed']
    assert notices[-1]['resource']['status']['phase'] == 'completed'
    rest = site.tool(
        *('watch', 'job', '--name', 'seen', '--cursor', notices[1]['cursor']),
        *('--count', '2', '--output', 'jsonl'),
    )
    assert [json.loads(n)['event'] for n in rest.out.splitlines()] == events[2:]


def test_refused_evicted_and_resumed_work_is_followed(site: Site) -> None:
    """A watch did not tell why work was refused or stopped."""
    start = site.call('GET', '/v1/jobs')['cursor']
    large = make_job('large', demand={'cores': 1000, 'memory_mb': 1})
    told = site.tool('apply', '-f', '-', '--wait', stdin=json.dumps(large))
    assert told.status == 1
    assert 'Job desk/large: refused' in told.out
    site.hold_jobs(True)
    moved = make_job('moved', payload='{"seconds": 0.5}')
    site.tool('apply', '-f', '-', stdin=json.dumps(moved))
    seen = site.tool(
        *('watch', 'job', '--name', 'moved', '--cursor', start),
        *('--count', '3', '--output', 'jsonl'),
    )
    worker = json.loads(seen.out.splitlines()[-1])['resource']['status'][
        'worker'
    ]
    assert site.tool('drain', worker, '--wait').status == 0
    site.hold_jobs(False)
    site.tool('apply', '-f', '-', '--wait', stdin=json.dumps(moved))
    site.tool('uncordon', worker)
    expected = {
        'large': ['accepted', 'refused'],
        'moved': [
            *('accepted', 'placed', 'running', 'evicted', 'stopped'),
            *('resumed', 'running', 'completed'),
        ],
    }
    for name, events in expected.items():
        shown = site.tool(
            *('watch', 'job', '--name', name, '--cursor', start),
            *('--count', str(len(events)), '--output', 'jsonl'),
        )
        notices = [json.loads(line) for line in shown.out.splitlines()]
        assert [notice['event'] for notice in notices] == events
    assert notices[-1]['resource']['status']['attempt'] == 2


def test_a_watch_ends_with_the_daemon_and_goes_on_elsewhere(
    site: Site,
) -> None:
    """A watch without an end kept a stop waiting."""

    async def check() -> list[str]:
        settings = site.make_settings('watched', 'lodz')
        async with Daemon(settings) as daemon, asyncio.timeout(20):
            while daemon.find_fault():
                await asyncio.sleep(0.02)
            client = ApiClient(
                f'http://{daemon.addresses["operators"]}', 'admin'
            )
            lines = client.stream('/v1/watch')
            cursors = [(await anext(lines))['cursor']]
            stop = asyncio.create_task(daemon.stop())
            cursors += [line['cursor'] async for line in lines]
            await stop
            client.close()
        return cursors

    cursor = site.run(check())[-1]
    site.call('POST', '/v1/jobs', make_job('after-stop'))
    seen = site.tool(
        *('watch', '--name', 'after-stop', '--cursor', cursor),
        *('--count', '1'),
    )
    assert 'accepted' in seen.out


def test_a_watch_from_the_future_is_refused(site: Site) -> None:
    cursor = encode_cursor({CONFIGURATION_LOG: LogPosition(10**9)})
    told = site.tool('watch', '--cursor', cursor)
    assert told.status == 3
    assert 'cursor: is from the future' in told.err


def test_the_table_key_of_a_log_is_what_slices_write() -> None:
    assert make_change_key(SLICE, 7) == Key('change/alex-a/0', '000000000007')
