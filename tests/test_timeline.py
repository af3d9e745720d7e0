"""The timeline: the events of all daemons, in one order."""

from __future__ import annotations

import json
import pathlib
from typing import Any

import attrs

from lentilmount.cli.lines import ATTEMPTS_PROCESS
from lentilmount.clock import ManualClock, Stamp
from lentilmount.events import Event, EventKind, EventLog
from lentilmount.queries.timeline import (
    Cursor,
    EventFilter,
    find_team,
    keep_visible,
    merge_events,
    select_events,
)
from stand_ins.site import Site, make_job
from tests.helpers import run


@attrs.define
class FakeDaemons:
    """Event logs of other daemons; None for one that is unreachable."""

    logs: dict[str, EventLog | None]

    async def list_events(
        self, wanted: EventFilter, cursor: Cursor
    ) -> dict[str, list[Event] | None]:
        return {
            name: None
            if log is None
            else select_events(log, wanted, cursor.get(name))
            for name, log in self.logs.items()
        }


def make_log(name: str, start: float) -> tuple[EventLog, ManualClock]:
    clock = ManualClock(start)
    return EventLog(name, clock), clock


def test_events_are_merged_by_stamp_and_unreachable_daemons_listed() -> None:
    """Events must stay in order when a daemon's clock is behind."""

    async def check() -> None:
        a, _ = make_log('a', 1005.0)
        b, _ = make_log('b', 1000.0)
        first = a.record('x', EventKind.STARTED, cause='1')
        b.hybrid.observe(first.stamp)
        b.record('x', EventKind.STARTED, cause='2')
        others = FakeDaemons({'b': b, 'c': None})
        line = await merge_events(a, others, EventFilter(), {})
        assert [event.cause for event in line.events] == ['1', '2']
        assert line.unreachable == ('c',)
        b.record('x', EventKind.STOPPING, cause='3')
        more = await merge_events(a, others, EventFilter(), line.cursor)
        assert [event.cause for event in more.events] == ['3']
        again = await merge_events(a, others, EventFilter(), more.cursor)
        assert again.events == ()

    run(check())


def test_filters_by_resource_request_and_time() -> None:
    log, clock = make_log('a', 1000.0)
    for name in ('Job/desk/run-1/0', 'Job/desk/run-11/0', 'Service/desk/x'):
        log.record('x', EventKind.PLACED, name, request=name[-3:])
        clock.advance(10)

    def find(**wanted: Any) -> list[str]:
        return [e.resource for e in select_events(log, EventFilter(**wanted))]

    assert find(resource='Job/desk/run-1') == ['Job/desk/run-1/0']
    assert find(resource='Job/desk/') == [
        *('Job/desk/run-1/0', 'Job/desk/run-11/0')
    ]
    assert find(request='k/x') == ['Service/desk/x']
    assert find(since_millis=1_015_000) == ['Service/desk/x']
    assert find(until_millis=1_005_000) == ['Job/desk/run-1/0']
    assert find(limit=1) == ['Service/desk/x']
    assert len(find(limit=0)) == 3


def test_team_sees_only_its_own_events() -> None:
    log, _ = make_log('a', 1000.0)
    for resource in ('Job/desk/x/0', 'Job/rival/x/0', 'desk/0', ''):
        log.record('x', EventKind.PLACED, resource)
    assert find_team('desk/0') == ''
    seen = keep_visible(log.select(), frozenset({'desk'}))
    assert [event.resource for event in seen] == ['Job/desk/x/0']
    assert len(list(keep_visible(log.select(), None))) == 4


def test_event_log_keeps_only_the_newest_events() -> None:
    log = EventLog('a', ManualClock(), size=3)
    for number in range(5):
        log.record('x', EventKind.PLACED, cause=str(number))
    assert [event.cause for event in log.select()] == ['2', '3', '4']
    assert [e.cause for e in log.select(Stamp(1_000_000, 3))] == ['4']


def test_the_export_loads_as_a_chrome_trace(
    site: Site, tmp_path: pathlib.Path
) -> None:
    site.tool('apply', '-f', '-', '--wait', stdin=json.dumps(make_job('trace')))
    path = tmp_path / 'trace.json'
    result = site.tool('timeline', '--export', str(path))
    assert result.status == 0
    assert result.err == ''
    trace = json.loads(path.read_text('utf-8'))
    entries = trace['traceEvents']
    names = {
        (entry['pid'], entry['tid']): entry['args']['name']
        for entry in entries
        if entry['ph'] == 'M'
    }
    for entry in entries:
        assert entry['ph'] in 'MiX'
        assert (entry['pid'], entry['tid']) in names
        if entry['ph'] != 'M':
            assert isinstance(entry['ts'], int)
        if entry['ph'] == 'X':
            assert entry['dur'] > 0
    processes = {
        e['args']['name'] for e in entries if e['name'] == 'process_name'
    }
    assert processes >= {'entry-0', 'entry-1', ATTEMPTS_PROCESS}
    (attempt,) = [e for e in entries if e['name'] == 'Job/desk/trace/0#1']
    worker = site.call('GET', '/v1/jobs/desk/trace')['status']['worker']
    assert names[attempt['pid'], attempt['tid']] == worker
    assert attempt['args'] == {'ended': 'completed'}


def test_the_tool_shows_and_filters_events(site: Site) -> None:
    site.tool('apply', '-f', '-', '--wait', stdin=json.dumps(make_job('line')))
    shown = site.tool(
        *('timeline', '--resource', 'Job/desk/line', '--since', '10m'),
        *('--output', 'jsonl'),
    )
    events = [json.loads(line) for line in shown.out.splitlines()]
    kinds = [event['kind'] for event in events]
    assert kinds == ['accepted', 'placed', 'running', 'completed']
    assert all(event['daemon'].startswith('entry-') for event in events)
    none = site.tool('timeline', '--since', '2999-01-01T00:00:00Z')
    assert len(none.out.splitlines()) == 1
    wrong = site.tool('timeline', '--since', 'yesterday')
    assert wrong.status == 3
    assert '--since: is neither an age nor a time' in wrong.err


def test_failed_request_is_found_by_its_id(site: Site) -> None:
    site.send(
        *('GET', '/call/desk/airtime/x'),
        listener='callers',
        Lentilmount_Request='late-one',
        Lentilmount_Timeout_Ms='0.001',
    )
    shown = site.tool(
        *('timeline', '--request', 'late-one', '--output', 'jsonl'),
        token='desk',
    )
    event = json.loads(shown.out.splitlines()[-1])
    assert event['kind'] == 'request'
    assert event['resource'] == 'Service/desk/airtime'
    assert event['cause'].startswith('HTTP status 5')
    assert event['seconds'] > 0
