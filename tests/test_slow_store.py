"""Submissions while the table service is slow."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from lentilmount.clock import ManualClock
from lentilmount.coordination.table import Key, Put
from lentilmount.platform.store import PlatformTable
from lentilmount.upstream.http import HttpClient, HttpResponse
from stand_ins.virtual_time import run_virtual
from tests.helpers import run

CALL_SECONDS = 0.1
WRITE_SECONDS = 0.5


@attrs.define(eq=False)
class _SlowHttpClient(HttpClient):
    """An HTTP client that answers each call after a delay.

    Attributes:
      seconds: The delay.
      timeouts: Timeouts of the calls.
    """

    seconds: float
    timeouts: list[float] = attrs.Factory(list)

    async def call(self, *args: object, **options: object) -> HttpResponse:
        timeout = options['timeout']
        assert isinstance(timeout, float)
        self.timeouts.append(timeout)
        await asyncio.sleep(self.seconds)
        return HttpResponse(200, b'{"ver":1,"rows":[]}', {})


PUT = Put(Key('jobs/a', 'x'), {}, 0)


def test_a_submission_waits_for_a_slow_part() -> None:
    """A job was accepted after its client got an unknown result."""
    http_client = _SlowHttpClient(0.0)

    async def scenario() -> None:
        table = PlatformTable(
            http_client, CALL_SECONDS, write_timeout=WRITE_SECONDS
        )
        await table.transact('token', [PUT])
        await table.read([PUT.key])

    run(scenario())
    assert http_client.timeouts == [
        pytest.approx(WRITE_SECONDS, abs=0.01),
        pytest.approx(CALL_SECONDS, abs=0.01),
    ]


@pytest.mark.parametrize(
    ('read_seconds', 'expected'),
    [(0.004, 0.6), (0.05, 0.6), (0.22, 2.0), (0.5, 2.0)],
)
def test_a_transaction_is_not_given_up_while_the_service_is_slow(
    read_seconds: float, expected: float
) -> None:
    """An owner repeated writes that were carried out after their timeout."""
    http_client = _SlowHttpClient(read_seconds)

    async def scenario() -> None:
        table = PlatformTable(http_client, 0.6)
        for _ in range(12):
            await table.read([PUT.key])
        http_client.seconds = 0.0
        await table.transact('token', [PUT])

    run_virtual(scenario(), ManualClock())
    assert http_client.timeouts[-1] == pytest.approx(expected, abs=0.05)


def test_a_feed_that_waits_does_not_make_the_service_slow() -> None:
    http_client = _SlowHttpClient(0.8)

    async def scenario() -> None:
        table = PlatformTable(http_client, 0.6)
        for _ in range(12):
            await table.follow('op', 1, 0.8)
        await table.transact('token', [PUT])

    run_virtual(scenario(), ManualClock())
    assert http_client.timeouts[-1] == pytest.approx(0.6, abs=0.01)
