"""Relayed calls of a daemon that the store rejects."""

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


class FixedHttpClient(HttpClient):
    """Answers with predefined statuses, one after the other."""

    statuses: list[int]

    async def call(self, *args: object, **options: object) -> HttpResponse:
        """See `HttpClient`."""
        return HttpResponse(self.statuses.pop(0), b'{"ver":1}', {})


def make_table(statuses: list[int]) -> PlatformTable:
    """Returns a table client that gets these statuses, on any route."""
    detector = make_outage_detector({'b': 0.0, 'c': 0.0}, ManualClock())
    run(detector.poll_peers())
    http_client = FixedHttpClient('')
    http_client.statuses = statuses
    relay = PeerRelay(
        http_client, lambda part: detector, detector.health.monotonic
    )
    return PlatformTable(http_client, 1.0, relay=relay)


@pytest.mark.parametrize('statuses', [[200], [503, 200], [599, 200]])
def test_the_first_route_with_an_answer_counts(statuses: list[int]) -> None:
    table = make_table(statuses)
    assert run(table.transact('token', [PUT])) == 1
    assert not statuses


@pytest.mark.parametrize('statuses', [[503, 503], [429, 503]])
def test_a_call_refused_on_all_routes_was_not_executed(
    statuses: list[int],
) -> None:
    with pytest.raises(RefusedError):
        run(make_table(statuses).transact('token', [PUT]))


@pytest.mark.parametrize('statuses', [[599, 503], [503, 504]])
def test_a_call_lost_on_one_route_may_have_been_executed(
    statuses: list[int],
) -> None:
    """A job whose answer was lost on one route was reported as refused."""
    with pytest.raises(UnavailableError) as caught:
        run(make_table(statuses).transact('token', [PUT]))
    assert not isinstance(caught.value, RefusedError)


@pytest.mark.parametrize('fault', [Fault.REFUSE, Fault.SILENT])
def test_a_daemon_rejected_by_the_store_still_serves(
    tmp_path: pathlib.Path, fault: Fault
) -> None:
    """A daemon that the store rejects refused its clients."""

    async def scenario() -> None:
        async with open_platform(tmp_path) as platform:
            listener = platform.open_store_address()
            rejected = await platform.start('host-1', listener.address)
            await wait_for_line(platform, rejected, 'Taken: desk.')
            other = await platform.start('host-2')

            async def knows_peers() -> bool:
                return bool(rejected.select(message='Knows 2 daemons.'))

            await platform.wait_for(knows_peers)
            listener.fault = fault

            async def is_accepted() -> bool:
                return (await platform.submit(rejected, FIRST)).code == 200

            await platform.wait_for(is_accepted)
            assert await is_accepted()
            await platform.wait_for_state(rejected, FIRST, 'completed')
            answer = await platform.call(rejected, 'GET', PREFIX)
            assert answer.body == b'{"pending":0}'
            assert await platform.get_state(rejected, SECOND) == '410'
            assert len(platform.fleet.list_starts()) == 1
            assert rejected.select(message='Taken: desk.')
            assert rejected.select(
                message='The store is reached through another daemon.'
            )
            assert not other.select(message='Taken: desk.')

    run(scenario())


@pytest.mark.parametrize('path', ['/store?part=desk', '/relayed/rows-parts'])
def test_a_daemon_that_shuts_down_refuses_calls_of_peers(
    path: str,
) -> None:
    """A relayed call got status 500 as the relaying daemon shut down."""

    async def scenario() -> int:
        async with contextlib.AsyncExitStack() as stack:
            _, store = open_store(stack)
            clock = ManualClock()
            detector = make_outage_detector({}, clock)
            detector.health.record(True)
            application = make_peer_api(
                lambda part: detector,
                PlatformTable(store, 1.0),
                RouteTable(clock.monotonic, 2.0),
                lambda: True,
            )
            http_client = HttpClient(f'http://{listen(application, stack)}')
            stack.callback(http_client.close)
            return (await http_client.call('GET', path)).status

    assert run(scenario()) == 503
