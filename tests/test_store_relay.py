"""The way to the store through another daemon, for one turned away."""

from __future__ import annotations

import contextlib
import pathlib

import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.peer_api import make_peer_api
from lentilmount.control.routes import RouteTable
from lentilmount.control.store_relay import PeerRelay
from lentilmount.coordination.table import Key, Put, UnavailableError
from lentilmount.platform.store import PlatformTable, RefusedError
from lentilmount.upstream.http import HttpClient, HttpResponse
from stand_ins.rowstore import Fault
from tests.helpers import run
from tests.platform_fixtures import (
    PREFIX,
    listen,
    make_outage_detector,
    open_platform,
    open_store,
    wait_for_line,
)

FIRST = '0123456789abcdef'
SECOND = 'fedcba9876543210'
PUT = Put(Key('jobs/desk', FIRST), {}, 0)


class FixedCaller(HttpClient):
    """Answers as told, one after the other."""

    statuses: list[int]

    async def call(self, *args: object, **options: object) -> HttpResponse:
        """See `HttpClient`."""
        return HttpResponse(self.statuses.pop(0), b'{"ver":1}', {})


def make_table(statuses: list[int]) -> PlatformTable:
    """Returns a table whose calls are answered as told on any way."""
    outage = make_outage_detector({'b': 0.0, 'c': 0.0}, ManualClock())
    run(outage.poll_peers())
    caller = FixedCaller('')
    caller.statuses = statuses
    relay = PeerRelay(caller, lambda part: outage, outage.health.monotonic)
    return PlatformTable(caller, 1.0, relay=relay)


@pytest.mark.parametrize('statuses', [[200], [503, 200], [599, 200]])
def test_the_first_way_with_an_answer_counts(statuses: list[int]) -> None:
    table = make_table(statuses)
    assert run(table.transact('token', [PUT])) == 1
    assert not statuses


@pytest.mark.parametrize('statuses', [[503, 503], [429, 503]])
def test_a_call_refused_on_all_ways_was_not_carried_out(
    statuses: list[int],
) -> None:
    with pytest.raises(RefusedError):
        run(make_table(statuses).transact('token', [PUT]))


@pytest.mark.parametrize('statuses', [[599, 503], [503, 504]])
def test_a_call_lost_on_one_way_may_have_been_carried_out(
    statuses: list[int],
) -> None:
    """A job whose answer was lost on one way was told as refused."""
    with pytest.raises(UnavailableError) as caught:
        run(make_table(statuses).transact('token', [PUT]))
    assert not isinstance(caught.value, RefusedError)


@pytest.mark.parametrize('fault', [Fault.REFUSE, Fault.SILENT])
def test_a_daemon_turned_away_by_the_store_still_serves(
    tmp_path: pathlib.Path, fault: Fault
) -> None:
    """A daemon that the store turns away refused its clients."""

    async def play() -> None:
        async with open_platform(tmp_path) as platform:
            door = platform.open_store_address()
            apart = await platform.start('host-1', door.address)
            await wait_for_line(platform, apart, 'Taken: desk.')
            other = await platform.start('host-2')

            async def knows_peers() -> bool:
                return bool(apart.select(message='Knows 2 daemons.'))

            await platform.wait_for(knows_peers)
            door.fault = fault

            async def is_accepted() -> bool:
                return (await platform.submit(apart, FIRST)).code == 200

            await platform.wait_for(is_accepted)
            assert await is_accepted()
            await platform.wait_for_state(apart, FIRST, 'completed')
            answer = await platform.call(apart, 'GET', PREFIX)
            assert answer.body == b'{"pending":0}'
            assert await platform.get_state(apart, SECOND) == '410'
            assert len(platform.fleet.list_starts()) == 1
            assert apart.select(message='Taken: desk.')
            assert apart.select(
                message='The store is reached through another daemon.'
            )
            assert not other.select(message='Taken: desk.')

    run(play())


@pytest.mark.parametrize('path', ['/store?part=desk', '/relayed/rows-parts'])
def test_a_daemon_that_is_being_stopped_takes_no_calls_of_others(
    path: str,
) -> None:
    """A call that was passed on got 500 as the daemon in between ended."""

    async def play() -> int:
        async with contextlib.AsyncExitStack() as stack:
            _, store = open_store(stack)
            clock = ManualClock()
            outage = make_outage_detector({}, clock)
            outage.health.record(True)
            application = make_peer_api(
                lambda part: outage,
                PlatformTable(store, 1.0),
                RouteTable(clock.monotonic, 2.0),
                lambda: True,
            )
            caller = HttpClient(f'http://{listen(application, stack)}')
            stack.callback(caller.close)
            return (await caller.call('GET', path)).status

    assert run(play()) == 503
