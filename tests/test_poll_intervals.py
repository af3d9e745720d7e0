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
from lentilmount.scheduling.interference import (
    USAGE_WINDOW_SECONDS,
    InterferenceModel,
)
from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.poll_intervals import (
    CALM_SECONDS,
    DEFAULT_SECONDS,
    THROTTLING_SECONDS,
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
