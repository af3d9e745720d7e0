"""Decoding documents of the platform, and calls to its table service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import orjson
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.election import is_same_host, make_name
from lentilmount.control.routes import RouteTable
from lentilmount.coordination.leases import (
    Lease,
    LeaseKeeper,
    LeaseLostError,
)
from lentilmount.coordination.table import (
    ABSENT,
    Check,
    ConflictError,
    Delete,
    Key,
    Put,
    UnavailableError,
)
from lentilmount.errors import InvalidError, SettingsError
from lentilmount.platform.documents import (
    decode_job_row,
    decode_registration,
    decode_submission,
    decode_worker_report,
    encode_job_row,
)
from lentilmount.platform.host_settings import decode_host_settings
from lentilmount.platform.store import (
    HistoryLostError,
    PlatformTable,
    RawRow,
    RefusedError,
    make_partition,
)
from lentilmount.resources import Room
from lentilmount.scheduling.reports import EndKind, WorkerState
from stand_ins.rowstore import Fault, RowStore
from tests.helpers import run
from tests.platform_fixtures import (
    make_configuration,
    make_settings,
    open_table,
)
from tests.scheduling_fixtures import make_policy

KEY = Key(make_partition('mine', 'desk'), 'row')


def test_every_wrong_setting_is_named_at_once() -> None:
    document = make_settings('nowhere', zone='', internalPorts=[])
    with pytest.raises(SettingsError) as caught:
        decode_host_settings(document)
    fields = {field.field for field in caught.value.fields}
    assert fields == {'zone', 'internalPorts.0', 'platform.address'}
    assert 'must be HOST:PORT' in caught.value.detail


def test_unknown_settings_are_ignored_and_no_document_is_an_error() -> None:
    settings = decode_host_settings(make_settings('10.0.0.1:8169'))
    assert settings.store.port == 8169
    assert settings.times.lease == 6.0
    with pytest.raises(SettingsError):
        decode_host_settings(None)


def test_a_job_is_restored_from_its_row() -> None:
    body = {
        'spec': 'text',
        'steps': [
            {'count': 2, 'cpu': 1500, 'memMb': 64, 'estimatedMs': 900},
            {
                'count': 1,
                'cpu': 500,
                'memMb': 32,
                'after': [0],
                'fills': True,
                'image': 'x',
                'mayMiss': 0,
            },
        ],
        'runCount': 3,
        'intervalMs': 1000,
        'startTimeMs': 5000,
    }
    spec = decode_submission('id', orjson.dumps(body), make_policy(), 7.0)
    assert spec.steps[0].demand == Room(1.5, 64)
    assert spec.steps[1].reserved == Room(0.0, 32)
    assert spec.steps[1].may_miss == 0
    assert spec.get_due(2) == 7.0
    row = orjson.loads(orjson.dumps(encode_job_row(spec)))
    assert decode_job_row(row) == spec


@pytest.mark.parametrize(
    ('body', 'named'),
    [
        (b'{', 'JSON'),
        (b'[]', 'body'),
        (b'{"steps":[]}', 'steps'),
        (b'{"spec":1,"steps":[{"count":1}]}', 'spec'),
        (b'{"steps":[{"count":0}]}', 'steps[0].count'),
        (b'{"steps":[{"count":"x"}]}', 'steps[0]'),
        (b'{"steps":[{"count":1,"after":[0]}]}', 'steps[0].after'),
        (b'{"steps":[{"count":99999}]}', 'tasks'),
        (b'{"runCount":"x","steps":[{"count":1}]}', 'runCount'),
    ],
)
def test_a_wrong_job_names_its_field(body: bytes, named: str) -> None:
    with pytest.raises(InvalidError) as caught:
        decode_submission('id', body, make_policy(), 0.0)
    assert named in caught.value.detail


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'\xff\x00',
        b'7',
        b'{}',
        b'{"service":"s","address":"a","zone":"z","state":"odd"}',
        b'{"service":7,"address":"a","zone":"z","state":"ready","capacity":{}}',
        b'{"service":"s","address":"a","zone":"z","state":"ready",'
        b'"capacity":[]}',
    ],
)
def test_a_malformed_registration_is_ignored(value: bytes) -> None:
    assert decode_registration('i-1', value) is None


def test_a_draining_worker_is_decoded() -> None:
    value = orjson.dumps(
        {
            'service': 's',
            'address': 'a:1',
            'zone': 'z',
            'state': 'draining',
            'remainingMs': 2500,
            'born': 12,
            'capacity': {'cpu': 16000, 'memMb': 64, 'gpu': 1},
            'labels': ['a', 'r1-2'],
        }
    )
    entry = decode_registration('i-1', value)
    assert entry is not None
    assert entry.state is WorkerState.DRAINING
    assert entry.drain_seconds == 2.5
    assert entry.capacity == Room(16.0, 64, 1)


def test_a_worker_report_is_decoded() -> None:
    body = (
        b'{"clockMs":7,"born":3,"running":[["j.0.0.1",2,"cp",41,12.5]],'
        b'"ended":[[58,"j.0.0.2",1,"alone",""]]}'
    )
    report = decode_worker_report(body)
    assert (report.started_ms, report.clock_ms) == (3, 7)
    assert report.running[0].usage == 12.5
    assert report.ended[0].kind is EndKind.ALONE
    for wrong in (b'', b'[]', b'{}', b'{"clockMs":1,"ended":[[1]]}'):
        with pytest.raises(ValueError):
            decode_worker_report(wrong)


def test_an_older_configuration_is_ignored() -> None:
    """A row delivered late restored a removed route."""
    routes = RouteTable(ManualClock().monotonic, 2.0)
    routes.apply_row(RawRow('config', make_configuration(2, '/new/'), 20))
    routes.apply_row(RawRow('config', make_configuration(1, '/old/'), 10))
    routes.apply_row(RawRow('config', b'nonsense', 30))
    assert routes.find('desk.example', '/new/x') is not None
    assert routes.find('desk.example', '/old/x') is None
    assert routes.find('other.example', '/new/x') is None


def test_transactions_and_pages() -> None:
    async def scenario() -> None:
        async with open_table() as (_, table):
            version = await table.transact('t', [Put(KEY, {'n': 1}, ABSENT)])
            row = (await table.read([KEY]))[KEY]
            assert (row.version, row.token, row.body) == (
                version,
                't',
                {'n': 1},
            )
            with pytest.raises(ConflictError) as caught:
                await table.transact('u', [Put(KEY, {'n': 2}, ABSENT)])
            assert caught.value.keys == (KEY,)
            others = [Key(KEY.partition, f'k{n:03}') for n in range(40)]
            await table.transact('v', [Put(k, {}, ABSENT) for k in others])
            found = await table.scan(KEY.partition, 'k005', 10)
            assert [r.key.sort for r in found][:2] == ['k006', 'k007']
            await table.transact(
                'w', [Check(KEY, version), Delete(others[0], version + 1)]
            )
            assert others[0] not in await table.read([others[0]])

    run(scenario())


def test_the_feed_returns_changes_or_reports_lost_history() -> None:
    async def scenario() -> None:
        async with open_table() as (store, table):
            start = (await table.read_all('mine', 'desk')).version
            waiting = asyncio.create_task(table.follow('mine', start, 5.0))
            await asyncio.sleep(0.05)
            await table.transact('t', [Put(KEY, {'n': 1}, ABSENT)])
            changes = await waiting
            assert [row.key for row in changes.rows] == ['row']
            store.drop_history()
            with pytest.raises(HistoryLostError):
                await table.follow('mine', start, 0.1)

    run(scenario())


@pytest.mark.parametrize(
    ('fault', 'kind'),
    [
        (Fault.REFUSE, RefusedError),
        (Fault.SILENT, UnavailableError),
        (Fault.LOST_ANSWER, UnavailableError),
    ],
)
def test_failures_of_the_table_are_distinguished(
    fault: Fault, kind: type[Exception]
) -> None:
    async def scenario() -> None:
        async with open_table() as (store, table):
            store.fault = fault
            with pytest.raises(kind) as caught:
                await table.transact('t', [Put(KEY, {}, ABSENT)])
            refused = isinstance(caught.value, RefusedError)
            assert refused is (fault is Fault.REFUSE)

    run(scenario())


def run_lease_test(
    scenario: Callable[
        [RowStore, PlatformTable, ManualClock], Coroutine[Any, Any, None]
    ],
) -> None:
    """Runs a test on a client of a stand-in table and a manual clock."""

    async def open_and_run() -> None:
        async with open_table() as (store, table):
            await scenario(store, table, ManualClock())

    run(open_and_run())


async def acquire_lease(
    table: PlatformTable, clock: ManualClock
) -> tuple[LeaseKeeper, Lease]:
    """Acquires the lease for holder 'a'."""
    keeper = LeaseKeeper(table, 'a', 2.0, clock.monotonic)
    lease = await keeper.try_acquire(KEY)
    assert lease is not None
    return keeper, lease


def test_a_lease_follows_the_tables_versions() -> None:
    async def scenario(
        store: RowStore, table: PlatformTable, clock: ManualClock
    ) -> None:
        keeper, lease = await acquire_lease(table, clock)
        store.write(('other', '', 'x'), b'1')
        await keeper.renew(lease)
        other = LeaseKeeper(table, 'b', 2.0, clock.monotonic)
        assert await other.try_acquire(KEY) is None
        clock.advance(2.1)
        taken = await other.try_acquire(KEY)
        assert taken is not None
        assert taken.epoch == lease.epoch + 1
        with pytest.raises(LeaseLostError):
            await keeper.renew(lease)

    run_lease_test(scenario)


def test_an_outage_does_not_cost_the_holder_its_lease() -> None:
    """After an outage another daemon took the lease before its holder."""

    async def scenario(
        store: RowStore, table: PlatformTable, clock: ManualClock
    ) -> None:
        keeper, lease = await acquire_lease(table, clock)
        other = LeaseKeeper(table, 'b', 2.0, clock.monotonic)
        assert await other.try_acquire(KEY) is None
        store.fault = Fault.REFUSE
        clock.advance(5.0)
        with pytest.raises(UnavailableError):
            await other.try_acquire(KEY)
        store.fault = Fault.NONE
        assert await other.try_acquire(KEY) is None
        await keeper.renew(lease)

    run_lease_test(scenario)


def test_a_dead_holder_of_the_same_host_is_not_waited_for() -> None:
    """A host's new process waited for the lease of its dead predecessor."""

    async def scenario(
        store: RowStore, table: PlatformTable, clock: ManualClock
    ) -> None:
        def make_keeper(host: str) -> LeaseKeeper:
            name = make_name(host)
            return LeaseKeeper(
                table,
                name,
                2.0,
                clock.monotonic,
                lambda holder: is_same_host(name, holder),
            )

        lease = await make_keeper('host-1').try_acquire(KEY)
        assert lease is not None
        assert await make_keeper('host-10').try_acquire(KEY) is None
        again = make_keeper('host-1')
        taken = await again.try_acquire(KEY)
        assert taken is not None
        assert taken.epoch == lease.epoch + 1
        assert not again.has_observed_last_write(KEY)

    run_lease_test(scenario)


def test_an_outage_hides_the_holders_last_writes() -> None:
    """A new holder trusted rows that an outage had left outdated."""

    async def scenario(
        store: RowStore, table: PlatformTable, clock: ManualClock
    ) -> None:
        keeper, lease = await acquire_lease(table, clock)
        other = LeaseKeeper(table, 'b', 2.0, clock.monotonic)
        await other.try_acquire(KEY)
        assert not other.has_observed_last_write(KEY)
        await keeper.renew(lease)
        await other.try_acquire(KEY)
        assert other.has_observed_last_write(KEY)
        store.fault = Fault.REFUSE
        with pytest.raises(UnavailableError):
            await other.try_acquire(KEY)
        store.fault = Fault.NONE
        await other.try_acquire(KEY)
        clock.advance(2.1)
        assert await other.try_acquire(KEY) is not None
        assert not other.has_observed_last_write(KEY)

    run_lease_test(scenario)
