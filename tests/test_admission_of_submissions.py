"""Refused submissions: what callers are told, and what is never refused."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import logbook
import pytest

from lentilmount.clock import ManualClock, SystemClock
from lentilmount.control.candidates import Candidates
from lentilmount.control.estimate_data import (
    decode_estimates,
    encode_estimates,
)
from lentilmount.control.frontend import Traffic, make_frontend
from lentilmount.control.keys import make_job_key, make_owner_key
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.routes import RouteTable
from lentilmount.control.store_health import (
    OutageDetector,
    PeerList,
    StoreHealth,
)
from lentilmount.control.submissions import Submissions
from lentilmount.coordination.leases import LeaseKeeper
from lentilmount.coordination.table import UnavailableError
from lentilmount.errors import (
    ErrorKind,
    LentilmountError,
    Ran,
    StoreError,
    UnknownOutcomeError,
)
from lentilmount.platform.documents import RoutingConfiguration
from lentilmount.platform.store import PlatformTable, RawRow, RefusedError
from lentilmount.policies import AdmissionPolicy
from lentilmount.scheduling import waiting_times
from lentilmount.scheduling.admission import (
    AdmissionGate,
    Estimates,
    QueueEstimate,
    WorkKind,
)
from lentilmount.upstream.http import HttpClient, HttpResponse
from tests.admission_fixtures import make_queue_job
from tests.helpers import run
from tests.platform_fixtures import (
    PREFIX,
    listen,
    make_configuration,
    make_election,
    open_table,
)
from tests.scheduling_fixtures import SERVICE, add_worker
from tests.test_handover_to_larger_host import LARGE_HOST
from tests.test_submissions import (
    BODY,
    JOB,
    LOST_ANSWER,
    REFUSED,
    ServiceTable,
    make_route,
)

OTHER_JOB = 'fedcba9876543210'
LONG_WAIT = {'queue': {WorkKind.RESERVED: QueueEstimate(30.0, 1.0)}}


@attrs.define
class Scene:
    """A daemon whose gate refuses all jobs once it is shown a long wait."""

    clock: ManualClock = attrs.Factory(ManualClock)
    table: ServiceTable = attrs.Factory(ServiceTable)
    counted: list[tuple[str, str]] = attrs.Factory(list)
    health: StoreHealth = attrs.field(init=False)
    gate: AdmissionGate = attrs.field(init=False)
    submissions: Submissions = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Creates the daemon."""
        self.health = StoreHealth(self.clock.monotonic, SERVICE)
        detector = OutageDetector(self.health, HttpClient(''), PeerList('a'))
        routes = RouteTable(self.clock.monotonic, 2.0)
        routes.current = RoutingConfiguration(1, (), (SERVICE,), 1000)
        self.gate = AdmissionGate(AdmissionPolicy(), lambda: 1)
        self.submissions = Submissions(
            self.table,
            routes,
            self.clock,
            lambda part: detector,
            find_gate=lambda service: self.gate,
            count_refusal=lambda queue, kind: self.counted.append(
                (queue, kind)
            ),
        )

    def show_long_wait(self) -> None:
        """Lets the gate refuse what arrives now."""
        self.gate.observe_own(LONG_WAIT, self.clock.now)

    async def submit(self, job_id: str = JOB) -> None:
        """Submits a job."""
        await self.submissions.submit(make_route(SERVICE), job_id, BODY)

    async def get_refusal(self, job_id: str = JOB) -> LentilmountError:
        """Submits a job that is refused; returns the error."""
        with pytest.raises(LentilmountError) as caught:
            await self.submit(job_id)
        return caught.value


Play = Callable[[Scene], Awaitable[None]]


def play(scenario: Play) -> None:
    """Plays a scenario."""

    async def work() -> None:
        await scenario(Scene())

    run(work())


async def refuse_a_job(scene: Scene) -> None:
    scene.show_long_wait()
    error = await scene.get_refusal()
    assert error.kind is ErrorKind.OVERLOADED
    assert error.ran is Ran.NO
    assert error.retry_after is not None
    assert error.retry_after >= 1
    assert error.retry_after == int(error.retry_after)
    assert error.extra['queue'] == 'queue'
    assert error.extra['wait_seconds'] == 30
    assert scene.table.list_keys() == []
    assert scene.counted == [('queue', 'overloaded')]


async def repeat_after_a_lost_answer(scene: Scene) -> None:
    await scene.submit()
    scene.show_long_wait()
    await scene.submit()
    assert scene.table.list_keys() == [make_job_key(SERVICE, JOB)]
    assert (await scene.get_refusal(OTHER_JOB)).kind is ErrorKind.OVERLOADED


