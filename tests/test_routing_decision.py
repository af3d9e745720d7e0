"""Compares routing decisions with a simple reference model.

The model keeps the whole history and derives from it for each decision which
upstreams are open, their expected times and the zones to choose from.
"""

from __future__ import annotations

import random
from typing import Any

import attrs
import hypothesis.strategies as st
from hypothesis import given, settings

from lentilmount.clock import ManualClock
from lentilmount.events import EventLog
from lentilmount.routing.balance import PowerOfTwo
from lentilmount.routing.directory import UpstreamDirectory
from lentilmount.routing.forward import Reply, Result
from lentilmount.routing.leaving import LeavingMark
from lentilmount.routing.loads import (
    STALE_SECONDS,
    LoadReport,
    pack_counts,
)
from lentilmount.routing.pool import PoolOptions
from lentilmount.routing.pools import Pools
from lentilmount.routing.target import Target
from tests.routing_fixtures import SERVICE, SPEC, make_configuration, make_task

ZONES = ('near', 'near', 'far')
ENTRY_HOSTS = 8
SPILL = 0.003
TYPICAL = 0.1
DAEMONS = 3
ROUNDING = 1e-9
"""Difference in seconds below which two costs are equal but for the order in
which their terms were added: far below what decisions take into account."""

Step = tuple[str, int, int]


