"""Worker leases after an owner was killed or frozen."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import signal
import time
from typing import Any

import orjson
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.candidates import Candidates
from lentilmount.control.election import LEASE_SECONDS, POLL_SECONDS
from lentilmount.control.lease_data import (
    REMAINING,
    LeaseData,
    decode_lease_data,
    make_lease_data,
)
from lentilmount.control.worker_session import WorkerSession
from lentilmount.coordination.leases import CLOCK_DRIFT
from lentilmount.platform.workers import CallStatus, WorkerClient
from lentilmount.scheduling.takeover import (
    InheritedLeases,
    UnrecordedStarts,
    list_lease_seconds,
    list_unreachable_lease_seconds,
)
from lentilmount.scheduling.views import is_open
from lentilmount.upstream.http import HttpClient
from tests.helpers import run
from tests.platform_fixtures import (
    WAIT_SECONDS,
    Daemon,
    PlatformFixture,
    make_election,
    open_blocked_table,
    open_platform,
)
from tests.test_inherited_leases import (
    DAEMONS,
    JOB,
    TENURE_SECONDS,
    find_owner,
    make_cluster_with_task,
)
from tests.test_service_release import HOST, OWNER_ROW
from tests.test_worker_session import IgnoringListener

WORKER_LEASE_SECONDS = 6.0

LONGEST_WAIT_SECONDS = 7.5
"""Longest wait for the leases of a lost owner: a worker's lease by the slowest
clock, the second during which the owner may have renewed it, and calls in
flight."""

TAKEOVER_SECONDS = LEASE_SECONDS + 2 * POLL_SECONDS
"""Longest time without an owner after each kill."""

OWNERLESS_SECONDS = (DAEMONS - 1) * TAKEOVER_SECONDS
"""Longest time without an owner after the three kills of a test."""

FREEZE_SECONDS = 8.0


def wake(daemon: Daemon) -> None:
    """Resumes a frozen daemon, unless it has ended."""
    with contextlib.suppress(ProcessLookupError):
        daemon.process.send_signal(signal.SIGCONT)


async def end_owner(
    platform: PlatformFixture, daemons: list[Daemon], how: signal.Signals
) -> None:
    """Kills or freezes the owner's daemon and waits for the next owner."""
    epoch, owner = find_owner(daemons)
    owner.process.send_signal(how)
    if how is signal.SIGSTOP:
        asyncio.get_running_loop().call_later(FREEZE_SECONDS, wake, owner)

    async def is_taken() -> bool:
        return find_owner(daemons)[0] > epoch

    await platform.wait_for(is_taken)


@pytest.mark.parametrize('how', [signal.SIGKILL, signal.SIGSTOP])
@pytest.mark.parametrize('moment', [0.0, 1.0, TENURE_SECONDS])
def test_successive_failed_owners_do_not_extend_leases_of_a_lost_worker(
    tmp_path: pathlib.Path, how: signal.Signals, moment: float
) -> None:
    """After each killed owner the next one waited for full worker leases."""

    async def play() -> tuple[float, int]:
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
            began = time.monotonic()

            async def is_restarted() -> bool:
                return len(platform.fleet.list_starts()) > 1

            pause = moment
            for _ in range(DAEMONS - 1):
                await asyncio.sleep(pause)
                if await is_restarted():
                    break
                await end_owner(platform, daemons, how)
                pause = TENURE_SECONDS
            async with asyncio.timeout(WAIT_SECONDS):
                await platform.wait_for(is_restarted)
            took = time.monotonic() - began
            await asyncio.sleep(1.0)
            return took, len(platform.fleet.list_starts())

    took, starts = run(play())
    assert starts == 2
    assert took < moment + LONGEST_WAIT_SECONDS + OWNERLESS_SECONDS


class _UnansweredClient(WorkerClient):
    """Client for workers whose polls are never answered."""

    def __init__(self) -> None:
        super().__init__(HttpClient(''), 1, 1.0)

    async def poll(self, *args: object, **options: object) -> CallStatus:
        """See `WorkerClient`."""
        return CallStatus.UNKNOWN


