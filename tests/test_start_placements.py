"""Starts of tasks that are placed again while a write of them is in flight."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, cast

import attrs
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.retention import Retention
from lentilmount.control.state_writer import StateWriter
from lentilmount.coordination.leases import LeaseKeeper
from lentilmount.coordination.table import (
    ConflictError,
    Key,
    Operation,
    Put,
    UnavailableError,
)
from lentilmount.platform.store import PlatformTable
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Task
from lentilmount.version_times import VersionTimes
from tests.restart_fixtures import RestartScene, play
from tests.scheduling_fixtures import SERVICE, make_submissions

STATE_KEY = Key(f'states/{SERVICE}', 'job')
WRITE_SECONDS = 0.2
ANSWER_SECONDS = 0.4
"""Longer than it takes until the next write is done."""

POLL_SECONDS = 1.0
"""Time for which a poll waits, so that no report confirms the start before."""


@attrs.define(eq=False)
class SlowTable:
    """A table in memory with slow writes.

    Attributes:
      failures: Errors of the next writes, which are not applied.
      version: Version of the newest row.
      states: Task entries in the job's row.
    """

    failures: list[Exception] = attrs.Factory(list)
    version: int = 0
    states: dict[str, Any] = attrs.Factory(dict)

    async def read(self, keys: list[Key]) -> dict[Key, Any]:
        """See `Table`."""
        return {}

    async def transact(self, token: str, operations: list[Operation]) -> int:
        """See `Table`."""
        await asyncio.sleep(WRITE_SECONDS)
        if self.failures:
            raise self.failures.pop(0)
        self.version += 1
        for operation in operations:
            if isinstance(operation, Put) and operation.key == STATE_KEY:
                self.states = operation.body['tasks']
        return self.version


@attrs.define(eq=False)
class WriterScene:
    """A state writer with a slow table, and the starts that it has sent.

    Attributes:
      table: The table.
      writer: The state writer.
      sent: For each start that was sent, its run and worker, and the entry of
        its task in the row at that time.
    """

    table: SlowTable
    writer: StateWriter
    sent: list[tuple[int, str, list[Any]]] = attrs.Factory(list)


async def make_writer(
    cluster: ClusterState, send: Callable[[Task], None]
) -> WriterScene:
    """Returns a state writer that holds the lease of the service."""
    table = SlowTable()
    clock = ManualClock()
    platform_table = cast(PlatformTable, table)
    keeper = LeaseKeeper(platform_table, 'a', 2.0, clock.monotonic)
    lease = await keeper.try_acquire(Key(f'owners/{SERVICE}', 'owner'))
    assert lease is not None

    def record(task: Task) -> None:
        entry = table.states.get('0.0.0', [])
        scene.sent.append((task.run, task.worker, entry))
        send(task)

    writer = StateWriter(
        SERVICE,
        platform_table,
        keeper,
        lease,
        cluster,
        InterferenceModel(),
        {},
        clock,
        record,
        print,
        Retention(SERVICE, cluster, 120.0),
        lambda jobs: None,
        VersionTimes(clock.monotonic),
        make_submissions(SERVICE),
        print,
    )
    scene = WriterScene(table, writer)
    return scene


def place_anew(scene: RestartScene, writer: StateWriter) -> None:
    """Loses the worker of the task and places the task on the other one."""
    now = asyncio.get_running_loop().time()
    lost = scene.cluster.workers[scene.task.worker]
    scene.cluster.end_worker_tasks(lost, now)
    worker = scene.worker if lost is scene.other else scene.other
    scene.cluster.place([scene.task], worker, now)
    writer.add_start(scene.task)


async def place_during_write(scene: RestartScene, writer: WriterScene) -> None:
    """Places the task again while a write with its placement is in flight."""
    place_anew(scene, writer.writer)
    await asyncio.sleep(WRITE_SECONDS / 2)
    place_anew(scene, writer.writer)


def play_writes(
    scenario: Callable[[RestartScene, WriterScene], Coroutine[Any, Any, None]],
) -> None:
    """Plays a scenario with a state writer that sends starts."""

    async def work(scene: RestartScene) -> None:
        writer = await make_writer(scene.cluster, scene.commands.start)
        running = asyncio.create_task(writer.writer.run())
        await scenario(scene, writer)
        running.cancel()

    play(work)


@pytest.mark.parametrize(
    'failures',
    [
        [],
        [ConflictError((STATE_KEY,))],
        [UnavailableError('slow')],
    ],
    ids=['slow', 'conflict', 'unavailable'],
)
def test_a_start_is_sent_once_the_row_names_its_worker(
    failures: list[Exception],
) -> None:
    """A start of a later placement was sent before the row that names it.

    The row named the worker before; a next owner could start the task again.
    """

    async def scenario(scene: RestartScene, writer: WriterScene) -> None:
        writer.table.failures = failures
        await place_during_write(scene, writer)
        await scene.wait_until(lambda: bool(writer.sent))
        await asyncio.sleep(4 * WRITE_SECONDS)
        run, worker, entry = writer.sent[0]
        assert (run, worker) == (3, scene.worker.id)
        assert entry == [run, worker]
        assert len(writer.sent) == 1

    play_writes(scenario)


def test_a_start_is_sent_once_in_an_outage_that_begins_during_a_write() -> None:
    """A task in two waiting placements was sent twice as an outage began."""

    async def scenario(scene: RestartScene, writer: WriterScene) -> None:
        await place_during_write(scene, writer)
        writer.writer.send_unrecorded()
        await asyncio.sleep(4 * WRITE_SECONDS)
        assert [sent[:2] for sent in writer.sent] == [(3, scene.worker.id)]

    play_writes(scenario)


def test_a_task_placed_during_a_write_is_not_freed_while_it_runs() -> None:
    """Two senders of one run: one took the other's run for not started.

    The first copy is executed and its answer is late; the worker refuses the
    second one.
    """

    async def scenario(scene: RestartScene, writer: WriterScene) -> None:
        scene.client.start_answer_seconds = ANSWER_SECONDS
        scene.client.poll_seconds = POLL_SECONDS
        await place_during_write(scene, writer)
        await scene.wait_until(lambda: bool(scene.client.running))
        scene.client.refuses_starts = True
        await scene.observe(2.0)
        assert scene.client.received_starts == [3]
        assert scene.task.worker == scene.worker.id

    play_writes(scenario)


def test_a_run_has_one_sender() -> None:
    """A second sender of a run took a refusal of its copy for the only one."""

    async def scenario(scene: RestartScene) -> None:
        scene.client.start_answer_seconds = ANSWER_SECONDS
        scene.client.poll_seconds = POLL_SECONDS
        await asyncio.sleep(ANSWER_SECONDS)
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: bool(scene.client.running))
        scene.client.refuses_starts = True
        scene.commands.start(scene.task)
        await scene.observe(2.0)
        assert scene.client.received_starts == [1]

    play(scenario)
