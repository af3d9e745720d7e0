"""Which jobs are refused at arrival, under loads named by their pattern."""

from __future__ import annotations

import math
from typing import Any

import attrs
import pytest

from lentilmount.control.estimate_data import (
    decode_estimates,
    encode_estimates,
)
from lentilmount.control.lease_data import decode_lease_data
from lentilmount.policies import AdmissionPolicy
from lentilmount.scheduling.admission import (
    MAX_COUNTED_JOBS,
    MIN_WAIT_SECONDS,
    RESUME_SHARE,
    AdmissionGate,
    QueueEstimate,
    WorkKind,
)
from lentilmount.scheduling.reports import EndKind
from lentilmount.scheduling.specs import measure_critical_paths
from lentilmount.scheduling.waiting_times import WARM_UP_SECONDS, divide
from tests.admission_fixtures import Scene, make_queue_job
from tests.scheduling_fixtures import make_job

JOB_CORE_SECONDS = 8.0
USEFUL_WAIT_SECONDS = 2.0
"""Objective of a job of the scene less the time that it takes."""


def make_gate(
    wait: float, rate: float = 8.0, daemons: int = 1, **policy: Any
) -> AdmissionGate:
    """Returns the gate of a daemon that has just read an estimate."""
    gate = AdmissionGate(AdmissionPolicy(**policy), lambda: daemons)
    show_wait(gate, wait, rate)
    return gate


def show_wait(gate: AdmissionGate, wait: float, rate: float = 8.0) -> None:
    """Passes an estimate for the queue `bulk` that is made at time 0."""
    estimate = QueueEstimate(wait, rate)
    gate.observe_own({'bulk': {WorkKind.RESERVED: estimate}}, 0.0)


def is_refused(gate: AdmissionGate, now: float = 0.0) -> bool:
    """Returns whether a job of the queue `bulk` is refused."""
    spec = make_queue_job('a', 'bulk')
    return gate.judge(spec, max(measure_critical_paths(spec)), now) is not None


def test_no_job_is_refused_while_room_is_free() -> None:
    scene = Scene()
    for _ in range(4):
        scene.add('bulk', 1)
        scene.run_ready(8.0)
        scene.publish(3)
        assert scene.get_wait('bulk') == 0
        assert scene.judge('bulk') is None


def test_work_that_arrived_just_now_does_not_wait() -> None:
    """A burst that would be placed at once was refused."""
    scene = Scene()
    scene.add('bulk', 1)
    scene.run_ready(8.0)
    scene.settle()
    scene.add('bulk', 3)
    scene.publish()
    assert scene.get_wait('bulk') == 0


def test_a_burst_of_one_queue_beside_urgent_work() -> None:
    scene = Scene()
    scene.add('bulk', 50, fills=True)
    scene.run_ready(32.0, 'bulk')
    scene.add('alerts', 1)
    scene.run_ready(8.0, 'alerts')
    scene.settle()
    refusal = scene.judge('bulk', fills=True)
    assert refusal is not None
    assert refusal.wait_seconds == pytest.approx((400 - 32) / 32, rel=0.3)
    assert refusal.delay_seconds == pytest.approx(
        refusal.wait_seconds - USEFUL_WAIT_SECONDS
    )
    assert scene.judge('alerts') is None


def test_a_queue_is_accepted_again_after_its_burst() -> None:
    scene = Scene()
    scene.add('bulk', 50)
    scene.run_ready(32.0)
    scene.settle()
    assert scene.judge('bulk') is not None
    for task in [t for t in scene.cluster.jobs.values() if not t.has_started]:
        scene.cluster.cancel(task.spec.id, scene.clock.now)
    scene.publish()
    assert scene.judge('bulk') is None


def test_all_queues_at_once_share_by_weight() -> None:
    scene = Scene(AdmissionPolicy(weights={'gold': 3.0}))
    scene.add('gold', 7)
    scene.add('plain', 7)
    scene.run_ready(16.0, 'gold')
    scene.run_ready(16.0, 'plain')
    scene.settle()
    assert scene.get_wait('gold') < scene.get_wait('plain')
    assert scene.judge('gold') is None
    assert scene.judge('plain') is not None


