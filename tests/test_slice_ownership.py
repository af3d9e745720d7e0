"""Tests of slice ownership: even spread, few moves, no slice left free."""

from lentilmount.batch.ownership import OwnershipOptions, OwnershipPolicy
from lentilmount.clock import ManualClock
from lentilmount.coordination.membership import Member, Membership
from lentilmount.slices import assign_evenly

SLICES = tuple(f'z/{number}' for number in range(8))


def make_members(*names: str) -> list[Member]:
    return [Member(name, 'z', name, 1) for name in names]


def make_preference(
    clock: ManualClock, me: str, *others: str
) -> tuple[OwnershipPolicy, Membership]:
    membership = Membership(make_members(me)[0], 1e9, clock.monotonic)
    membership.observe(make_members(*others))
    options = OwnershipOptions(SLICES, 4.0, 3.0)
    return OwnershipPolicy(membership, options, clock.monotonic), membership


def test_slices_are_spread_evenly_and_few_move() -> None:
    names = [f'e-{number}' for number in range(7)]
    keys = [f'z/{number}' for number in range(70)]
    before = assign_evenly(keys, names)
    counts = [list(before.values()).count(name) for name in names]
    assert counts == [10] * 7
    after = assign_evenly(keys, names[:-1])
    moved = [key for key in keys if before[key] != after[key]]
    assert len(moved) <= 2 * 10


def test_daemons_with_different_views_leave_no_slice_free() -> None:
    """Daemons with different views waited for each other forever."""
    clock = ManualClock()
    views = [
        make_preference(clock, me, other, 'gone')[0]
        for me, other in (('a', 'b'), ('b', 'a'))
    ]
    slice_name = next(
        s for s in SLICES if views[0].list_candidates(s)[0] == 'gone'
    )
    tries: list[list[bool]] = []
    for _ in range(3):
        tries.append([view.should_acquire(slice_name) for view in views])
        clock.advance(3.0)
    assert [sum(some) for some in tries] == [0, 1, 2]


def test_a_slice_is_handed_over_only_to_a_stable_eligible_daemon() -> None:
    clock = ManualClock()
    view, membership = make_preference(clock, 'a')
    (newcomer,) = make_members('b')
    membership.observe([newcomer])
    name = next(s for s in SLICES if not view.is_preferred(s))
    assert not view.should_hand_over(name)
    clock.advance(3.0)
    ineligible = Member('b', 'z', 'b', 1, beat=1, eligible=False)
    membership.observe([ineligible])
    assert not view.should_hand_over(name)
    membership.observe([Member('b', 'z', 'b', 1, beat=2)])
    clock.advance(3.0)
    assert not view.should_hand_over(name)
    clock.advance(4.0)
    assert view.should_hand_over(name)
