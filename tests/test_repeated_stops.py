"""Runs that go on although their stop was accepted, or was never sent."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import attrs
import orjson
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control import command_channel
from lentilmount.control.keys import (
    JOBS_TABLE,
    STATES_TABLE,
)
from lentilmount.control.worker_session import WorkerSession
from lentilmount.coordination.table import UnavailableError
from lentilmount.platform.store import Changes, HistoryLostError
from lentilmount.platform.workers import CallStatus, CommandAnswer, WorkerClient
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import JobState
from lentilmount.scheduling.reconciliation import (
    STOP_EFFECT_SECONDS,
    Reconciler,
)
from lentilmount.scheduling.reports import RunReport, StaleRun, WorkerEntry
from lentilmount.upstream.http import HttpClient
from stand_ins.model_checks import DISTURBED_LIMIT_SECONDS, STOP_LIMIT_SECONDS
from stand_ins.model_network import CallFault, Fault, MemoryTable
from stand_ins.model_owners import SERVICE
from stand_ins.model_site import ModelSite
from stand_ins.model_worker import START_PATH, STOP_PATH, ModelWorker
from tests.helpers import run
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_report,
    run_task,
)
from tests.test_refused_stops import make_command_sender
from tests.test_runs_of_finished_jobs import (
    ALWAYS,
    JOB,
    TASK,
    begin_task,
    play_site,
)
from tests.test_worker_session import LEASE_SECONDS, IgnoringListener

OBSERVED_SECONDS = 20.0
POLLS_SECONDS = 3.0
"""Time of two polls, in which a report is requested and arrives."""


def list_running(site: ModelSite) -> list[tuple[str, str, int]]:
    """Lists the runs of all workers: worker, task and number."""
    return [
        (worker.id, *run) for worker in site.workers for run in worker.running
    ]


def count_stops(worker: ModelWorker) -> int:
    """Returns how many stops of the task's first run a worker accepted."""
    return sum(stop[1:] == (TASK, 1) for stop in worker.stops)


@pytest.mark.parametrize('ineffective', [1, 3])
def test_a_stop_that_was_accepted_without_effect_is_sent_again(
    ineffective: int,
) -> None:
    """A cancelled task ran on: its stop was accepted once and believed."""

    async def scenario(site: ModelSite) -> None:
        worker = await begin_task(site)
        worker.ineffective_stops = ineffective
        site.cancel(JOB.id)
        seconds = ineffective * (STOP_EFFECT_SECONDS + POLLS_SECONDS)
        await asyncio.sleep(seconds + STOP_LIMIT_SECONDS)
        assert list_running(site) == []
        assert count_stops(worker) == ineffective + 1

    play_site(scenario)


def test_a_stop_without_effect_is_sent_again_at_a_bounded_rate() -> None:
    """A worker that ignores its stops must not get one for each report."""

    async def scenario(site: ModelSite) -> None:
        worker = await begin_task(site)
        worker.ineffective_stops = ALWAYS
        site.cancel(JOB.id)
        await asyncio.sleep(OBSERVED_SECONDS)
        slowest = STOP_EFFECT_SECONDS + POLLS_SECONDS
        fewest = OBSERVED_SECONDS / slowest - 1
        most = OBSERVED_SECONDS / STOP_EFFECT_SECONDS + 1
        assert fewest <= count_stops(worker) <= most

    play_site(scenario)


@attrs.define(eq=False)
class _AnsweringClient(WorkerClient):
    """A client whose worker answers stops with given statuses."""

    statuses: list[CallStatus] = attrs.Factory(list)

    async def stop(
        self, worker: WorkerEntry, task: str, run: int
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        return CommandAnswer(self.statuses.pop(0))


UNPROVEN = (CallStatus.OTHER_INSTANCE, CallStatus.INVALID)


@pytest.mark.parametrize('status', UNPROVEN, ids=lambda status: status.value)
@pytest.mark.parametrize('is_late_start', [False, True])
def test_a_stop_that_another_instance_or_nobody_understood_is_sent_again(
    monkeypatch: pytest.MonkeyPatch, status: CallStatus, is_late_start: bool
) -> None:
    """An answer that proves nothing about the run counted as acceptance."""
    monkeypatch.setattr(command_channel, 'RETRY_SECONDS', 0.0)
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('job'))
    task = find_task(cluster, 'job')
    run_task(cluster, task, worker)
    client = _AnsweringClient(HttpClient(''), 1, 1.0)
    client.statuses = [status, CallStatus.DONE]
    session = WorkerSession(
        worker,
        cluster,
        client,
        IgnoringListener(),
        LEASE_SECONDS,
        ManualClock().monotonic,
    )
    started: list[Coroutine[Any, Any, None]] = []
    sender = make_command_sender(cluster, client, session, started)
    if is_late_start:
        sender.stop_late_starts([StaleRun('w', str(task.id), task.run)])
    else:
        cluster.begin_stop(task)
        sender.stop(task)

    async def scenario() -> None:
        await asyncio.wait_for(started[0], 5.0)

    run(scenario())
    assert client.statuses == []


