"""Who may fill beside what serves, and who is slowed down.

Load pattern: hosts with a few serving tasks whose load swings, and filling
tasks of some images beside them, of which one interferes much.
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


def make_scene() -> tuple[ClusterState, Worker, Task]:
    """Returns a worker with one serving task."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    step = make_step(lasting=True, image='web', target_ms=TARGET_MS)
    admit(cluster, make_job('serving', step))
    served = find_task(cluster, 'serving')
    run_task(cluster, served, worker, 0.0)
    return cluster, worker, served


def add_fill(
    cluster: ClusterState, worker: Worker, name: str, image: str
) -> Task:
    """Adds a filling task that has run for long."""
    admit(cluster, make_job(name, make_step(fills=True, image=image)))
    task = find_task(cluster, name)
    run_task(cluster, task, worker, -10.0)
    task.usage = 1000 * task.spec.demand.cores
    return task


def tell(
    interference_model: InterferenceModel,
    worker: Worker,
    served: Task,
    used: float,
    now: float,
) -> None:
    """Reports a tail as it is at a utilisation."""
    served.usage = TARGET_MS * IDLE_TAIL_RATIO / (1 - used)
    interference_model.observe(worker, now)


def test_a_tail_at_its_target_is_the_limit() -> None:
    assert measure_utilisation(1.0) == pytest.approx(TARGET_UTILISATION)
    assert measure_utilisation(IDLE_TAIL_RATIO) == 0.0
    assert measure_utilisation(0.0) == 0.0


def test_a_heavy_image_is_kept_off_and_a_light_one_is_not() -> None:
    cluster, worker, served = make_scene()
    interference_model = InterferenceModel()
    now = 0.0
    for _ in range(20):
        now += 0.5
        tell(interference_model, worker, served, 0.5, now)
    heavy = add_fill(cluster, worker, 'a', 'heavy')
    for _ in range(10):
        now += 0.5
        tell(interference_model, worker, served, 0.65, now)
    worker.remove(heavy)
    light = add_fill(cluster, worker, 'b', 'light')
    for _ in range(10):
        now += 0.5
        tell(interference_model, worker, served, 0.5, now)
    worker.remove(light)
    assert interference_model.get_interference(served, 'heavy') > 0.08
    assert interference_model.get_interference(served, 'light') < 0.03
    assert not interference_model.allows({'web': 0.66}, 'heavy')
    assert interference_model.allows({'web': 0.66}, 'light')


def test_the_worst_neighbour_is_slowed_and_the_others_are_not() -> None:
    cluster, worker, served = make_scene()
    interference_model = InterferenceModel()
    interference_model.restore([['web', 'heavy', 0.15], ['web', 'light', 0.01]])
    heavy = add_fill(cluster, worker, 'a', 'heavy')
    light = add_fill(cluster, worker, 'b', 'light')
    for step in range(6):
        tell(interference_model, worker, served, 0.79, 0.5 * step)
    paces = Throttler(interference_model).plan(worker, 2.6)
    assert heavy in paces
    assert light not in paces
    assert 0 <= paces[heavy] < 100


def test_everything_halts_when_the_target_is_missed_for_long() -> None:
    """A tail stayed over its target for causes that the model does not see."""
    cluster, worker, served = make_scene()
    interference_model = InterferenceModel()
    interference_model.restore([['web', 'light', 0.0]])
    light = add_fill(cluster, worker, 'b', 'light')
    now = 0.0
    while now <= SUSPEND_AFTER_SECONDS:
        tell(interference_model, worker, served, 0.9, now)
        now += 0.5
    assert Throttler(interference_model).plan(worker, now) == {light: 0}


def test_a_slowed_task_gets_more_when_the_load_is_low() -> None:
    cluster, worker, served = make_scene()
    interference_model = InterferenceModel()
    interference_model.restore([['web', 'heavy', 0.1]])
    heavy = add_fill(cluster, worker, 'a', 'heavy')
    heavy.cpu_percent = heavy.previous_cpu_percent = 0
    for step in range(10):
        tell(interference_model, worker, served, 0.3, 0.5 * step)
    assert Throttler(interference_model).plan(worker, 5.0)[heavy] > 0


