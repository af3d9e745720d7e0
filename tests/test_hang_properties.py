"""Properties of the detection of hanging runs, for run times of any length."""

from __future__ import annotations

import math

import attrs
from hypothesis import given, settings, strategies

from lentilmount.scheduling.hangs import (
    HANG_SECONDS,
    MAX_MISSED_INTERVALS,
    OVERDUE_FACTOR,
    OVERDUE_SECONDS,
    record_hang,
)
from tests.hang_fixtures import (
    BUSY_USAGE,
    REVIEW_SECONDS,
    STARTED_AT,
    Shown,
    make_scene,
)
from tests.scheduling_fixtures import add_worker

MAX_SECONDS = 1200.0
MAX_RUNS = 12
"""Number of runs in which the tolerated stall exceeds the longest run time."""


@attrs.frozen
class Case:
    """A task and what its worker reports.

    Attributes:
      estimate: Declared run time in seconds.
      seconds: Run time in seconds.
      poll_seconds: Time between two reports.
      used_share: CPU usage relative to what the task declares.
      is_measured: Whether the worker measures progress.
      stalls_at: Share of the run time after which it makes no progress for half
        of the run time.
    """

    estimate: float
    seconds: float
    poll_seconds: float
    used_share: float
    is_measured: bool
    stalls_at: float

    @property
    def limit(self) -> float:
        """Run time in seconds from which a run without progress hangs."""
        return OVERDUE_FACTOR * self.estimate + OVERDUE_SECONDS

    def show(self, seconds: float) -> Shown:
        """Returns what is reported while the work goes on."""
        stall = min(max(seconds / self.seconds - self.stalls_at, 0.0), 0.5)
        share = (seconds / self.seconds - stall) / 0.5
        progress = int(min(99.0, 100 * share)) if self.is_measured else 0
        return Shown(progress, self.used_share * BUSY_USAGE)

    def show_steady(self, seconds: float) -> Shown:
        """Returns what is reported on a run that never stalls."""
        return Shown(int(100 * seconds / self.seconds))


def _draw_log(low: float, high: float) -> strategies.SearchStrategy[float]:
    exponents = strategies.floats(math.log(low), math.log(high))
    return exponents.map(math.exp)


CASES = strategies.builds(
    Case,
    estimate=strategies.one_of(strategies.just(0.0), _draw_log(0.01, 100.0)),
    seconds=_draw_log(0.5, MAX_SECONDS),
    poll_seconds=strategies.sampled_from([0.5, 1.0, 1.6]),
    used_share=strategies.sampled_from([0.001, 0.01, 0.5, 1.0]),
    is_measured=strategies.booleans(),
    stalls_at=strategies.floats(0.0, 0.5),
)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(case=CASES)
def test_a_task_is_done_after_a_few_runs(case: Case) -> None:
    """Work of any run time was stopped again and again at the same point."""
    scene = make_scene(estimated_seconds=case.estimate)
    for number in range(MAX_RUNS):
        found_at = scene.find_hang(case.show, case.seconds, case.poll_seconds)
        if found_at is None:
            return
        record_hang(scene.task, [scene.task], STARTED_AT + found_at)
        scene.place_again(add_worker(scene.cluster, f'w{number}'))
    raise AssertionError(f'is not done after {MAX_RUNS} runs')


@settings(max_examples=60, derandomize=True, deadline=None)
@given(case=CASES)
def test_a_run_that_reports_progress_is_not_stopped(case: Case) -> None:
    """Only runs of at most 100 times the limit report progress before it."""
    seconds = min(case.seconds, 50 * case.limit)
    steady = attrs.evolve(case, seconds=seconds)
    scene = make_scene(estimated_seconds=case.estimate)
    show = steady.show_steady
    assert scene.find_hang(show, seconds, case.poll_seconds) is None


@settings(max_examples=60, derandomize=True, deadline=None)
@given(case=CASES, hangs_at=strategies.floats(0.0, 0.99))
def test_a_run_that_hangs_is_found(case: Case, hangs_at: float) -> None:
    """Progress made long ago must not protect a run for good."""
    seconds = min(case.seconds, 50 * case.limit)
    steady = attrs.evolve(case, seconds=seconds)
    hung_at = hangs_at * seconds
    scene = make_scene(estimated_seconds=case.estimate)

    def show(at: float) -> Shown:
        return steady.show_steady(min(at, hung_at))

    until = 2 * (case.limit + seconds) + 60.0
    found_at = scene.find_hang(show, until, case.poll_seconds)
    percents = int(100 * hangs_at)
    last_at = hung_at + case.poll_seconds if percents else 0.0
    interval = last_at / max(percents, 1)
    max_stall = max(HANG_SECONDS, MAX_MISSED_INTERVALS * interval)
    latest = max(case.limit, last_at + max_stall)
    assert found_at is not None
    assert found_at <= latest + case.poll_seconds + 2 * REVIEW_SECONDS