async def repeat_while_the_write_is_under_way(scene: Scene) -> None:
    scene.table.failures[SERVICE] = LOST_ANSWER
    submitting = asyncio.create_task(scene.submit())
    await asyncio.sleep(0.01)
    scene.clock.advance(1.0)
    with pytest.raises(UnknownOutcomeError):
        await submitting
    scene.table.failures.clear()
    scene.show_long_wait()
    await scene.submit()
    assert scene.table.list_keys() == [make_job_key(SERVICE, JOB)]


async def repeat_while_reads_fail(scene: Scene) -> None:
    """The write tells whether the job is known."""
    scene.show_long_wait()
    reads = scene.table.read

    async def fail(keys: object) -> None:
        raise UnavailableError('connection reset')

    scene.table.read = fail  # type: ignore[method-assign, assignment]
    await scene.submit()
    scene.table.read = reads  # type: ignore[method-assign]
    assert scene.table.list_keys() == [make_job_key(SERVICE, JOB)]


async def repeat_while_the_table_is_slow(scene: Scene) -> None:
    for _ in range(20):
        scene.health.record(True, took=1.0)
    scene.show_long_wait()
    await scene.submit()
    assert scene.table.list_keys() == [make_job_key(SERVICE, JOB)]


async def submit_without_a_recent_estimate(scene: Scene) -> None:
    scene.show_long_wait()
    scene.clock.advance(scene.gate.policy.max_age_seconds + 0.1)
    await scene.submit()


def test_a_refused_job_has_not_run() -> None:
    play(refuse_a_job)


def test_a_submission_sent_again_after_a_lost_answer_is_not_refused() -> None:
    """A caller was told that a job had not run which was accepted before."""
    play(repeat_after_a_lost_answer)


def test_a_submission_whose_first_copy_may_be_written_is_not_refused() -> None:
    """A write whose answer was lost took effect after the refusal."""
    play(repeat_while_the_write_is_under_way)


def test_no_submission_is_refused_while_nobody_can_tell_if_it_is_known() -> (
    None
):
    """A caller was told that a job had not run which was accepted before."""
    play(repeat_while_reads_fail)


def test_no_submission_is_refused_while_writes_take_long() -> None:
    """The first copy of a request was written after the second was refused."""
    play(repeat_while_the_table_is_slow)


def test_no_submission_is_refused_by_an_old_estimate() -> None:
    play(submit_without_a_recent_estimate)


def test_an_accepted_job_costs_no_further_call() -> None:
    async def scenario(scene: Scene) -> None:
        await scene.submit()
        assert scene.table.calls == {'transact': 1}

    play(scenario)


def test_nothing_is_judged_unless_the_policy_is_set() -> None:
    async def scenario(scene: Scene) -> None:
        scene.show_long_wait()
        scene.submissions.find_gate = lambda service: None
        await scene.submit()

    play(scenario)


async def refuse_during_an_outage(scene: Scene) -> list[float]:
    """Returns the retry delays of many callers of one daemon."""
    scene.table.failures[SERVICE] = REFUSED
    scene.submissions.count_daemons = lambda: 20
    found = []
    for _ in range(30):
        error = await scene.get_refusal()
        assert isinstance(error, StoreError)
        assert error.ran is Ran.NO
        assert error.retry_after is not None
        found.append(error.retry_after)
    return found


def test_callers_refused_in_an_outage_come_back_spread() -> None:
    """All callers came back one second after the outage began."""

    async def scenario(scene: Scene) -> None:
        found = await refuse_during_an_outage(scene)
        assert found == sorted(found)
        assert set(found) == {1.0, 2.0, 3.0, 4.0, 5.0}
        assert scene.counted == [('queue', 'store-unavailable')] * 30

    play(scenario)


def test_few_callers_refused_in_an_outage_come_back_soon() -> None:
    """A spread over more time than needed only keeps callers waiting."""

    async def scenario(scene: Scene) -> None:
        scene.table.failures[SERVICE] = RefusedError('HTTP status 503')
        scene.submissions.count_daemons = lambda: 40
        for _ in range(5):
            assert (await scene.get_refusal()).retry_after == 1
            scene.clock.advance(0.5)

    play(scenario)


