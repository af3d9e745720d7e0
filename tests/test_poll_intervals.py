"""How often a session polls its worker."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control import worker_session
from lentilmount.control.loop_lag import SAMPLE_SECONDS, LoopLag
from lentilmount.control.worker_session import WorkerSession
from lentilmount.platform.workers import WorkerClient
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import (
    USAGE_WINDOW_SECONDS,
    InterferenceModel,
)
from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.poll_intervals import (
    CALM_SECONDS,
    DEFAULT_SECONDS,
    MAX_PAUSE_SECONDS,
    MIN_POLL_SECONDS,
    THROTTLING_SECONDS,
    choose_pause,
    choose_poll_seconds,
)
from lentilmount.scheduling.reconciliation import ReconcileResult
from lentilmount.scheduling.reports import (
    StaleRun,
    WorkerEntry,
    WorkerReport,
)
from lentilmount.scheduling.throttling import SUSPEND_AFTER_SECONDS
from lentilmount.upstream.http import HttpClient
from tests.helpers import run
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_policy,
    make_report,
    make_step,
    run_task,
)

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

    def handle_crash(self, worker: Worker, suspects: list[Task]) -> None:
        """See `SessionListener`."""

    def handle_late_starts(
        self, worker: Worker, late_starts: list[StaleRun]
    ) -> None:
        """See `SessionListener`."""

    def may_renew(self) -> bool:
        """See `SessionListener`."""
        return self.renews

    def choose_poll_seconds(self, worker: Worker) -> float:
        """See `SessionListener`."""
        return DEFAULT_SECONDS


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


def _make_busy_worker(tail_ms: float) -> tuple[Worker, InterferenceModel]:
    """Returns a worker with a measured serving and a best-effort task."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    serving = make_step(lasting=True, image='web', target_ms=50.0)
    for name, step in (
        ('serving', serving),
        ('batch', make_step(fills=True, image='batch')),
    ):
        admit(cluster, make_job(name, step))
        run_task(cluster, find_task(cluster, name), worker)
    find_task(cluster, 'serving').usage = tail_ms
    interference_model = InterferenceModel()
    for second in range(20):
        interference_model.observe(worker, float(second))
    return worker, interference_model


@pytest.mark.parametrize(
    ('tail_ms', 'seconds'),
    [
        (12.0, CALM_SECONDS),
        (40.0, THROTTLING_SECONDS),
        (60, THROTTLING_SECONDS),
    ],
)
def test_only_workers_near_a_target_are_polled_often(
    tail_ms: float, seconds: float
) -> None:
    """Polls of calm workers took most of the calls of a large fleet's owner."""
    worker, interference_model = _make_busy_worker(tail_ms)
    assert choose_poll_seconds(worker, interference_model) == seconds


def test_a_throttled_task_is_polled_often() -> None:
    """It would regain its CPU share late."""
    worker, interference_model = _make_busy_worker(12.0)
    for task in worker.tasks.values():
        if task.spec.fills:
            task.cpu_percent = 50
    seconds = choose_poll_seconds(worker, interference_model)
    assert seconds == THROTTLING_SECONDS


def test_an_exceeded_target_is_noticed_in_time() -> None:
    """Serving tasks may be over their target for less than 4 s."""
    measured = USAGE_WINDOW_SECONDS
    noticed = CALM_SECONDS + measured
    assert noticed + SUSPEND_AFTER_SECONDS + THROTTLING_SECONDS < 4.0


def test_one_kind_of_task_needs_no_frequent_polls() -> None:
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    seconds = choose_poll_seconds(worker, InterferenceModel())
    assert seconds == DEFAULT_SECONDS


BUSY_LAG_SECONDS = 0.1
"""Lag of an event loop that is busy all the time."""


def test_a_busy_owner_pauses_before_it_polls_a_worker_again() -> None:
    """A poll for each end of a best-effort run took half of a busy owner.

    Load pattern: hundreds of workers, on each of which two best-effort runs end
    a second, with an owner whose event loop lags by 50 to 150 ms.
    """
    worker, _ = _make_busy_worker(12.0)
    assert choose_pause(worker, 0.0) == 0.0
    assert 0.0 < choose_pause(worker, 0.01) < MAX_PAUSE_SECONDS
    assert choose_pause(worker, BUSY_LAG_SECONDS) == MAX_PAUSE_SECONDS
    # Throttling still has figures of that time.
    assert MAX_PAUSE_SECONDS + MIN_POLL_SECONDS <= THROTTLING_SECONDS


def test_the_end_of_an_urgent_run_is_read_at_once() -> None:
    """The next step of a quick job waited for a poll."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    for name, priority in (('other', 2), ('urgent', 0)):
        admit(cluster, make_job(name, policy=make_policy(priority=priority)))
    run_task(cluster, find_task(cluster, 'other'), worker)
    assert choose_pause(worker, BUSY_LAG_SECONDS) == MAX_PAUSE_SECONDS
    cluster.place([find_task(cluster, 'urgent')], worker, 1.0)
    assert choose_pause(worker, BUSY_LAG_SECONDS) == 0.0


def test_the_end_of_a_stopped_run_is_read_at_once() -> None:
    """The resources of a cancelled task stayed reserved until a poll."""
    worker, _ = _make_busy_worker(12.0)
    next(iter(worker.tasks.values())).phase = TaskPhase.STOPPING
    assert choose_pause(worker, BUSY_LAG_SECONDS) == 0.0


class _WaitingClient(_Client):
    """A client that records when it polls, and how long each poll may wait."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self.clock = clock
        self.waits: list[tuple[float, float]] = []

    async def poll(
        self,
        worker: WorkerEntry,
        seen: int,
        lease_until_ms: int | None,
        wait: float,
    ) -> WorkerReport:
        self.waits.append((self.clock.now, wait))
        return await super().poll(worker, seen, lease_until_ms, wait)


def test_a_poll_after_a_pause_waits_for_less_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With the pause on top, leases and throttling would be polled late."""
    clock = ManualClock(now=0.0)

    async def sleep(seconds: float) -> None:
        clock.advance(seconds)
        await real_sleep(0)

    async def play() -> list[tuple[float, float]]:
        cluster = ClusterState()
        client = _WaitingClient(clock)
        session = WorkerSession(
            add_worker(cluster, 'w'),
            cluster,
            client,
            _Listener(renews=True),
            6.0,
            clock.monotonic,
            lambda worker: MAX_PAUSE_SECONDS,
        )
        monkeypatch.setattr(asyncio, 'sleep', sleep)
        session_task = asyncio.create_task(session.run())
        await client.enough.wait()
        session_task.cancel()
        return client.waits

    real_sleep = asyncio.sleep
    first, *later = run(play())
    assert first == (0.0, DEFAULT_SECONDS)
    assert later == [
        (MAX_PAUSE_SECONDS, DEFAULT_SECONDS - MAX_PAUSE_SECONDS),
        (2 * MAX_PAUSE_SECONDS, DEFAULT_SECONDS - MAX_PAUSE_SECONDS),
    ]


def test_the_lag_follows_its_measurements() -> None:
    """An owner that was busy once would pause for ever, or never."""
    lag = LoopLag(ManualClock().monotonic)
    for _ in range(round(2.0 / SAMPLE_SECONDS)):
        lag.add(BUSY_LAG_SECONDS)
    assert lag.seconds == pytest.approx(BUSY_LAG_SECONDS, rel=0.05)
    for _ in range(round(2.0 / SAMPLE_SECONDS)):
        lag.add(-0.001)
    assert lag.seconds == pytest.approx(0.0, abs=0.005)