@pytest.mark.parametrize('is_owner_replaced', [False, True])
@pytest.mark.parametrize('ineffective', [0, 1])
def test_a_run_that_starts_after_its_accepted_stop_is_stopped(
    is_owner_replaced: bool, ineffective: int
) -> None:
    """A worker that had restarted executed the start of a cancelled task."""

    async def scenario(site: ModelSite) -> None:
        for worker in site.workers:
            site.get_link(worker).faults[START_PATH] = [
                CallFault(Fault.LATE, 2.0)
            ]
        site.submit(JOB)
        await asyncio.sleep(0.2)
        name = site.find_worker(TASK)
        (position,) = (
            p for p, worker in enumerate(site.workers) if worker.id == name
        )
        worker = site.workers[position]
        site.cancel(JOB.id)
        await asyncio.sleep(0.25)
        assert count_stops(worker) == 1
        if is_owner_replaced:
            await site.kill_owner()
        site.crash(position, 1.0, 0.2, True)
        # Nobody notices the restart before the start is executed.
        site.get_link(worker).cut(True, True, site.clock.now)
        await asyncio.sleep(2.0)
        site.get_link(worker).cut(False, False, site.clock.now)
        worker.ineffective_stops = ineffective
        if is_owner_replaced:
            site.start_owner()
        await asyncio.sleep(2.5 + DISTURBED_LIMIT_SECONDS + STOP_LIMIT_SECONDS)
        (execution,) = site.record
        assert (execution.is_late, execution.kind) == (True, 'stopped')

    play_site(scenario)


@pytest.mark.parametrize('registration_seconds', [0.0, 1.0, 3.0])
def test_a_cancelled_task_of_a_worker_that_registers_later_is_stopped(
    registration_seconds: float,
) -> None:
    """A new owner knew no address when it sent the stop of a cancelled task."""

    async def scenario(site: ModelSite) -> None:
        worker = await begin_task(site)
        await site.kill_owner()
        site.set_registered(worker, False)
        site.cancel(JOB.id)
        site.start_owner()
        await asyncio.sleep(0.5 + registration_seconds)
        site.set_registered(worker, True)
        await asyncio.sleep(STOP_LIMIT_SECONDS)
        (execution,) = site.record
        assert execution.kind == 'stopped'

    play_site(scenario)


@pytest.mark.parametrize('fault', ['none', 'unreadable', 'unavailable'])
def test_a_cancellation_that_comes_before_its_job_is_applied(
    monkeypatch: pytest.MonkeyPatch, fault: str
) -> None:
    """A cancellation read before the row of its job was dropped."""
    follow = MemoryTable.follow
    failures = 3 if fault == 'unavailable' else 0

    async def fail_to_follow(
        table: MemoryTable, name: str, after: int, wait: float
    ) -> Changes:
        nonlocal failures
        if failures and JOB.id in cancelled and name == JOBS_TABLE:
            failures -= 1
            raise UnavailableError('fault')
        return await follow(table, name, after, wait)

    cancelled: set[str] = set()
    monkeypatch.setattr(MemoryTable, 'follow', fail_to_follow)

    async def scenario(site: ModelSite) -> None:
        nonlocal cancelled
        cancelled = site.cancelled
        if fault == 'unreadable':
            site.store.write((JOBS_TABLE, SERVICE, JOB.id), b'["t", {}]')
        await asyncio.sleep(2.0)
        site.cancel(JOB.id)
        await asyncio.sleep(2.0)
        site.submit(JOB)
        await asyncio.sleep(2.0 + STOP_LIMIT_SECONDS)
        assert site.cluster is not None
        assert site.cluster.jobs[JOB.id].state is JobState.CANCELLED
        assert list_running(site) == []

    play_site(scenario)


