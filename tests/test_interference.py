"""Placement and throttling of best-effort tasks beside serving tasks.

Load pattern: hosts with a few serving tasks whose load varies, and best-effort
tasks of some images beside them, one of which interferes strongly.
"""

from __future__ import annotations

import pytest
from hypothesis import given, settings, strategies

from benchmarks.emulated import Load
from benchmarks.emulation import Emulation
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import (
    _PRIORS,
    IDLE_TAIL_RATIO,
    TARGET_UTILISATION,
    InterferenceModel,
    measure_utilisation,
)
from lentilmount.scheduling.kalman import KalmanFilter
from lentilmount.scheduling.model import Task, Worker, measure_intensity
from lentilmount.scheduling.throttling import SUSPEND_AFTER_SECONDS, Throttler
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_step,
    run_task,
)

TARGET_MS = 50.0


def make_serving_worker() -> tuple[ClusterState, Worker, Task]:
    """Returns a cluster state with a worker that runs one serving task."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    step = make_step(lasting=True, image='web', target_ms=TARGET_MS)
    admit(cluster, make_job('serving', step))
    serving_task = find_task(cluster, 'serving')
    run_task(cluster, serving_task, worker, 0.0)
    return cluster, worker, serving_task


def add_best_effort_task(
    cluster: ClusterState, worker: Worker, name: str, image: str
) -> Task:
    """Runs a best-effort task that started long ago."""
    admit(cluster, make_job(name, make_step(fills=True, image=image)))
    task = find_task(cluster, name)
    run_task(cluster, task, worker, -10.0)
    task.usage = 1000 * task.spec.demand.cores
    return task


def observe_utilisation(
    interference_model: InterferenceModel,
    worker: Worker,
    serving_task: Task,
    used: float,
    now: float,
) -> None:
    """Lets the model observe the tail latency of a utilisation."""
    serving_task.usage = TARGET_MS * IDLE_TAIL_RATIO / (1 - used)
    interference_model.observe(worker, now)


def test_tail_at_its_target_is_the_target_utilisation() -> None:
    assert measure_utilisation(1.0) == pytest.approx(TARGET_UTILISATION)
    assert measure_utilisation(IDLE_TAIL_RATIO) == 0.0
    assert measure_utilisation(0.0) == 0.0


def test_interfering_image_is_excluded_and_a_harmless_one_is_not() -> None:
    cluster, worker, serving_task = make_serving_worker()
    interference_model = InterferenceModel()
    now = 0.0
    for _ in range(20):
        now += 0.5
        observe_utilisation(interference_model, worker, serving_task, 0.5, now)
    heavy = add_best_effort_task(cluster, worker, 'a', 'heavy')
    for _ in range(10):
        now += 0.5
        observe_utilisation(interference_model, worker, serving_task, 0.65, now)
    worker.remove(heavy)
    light = add_best_effort_task(cluster, worker, 'b', 'light')
    for _ in range(10):
        now += 0.5
        observe_utilisation(interference_model, worker, serving_task, 0.5, now)
    worker.remove(light)
    assert interference_model.get_interference(serving_task, 'heavy') > 0.08
    assert interference_model.get_interference(serving_task, 'light') < 0.03
    assert not interference_model.allows({'web': 0.66}, 'heavy')
    assert interference_model.allows({'web': 0.66}, 'light')


def test_only_the_interfering_neighbour_is_throttled() -> None:
    cluster, worker, serving_task = make_serving_worker()
    interference_model = InterferenceModel()
    interference_model.restore([['web', 'heavy', 0.15], ['web', 'light', 0.01]])
    heavy = add_best_effort_task(cluster, worker, 'a', 'heavy')
    light = add_best_effort_task(cluster, worker, 'b', 'light')
    for step in range(6):
        observe_utilisation(
            interference_model, worker, serving_task, 0.79, 0.5 * step
        )
    cpu_percents = Throttler(interference_model).plan(worker, 2.6)
    assert heavy in cpu_percents
    assert light not in cpu_percents
    assert 0 <= cpu_percents[heavy] < 100


def test_all_neighbours_are_suspended_after_long_over_target() -> None:
    """A tail stayed over its target for causes outside the model."""
    cluster, worker, serving_task = make_serving_worker()
    interference_model = InterferenceModel()
    interference_model.restore([['web', 'light', 0.0]])
    light = add_best_effort_task(cluster, worker, 'b', 'light')
    now = 0.0
    while now <= SUSPEND_AFTER_SECONDS:
        observe_utilisation(interference_model, worker, serving_task, 0.9, now)
        now += 0.5
    assert Throttler(interference_model).plan(worker, now) == {light: 0}


def test_throttled_task_regains_cpu_share_at_low_load() -> None:
    cluster, worker, serving_task = make_serving_worker()
    interference_model = InterferenceModel()
    interference_model.restore([['web', 'heavy', 0.1]])
    heavy = add_best_effort_task(cluster, worker, 'a', 'heavy')
    heavy.cpu_percent = heavy.previous_cpu_percent = 0
    for step in range(10):
        observe_utilisation(
            interference_model, worker, serving_task, 0.3, 0.5 * step
        )
    assert Throttler(interference_model).plan(worker, 5.0)[heavy] > 0


def test_learned_interference_reaches_the_next_owner() -> None:
    cluster = ClusterState()
    step = make_step(count=2, lasting=True, image='web', target_ms=TARGET_MS)
    admit(cluster, make_job('serving', step))
    beside = add_worker(cluster, 'beside')
    alone = add_worker(cluster, 'alone')
    serving_task = find_task(cluster, 'serving', 0, 0)
    run_task(cluster, serving_task, beside, 0.0)
    other = find_task(cluster, 'serving', 0, 1)
    run_task(cluster, other, alone, 0.0)
    add_best_effort_task(cluster, beside, 'a', 'heavy')
    interference_model = InterferenceModel()
    for number in range(20):
        observe_utilisation(interference_model, alone, other, 0.5, 0.5 * number)
        observe_utilisation(
            interference_model, beside, serving_task, 0.65, 0.5 * number
        )
    new = InterferenceModel()
    new.restore(interference_model.export())
    learned = interference_model.get_interference(serving_task, 'heavy')
    assert learned == pytest.approx(0.15, abs=0.02)
    assert new.get_interference(serving_task, 'heavy') == pytest.approx(
        learned, abs=1e-3
    )


def test_load_and_interference_are_separated() -> None:
    """A load error was attributed to interference, and the other way round."""
    kalman_filter = KalmanFilter(_PRIORS)
    for step in range(20):
        kalman_filter.advance_time(0.5 * step)
        kalman_filter.update({'load:a': 1.0}, 0.6)
        kalman_filter.update({'load:a': 1.0, 'heavy': 1.0}, 0.7)
    assert kalman_filter.get_mean('load:a') == pytest.approx(0.6, abs=0.02)
    assert kalman_filter.get_mean('heavy') == pytest.approx(0.1, abs=0.02)


@settings(max_examples=50, deadline=None, derandomize=True)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0, 1),
            strategies.dictionaries(
                strategies.sampled_from(['a', 'b', 'c']),
                strategies.floats(0, 5),
            ),
        ),
        max_size=40,
    )
)
def test_variances_stay_positive(
    measures: list[tuple[float, dict[str, float]]],
) -> None:
    kalman_filter = KalmanFilter(_PRIORS)
    for step, (measured, beside) in enumerate(measures):
        kalman_filter.advance_time(float(step))
        kalman_filter.update({'load:x': 1.0, **beside}, measured)
    assert all(
        variance > -1e-9 for _, _, variance in kalman_filter.list_terms()
    )


def test_removed_term_leaves_the_others_unchanged() -> None:
    kalman_filter = KalmanFilter(_PRIORS)
    kalman_filter.update({'load:a': 1.0, 'x': 1.0}, 0.7)
    kalman_filter.update({'load:b': 1.0, 'x': 1.0}, 0.4)
    before = kalman_filter.get_mean('load:b'), kalman_filter.get_mean('x')
    kalman_filter.remove('load:a')
    assert (
        kalman_filter.get_mean('load:b'),
        kalman_filter.get_mean('x'),
    ) == before
    kalman_filter.update({'load:b': 1.0, 'x': 2.0}, 0.5)


def test_quiet_phase_interferes_less() -> None:
    """A task in a quiet phase was throttled for its busy phases."""
    cluster, worker, _ = make_serving_worker()
    best_effort_task = add_best_effort_task(cluster, worker, 'a', 'heavy')
    assert measure_intensity(best_effort_task) == pytest.approx(1.0)
    best_effort_task.usage = 670 * best_effort_task.spec.demand.cores
    assert measure_intensity(best_effort_task) == pytest.approx(0.4)
    best_effort_task.cpu_percent = 50
    assert measure_intensity(best_effort_task) == pytest.approx(1.0)
    best_effort_task.usage = None
    assert 0.4 < measure_intensity(best_effort_task) < 1.0


class _NoThrottler(Throttler):
    """Never throttles a task."""

    def plan(self, *_: object) -> dict[Task, int]:
        return {}


class _AllowAllModel(InterferenceModel):
    """Allows every placement, and learns nothing."""

    def observe(self, *_: object) -> None:
        pass

    def allows(self, *_: object) -> bool:
        return True


def test_policy_keeps_targets_that_a_naive_one_misses() -> None:
    """Differential test: the same emulated hosts with and without policy."""
    load = Load(
        workers=12,
        serving_jobs=9,
        best_effort_per_second=1.5,
        other_per_second=1.0,
        seconds=20.0,
    )
    result = Emulation(load, 2).run()
    naive = Emulation(load, 2)
    naive.use_policy(_AllowAllModel(), _NoThrottler(_AllowAllModel()))
    naive_result = naive.run()
    assert result.harm_periods == 0
    assert result.serving > 0.95
    assert naive_result.serving < 0.7
    assert result.filling > 0.85


def test_reports_of_the_same_half_second_count_once() -> None:
    """Reports after each run end made one measurement look like many.

    A worker with many short tasks reports several times in the half second that
    a measurement covers.
    """
    cluster, worker, serving_task = make_serving_worker()
    add_best_effort_task(cluster, worker, 'batch', 'batch')
    models = InterferenceModel(), InterferenceModel()
    serving_task.usage = 0.9 * TARGET_MS
    for step in range(50):
        models[0].observe(worker, 0.5 * step)
        for part in range(5):
            models[1].observe(worker, 0.5 * step + 0.04 * part)
    once, often = (model.get_load(serving_task) for model in models)
    assert often == pytest.approx(once)
    serving_task.usage = 2 * TARGET_MS
    models[1].observe(worker, 25.0)
    models[1].observe(worker, 25.1)
    # That it is over its target shows at once all the same.
    assert models[1].get_seconds_over_target(serving_task, 25.1) > 0.0
