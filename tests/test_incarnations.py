"""Calls, ends and leases of one incarnation of a worker in a later one."""

from __future__ import annotations

import asyncio

import orjson
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.keys import make_job_key, make_owner_key
from lentilmount.control.late_calls import LATE_LEASE_SECONDS
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.owner import Owner
from lentilmount.control.owner_settings import OwnerSettings
from lentilmount.control.registry import POLL_SECONDS, RETURN_SECONDS
from lentilmount.control.worker_session import RETRY_SECONDS, WorkerSession
from lentilmount.coordination.leases import LeaseKeeper
from lentilmount.coordination.table import (
    ABSENT,
    ConflictError,
    Delete,
    Key,
    Operation,
    Put,
    Row,
)
from lentilmount.platform.documents import encode_job_row
from lentilmount.platform.store import (
    WORKERS_TABLE,
    Changes,
    PlatformTable,
    RawRow,
    make_partition,
)
from lentilmount.platform.workers import (
    CallStatus,
    CommandAnswer,
    StartCommand,
    WorkerClient,
)
from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import TaskPhase
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.reports import (
    EndKind,
    RunReport,
    StaleRun,
    WorkerEntry,
    WorkerReport,
)
from lentilmount.scheduling.takeover import InheritedLeases
from lentilmount.upstream.http import HttpClient
from lentilmount.version_times import VersionTimes
from stand_ins.virtual_time import run_virtual
from tests.helpers import run
from tests.restart_fixtures import (
    CALL_SECONDS,
    TIMEOUT_SECONDS,
    LateWorker,
    RestartScene,
    play,
)
from tests.scheduling_fixtures import (
    SERVICE,
    add_worker,
    admit,
    find_task,
    make_end,
    make_entry,
    make_job,
    run_pass,
)
from tests.socket_fixtures import serve_connections
from tests.test_submissions import JOB
from tests.test_worker_session import LEASE_SECONDS, IgnoringListener

LATE_SECONDS = 4.0
"""Time after which a call without an answer is executed."""


def test_a_registration_does_not_end_a_run_that_it_follows() -> None:
    """A run that the new incarnation had answered was started elsewhere."""

    async def scenario(scene: RestartScene) -> None:
        # The poll in flight at the crash has no answer yet.
        scene.client.silent_polls = True
        await asyncio.sleep(2 * CALL_SECONDS)
        scene.client.restart()
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: scene.task.phase is TaskPhase.RUNNING)
        scene.session.handle_registration(scene.client.incarnation)
        await scene.observe(0.5)

    play(scenario)


def test_a_registration_does_not_end_inherited_runs_of_its_incarnation() -> (
    None
):
    """A start by the previous owner ran on; the new one started it again."""

    async def scenario(scene: RestartScene) -> None:
        scene.client.restart()
        scene.client.running[str(scene.task.id)] = scene.task.run
        await asyncio.sleep(0.5)
        scene.client.silent = False
        scene.session.handle_registration(scene.client.incarnation)
        await scene.observe(1.0)

    play(scenario, is_new=True)


def test_an_older_first_report_does_not_end_a_newer_run() -> None:
    """The first report overtaken by a start's answer ended the new run."""

    async def scenario(scene: RestartScene) -> None:
        client = scene.client
        client.restart()
        client.poll_answer_seconds = 0.1
        await scene.wait_until(lambda: client.reported == client.incarnation)
        scene.commands.start(scene.task)
        await scene.observe(1.0)

    play(scenario)


def test_a_late_start_is_stopped_after_each_of_two_restarts() -> None:
    """A second restart forgot the stop: the start ran there and elsewhere."""

    async def scenario(scene: RestartScene) -> None:
        scene.client.late_start_seconds = LATE_SECONDS
        scene.commands.start(scene.task)
        await asyncio.sleep(0.2)
        scene.client.restart()
        await scene.observe(1.0)
        scene.client.restart()
        await scene.observe(LATE_SECONDS)

    play(scenario)