def test_a_caller_gets_the_refusal_and_a_log_line_explains_it() -> None:
    """Callers learned neither that a job had not run nor when to come back."""

    async def scenario() -> tuple[HttpResponse, dict[str, Any]]:
        scene = Scene()
        routes = scene.submissions.routes
        routes.apply_row(RawRow('config', make_configuration(1), 1))
        routes.confirm(scene.clock.monotonic())
        route, _ = routes.find('desk.example', f'{PREFIX}{JOB}') or (None, '')
        assert route is not None
        estimates = {route.policy.name: LONG_WAIT['queue']}
        scene.gate.observe_own(estimates, scene.clock.now)
        app = make_frontend(
            scene.submissions, routes, Traffic(), ControlMetrics()
        )
        async with contextlib.AsyncExitStack() as stack:
            handler = stack.enter_context(logbook.TestHandler())
            http_client = HttpClient(f'http://{listen(app, stack)}')
            stack.callback(http_client.close)
            answer = await http_client.call(
                'POST', f'{PREFIX}{JOB}', BODY, headers={'Host': 'desk.example'}
            )
            line = next(
                record.extra
                for record in handler.records
                if record.message.startswith('Refused: ')
            )
            return answer, dict(line)

    answer, line = run(scenario())
    assert answer.status == 503
    headers = {name.lower(): text for name, text in answer.headers.items()}
    assert headers['lentilmount-ran'] == 'no'
    assert int(headers['retry-after']) >= 1
    assert line['kind'] == 'overloaded'
    assert line['job'] == JOB
    assert line['retry_seconds'] == int(headers['retry-after'])
    assert line['wait_seconds'] == 30
    assert line['estimate_age_seconds'] == 0


def test_a_daemon_follows_the_estimates_in_the_lease_row() -> None:
    """Also those of a new owner, who has published none yet."""

    async def scenario() -> list[bool]:
        async with open_table() as (_, table):
            clock = SystemClock()
            owner = LeaseKeeper(table, 'host-2.b', 60.0, clock.monotonic)
            key = make_owner_key(SERVICE)
            lease = await owner.try_acquire(key)
            assert lease is not None
            gate = AdmissionGate(AdmissionPolicy(), lambda: 1)
            candidates = Candidates(LARGE_HOST)
            candidates.update({}, True)
            election = attrs.evolve(make_election(table, candidates), gate=gate)
            running = asyncio.create_task(election.run())
            found = []
            for data in (encode_estimates(LONG_WAIT), {}):
                # The first change tells the age of what is written next.
                for number in range(2):
                    lease.data = {**data, 'number': number}
                    await owner.renew(lease)
                    await _wait_for_version(gate, lease.version)
                found.append(_is_refused(gate, clock.monotonic()))
            assert await owner.release(lease)
            election.stop()
            running.cancel()
            return found

    assert run(scenario()) == [True, False]


async def _wait_for_version(gate: AdmissionGate, version: int) -> None:
    async with asyncio.timeout(10):
        while gate._version != version:  # noqa: SLF001
            await asyncio.sleep(0.01)


def _is_refused(gate: AdmissionGate, now: float) -> bool:
    spec = make_queue_job('a', 'queue')
    return gate.judge(spec, 1.0, now) is not None


def test_an_owner_publishes_in_its_lease_row_and_a_release_clears_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Daemons went by the estimates of an owner that had released."""
    monkeypatch.setattr(waiting_times, 'WARM_UP_SECONDS', 0.0)

    async def scenario() -> tuple[bool, bool]:
        async with open_table() as (_, table):
            gate = AdmissionGate(AdmissionPolicy(), lambda: 1)
            candidates = Candidates(LARGE_HOST)
            candidates.update({}, True)
            election = attrs.evolve(make_election(table, candidates), gate=gate)
            running = asyncio.create_task(election.run())
            async with asyncio.timeout(10):
                while (
                    election.owner is None or not election.owner.loaded.is_set()
                ):
                    await asyncio.sleep(0.01)
                cluster = election.owner.cluster
                add_worker(cluster, 'w1')
                now = SystemClock().monotonic()
                cluster.admit(make_queue_job('a', 'queue'), now, 0.0)
                while not (published := await _read_waits(table)):
                    await asyncio.sleep(0.05)
            gate_knows = bool(gate._estimates)  # noqa: SLF001
            election.stop()
            await running
            is_published = published.keys() == {'queue'} and gate_knows
            return is_published, bool(await _read_waits(table))

    assert run(scenario()) == (True, False)


async def _read_waits(table: PlatformTable) -> Estimates:
    key = make_owner_key(SERVICE)
    row = (await table.read([key]))[key]
    return decode_estimates(row.body['data'])
