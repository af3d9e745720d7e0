"""Results that a client gets when the store's answers are lost."""

from __future__ import annotations

import attrs
import orjson
import pytest

from lentilmount.clock import SystemClock
from lentilmount.control.routes import RouteTable
from lentilmount.control.store_health import (
    OutageDetector,
    PeerList,
    StoreHealth,
)
from lentilmount.control.submissions import Submissions
from lentilmount.coordination.table import (
    ConflictError,
    Key,
    Operation,
    Row,
    UnavailableError,
)
from lentilmount.errors import Ran, StoreError, UnknownOutcomeError
from lentilmount.platform.documents import Route
from lentilmount.platform.store import RefusedError
from lentilmount.upstream.http import HttpClient
from tests.helpers import run
from tests.scheduling_fixtures import make_policy

JOB = '0123456789abcdef'
BODY = orjson.dumps(
    {
        'spec': 'payload',
        'steps': [{'count': 1, 'cpu': 1000, 'memMb': 500, 'estimatedMs': 100}],
    }
)
LOST_ANSWER = UnavailableError('connection reset')
REFUSED = RefusedError('HTTP status 503')
ROW_EXISTS = ConflictError(())


@attrs.define
class FailingTable:
    """Table whose writes raise the given errors in order, and then succeed."""

    failures: list[Exception]
    written: int = 0

    async def transact(self, token: str, operations: list[Operation]) -> int:
        """See `Table`."""
        if self.failures:
            raise self.failures.pop(0)
        self.written += 1
        return 1

    async def read(self, keys: list[Key]) -> dict[Key, Row]:
        """See `Table`."""
        return {}

    async def scan(
        self, partition: str, after: str = '', limit: int = 1
    ) -> list[Row]:
        """See `Table`."""
        return []


def submit(failures: list[Exception]) -> FailingTable:
    """Submits a job to a table whose writes first raise some errors."""
    clock = SystemClock()
    health = StoreHealth(clock.monotonic, 'desk')
    outage = OutageDetector(health, HttpClient(''), PeerList('a'))
    table = FailingTable(list(failures))
    routes = RouteTable(clock.monotonic, 2.0)
    submissions = Submissions(table, routes, clock, lambda part: outage)
    route = Route('desk.example', '/checks/', make_policy())
    run(submissions.submit(route, JOB, BODY))
    return table


@pytest.mark.parametrize(
    'failures',
    [[LOST_ANSWER], [LOST_ANSWER, LOST_ANSWER], [LOST_ANSWER, ROW_EXISTS]],
)
def test_a_lost_answer_is_retried_without_the_caller(
    failures: list[Exception],
) -> None:
    """A broken connection to the store was reported to the caller."""
    table = submit(failures)
    assert table.written == (ROW_EXISTS not in failures)


def test_a_refusal_is_reported_as_one() -> None:
    with pytest.raises(StoreError) as caught:
        submit([REFUSED])
    assert caught.value.ran is Ran.NO
    assert caught.value.retry_after is not None


def test_a_refusal_after_a_lost_answer_is_reported_as_unknown() -> None:
    """A job that may still be written was reported as refused."""
    with pytest.raises(UnknownOutcomeError) as caught:
        submit([LOST_ANSWER, REFUSED])
    assert caught.value.ran is Ran.UNKNOWN