def test_the_stop_of_a_late_start_that_moved_on_is_repeated() -> None:
    """A stop was refused and not repeated: the start ran there as well."""

    async def scenario(scene: RestartScene) -> None:
        scene.client.late_start_seconds = 1.5 * LATE_SECONDS
        scene.commands.start(scene.task)
        await scene.observe(LATE_SECONDS)
        assert scene.task.worker == scene.other.id
        scene.client.restart()
        scene.client.refused_stops = 1
        await scene.observe(LATE_SECONDS)

    play(scenario)


def test_a_stop_by_an_earlier_incarnation_settles_nothing_in_the_next() -> None:
    """An old stop's answer freed a task whose start the worker then ran."""

    async def scenario(scene: RestartScene) -> None:
        client = scene.client
        client.late_start_seconds = LATE_SECONDS
        client.stop_answer_seconds = 0.5
        scene.commands.start(scene.task)
        await asyncio.sleep(0.1)
        scene.cluster.begin_stop(scene.task)
        scene.commands.stop(scene.task)
        await asyncio.sleep(0.1)
        client.restart()
        client.refused_stops = 5
        await scene.observe(LATE_SECONDS + 1.0)

    play(scenario)


def test_a_late_answer_does_not_set_the_clock_of_the_next_incarnation() -> None:
    """By an old clock, a start without an answer never expired."""

    async def scenario(scene: RestartScene) -> None:
        client = scene.client
        client.stop_answer_seconds = 0.5
        scene.commands.stop_stale_run(
            StaleRun(scene.worker.id, str(scene.task.id), 0)
        )
        await asyncio.sleep(0.1)
        client.restart()
        await scene.observe(1.0)
        if scene.task.worker == scene.other.id:
            scene.cluster.requeue(scene.task)
        scene.cluster.place(
            [scene.task], scene.worker, asyncio.get_running_loop().time()
        )
        client.lost_starts = True
        scene.commands.start(scene.task)
        await scene.observe(10.0)
        assert scene.task.worker == scene.other.id

    play(scenario)


def test_leases_include_late_polls_of_an_earlier_incarnation() -> None:
    """A poll by an old clock renewed leases for longer than was assumed."""

    async def scenario(scene: RestartScene) -> None:
        client = scene.client
        client.silent = True
        client.late_poll_seconds = 1.5 * LATE_SECONDS
        await asyncio.sleep(0.5)
        client.late_poll_seconds = 0.0
        client.restart()
        client.silent = False
        await scene.wait_until(lambda: scene.session.incarnation > 0)
        scene.cluster.place(
            [scene.task], scene.worker, asyncio.get_running_loop().time()
        )
        await scene.wait_until(lambda: scene.worker.reachable)
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: scene.task.phase is TaskPhase.RUNNING)
        client.silent = True
        for _ in range(4000):
            client.end_expired()
            await scene.observe(CALL_SECONDS)
        assert scene.task.worker == scene.other.id

    play(scenario)


def test_leases_include_a_late_start_that_is_rejected() -> None:
    """A start by an old clock renewed the leases of the tasks beside it."""

    async def scenario(scene: RestartScene) -> None:
        client, cluster = scene.client, scene.cluster
        admit(cluster, make_job('late'))
        late = find_task(cluster, 'late')
        cluster.place([late], scene.worker, asyncio.get_running_loop().time())
        client.late_start_seconds = 1.5 * LATE_SECONDS
        scene.commands.start(late)
        await asyncio.sleep(0.1)
        client.late_start_seconds = 0.0
        client.restart()
        await scene.wait_until(lambda: late.id in cluster.ready)
        cluster.requeue(scene.task)
        now = asyncio.get_running_loop().time()
        cluster.place([scene.task], scene.worker, now)
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: scene.task.phase is TaskPhase.RUNNING)
        client.silent = True
        for _ in range(4000):
            client.end_expired()
            await scene.observe(CALL_SECONDS)
        assert scene.task.worker == scene.other.id

    play(scenario)


