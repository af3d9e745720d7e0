"""Order of writes, starts and acknowledgements by an owner."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import logbook
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control import state_writer as state_writer_module
from lentilmount.control.cancellations import Cancellation, Cancellations
from lentilmount.control.lease_data import has_unrecorded_starts
from lentilmount.control.retention import Retention
from lentilmount.control.state_writer import (
    COMMIT_ROWS,
    TASK_BYTES,
    StateWriter,
)
from lentilmount.control.worker_session import WorkerSession
from lentilmount.coordination.leases import Lease, LeaseKeeper
from lentilmount.coordination.table import (
    MAX_OPERATIONS,
    Delete,
    Key,
    Operation,
    Put,
    count_entries,
)
from lentilmount.platform.store import PlatformTable
from lentilmount.platform.workers import WorkerClient
from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import JobState, Task
from lentilmount.upstream.http import HttpClient
from lentilmount.version_times import VersionTimes
from tests.helpers import run
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_step,
    make_submissions,
)
from tests.test_worker_session import IgnoringListener

CANCELLATIONS = 25
WAIT_SECONDS = 5.0

WRITES = 6
"""Three writes hold every job once; three more those that changed meanwhile."""


class _SlowTable:
    """Table in memory whose writes wait until `gate` is set."""

    def __init__(self) -> None:
        self.gate = asyncio.Event()
        self.gate.set()
        self.write_started = asyncio.Event()
        self.version = 0
        self.bodies: dict[Key, dict[str, Any]] = {}
        self.writes: list[list[Operation]] = []

    async def read(self, keys: list[Key]) -> dict[Key, Any]:
        return {}

    async def transact(self, token: str, operations: list[Operation]) -> int:
        self.write_started.set()
        await self.gate.wait()
        self.version += 1
        self.writes.append(operations)
        for operation in operations:
            if isinstance(operation, Put):
                self.bodies[operation.key] = operation.body
        return self.version


def _make_state_writer(
    table: PlatformTable,
    keeper: LeaseKeeper,
    lease: Lease,
    cluster: ClusterState,
    sessions: dict[str, WorkerSession],
    send: Callable[[Task], None],
    early: Cancellations | None = None,
) -> StateWriter:
    return StateWriter(
        'desk',
        table,
        keeper,
        lease,
        cluster,
        InterferenceModel(),
        sessions,
        ManualClock(),
        send,
        print,
        Retention('desk', cluster, 120.0, early or Cancellations()),
        lambda jobs: None,
        VersionTimes(ManualClock().monotonic),
        make_submissions('desk'),
        print,
    )


def test_the_end_of_a_job_is_logged_once() -> None:
    """The end of a job was logged again with each write of its row."""

    async def play() -> list[dict[str, Any]]:
        table = cast(PlatformTable, _SlowTable())
        keeper = LeaseKeeper(table, 'a', 2.0, ManualClock().monotonic)
        lease = await keeper.try_acquire(Key('owners/desk', 'owner'))
        assert lease is not None
        cluster = ClusterState()
        state_writer = _make_state_writer(
            table, keeper, lease, cluster, {}, print
        )
        job = admit(cluster, make_job('a'))
        with logbook.TestHandler() as handler:
            running = asyncio.create_task(state_writer.run())
            for _ in range(2):
                cluster.finish_job(job, JobState.FAILED, 7.5)
                state_writer.request_write()
                while cluster.dirty:
                    await asyncio.sleep(0.01)
            running.cancel()
            return [r.extra for r in handler.records if 'took' in r.extra]

    logged = run(play())
    assert [(e['job'], e['took'], e['objective']) for e in logged] == [
        ('a', 7.5, 3.0)
    ]


def test_full_writes_delete_cancellations_of_unknown_jobs() -> None:
    """Cancellations of jobs that never came filled the table for good."""

    async def play() -> list[list[Operation]]:
        slow = _SlowTable()
        table = cast(PlatformTable, slow)
        keeper = LeaseKeeper(table, 'a', 2.0, ManualClock().monotonic)
        lease = await keeper.try_acquire(Key('owners/desk', 'owner'))
        assert lease is not None
        cluster = ClusterState()
        early = Cancellations()
        for number in range(CANCELLATIONS):
            early.add(Cancellation(f'{number:016x}', number + 1, -1e6))
        state_writer = _make_state_writer(
            table, keeper, lease, cluster, {}, print, early
        )
        for number in range(4 * COMMIT_ROWS):
            job = admit(cluster, make_job(f'job-{number}'))
            cluster.dirty[job.spec.id] = None
        state_writer.request_write()
        running = asyncio.create_task(state_writer.run())
        async with asyncio.timeout(WAIT_SECONDS):
            while early:
                await asyncio.sleep(0.01)
        assert cluster.dirty
        running.cancel()
        return slow.writes

    writes = run(play())
    deleted = [
        operation.key.sort
        for operations in writes
        for operation in operations
        if isinstance(operation, Delete)
    ]
    assert len(deleted) == len(set(deleted)) == CANCELLATIONS
    assert max(map(count_entries, writes)) <= MAX_OPERATIONS


def test_a_start_placed_during_a_write_waits_for_the_next() -> None:
    """A start that was in no row ran twice after a takeover."""

    async def play() -> None:
        table = cast(PlatformTable, _SlowTable())
        slow = cast(_SlowTable, table)
        clock = ManualClock()
        keeper = LeaseKeeper(table, 'a', 2.0, clock.monotonic)
        lease = await keeper.try_acquire(Key('owners/desk', 'owner'))
        assert lease is not None
        cluster = ClusterState()
        worker = add_worker(cluster, 'w')
        admit(cluster, make_job('a', make_step(count=2)))
        first, second = (find_task(cluster, 'a', 0, n) for n in range(2))
        sent: list[Task] = []
        state_writer = _make_state_writer(
            table, keeper, lease, cluster, {}, sent.append
        )
        slow.gate.clear()
        slow.write_started.clear()
        cluster.place([first], worker, 1.0)
        state_writer.add_start(first)
        running = asyncio.create_task(state_writer.run())
        await slow.write_started.wait()
        cluster.place([second], worker, 1.0)
        state_writer.add_start(second)
        slow.write_started.clear()
        slow.gate.set()
        while not sent:
            await asyncio.sleep(0)
        assert sent == [first]
        while len(sent) < 2:
            await asyncio.sleep(0.001)
        body = slow.bodies[Key('states/desk', 'a')]
        assert set(body['tasks']) == {'0.0.0', '0.0.1'}
        running.cancel()

    run(play())


class _BusyTable(_SlowTable):
    """Table that marks all jobs as changed with each write."""

    cluster: ClusterState

    async def transact(self, token: str, operations: list[Operation]) -> int:
        version = await super().transact(token, operations)
        for job_id in self.cluster.jobs:
            self.cluster.dirty[job_id] = None
        # Other coroutines run here, as they do during a real call.
        await asyncio.sleep(0)
        return version


def test_run_ends_are_acknowledged_while_more_jobs_change_than_a_write_holds(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """On a busy owner no end was acknowledged, and next steps began late."""
    monkeypatch.setattr(state_writer_module, 'WRITE_INTERVAL_SECONDS', 0.0)

    async def play() -> None:
        table = cast(PlatformTable, _BusyTable())
        busy = cast(_BusyTable, table)
        busy.cluster = cluster = ClusterState()
        clock = ManualClock()
        keeper = LeaseKeeper(table, 'a', 2.0, clock.monotonic)
        lease = await keeper.try_acquire(Key('owners/desk', 'owner'))
        assert lease is not None
        worker = add_worker(cluster, 'w')
        for number in range(3 * COMMIT_ROWS):
            admit(cluster, make_job(f'job-{number}'))
            cluster.dirty[f'job-{number}'] = None
        calls = WorkerClient(HttpClient(''), 1, 1.0)
        session = WorkerSession(
            worker, cluster, calls, IgnoringListener(), 6.0, clock.monotonic
        )
        session.received_end = 7
        sessions = {'w': session}
        state_writer = _make_state_writer(
            table, keeper, lease, cluster, sessions, print
        )
        state_writer.request_write()
        running = asyncio.create_task(state_writer.run())
        while busy.version < WRITES and not session.written_end:
            state_writer.request_write()
            await asyncio.sleep(0)
        running.cancel()
        assert session.written_end == 7
        assert busy.version >= 3

    run(play())


def test_run_ends_after_a_worker_restart_are_not_acknowledged_unread() -> None:
    """Ends after a restart of a worker were acknowledged unread.

    Their numbers begin again; acknowledged by an earlier number they were lost,
    and their tasks ran again.
    """

    async def play() -> int:
        table = cast(PlatformTable, _SlowTable())
        slow = cast(_SlowTable, table)
        clock = ManualClock()
        keeper = LeaseKeeper(table, 'a', 2.0, clock.monotonic)
        lease = await keeper.try_acquire(Key('owners/desk', 'owner'))
        assert lease is not None
        cluster = ClusterState()
        worker = add_worker(cluster, 'w')
        calls = WorkerClient(HttpClient(''), 1, 1.0)
        session = WorkerSession(
            worker, cluster, calls, IgnoringListener(), 6.0, clock.monotonic
        )
        session.received_end = 7
        state_writer = _make_state_writer(
            table, keeper, lease, cluster, {'w': session}, print
        )
        slow.gate.clear()
        slow.write_started.clear()
        state_writer.request_write()
        running = asyncio.create_task(state_writer.run())
        await slow.write_started.wait()
        session.handle_restart('it restarted')
        session.end_written.clear()
        slow.gate.set()
        version = slow.version
        while slow.version < version + 2:
            state_writer.request_write()
            await asyncio.sleep(0.001)
        running.cancel()
        return session.written_end

    assert run(play()) == 0


def test_a_lease_records_that_starts_are_in_no_row() -> None:
    """A task started in an outage ran twice after a takeover."""

    async def play() -> None:
        table = cast(PlatformTable, _SlowTable())
        slow = cast(_SlowTable, table)
        keeper = LeaseKeeper(table, 'a', 2.0, ManualClock().monotonic)
        key = Key('owners/desk', 'owner')
        lease = await keeper.try_acquire(key)
        assert lease is not None
        cluster = ClusterState()
        worker = add_worker(cluster, 'w', capacity=Room(999.0, 999_000))
        state_writer = _make_state_writer(
            table, keeper, lease, cluster, {}, print
        )
        for number in range(COMMIT_ROWS + 1):
            admit(cluster, make_job(f'job-{number}'))
            task = find_task(cluster, f'job-{number}')
            cluster.place([task], worker, 1.0)
            state_writer.add_start(task)
        state_writer.send_unrecorded()
        logged: list[bool] = []
        running = asyncio.create_task(state_writer.run())
        while len(logged) < 2:
            version = slow.version
            while slow.version == version:
                await asyncio.sleep(0.001)
            logged.append(has_unrecorded_starts(slow.bodies[key]['data']))
        running.cancel()
        assert logged == [True, False]

    run(play())


def test_starts_of_a_write_in_flight_are_sent_in_an_outage() -> None:
    """Starts of a write in flight waited until the outage was over."""

    async def play() -> None:
        table = cast(PlatformTable, _SlowTable())
        slow = cast(_SlowTable, table)
        keeper = LeaseKeeper(table, 'a', 2.0, ManualClock().monotonic)
        lease = await keeper.try_acquire(Key('owners/desk', 'owner'))
        assert lease is not None
        cluster, sent = ClusterState(), cast(list[Task], [])
        state_writer = _make_state_writer(
            table, keeper, lease, cluster, {}, sent.append
        )
        worker = add_worker(cluster, 'w')
        admit(cluster, make_job('a'))
        first = find_task(cluster, 'a')
        slow.gate.clear()
        slow.write_started.clear()
        cluster.place([first], worker, 1.0)
        state_writer.add_start(first)
        running = asyncio.create_task(state_writer.run())
        await slow.write_started.wait()
        state_writer.send_unrecorded()
        running.cancel()
        assert sent == [first]

    run(play())


def test_a_release_after_an_outage_tells_of_starts_in_no_row() -> None:
    """The next owner started a task again that ran on a worker cut off.

    The write in flight was from before the outage, and the service was
    released before another one.
    """

    async def play() -> bool:
        table = cast(PlatformTable, _SlowTable())
        slow = cast(_SlowTable, table)
        keeper = LeaseKeeper(table, 'a', 2.0, ManualClock().monotonic)
        key = Key('owners/desk', 'owner')
        lease = await keeper.try_acquire(key)
        assert lease is not None
        cluster = ClusterState()
        worker = add_worker(cluster, 'w')
        state_writer = _make_state_writer(
            table, keeper, lease, cluster, {}, print
        )
        slow.gate.clear()
        slow.write_started.clear()
        running = asyncio.create_task(state_writer.run())
        state_writer.request_write()
        await slow.write_started.wait()
        admit(cluster, make_job('a'))
        task = find_task(cluster, 'a')
        cluster.place([task], worker, 1.0)
        state_writer.add_start(task)
        state_writer.send_unrecorded()
        slow.gate.set()
        await state_writer.finish()
        await running
        assert await keeper.release(lease)
        return has_unrecorded_starts(slow.bodies[key]['data'])

    assert run(play())


def _list_written(
    link_bytes_per_second: float, with_starts: int, others: int
) -> list[set[str]]:
    """Writes wide jobs until all are written; returns the jobs of each."""

    async def play() -> list[set[str]]:
        table = cast(PlatformTable, _SlowTable())
        keeper = LeaseKeeper(table, 'a', 2.0, ManualClock().monotonic)
        lease = await keeper.try_acquire(Key('owners/desk', 'owner'))
        assert lease is not None
        cluster = ClusterState()
        worker = add_worker(cluster, 'w-1')
        state_writer = _make_state_writer(
            table, keeper, lease, cluster, {}, lambda task: None
        )
        state_writer.link_bytes_per_second = link_bytes_per_second
        for number in range(with_starts + others):
            job = admit(cluster, make_job(f'{number}', make_step(count=40)))
            cluster.dirty[job.spec.id] = None
            if number < with_starts:
                task = find_task(cluster, job.spec.id)
                cluster.place([task], worker, 1.0)
                state_writer.add_start(task)
        writes = []
        while cluster.dirty:
            left = set(cluster.dirty)
            await state_writer._write_changes()
            writes.append(left - set(cluster.dirty))
        return writes

    return run(play())


def test_a_write_does_not_take_long_on_a_small_link() -> None:
    """The lease of an owner ran out as its renewal was part of a long write."""
    link = 250_000.0
    writes = _list_written(link, with_starts=20, others=20)
    row_bytes = 40 * TASK_BYTES
    assert max(len(jobs) for jobs in writes) * row_bytes <= 0.1 * link
    assert len(set().union(*writes)) == 40


def test_a_short_write_leaves_room_for_jobs_without_starts() -> None:
    """Run ends were not acknowledged while starts filled each write."""
    writes = _list_written(250_000.0, with_starts=30, others=30)
    assert any(int(job) >= 30 for job in writes[0])
    assert any(int(job) < 30 for job in writes[0])


def test_a_write_on_a_wide_link_holds_as_many_jobs_as_the_store_takes() -> None:
    """Jobs waited for several writes although the link was idle."""
    writes = _list_written(125e6, with_starts=30, others=30)
    assert len(writes[0]) == COMMIT_ROWS


def test_a_job_wider_than_a_write_leaves_room_for_jobs_without_starts() -> None:
    """Run ends of others were in no write while a very wide job went on.

    Its row alone is more than a short write may hold, and it has new starts in
    each.
    """

    async def play() -> int:
        table = cast(PlatformTable, _SlowTable())
        keeper = LeaseKeeper(table, 'a', 2.0, ManualClock().monotonic)
        lease = await keeper.try_acquire(Key('owners/desk', 'owner'))
        assert lease is not None
        cluster = ClusterState()
        worker = add_worker(cluster, 'w-1')
        state_writer = _make_state_writer(
            table, keeper, lease, cluster, {}, lambda task: None
        )
        state_writer.link_bytes_per_second = 250_000.0
        admit(cluster, make_job('wide', make_step(count=600)))
        admit(cluster, make_job('other'))
        cluster.dirty['other'] = None
        writes = 0
        while 'other' in cluster.dirty and writes < 20:
            task = find_task(cluster, 'wide', 0, writes)
            cluster.place([task], worker, 1.0)
            state_writer.add_start(task)
            await state_writer._write_changes()
            writes += 1
        return writes

    assert run(play()) <= 4
