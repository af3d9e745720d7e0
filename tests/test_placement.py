"""Tests of placement, against an exhaustive search over all workers."""

from __future__ import annotations

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from lentilmount.batch.placement import (
    SCORE_BOUND,
    WorkerIndex,
    explain_refusal,
    measure_room,
)
from lentilmount.batch.records import Task, WorkerRecord
from lentilmount.resources import Demand, Room

ROOMS = st.builds(
    Room,
    st.sampled_from([0.5, 2.0, 7.0, 16.0, 32.0]),
    st.integers(64, 130_000),
    st.integers(0, 4),
)
DEMANDS = st.builds(
    Demand,
    st.sampled_from([0.25, 1.0, 2.0, 8.0]),
    st.integers(1, 100_000),
    st.integers(0, 2),
)


def make_record(number: int, room: Room, is_open: bool = True) -> WorkerRecord:
    return WorkerRecord(
        f'w-{number:03d}',
        '',
        'a',
        f'r-{number // 4}',
        boot='b',
        capacity=room,
        cordoned=not is_open,
    )


def choose_exhaustively(
    task: Task, records: list[WorkerRecord]
) -> WorkerRecord | None:
    """Returns the fitting worker with the fewest free resources."""
    fitting = [
        record
        for record in records
        if record.is_open
        and task.demand.fits(record.free)
        and record.name not in task.failed_on
    ]
    return min(fitting, key=lambda r: measure_room(r.free), default=None)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.lists(st.tuples(ROOMS, st.booleans()), max_size=40), st.data())
def test_index_finds_workers_within_the_score_bound(
    rooms: list[tuple[Room, bool]], data: st.DataObject
) -> None:
    """Guards against an index that misses a fitting worker or the best ones."""
    index = WorkerIndex()
    records = [make_record(n, room, up) for n, (room, up) in enumerate(rooms)]
    index.synchronize({r.name: r for r in records}, [r.name for r in records])
    for number in range(data.draw(st.integers(1, 12))):
        task = Task(f'Job/t/{number}/0', data.draw(DEMANDS), attempt=1)
        skipped = data.draw(st.integers(-1, len(records) - 1))
        if skipped >= 0:
            task = attrs.evolve(task, failed_on=(records[skipped].name,))
        naive = choose_exhaustively(task, records)
        chosen = index.choose(task)
        priced = index.choose(task, lambda record: 0.0)
        assert (naive is None) == (chosen is None) == (priced is None)
        if naive is None or chosen is None or priced is None:
            continue
        assert task.demand.fits(chosen.free) and chosen.is_open
        bound = SCORE_BOUND * measure_room(naive.free) + 0.01
        assert measure_room(chosen.free) <= bound
        assert measure_room(priced.free) <= bound
        records[records.index(chosen)] = chosen.commit(task)
        index.update(chosen.commit(task))


def test_jobs_without_accelerators_avoid_accelerator_workers() -> None:
    index = WorkerIndex()
    index.update(make_record(0, Room(8.0, 8000, 4)))
    index.update(make_record(1, Room(32.0, 64_000, 0)))
    plain = index.choose(Task('Job/t/a/0', Demand(1, 1000)))
    accelerated = index.choose(Task('Job/t/b/0', Demand(1, 1000, 1)))
    assert plain and plain.name == 'w-001'
    assert accelerated and accelerated.name == 'w-000'


def test_replicas_spread_over_workers_and_racks() -> None:
    index = WorkerIndex()
    records = [make_record(n, Room(32.0, 64_000, 0)) for n in range(12)]
    for record in records:
        index.update(record)
    racks = []
    for number in range(6):
        task = Task(f'Service/t/desk/{number}', Demand(2, 1000), attempt=1)
        chosen = index.choose(task)
        assert chosen is not None
        assert not chosen.commitments
        racks.append(chosen.rack)
        index.update(chosen.commit(task))
    assert [racks.count(f'r-{n}') for n in range(3)] == [2, 2, 2]


def test_a_refusal_names_the_nearest_shape() -> None:
    shapes = [Room(32.0, 125_000, 0), Room(8.0, 16_000, 4)]
    assert explain_refusal(Demand(32, 100_000), shapes) is None
    assert explain_refusal(Demand(99, 1), []) is None
    reason = explain_refusal(Demand(40, 100_000), shapes)
    assert reason is not None
    assert 'fit is 32, 100000 and 0' in reason