def test_leases_after_a_restart_are_not_extended_without_a_late_call() -> None:
    """Tasks of a lost worker would wait for calls that were all answered."""

    async def scenario(scene: RestartScene) -> None:
        scene.client.restart()
        await scene.wait_until(lambda: scene.session.incarnation > 0)
        if scene.task.id in scene.cluster.ready:
            now = asyncio.get_running_loop().time()
            scene.cluster.place([scene.task], scene.worker, now)
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: scene.task.phase is TaskPhase.RUNNING)
        scene.client.silent = True
        loop = asyncio.get_running_loop()
        end = loop.time() + LEASE_SECONDS + 3 * TIMEOUT_SECONDS
        while loop.time() < end:
            scene.client.end_expired()
            await scene.observe(CALL_SECONDS)
        assert scene.task.worker == scene.other.id

    play(scenario)


def test_late_polls_are_remembered_after_their_worker_is_gone() -> None:
    """A worker that was registered again held leases that nobody knew of."""
    clock = ManualClock()

    async def work() -> None:
        cluster = ClusterState()
        worker = add_worker(cluster, 'w')
        client = LateWorker(HttpClient(''), 1, TIMEOUT_SECONDS)
        session = WorkerSession(
            worker,
            cluster,
            client,
            IgnoringListener(),
            LEASE_SECONDS,
            clock.monotonic,
        )
        running = asyncio.create_task(session.run())
        await asyncio.sleep(0.1)
        client.silent = True
        await asyncio.sleep(1.0)
        worker.is_registered = False
        await asyncio.sleep(LATE_LEASE_SECONDS - 2.0)
        assert not running.done()
        async with asyncio.timeout(5.0):
            await running

    run_virtual(work(), clock)


def test_leases_include_a_start_that_the_next_incarnation_answered() -> None:
    """A lease by an old clock lasted longer than the owner assumed."""

    async def scenario(scene: RestartScene) -> None:
        client = scene.client
        client.silent_polls = True
        await asyncio.sleep(0.1)
        client.restart()
        await asyncio.sleep(1.2)
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: scene.task.phase is TaskPhase.RUNNING)
        client.silent = True
        for _ in range(4000):
            client.end_expired()
            await scene.observe(CALL_SECONDS)
        assert scene.task.worker == scene.other.id

    play(scenario)


def test_a_lost_stop_of_a_late_start_does_not_close_its_worker() -> None:
    """A worker that did not answer one stop got no more tasks."""

    async def scenario(scene: RestartScene) -> None:
        scene.client.lost_starts = True
        scene.commands.start(scene.task)
        await scene.observe(LATE_SECONDS)
        assert scene.task.worker == scene.other.id
        scene.client.lost_commands = 1
        scene.client.restart()
        await scene.observe(10.0)
        assert not scene.client.lost_commands
        assert scene.worker.answers_commands

    play(scenario)


def test_a_lost_throttle_command_does_not_close_its_worker() -> None:
    """A worker got no more tasks when a task ended before an answer."""

    async def scenario(scene: RestartScene) -> None:
        client = scene.client
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: scene.task.phase is TaskPhase.RUNNING)
        client.lost_commands = 1
        scene.commands.throttle(scene.task, 50)
        await asyncio.sleep(2 * CALL_SECONDS)
        client.finish(scene.task)
        await scene.observe(10.0)
        assert scene.task.phase is TaskPhase.DONE
        assert scene.worker.answers_commands

    play(scenario)


