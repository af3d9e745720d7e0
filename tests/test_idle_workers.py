"""Polls of idle workers, of which an owner may have thousands.

Load pattern: thousands of workers, few of which run anything at a time.
"""

from __future__ import annotations

import asyncio

import pytest

from lentilmount.clock import ManualClock
from lentilmount.control import owner
from lentilmount.control.worker_session import WorkerSession
from lentilmount.platform.store import (
    WORKERS_TABLE,
    Changes,
    PlatformTable,
)
from lentilmount.platform.workers import CallStatus, WorkerClient
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.poll_intervals import (
    DEFAULT_SECONDS,
    MAX_IDLE_SECONDS,
    choose_idle_pause,
)
from lentilmount.scheduling.reports import WorkerEntry, WorkerReport
from lentilmount.scheduling.views import WorkerView, WorkerViews
from lentilmount.upstream.http import HttpClient
from stand_ins.model_site import ModelSite
from stand_ins.virtual_time import run_virtual
from tests.scheduling_fixtures import add_worker, make_entry, make_report
from tests.test_session_state_machine import make_spec
from tests.test_worker_session import LEASE_SECONDS, IgnoringListener

MAX_POLLS_PER_SECOND = 700
"""Polls that take a quarter of a core."""

HALF_DAY_SECONDS = 20.0
MANY_WORKERS = 2000


@pytest.mark.parametrize('workers', [24, 34, 66, 175, 246, 446])
def test_hundreds_of_idle_workers_are_polled_as_before(workers: int) -> None:
    assert choose_idle_pause(workers) == 0.0


@pytest.mark.parametrize('workers', [1000, 2000, 3000])
def test_thousands_of_idle_workers_leave_the_owner_time(workers: int) -> None:
    """3,000 workers polled every 1.5 s took all of an owner's processor."""
    seconds = choose_idle_pause(workers)
    assert DEFAULT_SECONDS < seconds <= MAX_IDLE_SECONDS
    assert workers / seconds <= MAX_POLLS_PER_SECOND


class IdleClient(WorkerClient):
    """Answers all polls at once, with no runs.

    Attributes:
      polled_at: Times of the polls in seconds.
      under_way: Number of polls without an answer.
      most: Largest number of these at a time.
    """

    def __init__(self) -> None:
        super().__init__(HttpClient(''), 1, 1.0)
        self.polled_at: list[float] = []
        self.under_way = self.most = 0

    async def poll(
        self,
        worker: WorkerEntry,
        seen: int,
        lease_until_ms: int | None,
        wait: float,
    ) -> WorkerReport | CallStatus:
        """See `WorkerClient`."""
        self.polled_at.append(asyncio.get_running_loop().time())
        self.under_way += 1
        self.most = max(self.most, self.under_way)
        await asyncio.sleep(0.004)
        self.under_way -= 1
        return make_report()


def make_session(client: IdleClient, clock: ManualClock) -> WorkerSession:
    """Returns the session of an idle worker among thousands."""
    cluster = ClusterState()
    worker = cluster.register_worker(make_entry('w'))
    return WorkerSession(
        worker,
        cluster,
        client,
        IgnoringListener(),
        LEASE_SECONDS,
        clock.monotonic,
        lambda worker: choose_idle_pause(MANY_WORKERS),
    )


def test_an_idle_worker_is_polled_rarely() -> None:
    client, clock = IdleClient(), ManualClock()

    async def play() -> None:
        session = make_session(client, clock)
        work = asyncio.create_task(session.run())
        await asyncio.sleep(HALF_DAY_SECONDS)
        work.cancel()

    run_virtual(play(), clock)
    assert 4 <= len(client.polled_at) <= 6


def test_a_start_ends_the_pause_of_an_idle_worker() -> None:
    """The lease of a start ran out before the next poll renewed it."""
    client, clock = IdleClient(), ManualClock()

    async def play() -> None:
        session = make_session(client, clock)
        work = asyncio.create_task(session.run())
        await asyncio.sleep(1.0)
        client.polled_at.clear()
        session.add_unanswered_start('job.0.0.0', 1)
        await asyncio.sleep(0.1)
        assert client.polled_at
        work.cancel()

    run_virtual(play(), clock)


def test_a_worker_that_may_execute_a_late_start_is_polled_often() -> None:
    """A late start on an idle worker ran for seconds before it was stopped."""
    client, clock = IdleClient(), ManualClock()

    async def play() -> None:
        session = make_session(client, clock)
        session.add_unanswered_start('job.0.0.0', 1)
        work = asyncio.create_task(session.run())
        await asyncio.sleep(HALF_DAY_SECONDS / 2)
        work.cancel()

    run_virtual(play(), clock)
    assert len(client.polled_at) > HALF_DAY_SECONDS


def test_only_some_workers_are_polled_for_the_first_time_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A new owner of thousands of workers lost its lease to its first polls."""
    monkeypatch.setattr(owner, 'MAX_FIRST_POLLS', 3)
    clock = ManualClock()
    site = ModelSite(clock)
    under_way = [0, 0]
    poll_first = WorkerSession.poll_first

    async def count(session: WorkerSession) -> None:
        under_way[0] += 1
        under_way[1] = max(under_way)
        await poll_first(session)
        under_way[0] -= 1

    monkeypatch.setattr(WorkerSession, 'poll_first', count)

    async def play() -> None:
        for _ in range(12):
            site.add_worker()
        site.start_owner()
        await asyncio.sleep(2.0)
        assert site.cluster is not None
        assert all(w.reachable for w in site.cluster.workers.values())
        for number in range(12):
            site.submit(make_spec(number, 'short', False))
        await site.finish()
        await site.kill_owner()

    run_virtual(play(), clock)
    assert under_way == [0, 3]
    assert site.violations == []


def test_a_long_list_of_workers_takes_few_calls() -> None:
    """Twenty calls for 3,000 workers made the list too old to start by."""
    pages: list[int] = []

    class Table(PlatformTable):
        async def _get(
            self, table: str, part: str, start: str, end: str, limit: int
        ) -> Changes:
            pages.append(limit)
            return Changes((), 1)

    async def read() -> None:
        table = Table(HttpClient(''), 1.0)
        await table.read_all(WORKERS_TABLE)
        await table.read_all('jobs', 'desk')

    run_virtual(read(), ManualClock())
    assert 3000 / pages[0] <= 8
    assert pages[1] == 150


def test_idle_workers_are_summarised_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Summaries of thousands of idle workers were made four times a second."""
    refreshed: list[str] = []

    def record(view: WorkerView, model: InterferenceModel) -> None:
        refreshed.append(view.worker.id)
        refresh(view, model)

    refresh = WorkerView.refresh
    monkeypatch.setattr(WorkerView, 'refresh', record)
    cluster = ClusterState()
    for name in ('a', 'b'):
        add_worker(cluster, name)
    views = WorkerViews(cluster, InterferenceModel())
    for second in range(5):
        for name in ('a', 'b'):
            entry = make_entry(name, usable_until=100.0 + second)
            cluster.register_worker(entry)
        views.list_open(float(second))
    assert refreshed == ['a', 'b']
