"""Tests of the queue, limits, budgets, hedges and ejection of routing."""

from __future__ import annotations

import asyncio
import random

import attrs
import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lentilmount.clock import ManualClock
from lentilmount.errors import ErrorKind, Ran, UpstreamError
from lentilmount.events import EventLog
from lentilmount.resources import ConfigurationSpec, TeamSpec
from lentilmount.routing.balance import PowerOfTwo
from lentilmount.routing.concurrency import AdaptiveLimit
from lentilmount.routing.directory import Upstream
from lentilmount.routing.ejection import (
    MAX_EJECTED_SHARE,
    RETURN_SECONDS,
    Health,
    State,
)
from lentilmount.routing.forward import Call, Reply, Result
from lentilmount.routing.latency import LatencyModel
from lentilmount.routing.loads import PeerLoads, pack_counts
from lentilmount.routing.pool import Pool, PoolOptions
from lentilmount.routing.retries import INITIAL_BALANCE, Budget
from lentilmount.routing.target import Target
from tests.helpers import run
from tests.routing_fixtures import (
    SPEC,
    ZONE,
    ScriptedForwarder,
    make_call,
    make_configuration,
    make_router,
)

QUICK = settings(
    max_examples=40, stateful_step_count=40, derandomize=True, deadline=None
)
DONE = Reply(Result.ANSWERED, 200)
FAILED = Reply(Result.UNKNOWN, error='reset')


def make_pool(count: int, seats: int = 8) -> Pool:
    rng = random.Random(1)
    pool = Pool(
        'desk/quota',
        SPEC,
        PoolOptions('entry-0', ZONE, seats),
        PowerOfTwo(rng),
        EventLog('entry-0'),
        rng,
    )
    upstreams = [
        Upstream(f'Service/desk/quota/{n}', 1, f'a{n}', ZONE, f'w{n}')
        for n in range(count)
    ]
    pool.update(SPEC, 0.0, upstreams, lambda _: False)
    return pool


class SlotsMachine(RuleBasedStateMachine):
    """Acquires and releases upstreams; checks counts and connection limits."""

    def __init__(self) -> None:
        super().__init__()
        self.pool = make_pool(4)
        self.now = 1000.0
        self.held: list[tuple[Target, float]] = []

    @rule()
    def take(self) -> None:
        allowed = {
            task: target.get_request_limit()
            for task, target in self.pool.targets.items()
        }
        was_idle = not self.held
        target = self.pool.acquire((), self.now)
        if target is None:
            assert not was_idle
            return
        task = target.upstream.task
        assert was_idle or target.own_in_flight <= max(1, allowed[task])
        self.held.append((target, self.now))

    @rule(index=st.integers(0, 40), reply=st.sampled_from([DONE, FAILED]))
    def give_back(self, index: int, reply: Reply) -> None:
        if self.held:
            target, began = self.held.pop(index % len(self.held))
            self.pool.release(target, reply, began, self.now)

    @rule(seconds=st.sampled_from([0.01, 0.5, 10.0]))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule(others=st.lists(st.integers(0, 12), min_size=4, max_size=4))
    def update_others(self, others: list[int]) -> None:
        for target, load in zip(
            self.pool.targets.values(), others, strict=True
        ):
            target.other_in_flight = float(load)

    @invariant()
    def counts_are_right(self) -> None:
        ejected = 0
        for target in self.pool.targets.values():
            held = sum(t is target for t, _ in self.held)
            assert target.own_in_flight == held <= self.pool.max_connections
            ejected += target.health.state is State.EJECTED
        assert self.pool.in_flight == len(self.held)
        assert ejected <= max(1, 4 * MAX_EJECTED_SHARE)


class LoadReportsMachine(RuleBasedStateMachine):
    """Daemons of two zones have all loads after two rounds of heartbeats."""

    NAMES = ('a0', 'a1', 'b0', 'b1')
    LINKS = (('a0', 'a1'), ('b0', 'b1'), ('a0', 'b0'), ('a1', 'b0'))

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0
        self.peer_loads = {
            name: PeerLoads(name, name[0]) for name in self.NAMES
        }
        self.own = dict.fromkeys(self.NAMES, b'')

    @rule(
        name=st.sampled_from(NAMES),
        loads=st.dictionaries(st.integers(0, 5), st.integers(0, 40)),
    )
    def load(self, name: str, loads: dict[int, int]) -> None:
        self.own[name] = pack_counts(loads)

    @rule(links=st.permutations(LINKS * 2))
    def beat(self, links: list[tuple[str, str]]) -> None:
        self.now += 0.5
        for link in [*links, *links]:
            for one, other in (link, link[::-1]):
                own = {'desk/quota': self.own[one]}
                reports = self.peer_loads[one].list_reports_for(
                    other[0], own, self.now
                )
                self.peer_loads[other].update(reports, self.now)
        for name, loads in self.peer_loads.items():
            known = loads.sum_others('desk/quota', self.now)
            others = [self.own[o] for o in self.NAMES if o != name]
            longest = max(map(len, others))
            padded = [o.ljust(longest, b'\0') for o in others]
            total = bytes(sum(x) for x in zip(*padded, strict=True))
            assert known.rstrip(b'\0') == total.rstrip(b'\0')

    @rule()
    def let_reports_expire(self) -> None:
        self.now += 3.0
        for loads in self.peer_loads.values():
            assert not loads.sum_others('desk/quota', self.now)