def test_only_workers_that_missed_a_poll_are_recorded_as_unreachable() -> None:
    """A worker not polled yet may hold any lease of the previous owner."""
    cluster, worker = make_cluster_with_task(False, 15.0)
    assert list_unreachable_lease_seconds(cluster, 12.0) == {}
    worker.has_missed_poll = True
    assert list_unreachable_lease_seconds(cluster, 12.0) == {'w': 3.0}
    worker.reachable = True
    assert list_unreachable_lease_seconds(cluster, 12.0) == {}


def test_a_worker_recorded_as_unreachable_gets_no_lease() -> None:
    """The next owner would start tasks that run under a renewed lease."""
    clock = ManualClock()
    cluster, worker = make_cluster_with_task(True, 0.0)
    session = WorkerSession(
        worker,
        cluster,
        _UnansweredClient(),
        IgnoringListener(),
        WORKER_LEASE_SECONDS,
        clock.monotonic,
    )
    session.update_clock(1000)
    end = session.choose_lease_end()
    recorded = list_lease_seconds(cluster, clock.monotonic())
    worker.is_reported_unreachable = True
    clock.advance(1.0)
    assert session.choose_lease_end() == end
    assert session.choose_start_deadline() == end
    assert (
        list_lease_seconds(cluster, clock.monotonic())['w']
        <= recorded['w'] - 1.0
    )
    assert not is_open(worker, clock.monotonic())
    worker.is_reported_unreachable = False
    assert session.choose_lease_end() > end


def test_recorded_seconds_count_from_when_the_row_was_seen() -> None:
    """Each takeover added the time without an owner to the wait."""
    recorded = InheritedLeases({'w': 5.0}, at=10.0)
    remaining = recorded.list_remaining(CLOCK_DRIFT, 12.0)
    assert remaining == {'w': pytest.approx(5.0 * (1 + CLOCK_DRIFT) - 2.0)}
    assert recorded.list_remaining(CLOCK_DRIFT, 20.0) == {'w': 0.0}


def test_lease_seconds_of_an_earlier_epoch_are_ignored() -> None:
    """A later owner has renewed the leases without recording it."""
    data = LeaseData(remaining={'w': 3.0}).encode(4)
    assert decode_lease_data(data, 4).remaining == {'w': 3.0}
    assert decode_lease_data(data, 5).remaining == {}
    assert REMAINING not in LeaseData().encode(4)


def test_an_owner_records_how_long_unrecorded_starts_may_run() -> None:
    """A second takeover lost the note on unrecorded starts; tasks ran twice."""
    cluster, worker = make_cluster_with_task(False, 15.0)
    worker.has_answered = False
    unrecorded_starts = UnrecordedStarts(
        cluster, False, 17.0, frozenset({'job'}), are_all_listed=True
    )
    recorded = decode_lease_data(
        make_lease_data(cluster, unrecorded_starts, False, 12.0).encode(4), 4
    )
    assert recorded.has_unrecorded_starts
    assert recorded.unrecorded_seconds == 5.0
    own = decode_lease_data(
        make_lease_data(cluster, unrecorded_starts, True, 12.0).encode(4), 4
    )
    assert own.has_unrecorded_starts
    assert own.unrecorded_seconds is None
    worker.has_answered = True
    assert not make_lease_data(
        cluster, unrecorded_starts, False, 12.0
    ).has_unrecorded_starts


def test_a_lease_without_an_observed_write_may_have_unrecorded_starts() -> None:
    """A new owner's first write declared all starts as recorded."""

    async def play() -> dict[str, Any]:
        async with contextlib.AsyncExitStack() as stack:
            store, table = open_blocked_table(stack)
            body = {'holder': 'host-2.b', 'epoch': 3, 'data': {}}
            store.write(OWNER_ROW, orjson.dumps(['before', body]))
            candidates = Candidates(HOST)
            candidates.update({}, True)
            election = make_election(table, candidates)
            running = asyncio.create_task(election.run())
            row = body
            async with asyncio.timeout(WAIT_SECONDS):
                while row['holder'] == 'host-2.b':
                    await asyncio.sleep(0.01)
                    row = orjson.loads(store.rows[OWNER_ROW].value or b'')[1]
            election.stop()
            await running
            return row

    assert run(play())['data']['unwritten'] is True


def test_recorded_lease_seconds_are_rounded_up() -> None:
    data = LeaseData(remaining={'w': 3.001}).encode(4)
    assert decode_lease_data(data, 4).remaining['w'] >= 3.001
