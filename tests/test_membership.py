"""Tests that outdated updates are ignored and failed members go down."""

import contextlib

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from lentilmount.clock import ManualClock
from lentilmount.coordination.membership import Member, Membership
from lentilmount.coordination.mesh import choose_peers
from lentilmount.coordination.table import UnavailableError
from lentilmount.daemon.registry import Registry
from stand_ins.faulty import FaultyTable
from stand_ins.table import MemoryTable
from tests.helpers import run

TIMEOUT = 2.0
NAMES = ('a', 'b', 'c')
NODES = st.sampled_from(NAMES)


def make_member(name: str, incarnation: int, **changes: object) -> Member:
    values = {'zone': 'z', 'address': f'{name}:{incarnation}', **changes}
    return Member(name, incarnation=incarnation, **values)  # type: ignore[arg-type]


class MembershipMachine(RuleBasedStateMachine):
    """Daemons that exchange memberships over an unreliable network.

    Messages are delayed, lost, duplicated and reordered; daemons pause, stop,
    and restart under their name with a new incarnation and address.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.incarnation = 0
        self.nodes: dict[str, Membership] = {}
        self.replaced: list[Membership] = []
        self.messages: list[tuple[str, list[Member]]] = []
        self.seen: dict[tuple[str, str], tuple[int, int]] = {}
        for name in NAMES:
            self.start(name)

    def start(self, name: str) -> None:
        self.incarnation += 1
        me = make_member(name, self.incarnation)
        self.nodes[name] = Membership(me, TIMEOUT, self.clock.monotonic, 1e9)
        for key in [key for key in self.seen if key[0] == name]:
            del self.seen[key]

    def make_message(self, name: str) -> list[Member]:
        node = self.nodes[name]
        up = [m for m in node.list_known() if node.is_up(m.name)]
        return [node.advance_beat(), *up]

    @rule(name=NODES, other=NODES)
    def send(self, name: str, other: str) -> None:
        if name in self.nodes:
            self.messages.append((other, self.make_message(name)))

    @rule(name=NODES, other=NODES)
    def send_and_deliver(self, name: str, other: str) -> None:
        if {name, other} <= self.nodes.keys():
            self.nodes[other].observe(self.make_message(name))

    @rule(pick=st.integers(0, 999), again=st.booleans())
    def deliver(self, pick: int, again: bool) -> None:
        if self.messages:
            index = pick % len(self.messages)
            other, members = self.messages[index]
            if not again:
                del self.messages[index]
            if other in self.nodes:
                self.nodes[other].observe(members)

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.9, 5.0]))
    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule(name=NODES)
    def end(self, name: str) -> None:
        self.nodes.pop(name, None)

    @rule(name=NODES)
    def replace(self, name: str) -> None:
        if name in self.nodes:
            self.replaced.append(self.nodes[name])
            self.start(name)

    @rule(pick=st.integers(0, 99), other=NODES)
    def resume_replaced(self, pick: int, other: str) -> None:
        if self.replaced and other in self.nodes:
            old = self.replaced[pick % len(self.replaced)]
            self.nodes[other].observe([old.advance_beat(), *old.list_known()])

    @rule(name=NODES)
    def restart(self, name: str) -> None:
        self.start(name)

    @invariant()
    def ages_never_decrease(self) -> None:
        for name, node in self.nodes.items():
            for member in node.list_known():
                before = self.seen.get((name, member.name), (0, 0))
                assert member.age >= before
                self.seen[name, member.name] = member.age

    def exchange(self) -> None:
        for name in self.nodes:
            for other in self.nodes.values():
                if other.local_member.name != name:
                    other.observe(self.make_message(name))

    def teardown(self) -> None:
        for other, members in self.messages:
            if other in self.nodes:
                self.nodes[other].observe(members)
        for _ in range(6):
            self.exchange()
            self.clock.advance(0.5)
        for node in self.nodes.values():
            up = {member.name for member in node.list_active()}
            assert up == set(self.nodes)
            for member in node.list_active():
                assert (
                    member.age[0]
                    == self.nodes[member.name].local_member.incarnation
                )


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)


def test_repeated_beats_do_not_keep_a_failed_member_up() -> None:
    clock = ManualClock()
    one, two = (
        Membership(make_member(n, 1), TIMEOUT, clock.monotonic) for n in 'ab'
    )
    one.observe([make_member('dead', 1, beat=7)])
    for _ in range(8):
        two.observe([one.advance_beat(), *one.list_known()])
        one.observe([two.advance_beat(), *two.list_known()])
        clock.advance(0.5)
    assert not one.is_up('dead')
    assert not two.is_up('dead')


def test_a_replacement_at_the_same_address_ends_the_old_name() -> None:
    clock = ManualClock()
    node = Membership(make_member('a', 1), TIMEOUT, clock.monotonic)
    node.observe([make_member('old', 1, address='x:1')])
    clock.advance(3.0)
    node.observe([make_member('new', 2, address='x:1')])
    assert [member.name for member in node.list_known()] == ['new']


def test_a_paused_daemon_does_not_consider_others_down() -> None:
    """A paused daemon considered all others down and took every slice."""
    clock = ManualClock()
    node = Membership(make_member('a', 1), TIMEOUT, clock.monotonic)
    node.observe([make_member('b', 1)])
    clock.advance(10.0)
    assert not node.is_up('b')
    node.compensate_pause(9.9)
    assert node.is_up('b')
    clock.advance(2.0)
    assert not node.is_up('b')


def test_few_streams_between_zones_connect_all_members() -> None:
    clock = ManualClock()
    members = [
        make_member(f'{zone}{number}', 1, zone=zone)
        for zone in 'pqrstu'
        for number in range(7)
    ]
    peers: dict[str, set[str]] = {}
    for me in members:
        node = Membership(me, TIMEOUT, clock.monotonic)
        node.observe(members)
        peers[me.name] = {m.name for m in choose_peers(node, 2)}
    assert all(n in peers[m] for n in peers for m in peers[n])
    ends = [len(some) for some in peers.values()]
    assert sum(ends) == 42 * 6 + 2 * 2 * 15
    reached, hops = {members[0].name}, 0
    while len(reached) < 42:
        reached |= {n for m in reached for n in peers[m]}
        hops += 1
    assert hops <= 3


def test_the_last_started_daemon_keeps_a_shared_name() -> None:
    """A daemon that resumed after a pause served beside its replacement."""

    async def check() -> None:
        table, clock = MemoryTable(), ManualClock()
        old = Membership(make_member('a', 9), TIMEOUT, clock.monotonic)
        new = Membership(make_member('a', 5), TIMEOUT, clock.monotonic)
        first, second = (
            Registry(table, node, 1.0, clock.monotonic) for node in (old, new)
        )
        await first.poll()
        await second.poll()
        assert new.local_member.incarnation == 10
        await first.poll()
        await second.poll()
        assert first.replaced
        assert not second.replaced

    run(check())


def test_a_late_write_of_its_own_row_is_no_name_conflict() -> None:
    async def check() -> None:
        table, clock = FaultyTable(), ManualClock()
        node = Membership(make_member('a', 1), TIMEOUT, clock.monotonic)
        registry = Registry(table, node, 1.0, clock.monotonic)
        await registry.poll()
        table.hold_writes = 4
        for _ in range(4):
            with contextlib.suppress(UnavailableError):
                await registry.poll()
        await table.release()
        await registry.poll()
        await registry.poll()
        assert not registry.replaced

    run(check())


def test_rows_of_dead_daemons_are_deleted() -> None:
    async def check() -> None:
        table, clock = MemoryTable(), ManualClock()
        registries = [
            Registry(
                table,
                Membership(make_member(n, 1), TIMEOUT, clock.monotonic),
                1.0,
                clock.monotonic,
            )
            for n in 'ab'
        ]
        await registries[1].poll()
        for _ in range(20):
            await registries[0].poll()
        rows = await table.scan('member')
        assert [row.key.sort for row in rows] == ['a']

    run(check())