class BudgetMachine(RuleBasedStateMachine):
    """Extra copies stay within their share of requests, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.budget = Budget()
        self.requests = 0
        self.copies = 0

    @rule(count=st.integers(1, 100))
    def send(self, count: int) -> None:
        for _ in range(count):
            self.budget.earn(0.1)
        self.requests += count

    @rule()
    def copy(self) -> None:
        self.copies += self.budget.spend()

    @invariant()
    def copies_are_few(self) -> None:
        assert self.copies <= INITIAL_BALANCE + 0.1 * self.requests + 1e-6


def test_loads_are_known_after_two_rounds_with_the_far_link_first() -> None:
    """A zone's total sent without one member's load hid that load."""
    machine = LoadReportsMachine()
    machine.load('a0', {0: 1})
    far, near = ('b0', 'b1'), ('a0', 'a1')
    cross = [('a0', 'b0'), ('a1', 'b0')]
    machine.beat([far, far, *cross, *cross, near, near])


TestSlots = SlotsMachine.TestCase
TestSlots.settings = QUICK
TestLoads = LoadReportsMachine.TestCase
TestLoads.settings = QUICK
TestBudgets = BudgetMachine.TestCase
TestBudgets.settings = QUICK


def test_full_queue_refuses_at_once() -> None:
    """A request that would exceed the maximum wait is refused at once."""

    async def check() -> None:
        clock = ManualClock()
        forwarder = ScriptedForwarder(lambda *_: DONE, gate=asyncio.Event())
        router, _ = make_router(
            ['a0', 'a1'], forwarder, monotonic=clock.monotonic
        )
        assert forwarder.gate is not None
        calls = [
            asyncio.create_task(router.route(make_call(n), None))
            for n in range(14)
        ]
        await asyncio.sleep(0)
        clock.advance(1.0)
        forwarder.gate.set()
        await asyncio.gather(*calls)
        forwarder.gate.clear()
        calls = [
            asyncio.create_task(router.route(make_call(n), None))
            for n in range(40)
        ]
        await asyncio.sleep(0)
        refused = [task for task in calls if task.done()]
        waiting = 40 - len(refused) - sum(router.in_flight.values())
        # Two upstreams with seven requests each end 14 requests per second,
        # so a maximum wait of half a second allows 7 waiting requests.
        assert waiting == 7
        for task in refused:
            error = task.exception()
            assert isinstance(error, UpstreamError)
            assert error.kind is ErrorKind.OVERLOADED
            assert error.ran is Ran.NO
            assert error.retry_after and error.retry_after > 0.5
        forwarder.gate.set()
        await asyncio.gather(*calls, return_exceptions=True)
        assert len(forwarder.sent) == 14 + 40 - len(refused)
        assert router.pending == 0

    run(check())


def test_queue_is_in_order_and_skips_disconnected_callers() -> None:
    async def check() -> None:
        gone: set[str] = set()
        forwarder = ScriptedForwarder(lambda *_: DONE, gate=asyncio.Event())
        router, _ = make_router(['a0'], forwarder)
        assert forwarder.gate is not None

        def make(number: int) -> Call:
            call = make_call(number, idempotent=False)
            return attrs.evolve(call, is_disconnected=lambda: call.id in gone)

        calls = [
            asyncio.create_task(router.route(make(n), None)) for n in range(12)
        ]
        await asyncio.sleep(0)
        gone.add('request-9')
        forwarder.gate.set()
        await asyncio.gather(*calls, return_exceptions=True)
        numbers = [int(call.id.partition('-')[2]) for _, call in forwarder.sent]
        assert numbers == [0, 1, 2, 3, 4, 5, 6, 7, 8, 10, 11]

    run(check())


def test_team_over_its_limit_is_refused() -> None:
    async def check() -> None:
        clock = ManualClock()
        configuration = make_configuration(
            team=TeamSpec(requests_per_second=20.0)
        )
        router, _ = make_router(
            ['a0'],
            ScriptedForwarder(lambda *_: DONE),
            configuration,
            monotonic=clock.monotonic,
            daemons=2,
        )

        async def count_answers(calls: int) -> int:
            answered = 0
            for number in range(calls):
                try:
                    await router.route(make_call(number), None)
                    answered += 1
                except UpstreamError as error:
                    assert error.kind is ErrorKind.LIMITED
                    assert error.retry_after
            return answered

        assert await count_answers(50) == 10
        clock.advance(0.5)
        assert await count_answers(50) == 5

    run(check())


def test_retries_stop_when_the_budget_is_spent() -> None:
    async def check() -> None:
        weights = ConfigurationSpec(retry_share=0.1)
        forwarder = ScriptedForwarder(lambda *_: FAILED)
        router, _ = make_router(
            [f'a{n}' for n in range(4)],
            forwarder,
            make_configuration(weights=weights),
        )
        for number in range(100):
            with pytest.raises(UpstreamError):
                await router.route(make_call(number), None)
        assert len(forwarder.sent) <= 100 + INITIAL_BALANCE + 10

    run(check())


def test_limit_falls_with_a_queue_and_follows_drift() -> None:
    """Queueing lowers the limit; a lasting change of service time does not."""
    limit = AdaptiveLimit(8.0)
    now = 0.0
    for _ in range(100):
        now += 0.01
        limit.observe(0.1, 8, now)
    assert limit.value == 8.0
    for _ in range(60):
        now += 0.01
        limit.observe(0.4, 8, now)
    assert limit.value < 3.0
    for _ in range(6000):
        now += 0.01
        limit.observe(0.4, 8, now)
    assert limit.value == 8.0


def test_limit_falls_when_the_upstream_refuses() -> None:
    limit = AdaptiveLimit(8.0)
    for _ in range(10):
        limit.reduce_after_rejection()
    assert limit.value == 1.0


def test_slow_upstream_is_ejected_and_returns_slowly() -> None:
    """A slow upstream is ejected, then gets one request at a time."""
    pool = make_pool(10)
    now = 1000.0
    for target in pool.targets.values():
        target.begin(now)
        seconds = 1.0 if target.upstream.address == 'a0' else 0.1
        target.observe(seconds, now)
        target.end(now)
    slow = pool.targets['Service/desk/quota/0']
    pool.review_health(now)
    health = slow.health
    states = [health.state]
    now = health.state_ends_at
    pool.review_health(now)
    states.append(health.state)
    assert slow.get_request_limit() == 1
    shares = [health.get_traffic_share(now + s) for s in (0.0, 2.5, 5.0)]
    assert shares == [0.05, 0.5, 1.0]
    pool.review_health(now + RETURN_SECONDS)
    states.append(health.state)
    assert states == [State.EJECTED, State.RETURNING, State.SERVING]


def test_ejections_grow_and_are_capped() -> None:
    pool = make_pool(10)
    for target in pool.targets.values():
        target.health.failures = 100
    pool.review_health(1000.0)
    states = [t.health.state for t in pool.targets.values()]
    assert states.count(State.EJECTED) == 3
    health = Health()
    rng = random.Random(1)
    lengths = []
    for _ in range(8):
        health.eject(0.0, rng)
        lengths.append(health.state_ends_at)
    assert lengths[0] < 3.0 and 48.0 <= lengths[-1] <= 72.0


def test_lagging_report_affects_only_its_load_band() -> None:
    """A high p99 reported at high load affects only estimates at high load."""
    model = LatencyModel()
    model.observe(0.1, 0.1, 10.0)
    model.observe_report(0.9, 1.8, 2.0, 10.0)
    assert model.estimate(0.1, 0.1, 10.0) == pytest.approx(0.1)
    assert model.estimate(0.9, 0.1, 10.0) == pytest.approx(1.0)
    assert model.estimate(0.9, 0.1, 40.0) < 0.2


def test_hedge_answers_when_the_first_upstream_is_silent() -> None:
    """A stalled upstream kept the caller waiting until the deadline."""

    async def check() -> None:
        hang = asyncio.Event()

        class Hanging(ScriptedForwarder):
            async def send(
                self, address: str, call: Call, timeout: float, connections: int
            ) -> Reply:
                self.sent.append((address, call))
                if call.id == 'request-500' and len(self.sent) == 101:
                    await hang.wait()
                    return FAILED
                return DONE

        forwarder = Hanging(lambda *_: DONE)
        router, _ = make_router(['a0', 'a1'], forwarder)
        for number in range(100):
            await router.route(make_call(number), None)
        reply = await router.route(make_call(500), None)
        assert reply.result is Result.ANSWERED
        assert len(forwarder.sent) == 102
        assert sum(router.in_flight.values()) == 1
        hang.set()
        await asyncio.sleep(0.01)
        assert not router.in_flight

    run(check())