def test_a_new_incarnation_gets_no_tasks_by_an_old_registration() -> None:
    """A restarted worker of another kind was loaded over its capacity."""

    async def scenario(scene: RestartScene) -> None:
        cluster = scene.cluster
        cluster.workers.pop(scene.other.id)
        scene.client.restart()
        await scene.wait_until(lambda: scene.task.id in cluster.ready)
        await asyncio.sleep(2 * CALL_SECONDS)
        now = asyncio.get_running_loop().time()
        placer = Placer(cluster, InterferenceModel())
        assert not run_pass(placer, now)
        cluster.register_worker(
            make_entry(
                scene.worker.id,
                started_ms=scene.client.incarnation,
                capacity=Room(1.0, 500),
            )
        )
        assert not run_pass(placer, now + 1.0)

    play(scenario)


def test_a_report_of_an_earlier_incarnation_is_not_acknowledged() -> None:
    """Ends of an old report acknowledged those of the next incarnation."""

    async def scenario(scene: RestartScene) -> None:
        client, session = scene.client, scene.session
        client.poll_answer_seconds = 0.5
        client.ended = [make_end(3, scene.task, 0, EndKind.DONE)]
        await asyncio.sleep(0.1)
        client.restart()
        client.poll_answer_seconds = 0.0
        session.handle_registration(client.incarnation)
        scene.cluster.requeue(scene.task)
        scene.cluster.place(
            [scene.task], scene.worker, asyncio.get_running_loop().time()
        )
        # The old report arrives, and the next poll has not begun.
        await asyncio.sleep(0.43)
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: bool(client.running))
        client.finish(scene.task)
        session.acknowledge(session.incarnation, session.received_end)
        await scene.observe(1.0)
        assert scene.task.phase is TaskPhase.DONE

    play(scenario)


def test_a_late_registration_does_not_hide_a_newer_incarnation() -> None:
    """A worker that restarted twice was unreachable until it was registered."""

    async def scenario(scene: RestartScene) -> None:
        client, session = scene.client, scene.session
        for _ in range(2):
            client.restart()
            await scene.wait_until(
                lambda: scene.worker.incarnation_ms == client.incarnation
            )
        session.handle_registration(client.incarnation - 1)
        await asyncio.sleep(2 * RETRY_SECONDS)
        assert scene.worker.reachable
        assert not scene.worker.has_crashed

    play(scenario)


class MemoryStore(PlatformTable):
    """The store in memory, with a list of workers that a test sets.

    Attributes:
      rows: Its other rows.
      version: Its newest version.
      registered: Start time in ms of each registered worker, by id.
    """

    def __init__(self, clock: ManualClock, registered: dict[str, int]):
        super().__init__(
            HttpClient(''), 1.0, version_times=VersionTimes(clock.monotonic)
        )
        self.rows: dict[Key, Row] = {}
        self.version = 0
        self.registered = registered

    async def read(self, keys: list[Key]) -> dict[Key, Row]:
        """See `Table`."""
        return {key: self.rows[key] for key in keys if key in self.rows}

    async def scan(
        self, partition: str, after: str = '', limit: int = 1000
    ) -> list[Row]:
        """See `Table`."""
        return [
            self.rows[key]
            for key in sorted(self.rows)
            if key.partition == partition and key.sort > after
        ][:limit]

    async def transact(self, token: str, operations: list[Operation]) -> int:
        """See `Table`."""
        failed = [
            operation.key
            for operation in operations
            if self._get_version(operation.key) != operation.expected
        ]
        if failed:
            raise ConflictError(tuple(failed))
        self.version += 1
        for operation in operations:
            key = operation.key
            if isinstance(operation, Put):
                self.rows[key] = Row(key, self.version, token, operation.body)
            elif isinstance(operation, Delete):
                del self.rows[key]
        return self.version

    def _get_version(self, key: Key) -> int:
        return self.rows[key].version if key in self.rows else ABSENT

    async def list_cordoned_zones(self) -> frozenset[str]:
        """See `PlatformTable`."""
        await asyncio.sleep(CALL_SECONDS)
        return frozenset()

    async def read_all(self, table: str, part: str = '') -> Changes:
        """See `PlatformTable`."""
        await asyncio.sleep(CALL_SECONDS)
        if table == WORKERS_TABLE:
            entry = {
                'service': SERVICE,
                'address': '127.0.0.1:1',
                'zone': 'north',
                'state': 'ready',
                'capacity': {'cpu': 8000, 'memMb': 16_000},
            }
            listed = [
                RawRow(name, orjson.dumps({**entry, 'born': started_ms}), 1)
                for name, started_ms in self.registered.items()
            ]
            return Changes(tuple(listed), self.version)
        rows = await self.scan(make_partition(table, part))
        found = [
            RawRow(
                row.key.sort,
                orjson.dumps([row.token, row.body]),
                row.version,
                part=part,
            )
            for row in rows
        ]
        return Changes(tuple(found), self.version)

    async def follow(self, table: str, after: int, wait: float) -> Changes:
        """See `PlatformTable`."""
        await asyncio.sleep(wait)
        return Changes((), after)


