"""Owners of thousands of workers, most of them idle.

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
from lentilmount.resources import Room
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.poll_intervals import (
    DEFAULT_SECONDS,
    MAX_IDLE_SECONDS,
    choose_idle_pause,
)
from lentilmount.scheduling.reports import WorkerEntry, WorkerReport
from lentilmount.scheduling.sampling import (
    MAX_COMPARED_WORKERS,
    WorkerSampler,
)
from lentilmount.scheduling.views import (
    REFRESH_SECONDS,
    WorkerView,
    WorkerViews,
)
from lentilmount.upstream.http import HttpClient
from stand_ins.model_site import ModelSite
from stand_ins.virtual_time import run_virtual
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_entry,
    make_job,
    make_report,
    make_step,
    record_checks,
    run_pass,
)
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


def test_a_registration_that_is_read_again_changes_no_summary(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each read of the list made the summaries of thousands of workers anew."""
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
    for number in range(5):
        for name in ('a', 'b'):
            entry = make_entry(name, usable_until=100.0 + number)
            cluster.register_worker(entry)
        views.list_open(number * REFRESH_SECONDS / 10)
    assert refreshed == ['a', 'b']


# Placement.


def test_a_long_running_task_is_compared_with_a_sample(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """50 tasks compared with 3,000 workers kept an owner busy for a second."""
    cluster = ClusterState()
    for number in range(MANY_WORKERS):
        add_worker(cluster, f'w{number:04}')
    step = make_step(count=20, lasting=True, image='watch', target_ms=50.0)
    admit(cluster, make_job('job', step))
    placer = Placer(cluster, InterferenceModel())
    checks = record_checks(monkeypatch, 'can_start')
    placed = run_pass(placer, 1.0)
    assert len(placed) == step.count
    assert len(checks) <= step.count * 2 * MAX_COMPARED_WORKERS
    # They serve the same image, so they share workers.
    assert len({worker.id for _, worker in placed}) <= step.count / 2


def test_a_task_that_fits_on_no_worker_of_the_sample_is_placed() -> None:
    """A task waited although another worker had room for it."""
    cluster = ClusterState()
    for number in range(MANY_WORKERS):
        has_room = number == MANY_WORKERS - 1
        room = Room(8.0 if has_room else 1.0, 16_000)
        add_worker(cluster, f'w{number:04}', capacity=room)
    admit(cluster, make_job('job', make_step(lasting=True)))
    placed = run_pass(Placer(cluster, InterferenceModel()), 1.0)
    assert [worker.id for _, worker in placed] == [f'w{MANY_WORKERS - 1}']


def make_many_workers(cluster: ClusterState, rack: str = 'r1') -> None:
    """Registers thousands of workers, the last one in a rack of its own."""
    for number in range(MANY_WORKERS):
        is_last = number == MANY_WORKERS - 1
        labels = ('a', rack if is_last else 'r1')
        add_worker(cluster, f'w{number:04}', labels=labels)


def test_samples_cover_all_workers() -> None:
    cluster = ClusterState()
    make_many_workers(cluster)
    task = find_task(cluster, admit(cluster, make_job('job')).spec.id)
    views = WorkerViews(cluster, InterferenceModel()).list_open(1.0)
    sampler = WorkerSampler()
    sampler.begin_pass(views)
    samples = [sampler.choose(task) for _ in range(4)]
    assert {view for sample in samples for view in sample} == set(views)
    assert not sampler.is_needed(views[:MAX_COMPARED_WORKERS])


def test_a_step_is_compared_with_a_sample(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Short tasks waited for passes that compared each step with all."""
    cluster = ClusterState()
    make_many_workers(cluster)
    for number in range(10):
        admit(cluster, make_job(f'job-{number}', make_step(count=20)))
    checks = record_checks(monkeypatch, 'can_start')
    placed = run_pass(Placer(cluster, InterferenceModel()), 1.0)
    assert len(placed) == 200
    assert len(checks) < 10 * 2 * MAX_COMPARED_WORKERS


def test_a_task_is_placed_near_its_data() -> None:
    """A sample without the rack of the data made tasks take three times."""
    cluster = ClusterState()
    make_many_workers(cluster, rack='r2')
    admit(cluster, make_job('job', make_step(rack='r2')))
    placed = run_pass(Placer(cluster, InterferenceModel()), 1.0)
    assert [worker.rack for _, worker in placed] == ['r2']


def test_a_step_that_exceeds_the_sample_is_placed_whole() -> None:
    """Only the tasks that fitted on the sample were started in a pass."""
    cluster = ClusterState()
    make_many_workers(cluster)
    count = 5 * MAX_COMPARED_WORKERS
    admit(cluster, make_job('job', make_step(count=count)))
    placed = run_pass(Placer(cluster, InterferenceModel()), 1.0)
    assert len(placed) == count


def test_a_step_with_few_suitable_workers_is_placed() -> None:
    cluster = ClusterState()
    make_many_workers(cluster, rack='gpu')
    admit(cluster, make_job('job', make_step(label='gpu')))
    placed = run_pass(Placer(cluster, InterferenceModel()), 1.0)
    assert len(placed) == 1
