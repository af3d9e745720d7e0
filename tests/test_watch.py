"""Watches deliver every change after a cursor exactly once."""

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
    """Change logs in a table, and the newest entries that a daemon knows."""

    def __init__(self) -> None:
        self.table = MemoryTable()
        self.newest = {CONFIGURATION_LOG: 0, SLICE: 0}
        self.changed_names: list[str] = []
        self.watcher = self.make_watcher()

    def make_watcher(self) -> Watcher:
        return Watcher(self.table, (SLICE,), lambda: dict(self.newest))

    async def add_jobs(self, *names: str) -> None:
        """Adds an entry for a transaction that changed the named jobs."""
        self.newest[SLICE] += 1
        number = self.newest[SLICE]
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
        self.changed_names += names

    async def add_team(self, name: str) -> None:
        """Adds an entry for a change of a team in the configuration."""
        self.newest[CONFIGURATION_LOG] += 1
        number = self.newest[CONFIGURATION_LOG]
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
        self.changed_names.append(name)

    async def watch(
        self, cursor: str, most: int = 1000
    ) -> tuple[list[str], str]:
        """Watches until nothing is new or `most` changes have arrived.

        Returns:
          Names of the changed resources, and the last cursor.
        """
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
def test_resumed_watch_has_no_gaps_or_repeats(
    steps: list[tuple[str, int]],
) -> None:
    """A watch that was resumed missed changes or delivered them twice."""

    async def check() -> None:
        logs = Logs()
        cursor = logs.watcher.make_cursor()
        seen: list[str] = []
        for index, (step, number) in enumerate(steps):
            if step == 'job':
                await logs.add_jobs(*(f'j{index}-{n}' for n in range(number)))
            elif step == 'team':
                await logs.add_team(f't{index}')
            elif step == 'take':
                names, cursor = await logs.watch(cursor, number)
                seen += names
            else:
                logs.watcher = logs.make_watcher()
        names, cursor = await logs.watch(cursor)
        seen += names
        assert sorted(seen) == sorted(logs.changed_names)
        for letter in 'jt':
            expected = [
                name for name in logs.changed_names if name[0] == letter
            ]
            assert [name for name in seen if name[0] == letter] == expected

    run(check())


def test_watch_from_pruned_entries_is_refused() -> None:
    """A watch skipped entries that had been pruned."""

    async def check() -> None:
        logs = Logs()
        cursor = logs.watcher.make_cursor()
        for number in range(3):
            await logs.add_jobs(f'j{number}')
        await logs.table.transact(
            'prune', [Delete(make_change_key(SLICE, 1), 1)]
        )
        logs.watcher = logs.make_watcher()
        with pytest.raises(LentilmountError) as caught:
            await logs.watcher.read_cursor(cursor)
        assert caught.value.kind is ErrorKind.GONE

    run(check())


def test_cursor_ahead_of_this_daemon_is_accepted() -> None:
    """A cursor from a daemon that had read newer entries was rejected."""

    async def check() -> None:
        logs = Logs()
        await logs.add_jobs('a')
        newer_cursor = logs.watcher.make_cursor()
        logs.newest[SLICE] = 0
        positions = await logs.watcher.read_cursor(newer_cursor)
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
class _FailingTable(MemoryTable):
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


def test_watch_loses_no_changes_in_a_table_outage() -> None:
    async def check() -> None:
        logs = Logs()
        logs.table = _FailingTable()
        logs.watcher = logs.make_watcher()
        cursor = logs.watcher.make_cursor()
        positions = await logs.watcher.read_cursor(cursor)
        await logs.add_jobs('a', 'b')
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


def test_watch_reports_a_job_from_accepted_to_completed(site: Site) -> None:
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


def test_watch_reports_refused_evicted_and_resumed_jobs(site: Site) -> None:
    """A watch did not report why jobs were refused or stopped."""
    start = site.call('GET', '/v1/jobs')['cursor']
    large = make_job('large', demand={'cores': 1000, 'memory_mb': 1})
    answer = site.tool('apply', '-f', '-', '--wait', stdin=json.dumps(large))
    assert answer.status == 1
    assert 'Job desk/large: refused' in answer.out
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


def test_watch_ends_on_shutdown_and_resumes_on_another_daemon(
    site: Site,
) -> None:
    """An open watch delayed the shutdown of its daemon."""

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


def test_cursor_ahead_of_the_logs_is_refused(site: Site) -> None:
    cursor = encode_cursor({CONFIGURATION_LOG: LogPosition(10**9)})
    answer = site.tool('watch', '--cursor', cursor)
    assert answer.status == 3
    assert 'cursor: is from the future' in answer.err


def test_change_log_keys() -> None:
    assert make_change_key(SLICE, 7) == Key('change/alex-a/0', '000000000007')