@attrs.define
class History:
    """Reference model: everything that happened, in order."""

    now: float = 1000.0
    taken: list[int] = attrs.Factory(list)
    ended: list[int] = attrs.Factory(list)
    reports: list[tuple[float, str, dict[int, int]]] = attrs.Factory(list)
    left: list[int] = attrs.Factory(list)
    progress: list[tuple[float, str, int]] = attrs.Factory(list)

    def count_own(self, index: int) -> int:
        return self.taken.count(index) - self.ended.count(index)

    def find_reports(self) -> dict[str, dict[int, int]]:
        newest = {daemon: (at, loads) for at, daemon, loads in self.reports}
        return {
            daemon: loads
            for daemon, (at, loads) in newest.items()
            if self.now - at <= STALE_SECONDS
        }

    def count_others(self, index: int) -> int:
        return sum(x.get(index, 0) for x in self.find_reports().values())

    def is_open(self, index: int) -> bool:
        fair = -(-SPEC.slots // DAEMONS)
        room = max(fair, SPEC.slots - self.count_others(index))
        most = min(SPEC.connections // ENTRY_HOSTS - 1, room)
        return index not in self.left and self.count_own(index) < most

    def get_cost(self, index: int) -> float:
        load = self.count_own(index) + self.count_others(index) + 1
        expected = TYPICAL * max(1.0, load / SPEC.slots)
        return max(expected, self.get_stalled_seconds(index))

    def get_stalled_seconds(self, index: int) -> float:
        own, since = 0, 0.0
        for at, kind, i in self.progress:
            if i == index:
                since = at if kind == 'end' or not own else since
                own += 1 if kind == 'take' else -1
        return self.now - since if own else 0.0

    def list_right(self) -> set[int]:
        """Returns all valid choices."""
        opened = [n for n in range(len(ZONES)) if self.is_open(n)]
        near = [n for n in opened if ZONES[n] == 'near']
        far = [n for n in opened if ZONES[n] == 'far']
        if not near or not far:
            return self.drop_worst(near or far)
        right = self.drop_worst(near)
        worth = {n for n in right if self.may_cost(n, TYPICAL + SPILL)}
        for n in self.drop_worst(far) if worth else ():
            if any(self.may_cost(m, self.get_cost(n) + SPILL) for m in worth):
                right.add(n)
        return right

    def may_cost(self, index: int, more_than: float) -> bool:
        """Returns whether a cost is higher, or equal but for rounding."""
        return self.get_cost(index) > more_than - ROUNDING

    def drop_worst(self, some: list[int]) -> set[int]:
        """Removes upstreams that lose against every other one.

        Of two random upstreams the one with the significantly lower expected
        time is chosen, else the less loaded one, so only an upstream that is
        strictly worse than all others can never be chosen.
        """

        def beats(one: int, other: int) -> bool:
            if is_lower(self.get_cost(one), self.get_cost(other)):
                return True
            if is_lower(self.get_cost(other), self.get_cost(one)):
                return False
            return self.count_load(one) < self.count_load(other)

        return {
            n
            for n in some
            if len(some) == 1
            or not all(beats(other, n) for other in some if other != n)
        }

    def count_load(self, index: int) -> int:
        return self.count_own(index) + self.count_others(index)


def is_lower(one: float, other: float) -> bool:
    """Returns whether a cost is significantly lower than another one."""
    return one * 1.25 + 0.001 < other - ROUNDING


def make_pools(clock: ManualClock) -> Pools:
    directory = UpstreamDirectory()
    for index, zone in enumerate(ZONES):
        directory.update(f'{zone}/0', make_task(index, f'a{index}', zone))
    rng = random.Random(1)
    return Pools(
        directory,
        make_configuration(),
        PoolOptions('entry-0', 'near', ENTRY_HOSTS),
        PowerOfTwo(rng),
        EventLog('entry-0'),
        rng,
        clock.monotonic,
        lambda: DAEMONS,
    )


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ('take', 'take', 'take', 'end', 'report', 'leave', 'wait')
        ),
        st.integers(0, len(ZONES) - 1),
        st.integers(0, 9),
    ),
    min_size=30,
    max_size=90,
)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(STEPS)
def test_decision_is_one_of_the_right_ones(steps: list[Step]) -> None:
    clock = ManualClock()
    pools = make_pools(clock)
    pool = pools.get(SERVICE, SPEC)
    pool.response_times.median = TYPICAL
    history = History(clock.now)
    held: list[tuple[int, Target]] = []
    for kind, index, amount in steps:
        if kind == 'take':
            right = history.list_right()
            pools.refresh()
            target = pool.acquire((), clock.now)
            if target is None:
                assert not right
                continue
            chosen = int(target.upstream.task.rpartition('/')[2])
            assert chosen in right
            history.taken.append(chosen)
            history.progress.append((clock.now, 'take', chosen))
            held.append((chosen, target))
        elif kind == 'end' and held:
            chosen, target = held.pop(amount % len(held))
            refused = Reply(Result.NOT_RUN, is_timeout=True)
            pool.release(target, refused, clock.now - 1, clock.now)
            target.health.failures = 0
            history.ended.append(chosen)
            history.progress.append((clock.now, 'end', chosen))
        elif kind == 'report':
            daemon = f'entry-{amount % 3 + 1}'
            loads = {n: amount // (1 + (n == index)) for n in range(len(ZONES))}
            report = LoadReport(daemon, SERVICE, pack_counts(loads))
            pools.update_peer_loads([report])
            history.reports.append((clock.now, daemon, loads))
        elif kind == 'leave' and amount == 0:
            worker = f'{ZONES[index]}-{index}'
            pools.mark_leaving(LeavingMark(worker, 'boot-1'), 'entry-1')
            history.left.append(index)
        elif kind == 'wait':
            clock.advance(amount / 10)
            history.now = clock.now
            # Heartbeats come all the time; each makes old reports expire.
            pools.update_peer_loads([LoadReport('entry-9', SERVICE, b'')])
            history.reports.append((clock.now, 'entry-9', {}))


def test_decision_with_costs_that_differ_by_rounding() -> None:
    """Costs that differed by 2e-14 s were compared exactly by the model."""
    steps: list[Step] = [
        *[('take', 0, 0)] * 3,
        *[('end', 0, 0)] * 2,
        ('report', 0, 3),
        *[('take', 0, 0)] * 2,
        ('wait', 0, 1),
        *[('take', 0, 0)] * 21,
    ]
    test: Any = test_decision_is_one_of_the_right_ones
    test.hypothesis.inner_test(steps)
