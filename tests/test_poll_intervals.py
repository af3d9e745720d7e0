"""How often a session polls its worker."""

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

POLLS = 3


@attrs.define
class _Listener:
    """A listener that allows renewals or not, and ignores the rest."""

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


class _Client(WorkerClient):
    """A client that answers a few polls at once, and blocks after them."""

    def __init__(self) -> None:
        super().__init__(HttpClient(''), 1, 1.0)
        self.polls = 0
        self.enough = asyncio.Event()

    async def poll(
        self,
        worker: WorkerEntry,
        seen: int,
        lease_until_ms: int | None,
        wait: float,
    ) -> WorkerReport:
        self.polls += 1
        if self.polls == POLLS:
            self.enough.set()
            await asyncio.Event().wait()
        return make_report()


async def _list_pauses(
    renews: bool, monkeypatch: pytest.MonkeyPatch
) -> list[float]:
    """Runs a session whose run end can't be recorded; returns its pauses."""
    pauses: list[float] = []

    async def record_pause(event: asyncio.Event, seconds: float) -> None:
        pauses.append(seconds)
        await asyncio.sleep(0)

    monkeypatch.setattr(worker_session, 'wait_with_timeout', record_pause)
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    client = _Client()
    clock = ManualClock().monotonic
    session = WorkerSession(
        worker, cluster, client, _Listener(renews), 6.0, clock
    )
    session.received_end = 1
    session_task = asyncio.create_task(session.run())
    await client.enough.wait()
    session_task.cancel()
    return pauses


def test_an_owner_cut_off_from_the_store_polls_rarely(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Reports of unrecorded run ends saturated the owner's network link."""
    assert run(_list_pauses(False, monkeypatch)) == [1.5] * POLLS


def test_an_owner_that_may_renew_leases_polls_often(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """In a general outage jobs continue, and their next steps need run ends."""
    assert run(_list_pauses(True, monkeypatch)) == [0.25] * POLLS