def test_a_cancellation_that_was_removed_does_not_cancel_a_later_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A kept cancellation must not outlive its row where history is lost."""
    follow = MemoryTable.follow
    is_lost = False

    async def lose_history(
        table: MemoryTable, name: str, after: int, wait: float
    ) -> Changes:
        if is_lost:
            raise HistoryLostError(name)
        return await follow(table, name, after, wait)

    monkeypatch.setattr(MemoryTable, 'follow', lose_history)

    async def scenario(site: ModelSite) -> None:
        nonlocal is_lost
        site.cancel(JOB.id)
        await asyncio.sleep(2.0)
        is_lost = True
        await asyncio.sleep(2.0)
        remove_rows(site)
        await asyncio.sleep(2.0)
        is_lost = False
        await asyncio.sleep(2.0)
        worker = await begin_task(site)
        assert list_running(site) == [(worker.id, TASK, 1)]

    play_site(scenario)


def remove_rows(site: ModelSite) -> None:
    """Removes all rows of the job, as if its retention time had passed."""
    addresses = [
        address for address in site.store.rows if JOB.id in address[-1]
    ]
    for address in addresses:
        site.store.write(address, None)


def test_a_run_of_a_job_without_a_row_is_stopped() -> None:
    """A run whose job had been deleted ran on: each poll renewed its lease."""

    async def scenario(site: ModelSite) -> None:
        await begin_task(site)
        await site.kill_owner()
        remove_rows(site)
        site.start_owner()
        await asyncio.sleep(2.0 + STOP_LIMIT_SECONDS)
        assert list_running(site) == []

    play_site(scenario)


@pytest.mark.parametrize('row', ['late', 'unreadable'])
def test_a_run_of_an_accepted_job_that_is_not_known_yet_goes_on(
    monkeypatch: pytest.MonkeyPatch, row: str
) -> None:
    """A run must not be stopped while the row of its job may be unread."""
    follow, read_all = MemoryTable.follow, MemoryTable.read_all
    is_behind = False

    def check(name: str) -> None:
        if is_behind and name == JOBS_TABLE:
            raise UnavailableError('fault')

    async def fail_to_follow(
        table: MemoryTable, name: str, after: int, wait: float
    ) -> Changes:
        check(name)
        return await follow(table, name, after, wait)

    async def fail_to_read(
        table: MemoryTable, name: str, part: str = ''
    ) -> Changes:
        check(name)
        return await read_all(table, name, part)

    monkeypatch.setattr(MemoryTable, 'follow', fail_to_follow)
    monkeypatch.setattr(MemoryTable, 'read_all', fail_to_read)

    async def scenario(site: ModelSite) -> None:
        nonlocal is_behind
        is_behind = row == 'late'
        await asyncio.sleep(1.5)
        if row == 'unreadable':
            site.store.write((JOBS_TABLE, SERVICE, JOB.id), b'["t", {}]')
        else:
            site.submit(JOB)
        worker = site.workers[0]
        start = {
            'task': TASK,
            'run': 1,
            'spec': JOB.payload,
            'deadlineMs': worker.clock_ms + 3000,
            'fencingToken': worker.token,
        }
        worker.receive(START_PATH, start, False)
        await asyncio.sleep(8.0)
        assert list_running(site) == [(worker.id, TASK, 1)]
        assert not worker.stops

    play_site(scenario)


def test_a_run_of_an_occurrence_that_is_not_due_here_is_stopped() -> None:
    """A cancelled job kept a run that only its owner before had created."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    spec = attrs.evolve(
        make_job('job'), occurrences=2, first=0.0, interval=100.0
    )
    admit(cluster, spec)
    listed = make_report(running=(RunReport('job.1.0.0', 1, '', 0, None),))
    result = Reconciler(cluster).reconcile(worker, listed, 1.0, 1.0)
    assert result.stale_runs == []
    assert worker.runs_unknown_tasks
    cluster.cancel('job', 2.0)
    result = Reconciler(cluster).reconcile(worker, listed, 3.0, 3.0)
    assert result.stale_runs == [StaleRun('w', 'job.1.0.0', 1)]
    assert worker.runs_unknown_tasks
    Reconciler(cluster).reconcile(worker, make_report(), 4.0, 4.0)
    assert not worker.runs_unknown_tasks


FAULTS = [
    [CallFault(Fault.LOST)],
    [CallFault(Fault.UNANSWERED)],
    [CallFault(Fault.LOST)] * 3,
    [CallFault(Fault.LATE, 4.0)],
]


@pytest.mark.parametrize('faults', FAULTS)
@pytest.mark.parametrize('row', ['running', 'none', 'final', 'elsewhere'])
def test_a_cancelled_task_whose_stop_by_a_new_owner_is_lost_is_stopped(
    faults: list[CallFault], row: str
) -> None:
    """The one stop of an inherited task was lost, and each poll renewed it."""

    async def scenario(site: ModelSite) -> None:
        worker = await begin_task(site)
        await site.kill_owner()
        state = (STATES_TABLE, SERVICE, JOB.id)
        if row == 'none':
            site.store.write(state, None)
        elif row == 'final':
            site.store.write(state, b'["t", {"state": "cancelled"}]')
        elif row == 'elsewhere':
            (other,) = (w for w in site.workers if w is not worker)
            tasks = {'0.0.0': [1, other.id]}
            body = {'state': 'running', 'tasks': tasks}
            site.store.write(state, orjson.dumps(['token', body]))
        site.get_link(worker).faults[STOP_PATH] = list(faults)
        site.cancel(JOB.id)
        site.start_owner()
        seconds = STOP_LIMIT_SECONDS + len(faults) * 2.0
        await asyncio.sleep(2.0 + seconds + DISTURBED_LIMIT_SECONDS)
        (execution,) = site.record
        assert execution.kind == 'stopped'

    play_site(scenario)