class RunningWorkers(WorkerClient):
    """A client of workers that answer at once unless they are silent.

    Attributes:
      running: Run of each task, by worker id.
      silent: Ids of the workers that no call reaches.
      lost_starts: Ids of the workers that no start reaches.
      stopped: Worker, task and run of each stop.
    """

    def __init__(self, clock: ManualClock, running: dict[str, dict[str, int]]):
        super().__init__(HttpClient(''), 2, TIMEOUT_SECONDS)
        self.clock = clock
        self.running = running
        self.silent: set[str] = set()
        self.lost_starts: set[str] = set()
        self.stopped: list[tuple[str, str, int]] = []

    async def start(
        self, worker: WorkerEntry, command: StartCommand
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        if worker.id in self.silent | self.lost_starts:
            await asyncio.sleep(TIMEOUT_SECONDS)
            return CommandAnswer(CallStatus.UNKNOWN)
        self.running[worker.id][command.task] = command.run
        return CommandAnswer(CallStatus.DONE)

    async def stop(
        self, worker: WorkerEntry, task: str, run: int
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        if worker.id in self.silent:
            await asyncio.sleep(TIMEOUT_SECONDS)
            return CommandAnswer(CallStatus.UNKNOWN)
        self.stopped.append((worker.id, task, run))
        return CommandAnswer(CallStatus.DONE)

    async def poll(
        self,
        worker: WorkerEntry,
        seen: int,
        lease_until_ms: int | None,
        wait: float,
    ) -> WorkerReport | CallStatus:
        """See `WorkerClient`."""
        if worker.id in self.silent:
            await asyncio.sleep(TIMEOUT_SECONDS + wait)
            return CallStatus.UNKNOWN
        await asyncio.sleep(CALL_SECONDS)
        running = tuple(
            RunReport(task, run, '', 0, None)
            for task, run in self.running[worker.id].items()
        )
        clock_ms = int(1000 * self.clock.monotonic())
        return WorkerReport(worker.started_ms, clock_ms, running, ())


async def make_owner(
    clock: ManualClock,
    table: MemoryStore,
    client: RunningWorkers,
    are_all_recorded: bool,
) -> Owner:
    """Returns a new owner of the service, which has one job to run.

    Args:
      clock: The clock.
      table: The store.
      client: The client of its workers.
      are_all_recorded: Whether it can rely on the rows to contain all starts.
    """
    spec = make_job(JOB)
    job_row = Put(make_job_key(SERVICE, JOB), encode_job_row(spec), 0)
    await table.transact('job', [job_row])
    keeper = LeaseKeeper(table, 'host-1.a', 2.0, clock.monotonic)
    lease = await keeper.try_acquire(make_owner_key(SERVICE))
    assert lease is not None
    return Owner(
        OwnerSettings(SERVICE, LEASE_SECONDS, 120.0),
        table,
        keeper,
        lease,
        client,
        clock,
        lease_expiry_seconds=7.5,
        are_all_recorded=are_all_recorded,
        is_outage=lambda: False,
        advice=None,
        metrics=ControlMetrics(),
        inherited=InheritedLeases(),
    )


TASK = f'{JOB}.0.0.0'


def test_unrecorded_starts_may_run_on_workers_that_are_not_listed_yet() -> None:
    """A task ran on a worker whose entry had expired, and elsewhere."""
    clock = ManualClock()

    async def work() -> None:
        table = MemoryStore(clock, {'listed': 1})
        client = RunningWorkers(clock, {'listed': {}, 'expired': {TASK: 1}})
        owner = await make_owner(clock, table, client, False)
        running = asyncio.create_task(owner.run())
        await asyncio.sleep(1.5)
        table.registered['expired'] = 1
        await asyncio.sleep(1.5)
        owner.stop()
        await running
        assert client.running == {'listed': {}, 'expired': {TASK: 1}}

    run_virtual(work(), clock)


@pytest.mark.parametrize(
    'are_all_recorded, seconds',
    [(True, 0.2), (False, RETURN_SECONDS + 2 * POLL_SECONDS)],
)
def test_inherited_tasks_start_once_all_workers_are_listed(
    are_all_recorded: bool, seconds: float
) -> None:
    """An ordinary takeover would wait for workers that nobody misses."""
    clock = ManualClock()

    async def work() -> None:
        table = MemoryStore(clock, {'listed': 1})
        client = RunningWorkers(clock, {'listed': {}})
        owner = await make_owner(clock, table, client, are_all_recorded)
        running = asyncio.create_task(owner.run())
        await asyncio.sleep(seconds)
        owner.stop()
        await running
        assert TASK in client.running['listed']

    run_virtual(work(), clock)


def test_a_late_start_is_stopped_on_a_worker_that_was_forgotten() -> None:
    """A worker registered again without memory of starts on their way."""
    clock = ManualClock()

    async def work() -> None:
        table = MemoryStore(clock, {'w': 1})
        client = RunningWorkers(clock, {'w': {}, 'other': {}})
        client.lost_starts.add('w')
        owner = await make_owner(clock, table, client, True)
        running = asyncio.create_task(owner.run())
        await asyncio.sleep(0.3)
        client.silent.add('w')
        del table.registered['w']
        table.registered['other'] = 1
        await asyncio.sleep(8.0)
        assert TASK in client.running['other']
        client.silent.clear()
        table.registered['w'] = 2
        await asyncio.sleep(2.0)
        owner.stop()
        await running
        assert ('w', TASK, 1) in client.stopped

    run_virtual(work(), clock)


def test_an_answered_acknowledgement_is_not_sent_again() -> None:
    """A poll under way during a restart acknowledged an end unseen."""

    async def scenario(scene: RestartScene) -> None:
        session, client = scene.session, scene.client
        session.acknowledge(session.incarnation, 3)
        await asyncio.sleep(0.5)
        client.poll_seconds = 0.5
        await asyncio.sleep(0.1)
        client.restart()
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: bool(client.running))
        client.finish(scene.task)
        await scene.observe(3.0)
        assert scene.task.phase is TaskPhase.DONE

    play(scenario)


def test_a_delivered_call_is_not_repeated_by_the_http_client() -> None:
    """A call that was delivered before a reset was sent again unnoticed."""
    bodies: list[bytes] = []

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while head := await _read_head(reader):
            length = int(head.lower().split(b'content-length: ')[1].split()[0])
            bodies.append(await reader.readexactly(length))
            if len(bodies) == 2:
                break
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}')
        writer.transport.abort()

    async def work() -> None:
        async with serve_connections(answer) as address:
            client = HttpClient(f'http://{address}')
            for body in (b'first', b'second'):
                await client.call('POST', '/run-start', body)
            client.close()

    run(work())
    assert bodies == [b'first', b'second']


async def _read_head(reader: asyncio.StreamReader) -> bytes:
    try:
        return await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return b''
