"""Runs that hang, and runs that only take longer than declared."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from lentilmount.scheduling.hangs import (
    HANG_SECONDS,
    OVERDUE_SECONDS,
    list_hanging,
)
from tests.hang_fixtures import (
    BUSY_USAGE,
    ESTIMATE,
    LIMIT,
    POLL_SECONDS,
    REVIEW_SECONDS,
    STARTED_AT,
    Scene,
    Shown,
    make_scene,
)
from tests.scheduling_fixtures import find_task, hand_over


def make_progress(duration: float) -> Callable[[float], Shown]:
    """Returns what is reported on a run that makes progress all the time."""
    return lambda seconds: Shown(int(100 * seconds / duration))


@pytest.mark.parametrize('estimate', [0.0, 0.01, ESTIMATE])
@pytest.mark.parametrize('times', [6.5, 20.0, 50.0])
@pytest.mark.parametrize('poll_seconds', [POLL_SECONDS, 1.6])
def test_a_run_that_makes_progress_takes_longer_than_declared(
    estimate: float, times: float, poll_seconds: float
) -> None:
    """A task of 6.5 times its estimate was started anew again and again."""
    duration = times * ESTIMATE
    scene = make_scene(estimated_seconds=estimate)
    show = make_progress(duration)
    assert scene.find_hang(show, duration, poll_seconds) is None


@pytest.mark.parametrize('estimate', [0.0, ESTIMATE])
def test_a_run_at_work_whose_progress_is_not_measured(estimate: float) -> None:
    """The same where a worker reports full progress from the start."""
    scene = make_scene(estimated_seconds=estimate)
    assert scene.find_hang(lambda seconds: Shown(100), 60 * ESTIMATE) is None


def test_new_checkpoints_show_that_a_run_is_working() -> None:
    """A run of hours has no new percent within the time of its estimate."""
    scene = make_scene(checkpointing=True)

    def show(seconds: float) -> Shown:
        return Shown(checkpoint=f'c{int(seconds / 2)}')

    assert scene.find_hang(show, 60 * ESTIMATE) is None


@pytest.mark.parametrize('poll_seconds', [POLL_SECONDS, 1.6])
def test_a_resumed_run_that_makes_progress_does_not_hang(
    poll_seconds: float,
) -> None:
    """The progress that the first report shows is not of this run."""
    scene = make_scene(estimated_seconds=0.0)
    scene.task.checkpoint = 'c'
    scene.place_again(scene.worker)

    def show(seconds: float) -> Shown:
        return Shown(50 + int(seconds))

    assert scene.find_hang(show, 40.0, poll_seconds) is None


def test_progress_shows_that_a_run_with_little_cpu_usage_is_working() -> None:
    """A task that declared 100 times its size was taken for idle for good."""
    scene = make_scene()

    def show(seconds: float) -> Shown:
        return Shown(int(seconds * 100 / 8), BUSY_USAGE / 100)

    assert scene.find_hang(show, 8.0) is None
    assert scene.find_hang(show, 8.0, poll_seconds=1.6) is None


def test_a_worker_that_turns_slow_does_not_make_its_runs_hang() -> None:
    """A run made 6.5 times less progress a second from half its time on."""
    scene = make_scene()
    duration = 30 * ESTIMATE

    def show(seconds: float) -> Shown:
        slow = max(0.0, seconds - duration / 2)
        work = min(seconds, duration / 2) + slow / 6.5
        return Shown(int(100 * work / duration))

    assert scene.find_hang(show, 3.75 * duration) is None


@pytest.mark.parametrize('usage', [BUSY_USAGE, 0.4 * BUSY_USAGE, None])
@pytest.mark.parametrize(
    ('progress', 'stalled_at'), [(0, 0.0), (40, 0.7), (96, 4.0), (99, 7.0)]
)
@pytest.mark.parametrize('poll_seconds', [POLL_SECONDS, 1.6])
def test_a_run_without_progress_is_found_at_its_limit(
    usage: float | None,
    progress: int,
    stalled_at: float,
    poll_seconds: float,
) -> None:
    """A run in an endless loop uses the processor like one that works."""
    scene = make_scene()

    def show(seconds: float) -> Shown:
        share = min(1.0, seconds / stalled_at) if stalled_at else 0.0
        return Shown(int(progress * share), usage)

    found_at = scene.find_hang(show, 20.0, poll_seconds)
    assert found_at == pytest.approx(LIMIT, abs=2 * REVIEW_SECONDS)


def test_a_run_without_an_estimate_and_progress_is_found_at_its_limit() -> None:
    scene = make_scene(estimated_seconds=0.0)
    found_at = scene.find_hang(lambda seconds: Shown(), 20.0)
    assert found_at == pytest.approx(OVERDUE_SECONDS, abs=2 * REVIEW_SECONDS)


def test_a_run_that_stops_working_beyond_its_limit_is_found() -> None:
    """Progress made long ago must not protect a run for good."""
    scene = make_scene()
    stalled_at = 3 * LIMIT

    def show(seconds: float) -> Shown:
        return Shown(int(min(seconds, stalled_at) / stalled_at * 80))

    found_at = scene.find_hang(show, 10 * LIMIT)
    assert found_at is not None
    assert stalled_at < found_at < 1.2 * stalled_at


@pytest.mark.parametrize('progress', [30, 100])
def test_a_run_that_stops_using_the_processor_is_found(progress: int) -> None:
    """A run that has worked until then must not be found any later."""
    scene = make_scene()
    idle_at = 4.0

    def show(seconds: float) -> Shown:
        share = min(seconds, idle_at) / idle_at
        is_busy = seconds < idle_at
        shown = progress if progress == 100 else int(progress * share)
        return Shown(shown, BUSY_USAGE if is_busy else 0.0)

    found_at = scene.find_hang(show, 20.0)
    assert found_at == pytest.approx(
        idle_at + HANG_SECONDS, abs=2 * REVIEW_SECONDS
    )


def test_late_reports_do_not_make_a_run_hang() -> None:
    """An owner that reads no reports for a while must not blame the run."""
    scene = make_scene()
    show = make_progress(3 * LIMIT)
    for seconds in (1.0, 2.0, 3.0):
        scene.report(show(seconds), STARTED_AT + seconds)
    assert list_hanging(scene.worker, STARTED_AT + 2 * LIMIT) == []
    scene.report(show(2 * LIMIT), STARTED_AT + 2 * LIMIT)
    assert list_hanging(scene.worker, STARTED_AT + 2 * LIMIT + 1.0) == []


def make_inherited_scene(**fields: object) -> Scene:
    """Returns a task that runs, as the next owner has restored it."""
    cluster = hand_over(make_scene(**fields).cluster)
    return Scene(cluster, cluster.workers['w'], find_task(cluster, 'a'))


@pytest.mark.parametrize('poll_seconds', [POLL_SECONDS, 1.6])
def test_an_inherited_run_without_progress_is_found(
    poll_seconds: float,
) -> None:
    """A run that hung as its owner was replaced was never found."""
    scene = make_inherited_scene()
    found_at = scene.find_hang(lambda seconds: Shown(40), 30.0, poll_seconds)
    assert found_at == pytest.approx(
        poll_seconds + LIMIT, abs=2 * REVIEW_SECONDS
    )


def test_an_inherited_run_that_is_not_listed_yet_does_not_hang() -> None:
    scene = make_inherited_scene()
    assert list_hanging(scene.worker, STARTED_AT + 10 * LIMIT) == []


@pytest.mark.parametrize('times', [6.5, 50.0])
@pytest.mark.parametrize('poll_seconds', [POLL_SECONDS, 1.6])
def test_an_inherited_run_that_makes_progress_does_not_hang(
    times: float, poll_seconds: float
) -> None:
    """The progress that the first report shows was made under another owner."""
    scene = make_inherited_scene()
    duration = times * ESTIMATE

    def show(seconds: float) -> Shown:
        return Shown(50 + int(50 * seconds / duration))

    assert scene.find_hang(show, duration, poll_seconds) is None
