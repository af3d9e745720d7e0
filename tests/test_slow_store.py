"""Submissions while the table service is slow."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from lentilmount.coordination.table import Key, Put
from lentilmount.platform.store import PlatformTable
from lentilmount.upstream.http import HttpClient, HttpResponse
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
