"""Worker leases that a released service records for its next owner."""

from __future__ import annotations

import asyncio
import pathlib
import signal

import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.worker_session import WorkerSession
from lentilmount.platform.workers import WorkerClient
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.model import Worker
from lentilmount.scheduling.takeover import (
    apply_lease_seconds,
    list_lease_seconds,
)
from lentilmount.upstream.http import HttpClient
from tests.helpers import run
from tests.platform_fixtures import Daemon, PlatformFixture, open_platform
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    run_task,
)
from tests.test_worker_session import LEASE_SECONDS, IgnoringListener

JOB = '0123456789abcdef'
TENURE_SECONDS = 3.5
"""Half of the time that a new owner waits for an unreachable worker."""

DAEMONS = 4


def find_owner(daemons: list[Daemon]) -> tuple[int, Daemon]:
    """Returns the highest epoch and the daemon that has it."""
    taken = [
        (line['epoch'], index)
        for index, daemon in enumerate(daemons)
        for line in daemon.select(message='Taken: desk.')
    ]
    epoch, index = max(taken, default=(0, 0))
    return epoch, daemons[index]


async def hand_over(platform: PlatformFixture, daemons: list[Daemon]) -> None:
    """Stops the owner's daemon gracefully and waits for the next owner."""
    epoch, owner = find_owner(daemons)
    owner.process.send_signal(signal.SIGTERM)

    async def is_taken() -> bool:
        return find_owner(daemons)[0] > epoch

    await platform.wait_for(is_taken)


def test_successive_handovers_do_not_extend_leases_of_a_lost_worker(
    tmp_path: pathlib.Path,
) -> None:
    """Each of several owners waited for the full leases of a lost worker."""

    async def play() -> None:
        async with open_platform(tmp_path) as platform:
            for worker in platform.fleet.workers:
                worker.long_running_payloads.add('long')
            daemons = [
                await platform.start(f'host-{number}')
                for number in range(DAEMONS)
            ]
            await platform.submit(daemons[0], JOB, 'long', longRunning=True)
            await platform.wait_for_state(daemons[0], JOB, 'running')
            lost = next(w for w in platform.fleet.workers if w.running)
            lost.silent = True
            for _ in range(DAEMONS - 1):
                await asyncio.sleep(TENURE_SECONDS)
                if len(platform.fleet.list_starts()) > 1:
                    break
                await hand_over(platform, daemons)
            starts = [w.id for w in platform.fleet.workers if w.started]
            assert len(starts) == 2

    run(play())


def make_cluster_with_task(
    reachable: bool, leases_expire_at: float
) -> tuple[ClusterState, Worker]:
    """Returns a cluster state with a task on a worker, and the worker."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('job'))
    run_task(cluster, find_task(cluster, 'job'), worker)
    worker.reachable = reachable
    worker.leases_expire_at = leases_expire_at
    return cluster, worker


@pytest.mark.parametrize('reachable', [True, False])
def test_leases_are_recorded_whether_or_not_their_worker_answers(
    reachable: bool,
) -> None:
    """A worker lost just before a handover kept tasks for a lease more."""
    assert list_lease_seconds(
        make_cluster_with_task(reachable, 15.0)[0], 12.0
    ) == {'w': 3.0}
    assert list_lease_seconds(
        make_cluster_with_task(reachable, 15.0)[0], 16.0
    ) == {'w': 0.0}


def test_unknown_leases_are_not_recorded_as_expired() -> None:
    """A task found on a worker may have a lease of an earlier owner."""
    assert list_lease_seconds(make_cluster_with_task(True, 0.0)[0], 12.0) == {}


def test_a_renewal_in_flight_is_recorded() -> None:
    """A worker that applies a renewal late keeps running for a full lease."""
    clock = ManualClock()
    cluster, worker = make_cluster_with_task(True, 0.0)
    calls = WorkerClient(HttpClient(''), 1, 1.0)
    session = WorkerSession(
        worker,
        cluster,
        calls,
        IgnoringListener(),
        LEASE_SECONDS,
        clock.monotonic,
    )
    session.update_clock(1000)
    session.choose_lease_end()
    clock.advance(2.0)
    session.choose_lease_end()
    recorded = list_lease_seconds(cluster, clock.monotonic())
    assert recorded['w'] >= LEASE_SECONDS


def test_recorded_seconds_only_shorten_leases_of_workers_not_polled() -> None:
    cluster, worker = make_cluster_with_task(False, 15.0)
    worker.has_answered = False
    apply_lease_seconds(cluster, {'w': 3.0, 'other': 1.0}, 0.1, 10.0)
    assert worker.leases_expire_at == 10.0 + 3.0 * 1.1
    apply_lease_seconds(cluster, {'w': 30.0}, 0.1, 10.0)
    assert worker.leases_expire_at == 10.0 + 3.0 * 1.1
    worker.has_answered = True
    apply_lease_seconds(cluster, {'w': 0.0}, 0.1, 10.0)
    assert worker.leases_expire_at == 10.0 + 3.0 * 1.1
