"""How often a link looks at its worker."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control import worker_session
from lentilmount.control.worker_session import WorkerSession
from lentilmount.platform.workers import WorkerClient
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.reconciliation import ReconcileResult
from lentilmount.scheduling.reports import WorkerEntry, WorkerReport
from lentilmount.upstream.http import HttpClient
from tests.helpers import run
from tests.scheduling_fixtures import add_worker, make_report

LOOKS = 3


@attrs.define
class _Events:
    """Tells whether leases may be renewed; forgets the rest."""

    renews: bool

    def handle_lease_lost(self, reason: str) -> None:
        """See `SessionListener`."""

    def handle_poll_result(
        self, worker: Worker, result: ReconcileResult
    ) -> None:
        """See `SessionListener`."""

    def handle_tasks_ended(
        self, worker: Worker, tasks: list[Task], why: str
    ) -> None:
        """See `SessionListener`."""

    def may_renew(self) -> bool:
        """See `SessionListener`."""
        return self.renews


class _Calls(WorkerClient):
    """Answers every look at once, and ends the link after a few."""

    def __init__(self) -> None:
        super().__init__(HttpClient(''), 1, 1.0)
        self.looks = 0
        self.enough = asyncio.Event()

    async def poll(
        self,
        worker: WorkerEntry,
        seen: int,
        lease_until_ms: int | None,
        wait: float,
    ) -> WorkerReport:
        self.looks += 1
        if self.looks == LOOKS:
            self.enough.set()
            await asyncio.Event().wait()
        return make_report()


async def _list_pauses(
    renews: bool, monkeypatch: pytest.MonkeyPatch
) -> list[float]:
    """Lets a link look while an end cannot be written; returns its pauses."""
    pauses: list[float] = []

    async def note(event: asyncio.Event, seconds: float) -> None:
        pauses.append(seconds)
        await asyncio.sleep(0)

    monkeypatch.setattr(worker_session, 'wait_with_timeout', note)
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    calls = _Calls()
    clock = ManualClock().monotonic
    session = WorkerSession(worker, cluster, calls, _Events(renews), 6.0, clock)
    session.received_end = 1
    running = asyncio.create_task(session.run())
    await calls.enough.wait()
    running.cancel()
    return pauses


def test_an_owner_alone_without_the_store_looks_seldom(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Lists of unwritten ends filled the link of an owner that was cut off."""
    assert run(_list_pauses(False, monkeypatch)) == [1.5] * LOOKS


def test_an_owner_that_acts_hears_of_ends_soon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """In an outage for all, work goes on: the next step waits for the ends."""
    assert run(_list_pauses(True, monkeypatch)) == [0.25] * LOOKS