def test_what_was_learned_reaches_the_next_owner() -> None:
    cluster = ClusterState()
    step = make_step(count=2, lasting=True, image='web', target_ms=TARGET_MS)
    admit(cluster, make_job('serving', step))
    beside = add_worker(cluster, 'beside')
    alone = add_worker(cluster, 'alone')
    served = find_task(cluster, 'serving', 0, 0)
    run_task(cluster, served, beside, 0.0)
    other = find_task(cluster, 'serving', 0, 1)
    run_task(cluster, other, alone, 0.0)
    add_fill(cluster, beside, 'a', 'heavy')
    interference_model = InterferenceModel()
    for number in range(20):
        tell(interference_model, alone, other, 0.5, 0.5 * number)
        tell(interference_model, beside, served, 0.65, 0.5 * number)
    new = InterferenceModel()
    new.restore(interference_model.export())
    known = interference_model.get_interference(served, 'heavy')
    assert known == pytest.approx(0.15, abs=0.02)
    assert new.get_interference(served, 'heavy') == pytest.approx(
        known, abs=1e-3
    )


def test_a_load_and_an_interference_are_told_apart() -> None:
    """An error of a load was taken for interference, and the other way."""
    known = KalmanFilter(_PRIORS)
    for step in range(20):
        known.advance_time(0.5 * step)
        known.update({'load:a': 1.0}, 0.6)
        known.update({'load:a': 1.0, 'heavy': 1.0}, 0.7)
    assert known.get_mean('load:a') == pytest.approx(0.6, abs=0.02)
    assert known.get_mean('heavy') == pytest.approx(0.1, abs=0.02)


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
    known = KalmanFilter(_PRIORS)
    for step, (measured, beside) in enumerate(measures):
        known.advance_time(float(step))
        known.update({'load:x': 1.0, **beside}, measured)
    assert all(variance > -1e-9 for _, _, variance in known.list_terms())


def test_a_term_that_was_removed_leaves_the_others() -> None:
    known = KalmanFilter(_PRIORS)
    known.update({'load:a': 1.0, 'x': 1.0}, 0.7)
    known.update({'load:b': 1.0, 'x': 1.0}, 0.4)
    before = known.get_mean('load:b'), known.get_mean('x')
    known.remove('load:a')
    assert (known.get_mean('load:b'), known.get_mean('x')) == before
    known.update({'load:b': 1.0, 'x': 2.0}, 0.5)


def test_a_quiet_spell_interferes_less() -> None:
    """A quiet task was throttled for what it does in busy spells."""
    cluster, worker, _ = make_scene()
    fill = add_fill(cluster, worker, 'a', 'heavy')
    assert measure_intensity(fill) == pytest.approx(1.0)
    fill.usage = 670 * fill.spec.demand.cores
    assert measure_intensity(fill) == pytest.approx(0.4)
    fill.cpu_percent = 50
    assert measure_intensity(fill) == pytest.approx(1.0)
    fill.usage = None
    assert 0.4 < measure_intensity(fill) < 1.0


class _Careless(Throttler):
    """Slows nothing down."""

    def plan(self, *_: object) -> dict[Task, int]:
        return {}


class _Blind(InterferenceModel):
    """Lets everything run beside everything."""

    def allows(self, *_: object) -> bool:
        return True


def test_the_policy_serves_what_the_naive_one_harms() -> None:
    """Differential: the same emulated hosts without and with the policy."""
    load = Load(
        workers=12,
        serving_jobs=9,
        filling_per_second=1.5,
        plain_per_second=1.0,
        seconds=20.0,
    )
    ours = Emulation(load, 2).run()
    naive = Emulation(load, 2)
    naive.use_policy(_Blind(), _Careless(_Blind()))
    blind = naive.run()
    assert ours.harms == 0
    assert ours.serving > 0.95
    assert blind.serving < 0.7
    assert ours.filling > 0.85