def test_a_small_queue_does_not_pay_for_a_large_one() -> None:
    """Each queue was given the wait of all work together."""
    scene = Scene()
    scene.add('large', 40)
    scene.run_ready(32.0)
    scene.add('small', 2)
    scene.settle()
    assert scene.judge('small') is None
    assert scene.judge('large') is not None


def test_what_a_queue_leaves_unused_goes_to_the_others() -> None:
    work = {'a': 4.0, 'b': 20.0, 'c': 60.0}
    waits = divide(work, {'c': 2.0}, rate=4.0)
    # All wait until 4 s; then b and c share by 1 to 2.
    assert waits['a'] == pytest.approx(4.0)
    assert waits['b'] == pytest.approx(16.0)
    assert waits['c'] == pytest.approx(84.0 / 4.0)


def test_jobs_of_all_sizes_are_judged_by_their_own_objectives() -> None:
    gate = make_gate(wait=3.0)
    for count in (1, 100):
        short = make_queue_job('a', 'bulk', count=count)
        long = make_queue_job('b', 'bulk', seconds=4.0, count=count)
        assert gate.judge(short, 1.0, 0.0) is not None
        assert gate.judge(long, 4.0, 0.0) is None


def test_the_wait_that_is_still_of_use_follows_the_policy() -> None:
    assert is_refused(make_gate(wait=2.1))
    assert not is_refused(make_gate(wait=1.9))
    assert not is_refused(make_gate(wait=4.9, useful_multiple=2.0))
    assert is_refused(make_gate(wait=5.1, useful_multiple=2.0))


def test_a_short_wait_is_no_reason_to_refuse() -> None:
    """Jobs without any slack were refused whenever a task waited."""
    gate = make_gate(wait=0.9 * MIN_WAIT_SECONDS)
    policy = attrs.evolve(
        make_queue_job('a', 'bulk').queue, stretch=1.0, target_seconds=0.0
    )
    spec = attrs.evolve(make_queue_job('a', 'bulk'), queue=policy)
    assert gate.judge(spec, 1.0, 0.0) is None


def test_a_burst_of_twenty_times_the_usual_at_all_daemons() -> None:
    """All daemons spent the whole room that one estimate showed."""
    scene = Scene(daemons=4)
    scene.add('bulk', 10)
    scene.run_ready(32.0)
    scene.settle()
    room = (USEFUL_WAIT_SECONDS - scene.get_wait('bulk')) * 32.0
    assert room > 0
    accepted = sum(
        scene.judge('bulk', daemon) is None
        for _ in range(20)
        for daemon in range(4)
    )
    assert 4 <= accepted <= 2 * 4 + room / JOB_CORE_SECONDS


def test_a_burst_at_one_daemon_while_room_is_free() -> None:
    """A daemon took its own callers for those of all, and refused some."""
    scene = Scene(daemons=10)
    scene.add('bulk', 1)
    scene.run_ready(8.0)
    scene.settle()
    assert [scene.judge('bulk') for _ in range(5)] == [None] * 5
    results = [scene.judge('bulk') for _ in range(20)]
    assert results[-1] is not None


def test_what_was_accepted_counts_until_an_estimate_holds_it() -> None:
    gate = make_gate(wait=0.0)
    for number in range(3):
        gate.count_accepted(make_queue_job(f'{number}', 'bulk'), 0.1)
    assert is_refused(gate, 0.2)
    estimate = QueueEstimate(0.5, 8.0)
    gate.observe_own({'bulk': {WorkKind.RESERVED: estimate}}, 0.3)
    assert not is_refused(gate, 0.4)


def test_decisions_do_not_change_with_each_estimate() -> None:
    """A queue at the limit was refused and accepted by turns."""
    gate = make_gate(wait=0.0)
    found = []
    for wait in (1.9, 2.1, 1.9, 2.1, 1.8, 1.5, 1.9):
        show_wait(gate, wait)
        found.append(is_refused(gate))
    assert found == [False, True, True, True, True, False, False]
    assert RESUME_SHARE < 1


