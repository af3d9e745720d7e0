"""Stop commands that an unhealthy worker refuses."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import logbook
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control import command_channel
from lentilmount.control.worker_commands import CommandSender
from lentilmount.control.worker_session import WorkerSession
from lentilmount.platform.workers import CallStatus, CommandAnswer, WorkerClient
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.reports import StaleRun, WorkerEntry
from lentilmount.upstream.http import HttpClient
from tests.helpers import run
from tests.restart_fixtures import TIMEOUT_SECONDS, RestartScene, play
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    run_task,
)
from tests.test_worker_session import LEASE_SECONDS, IgnoringListener


def make_command_sender(
    cluster: ClusterState,
    client: WorkerClient,
    session: WorkerSession,
    started: list[Coroutine[Any, Any, None]],
) -> CommandSender:
    """Returns a command sender for one worker.

    Args:
      cluster: The cluster state.
      client: The client for workers.
      session: The worker's session.
      started: Collects the commands' coroutines, not yet run.
    """
    return CommandSender(
        cluster,
        client,
        {session.worker.id: session},
        IgnoringListener(),
        session.monotonic,
        started.append,
        lambda task, worker: '',
        lambda: None,
    )


class _RefusingClient(WorkerClient):
    """A client whose worker refuses the first stop and accepts the next one."""

    def __init__(self) -> None:
        super().__init__(HttpClient(''), 1, 1.0)
        self.statuses = [CallStatus.REFUSED, CallStatus.DONE]

    async def stop(
        self, worker: WorkerEntry, task: str, run: int
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        return CommandAnswer(self.statuses.pop(0))


def test_a_stop_that_was_refused_is_sent_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A start executed late ran after its task had ended elsewhere."""
    monkeypatch.setattr(command_channel, 'RETRY_SECONDS', 0.0)
    clock = ManualClock()
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('job'))
    task = find_task(cluster, 'job')
    run_task(cluster, task, worker)
    cluster.begin_stop(task)
    client = _RefusingClient()
    session = WorkerSession(
        worker,
        cluster,
        client,
        IgnoringListener(),
        LEASE_SECONDS,
        clock.monotonic,
    )
    started: list[Coroutine[Any, Any, None]] = []
    sender = make_command_sender(cluster, client, session, started)
    sender.stop(task)

    async def scenario() -> None:
        await asyncio.wait_for(started[0], 5.0)

    run(scenario())
    assert client.statuses == []


def test_the_stop_of_a_task_whose_job_has_failed_is_sent_again() -> None:
    """A task of a failed job ran on, as its stop was lost and sent once.

    The same holds for the other members of a gang, and for a task that is done
    elsewhere.
    """

    async def scenario(scene: RestartScene) -> None:
        scene.commands.start(scene.task)
        await scene.wait_until(lambda: bool(scene.client.running))
        scene.cluster.begin_stop(scene.task)
        scene.client.lost_commands = 2
        scene.commands.stop_stale_run(
            StaleRun(scene.worker.id, str(scene.task.id), scene.task.run)
        )
        await asyncio.sleep(4 * TIMEOUT_SECONDS)
        assert not scene.client.running

    play(scenario)


def test_a_stop_to_a_worker_without_a_session_is_logged() -> None:
    """A stop that was not sent left no line."""
    records: list[logbook.LogRecord] = []

    async def scenario(scene: RestartScene) -> None:
        scene.cluster.begin_stop(scene.task)
        scene.commands.sessions.clear()
        with logbook.TestHandler() as handler:
            scene.commands.stop(scene.task)
            await asyncio.sleep(TIMEOUT_SECONDS)
            records.extend(handler.records)

    play(scenario)
    assert [(r.message, r.extra['run']) for r in records] == [
        ('Not stopped: the worker has no session.', 1)
    ]
