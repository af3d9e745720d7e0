"""Ages of rows where the time of day of hosts differs by any amount."""

from __future__ import annotations

import attrs
from hypothesis import given, strategies

from lentilmount.clock import ManualClock
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.ranking import Timeliness, predict_timeliness
from lentilmount.version_times import (
    MAX_EXPORTED,
    AgeBounds,
    VersionTimes,
)
from tests.scheduling_fixtures import find_task, make_job

START = 5000.0
"""The service's steady clock in seconds when a test begins."""


def make_times(clock: ManualClock) -> VersionTimes:
    """Returns the times of a process that has seen nothing yet."""
    return VersionTimes(clock.monotonic)


@given(
    strategies.lists(
        strategies.tuples(strategies.floats(0.0, 3.0), strategies.booleans()),
        min_size=1,
        max_size=60,
    ),
    strategies.data(),
)
def test_the_age_of_a_row_is_within_its_bounds(
    events: list[tuple[float, bool]], data: strategies.DataObject
) -> None:
    """A wrong bound would make a new job late, or a late one new."""
    clock = ManualClock()
    start = clock.now
    times = make_times(clock)
    written = [clock.now]
    for pause, is_write in events:
        clock.advance(pause)
        if is_write:
            written.append(clock.now)
        else:
            times.record(len(written), START + clock.now - start)
    version = data.draw(strategies.integers(1, len(written)))
    bounds = times.bound_age(version)
    age = clock.now - written[version - 1]
    assert bounds.least - 1e-6 <= age <= bounds.most + 1e-6


def test_bounds_are_as_close_as_the_answers() -> None:
    """Loose bounds would let another host's clock decide."""
    clock = ManualClock()
    times = make_times(clock)
    for version in range(1, 11):
        times.record(version, START + version)
        clock.advance(1.0)
    assert times.bound_age(4) == AgeBounds(7.0, 8.0)
    # The newest answer did not know it yet.
    assert times.bound_age(11) == AgeBounds(0.0, 1.0)


def test_a_new_process_uses_the_samples_of_another() -> None:
    """A restarted owner took the clocks of other hosts for the age of jobs."""
    clock = ManualClock()
    before = make_times(clock)
    for version in range(1, 200):
        before.record(version, START + version)
        clock.advance(1.0)
    exported = before.export()
    assert len(exported) <= MAX_EXPORTED
    assert exported == sorted(exported)
    restarted = make_times(ManualClock(clock.now - 900.0))
    restarted.record(200, START + 200)
    assert restarted.bound_age(150).least == 0.0
    restarted.restore(exported)
    bounds = restarted.bound_age(150)
    assert bounds.least <= 50.0 <= bounds.most <= 56.0


def test_samples_that_contradict_own_ones_are_left_out() -> None:
    """Unordered samples would give bounds at random."""
    clock = ManualClock()
    times = make_times(clock)
    times.record(10, START)
    times.restore([(20, START - 1.0), (5, START - 2.0), (6, START + 9.0)])
    assert times.bound_age(5).least == 2.0
    assert times.bound_age(10) == AgeBounds(0.0, 2.0)


def test_an_overtaken_answer_changes_nothing() -> None:
    """An older answer that arrives later would make rows look younger."""
    clock = ManualClock()
    times = make_times(clock)
    times.record(10, START + 10.0)
    times.record(9, START + 9.0)
    assert times.bound_age(11) == AgeBounds(0.0, 0.0)


def test_a_jump_of_the_clock_makes_no_job_late() -> None:
    """Jobs of hosts whose clock was behind by 2,400 s went last.

    The owner took the time of day that the accepting host had put into a job's
    row for the time of its acceptance.
    """
    for jump in (-2400.0, 0.0, 2400.0):
        cluster = ClusterState()
        clock = ManualClock()
        times = make_times(clock)
        times.record(7, START)
        clock.advance(0.5)
        times.record(8, START + 0.5)
        wall_time = 1.7e9 + jump
        spec = attrs.evolve(make_job('a'), accepted=1.7e9)
        job = cluster.admit(spec, clock.now, wall_time, times.bound_age(8))
        assert clock.now - 0.5 <= job.accepted_at <= clock.now
        task = find_task(cluster, 'a')
        assert predict_timeliness(task, clock.now) is Timeliness.IN_TIME


def test_versions_only_bound_what_was_seen() -> None:
    """A process without answers knows nothing, and says so."""
    times = make_times(ManualClock())
    assert times.bound_age(3) == AgeBounds()