def test_run_times_are_learned() -> None:
    """Tasks that take three times as declared made every estimate short."""

    def measure(run_seconds: float) -> float:
        scene = Scene()
        for _ in range(8):
            scene.add('bulk', 4)
            started = scene.run_ready(32.0)
            scene.clock.advance(run_seconds)
            for task in started:
                scene.cluster.end_run(task, EndKind.DONE, scene.clock.now)
                scene.waiting_times.record_end(
                    task, EndKind.DONE, scene.clock.now
                )
        scene.add('bulk', 12)
        scene.run_ready(32.0)
        scene.settle()
        return scene.get_wait('bulk')

    assert measure(3.0) > 2 * measure(1.0)


def test_runs_without_result_count_as_work() -> None:
    """Work that was stopped and done again was not in the estimate."""

    def measure(kind: EndKind) -> float:
        scene = Scene()
        scene.add('bulk', 4)
        started = scene.run_ready(32.0)
        scene.clock.advance(1.0)
        for task in started:
            scene.waiting_times.record_end(task, kind, scene.clock.now)
        scene.add('bulk', 8)
        scene.settle()
        return scene.get_wait('bulk')

    assert measure(EndKind.STOPPED) > 1.2 * measure(EndKind.DONE)


def test_later_steps_of_accepted_jobs_count() -> None:
    """Jobs that had begun took the room of those accepted beside them."""
    scene = Scene()
    step = make_queue_job('a', 'bulk').steps[0]
    for number in range(12):
        spec = make_job(
            f'{number:016x}', step, attrs.evolve(step, after=(0,), count=40)
        )
        scene.cluster.admit(spec, scene.clock.now, 0.0)
    scene.run_ready(32.0)
    scene.settle()
    queue = spec.queue.name
    assert scene.get_wait(queue) > 12 * 40 * 2 / 32


def test_work_that_is_of_no_use_any_more_does_not_count() -> None:
    """Late jobs, which yield to new ones, kept new ones out."""
    scene = Scene()
    scene.add('bulk', 50)
    scene.run_ready(32.0)
    scene.settle()
    assert scene.judge('bulk') is not None
    scene.clock.advance(3.0)
    scene.publish(2)
    assert scene.judge('bulk') is None


def test_free_room_counts_although_no_task_has_ended() -> None:
    """A new owner refused jobs as little ran yet."""
    scene = Scene()
    scene.add('bulk', 7)
    scene.run_ready(8.0)
    scene.settle()
    assert scene.judge('bulk') is None


def test_room_that_tasks_cannot_use_is_learned() -> None:
    """Gaps too small for the tasks that wait passed for free room."""
    scene = Scene()
    scene.add('bulk', 30, fills=True)
    scene.run_ready(8.0)
    scene.settle()
    first = scene.get_wait('bulk')
    scene.add('bulk', 30, fills=True)
    scene.publish(8)
    assert scene.get_wait('bulk') > 2 * first


def test_urgent_work_is_not_refused_while_its_room_is_free() -> None:
    """Urgent jobs were refused while starts waited for the store."""
    scene = Scene()
    scene.add('alerts', 7)
    scene.settle()
    for _ in range(10):
        scene.publish()
        assert scene.judge('alerts') is None


@pytest.mark.parametrize('field', ['lasting', 'occurrences'])
def test_work_without_an_estimate_is_accepted(field: str) -> None:
    gate = make_gate(wait=30.0)
    spec = make_queue_job('a', 'bulk', lasting=field == 'lasting')
    if field == 'occurrences':
        spec = attrs.evolve(spec, occurrences=3)
    assert gate.judge(spec, 1.0, 0.0) is None


def test_an_estimate_that_is_too_old_refuses_nothing() -> None:
    """Jobs were refused by an estimate of an owner that had ended."""
    gate = make_gate(wait=30.0, max_age_seconds=3.0)
    assert is_refused(gate, 2.9)
    assert not is_refused(gate, 3.1)


