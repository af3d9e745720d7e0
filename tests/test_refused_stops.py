"""Stops that an unhealthy worker refuses."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import pytest

from lentilmount.clock import ManualClock
from lentilmount.control import worker_commands as orders_module
from lentilmount.control.worker_commands import CommandSender
from lentilmount.control.worker_session import WorkerSession
from lentilmount.platform.workers import CallStatus, CommandAnswer, WorkerClient
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.reports import WorkerEntry
from lentilmount.upstream.http import HttpClient
from tests.helpers import run
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
    calls: WorkerClient,
    session: WorkerSession,
    started: list[Coroutine[Any, Any, None]],
) -> CommandSender:
    """Returns orders to one worker, of which each is kept unsent in a list."""
    return CommandSender(
        cluster,
        calls,
        {session.worker.id: session},
        IgnoringListener(),
        session.monotonic,
        started.append,
        lambda task, worker: '',
        lambda: None,
    )


class _RefusingCalls(WorkerClient):
    """Refuses the first stop and takes the next one."""

    def __init__(self) -> None:
        super().__init__(HttpClient(''), 1, 1.0)
        self.verdicts = [CallStatus.REFUSED, CallStatus.DONE]

    async def stop(
        self, worker: WorkerEntry, task: str, run: int
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        return CommandAnswer(self.verdicts.pop(0))


def test_a_stop_that_was_refused_is_sent_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A start carried out late ran after its task had ended elsewhere."""
    monkeypatch.setattr(orders_module, 'RETRY_SECONDS', 0.0)
    clock = ManualClock()
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('job'))
    task = find_task(cluster, 'job')
    run_task(cluster, task, worker)
    cluster.begin_stop(task)
    calls = _RefusingCalls()
    session = WorkerSession(
        worker,
        cluster,
        calls,
        IgnoringListener(),
        LEASE_SECONDS,
        clock.monotonic,
    )
    started: list[Coroutine[Any, Any, None]] = []
    commands = make_command_sender(cluster, calls, session, started)
    commands.stop(task)

    async def play() -> None:
        await asyncio.wait_for(started[0], 5.0)

    run(play())
    assert calls.verdicts == []
