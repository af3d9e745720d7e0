"""Results of clients' requests: lost answers, and jobs in two services."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import attrs
import orjson
import pytest

from lentilmount.clock import SystemClock
from lentilmount.control.keys import make_cancel_key, make_job_key
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
    Put,
    Row,
    UnavailableError,
)
from lentilmount.errors import (
    GoneError,
    Ran,
    StoreError,
    UnknownOutcomeError,
)
from lentilmount.platform.documents import Route, RoutingConfiguration
from lentilmount.platform.store import RefusedError
from lentilmount.upstream.http import HttpClient
from stand_ins.table import MemoryTable
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


@attrs.define(eq=False)
class ServiceTable(MemoryTable):
    """Table of several services, some of which fail.

    Attributes:
      failures: Error of all calls about a service, by the service's name.
    """

    failures: dict[str, Exception] = attrs.Factory(dict)

    def __attrs_pre_init__(self) -> None:
        """Creates the rows."""
        super().__init__()

    async def read(self, keys: list[Key]) -> dict[Key, Row]:
        """See `Table`."""
        self._fail(keys)
        return await super().read(keys)

    async def transact(self, token: str, operations: list[Operation]) -> None:
        """See `Table`."""
        self._fail([operation.key for operation in operations])
        await super().transact(token, operations)

    def _fail(self, keys: list[Key]) -> None:
        for key in keys:
            service = key.partition.rpartition('/')[2]
            if service in self.failures:
                raise self.failures[service]

    def list_keys(self) -> list[Key]:
        """Lists the keys of all rows."""
        return list(self._rows)

    async def accept(self, service: str) -> None:
        """Writes the row of the job to a service."""
        await self.transact('job', [Put(make_job_key(service, JOB), {})])


def play_submissions(
    scenario: Callable[[Submissions, ServiceTable], Awaitable[None]],
    services: tuple[str, ...] = ('old', 'new'),
) -> None:
    """Plays requests of clients while some services are configured."""
    clock = SystemClock()
    table = ServiceTable()
    routes = RouteTable(clock.monotonic, 2.0)
    routes.current = RoutingConfiguration(1, (), services, 1000)
    detector = OutageDetector(
        StoreHealth(clock.monotonic, ''), HttpClient(''), PeerList('a')
    )
    submissions = Submissions(table, routes, clock, lambda part: detector)

    async def work() -> None:
        await scenario(submissions, table)

    run(work())


def make_route(service: str) -> Route:
    """Returns a route to the queue of the scene, on a service."""
    policy = attrs.evolve(make_policy(), service=service)
    return Route('desk.example', '/checks/', policy)


def test_a_job_sent_again_after_its_queue_moved_is_one_job() -> None:
    """Owners of two services each ran the job."""

    async def scenario(submissions: Submissions, table: ServiceTable) -> None:
        await submissions.submit(make_route('old'), JOB, BODY)
        await submissions.submit(make_route('new'), JOB, BODY)
        assert table.list_keys() == [make_job_key('old', JOB)]

    play_submissions(scenario)


@pytest.mark.parametrize('failure', [REFUSED, LOST_ANSWER])
def test_a_job_that_may_be_held_elsewhere_is_reported_as_unknown(
    failure: Exception,
) -> None:
    """A job that ran on another service was reported as refused."""

    async def scenario(submissions: Submissions, table: ServiceTable) -> None:
        await submissions.submit(make_route('old'), JOB, BODY)
        table.failures['old'] = failure
        with pytest.raises(UnknownOutcomeError) as caught:
            await submissions.submit(make_route('new'), JOB, BODY)
        assert caught.value.ran is Ran.UNKNOWN
        assert table.list_keys() == [make_job_key('old', JOB)]

    play_submissions(scenario)


def test_a_job_found_elsewhere_is_known_although_a_read_fails() -> None:
    """The failure of a third service hid that the job was accepted."""

    async def scenario(submissions: Submissions, table: ServiceTable) -> None:
        await submissions.submit(make_route('old'), JOB, BODY)
        table.failures['third'] = REFUSED
        await submissions.submit(make_route('new'), JOB, BODY)
        assert table.list_keys() == [make_job_key('old', JOB)]

    play_submissions(scenario, ('old', 'new', 'third'))


def test_a_submission_to_the_only_service_makes_one_call() -> None:
    """Calls to the store are limited and priced."""

    async def scenario(submissions: Submissions, table: ServiceTable) -> None:
        await submissions.submit(make_route('old'), JOB, BODY)
        assert table.calls == {'transact': 1}

    play_submissions(scenario, ('old',))


def test_a_submission_makes_no_calls_about_unreachable_services() -> None:
    """Each submission waited for the timeout of a read that had to fail."""

    async def scenario(submissions: Submissions, table: ServiceTable) -> None:
        health = StoreHealth(submissions.clock.monotonic, 'old')
        health.record(is_answered=False)
        unreachable = OutageDetector(health, HttpClient(''), PeerList('a'))
        assert unreachable.is_unreachable
        find_reachable = submissions.find_outage_detector
        submissions.find_outage_detector = lambda part: (
            unreachable if part == 'old' else find_reachable(part)
        )
        with pytest.raises(UnknownOutcomeError):
            await submissions.submit(make_route('new'), JOB, BODY)
        assert not table.calls

    play_submissions(scenario)


def test_a_cancellation_reaches_the_job_in_every_service() -> None:
    """A copy of a cancelled job on its queue's earlier service ran on."""

    async def scenario(submissions: Submissions, table: ServiceTable) -> None:
        for service in ('old', 'new'):
            await submissions.submit(make_route(service), JOB, BODY)
        await submissions.cancel(make_route('new'), JOB)
        rows = table.list_keys()
        assert make_job_key('old', JOB) in rows
        # A copy of the request may still be on its way to the other service.
        for service in ('old', 'new'):
            assert make_cancel_key(service, JOB) in rows

    play_submissions(scenario)


def test_a_cancellation_reaches_all_copies_that_were_accepted() -> None:
    """A copy of a cancelled job ran on, however it came to be accepted."""

    async def scenario(submissions: Submissions, table: ServiceTable) -> None:
        for service in ('old', 'new'):
            await table.accept(service)
        await submissions.cancel(make_route('new'), JOB)
        for service in ('old', 'new'):
            assert make_cancel_key(service, JOB) in table.list_keys()

    play_submissions(scenario)


@pytest.mark.parametrize('failure', [REFUSED, LOST_ANSWER])
def test_a_cancellation_in_some_services_is_reported_as_unknown(
    failure: Exception,
) -> None:
    """A job was reported as cancelled while a copy of it may run on."""

    async def scenario(submissions: Submissions, table: ServiceTable) -> None:
        await table.accept('new')
        table.failures['old'] = failure
        with pytest.raises(UnknownOutcomeError) as caught:
            await submissions.cancel(make_route('new'), JOB)
        assert caught.value.ran is Ran.UNKNOWN
        assert make_cancel_key('new', JOB) in table.list_keys()

    play_submissions(scenario)


def test_a_cancellation_that_wrote_nothing_is_reported_as_refused() -> None:
    """A job that another service may hold was reported as unknown."""

    async def scenario(submissions: Submissions, table: ServiceTable) -> None:
        table.failures['old'] = REFUSED
        with pytest.raises(StoreError) as caught:
            await submissions.cancel(make_route('new'), JOB)
        assert caught.value.ran is Ran.NO
        table.failures.clear()
        with pytest.raises(GoneError):
            await submissions.cancel(make_route('new'), JOB)

    play_submissions(scenario)