def test_an_estimate_of_unknown_age_refuses_nothing() -> None:
    """A restarted daemon refused jobs by a row of any age."""
    gate = AdmissionGate(AdmissionPolicy(), lambda: 1)
    estimates = {'bulk': {WorkKind.RESERVED: QueueEstimate(30.0, 8.0)}}
    gate.observe(7, estimates, 0.0)
    assert not is_refused(gate, 0.1)
    gate.observe(7, estimates, 0.5)
    assert not is_refused(gate, 0.6)
    gate.observe(8, estimates, 1.0)
    assert is_refused(gate, 1.1)
    # It was written after 0.5 s, and is not seen to change any more.
    for read_at in (1.5, 2.5, 3.4):
        gate.observe(8, estimates, read_at)
    assert not is_refused(gate, 3.6)


def test_the_owner_is_replaced_in_the_midst() -> None:
    """A new owner's daemon refused jobs by the estimates of the former one."""
    scene = Scene()
    scene.add('bulk', 50)
    scene.run_ready(32.0)
    scene.settle()
    assert scene.judge('bulk') is not None
    now = scene.clock.now
    data = {
        **encode_estimates(scene.waiting_times.update(now)),
        'unwritten': True,
    }
    # What the new owner writes first, and what is left after a release.
    inherited = decode_lease_data(data, 1).encode(2)
    assert inherited == {'unwritten': True}
    gate = scene.gates[0]
    gate.observe(1_000, decode_estimates(inherited), now)
    assert not is_refused(gate, now)


def test_a_new_owner_publishes_nothing_at_first() -> None:
    """Work that no owner had placed seemed to wait for room."""
    scene = Scene()
    scene.add('bulk', 50)
    began_at = scene.clock.now
    while scene.clock.now - began_at < WARM_UP_SECONDS:
        scene.publish()
        assert scene.judge('bulk') is None
    scene.publish(2)
    assert scene.judge('bulk') is not None


def test_workers_that_do_not_answer_are_no_room() -> None:
    """Work on a zone that was cut off counted as being done."""

    def measure(is_cut: bool) -> float:
        scene = Scene()
        scene.add('bulk', 16)
        scene.run_ready(32.0)
        for name in ('w2', 'w3'):
            scene.cluster.workers[name].reachable = not is_cut
        scene.settle()
        return scene.get_wait('bulk')

    assert measure(True) == pytest.approx(2 * measure(False), rel=0.3)


def test_no_estimate_without_any_room() -> None:
    scene = Scene()
    scene.add('bulk', 50)
    for worker in scene.cluster.workers.values():
        worker.reachable = False
    scene.settle()
    assert scene.judge('bulk') is None


def test_estimates_survive_the_lease_row() -> None:
    estimates = {
        'bulk': {
            WorkKind.RESERVED: QueueEstimate(1.25, 8.0),
            WorkKind.BEST_EFFORT: QueueEstimate(0.0, 16.5),
        }
    }
    data = encode_estimates(estimates)
    assert decode_estimates(data) == estimates
    assert encode_estimates({}) == {}
    assert decode_estimates({}) == {}


def test_estimates_of_a_later_version_are_read() -> None:
    data = {
        'waits': {'bulk': {'reserved': [1.0, 2.0, 'later'], 'later': [3.0]}},
        'later': 5,
    }
    expected = {'bulk': {WorkKind.RESERVED: QueueEstimate(1.0, 2.0)}}
    assert decode_estimates(data) == expected
    assert decode_lease_data(data, 1) == decode_lease_data({}, 1)


def test_the_number_of_counted_jobs_is_bounded() -> None:
    gate = make_gate(wait=0.0, rate=math.inf)
    for number in range(MAX_COUNTED_JOBS + 100):
        gate.count_accepted(make_queue_job(f'{number}', 'bulk'), 0.0)
    assert not is_refused(gate)
    assert len(gate._accepted) == MAX_COUNTED_JOBS  # noqa: SLF001
