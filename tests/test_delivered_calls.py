"""Calls that were delivered on connections that are reset before an answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

import attrs
import orjson
import pytest

from lentilmount.control.worker_commands import CommandSender
from lentilmount.control.worker_session import WorkerSession
from lentilmount.platform.workers import WorkerClient
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import TaskPhase
from lentilmount.upstream.http import HttpClient
from tests.helpers import run
from tests.restart_fixtures import RecordingListener
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_entry,
    make_job,
)
from tests.socket_fixtures import (
    DELIVERED_AND_RESET,
    Request,
    Response,
    open_server,
)
from tests.test_worker_session import LEASE_SECONDS

TIMEOUT_SECONDS = 0.8
POLL_SECONDS = 0.2
"""Time after which the worker answers a poll. A report that lists the run
before the copy is answered would hide the fault."""

CHECK_SECONDS = 0.005
"""Time between checks of a scene."""

OBSERVED_SECONDS = 0.6
"""Time for which a scene is observed; includes a retry of a command."""

REJECTIONS = {
    429: {},
    503: {},
    409: {'reason': 'room'},
}
"""Body of each rejection of a start, by status."""


@attrs.define(eq=False)
class ResettingWorker:
    """A worker on real sockets that resets the first start that it executes.

    Attributes:
      status: Status with which it rejects all later copies of the start.
      running: Run of each task that runs.
      copies: Number of starts delivered.
    """

    status: int
    running: dict[str, int] = attrs.Factory(dict)
    copies: int = 0

    async def handle(self, request: Request) -> Response:
        """Answers a call."""
        document = orjson.loads(request.body)
        if request.path == '/run-start':
            self.copies += 1
            if self.copies == 1:
                self.running[document['task']] = document['run']
                return DELIVERED_AND_RESET
            return self._answer(self.status, **REJECTIONS[self.status])
        if request.path == '/run-stop':
            if self.running.get(document['task'], 0) == document['run']:
                del self.running[document['task']]
            return self._answer(200)
        await asyncio.sleep(POLL_SECONDS)
        running = [[task, run, '', 0] for task, run in self.running.items()]
        return self._answer(200, born=1, running=running, ended=[])

    def _answer(self, status: int, **fields: Any) -> Response:
        clock_ms = int(1000 * time.monotonic())
        return Response(status, orjson.dumps({'clockMs': clock_ms, **fields}))


async def _start_on(worker: ResettingWorker) -> None:
    """Starts a task on a worker; checks that it never runs twice."""
    async with open_server(worker.handle) as server:
        cluster = ClusterState()
        placed_on = cluster.register_worker(
            make_entry('w', address=server.address)
        )
        http_client = HttpClient('')
        client = WorkerClient(http_client, 1, TIMEOUT_SECONDS)
        # Opens two connections: one for the polls, and one for commands.
        await asyncio.gather(
            client.stop(placed_on.entry, 'other', 1),
            client.stop(placed_on.entry, 'other', 1),
        )
        admit(cluster, make_job('job'))
        task = find_task(cluster, 'job')
        listener = RecordingListener()
        session = WorkerSession(
            placed_on, cluster, client, listener, LEASE_SECONDS, time.monotonic
        )
        other = add_worker(cluster, 'other')
        started: list[asyncio.Task[None]] = []

        def place_elsewhere() -> None:
            if task.id in cluster.ready:
                cluster.place([task], other, time.monotonic())

        def start_task(command: Coroutine[Any, Any, None]) -> None:
            started.append(asyncio.create_task(command))

        commands = listener.commands = CommandSender(
            cluster,
            client,
            {placed_on.id: session},
            listener,
            time.monotonic,
            start_task,
            lambda task, worker: '',
            place_elsewhere,
        )
        start_task(session.run())
        while not placed_on.reachable:
            await asyncio.sleep(CHECK_SECONDS)
        cluster.place([task], placed_on, time.monotonic())
        commands.start(task)
        end = time.monotonic() + OBSERVED_SECONDS
        while time.monotonic() < end:
            is_elsewhere = task.worker == other.id
            assert not (is_elsewhere and worker.running)
            await asyncio.sleep(CHECK_SECONDS)
        assert server.requests[0].connection != server.requests[1].connection
        assert task.phase is TaskPhase.RUNNING
        for started_task in started:
            started_task.cancel()
        await asyncio.gather(*started, return_exceptions=True)
        http_client.close()


@pytest.mark.parametrize('status', REJECTIONS)
def test_a_start_that_was_delivered_does_not_run_elsewhere(status: int) -> None:
    """The rejection of a copy that libcurl sent freed a task that ran."""
    worker = ResettingWorker(status)
    run(_start_on(worker))
    assert worker.running
