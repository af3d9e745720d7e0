"""Owners that are killed or freeze, and what is known of leases after them."""

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
    make_placed,
)
from tests.test_service_release import HOST, OWNER_ROW
from tests.test_worker_session import IgnoringListener

WORKER_LEASE_SECONDS = 6.0

LONGEST_WAIT_SECONDS = 7.5
"""For leases of an owner that is gone: a worker's lease by its slowest clock,
the second for which the owner may have renewed it, and calls on their way."""

TAKEOVER_SECONDS = LEASE_SECONDS + 2 * POLL_SECONDS
"""Without an owner after each kill."""

OWNERLESS_SECONDS = (DAEMONS - 1) * TAKEOVER_SECONDS
"""The longest that the three kills of a test leave nobody to act."""

FREEZE_SECONDS = 8.0


def wake(daemon: Daemon) -> None:
    """Lets a frozen daemon go on, unless it was ended meanwhile."""
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
def test_owners_that_fail_in_turn_do_not_keep_what_a_gone_worker_ran(
    tmp_path: pathlib.Path, how: signal.Signals, moment: float
) -> None:
    """Each owner that was not stopped as planned made the next wait anew."""

    async def play() -> tuple[float, int]:
        async with open_platform(tmp_path) as platform:
            for worker in platform.fleet.workers:
                worker.lasts.add('long')
            daemons = [
                await platform.start(f'host-{number}')
                for number in range(DAEMONS)
            ]
            await platform.submit(daemons[0], JOB, 'long', longRunning=True)
            await platform.wait_for_state(daemons[0], JOB, 'running')
            lost = next(w for w in platform.fleet.workers if w.running)
            lost.silent = True
            began = time.monotonic()

            async def is_back() -> bool:
                return len(platform.fleet.list_starts()) > 1

            pause = moment
            for _ in range(DAEMONS - 1):
                await asyncio.sleep(pause)
                if await is_back():
                    break
                await end_owner(platform, daemons, how)
                pause = TENURE_SECONDS
            async with asyncio.timeout(WAIT_SECONDS):
                await platform.wait_for(is_back)
            took = time.monotonic() - began
            await asyncio.sleep(1.0)
            return took, len(platform.fleet.list_starts())

    took, starts = run(play())
    assert starts == 2
    assert took < moment + LONGEST_WAIT_SECONDS + OWNERLESS_SECONDS


class _LostCalls(WorkerClient):
    """Calls of which none is answered."""

    def __init__(self) -> None:
        super().__init__(HttpClient(''), 1, 1.0)

    async def poll(self, *args: object, **options: object) -> CallStatus:
        """See `WorkerClient`."""
        return CallStatus.UNKNOWN


def test_only_workers_that_missed_a_look_are_told_as_silent() -> None:
    """A worker not asked yet may hold any lease of the owner before."""
    cluster, worker = make_placed(False, 15.0)
    assert list_unreachable_lease_seconds(cluster, 12.0) == {}
    worker.has_missed_poll = True
    assert list_unreachable_lease_seconds(cluster, 12.0) == {'w': 3.0}
    worker.reachable = True
    assert list_unreachable_lease_seconds(cluster, 12.0) == {}


def test_a_worker_told_as_silent_gets_no_lease_before_it_is_told_anew() -> None:
    """The next owner would start tasks that still ran under a renewed lease."""
    clock = ManualClock()
    cluster, worker = make_placed(True, 0.0)
    session = WorkerSession(
        worker,
        cluster,
        _LostCalls(),
        IgnoringListener(),
        WORKER_LEASE_SECONDS,
        clock.monotonic,
    )
    session.update_clock(1000)
    end = session.choose_lease_end()
    told = list_lease_seconds(cluster, clock.monotonic())
    worker.is_reported_unreachable = True
    clock.advance(1.0)
    assert session.choose_lease_end() == end
    assert session.choose_start_deadline() == end
    assert (
        list_lease_seconds(cluster, clock.monotonic())['w'] <= told['w'] - 1.0
    )
    assert not is_open(worker, clock.monotonic())
    worker.is_reported_unreachable = False
    assert session.choose_lease_end() > end


def test_what_was_told_counts_from_when_its_row_was_seen() -> None:
    """Each takeover added the time for which nobody owned the service."""
    told = InheritedLeases({'w': 5.0}, at=10.0)
    left = told.list_remaining(CLOCK_DRIFT, 12.0)
    assert left == {'w': pytest.approx(5.0 * (1 + CLOCK_DRIFT) - 2.0)}
    assert told.list_remaining(CLOCK_DRIFT, 20.0) == {'w': 0.0}


def test_what_an_earlier_owner_told_is_not_believed() -> None:
    """An owner since then has renewed leases and told nothing."""
    data = LeaseData(remaining={'w': 3.0}).encode(4)
    assert decode_lease_data(data, 4).remaining == {'w': 3.0}
    assert decode_lease_data(data, 5).remaining == {}
    assert REMAINING not in LeaseData().encode(4)


def test_an_owner_in_doubt_tells_for_how_long() -> None:
    """An owner replaced while in doubt left a task that could run twice."""
    cluster, worker = make_placed(False, 15.0)
    worker.has_answered = False
    doubt = UnrecordedStarts(cluster, False, 17.0, frozenset({'job'}))
    told = decode_lease_data(make_lease_data(cluster, doubt, False, 12.0).encode(4), 4)
    assert told.has_unrecorded_starts
    assert told.unrecorded_seconds == 5.0
    own = decode_lease_data(make_lease_data(cluster, doubt, True, 12.0).encode(4), 4)
    assert own.has_unrecorded_starts
    assert own.unrecorded_seconds is None
    worker.has_answered = True
    assert not make_lease_data(cluster, doubt, False, 12.0).has_unrecorded_starts


def test_a_lease_of_which_no_write_was_seen_is_taken_in_doubt() -> None:
    """The first write of a new owner told that all was written."""

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


def test_leases_are_told_as_no_shorter_than_they_are() -> None:
    data = LeaseData(remaining={'w': 3.001}).encode(4)
    assert decode_lease_data(data, 4).remaining['w'] >= 3.001
