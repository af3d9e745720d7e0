"""Tasks that crash their workers while owners are replaced, in virtual time."""

from __future__ import annotations

import asyncio

import pytest

from lentilmount.clock import ManualClock
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.crashes import PROOF_SECONDS, TRIAL_CRASHES
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import JobState, Task, Worker
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.takeover import UnrecordedStarts
from stand_ins.limits import MAX_CRASHES, MAX_LATER_STARTS
from stand_ins.model_site import ModelSite
from stand_ins.model_worker import ALWAYS_CRASHING_PAYLOADS
from stand_ins.virtual_time import run_virtual
from tests.restart_fixtures import RestartScene, play
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    hand_over,
    make_job,
    make_step,
    run_pass,
    run_task,
)
from tests.test_crashing_tasks import start_task
from tests.test_session_state_machine import make_spec

WORKERS = 3
DOWN_SECONDS = 0.5
"""Time without an owner at each takeover."""

MAX_SECONDS = 110.0
"""Time within which a job has to end; a finished job is known for 120 s."""

TAKEOVER_DELAYS = (0.02, 1.0, 4.0, 5.5, 6.5)
"""Times from a crash until the owner is replaced: before the crash can be
known, before and after the registration is gone, before and after the leases
have ended."""


@pytest.mark.parametrize('delay', TAKEOVER_DELAYS)
@pytest.mark.parametrize('keeps_ids', [True, False])
@pytest.mark.parametrize('payload', ALWAYS_CRASHING_PAYLOADS)
def test_crashes_count_although_each_is_followed_by_a_takeover(
    payload: str, keeps_ids: bool, delay: float
) -> None:
    """Each new owner began to count anew the workers that a task crashed."""
    clock = ManualClock()
    site = ModelSite(clock, keeps_ids=keeps_ids)

    async def scenario() -> None:
        for _ in range(WORKERS):
            site.add_worker()
        site.start_owner()
        await asyncio.sleep(1.5)
        spec = make_spec(0, payload, False)
        site.submit(spec)
        begin = clock.now
        starts = 0
        while clock.now < begin + MAX_SECONDS:
            await asyncio.sleep(0.01)
            job = site.cluster.jobs[spec.id] if site.cluster else None
            if job is not None and job.state is JobState.FAILED:
                break
            if len(site.record) > starts:
                starts = len(site.record)
                await asyncio.sleep(delay)
                await site.kill_owner()
                await asyncio.sleep(DOWN_SECONDS)
                site.start_owner()
        else:
            raise AssertionError('the job has not ended')
        await site.kill_owner()

    run_virtual(scenario(), clock)
    assert len(site.record) <= MAX_CRASHES + MAX_LATER_STARTS


def start_watched(
    cluster: ClusterState, worker: Worker, job_id: str = 'job'
) -> Task:
    """Starts a watched task on a worker, which answers."""
    admit(cluster, make_job(job_id))
    task = find_task(cluster, job_id)
    task.is_watched = True
    start_task(cluster, task, worker, 100.0)
    return task


@pytest.mark.parametrize(
    'started_ms, crashed_runs', [(1, set()), (2, {1}), (None, set())]
)
def test_a_new_owner_tells_a_crash_from_the_first_report(
    started_ms: int | None, crashed_runs: set[int]
) -> None:
    """A worker that had restarted before the takeover was taken for sound."""
    cluster = ClusterState()
    start_watched(cluster, add_worker(cluster, 'w'))
    successor = hand_over(cluster)
    worker = successor.workers['w']
    successor.suspects.add_inherited(worker, started_ms, 105.0)
    successor.suspects.confirm_crash(worker)
    assert find_task(successor, 'job').crashed_runs == crashed_runs


def test_a_new_owner_can_ask_at_the_address_of_a_lost_worker() -> None:
    """A worker that was no longer registered could not be proved to be gone."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    task = start_watched(cluster, worker)
    cluster.end_worker_tasks(worker, 106.0)
    run_task(cluster, task, add_worker(cluster, 'other'), 106.0)
    successor = hand_over(cluster)
    inherited = find_task(successor, 'job')
    lost = successor.workers['w']
    assert lost.entry.address == worker.entry.address
    assert lost.suspects == {inherited: 1}
    successor.suspects.confirm_crash(lost)
    assert inherited.crashed_runs == {1}


def test_the_count_of_a_task_cleared_elsewhere_is_not_inherited() -> None:
    """The first report of a lost worker ended an owner."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    task = start_watched(cluster, worker)
    cluster.end_worker_tasks(worker, 106.0)
    successor = hand_over(cluster)
    inherited = find_task(successor, 'job')
    run_task(successor, inherited, add_worker(successor, 'other'), 107.0)
    successor.suspects.clear_task(inherited)
    lost = successor.workers['w']
    successor.suspects.add_inherited(lost, 2, 108.0)
    successor.suspects.confirm_crash(lost)
    assert not inherited.crashed_runs
    assert not lost.suspects
    assert task.is_watched


def test_a_task_lost_with_three_workers_waits_for_proof() -> None:
    """A task was started ever again while its crashes were not proved yet."""
    cluster = ClusterState()
    admit(cluster, make_job('job'))
    task = find_task(cluster, 'job')
    for number in range(MAX_CRASHES):
        worker = add_worker(cluster, f'lost-{number}')
        start_task(cluster, task, worker, 100.0)
        cluster.end_worker_tasks(worker, 106.0)
        worker.reachable = False
    sound = add_worker(cluster, 'sound')
    placer = Placer(cluster, InterferenceModel())
    assert run_pass(placer, 106.1) == []
    late = 106.0 + PROOF_SECONDS
    assert run_pass(placer, late + 0.1) == [(task, sound)]


@pytest.mark.parametrize('is_other_watched', [True, False])
def test_only_one_start_is_unanswered_where_one_is_watched(
    is_other_watched: bool,
) -> None:
    """Tasks were blamed for a crash before their starts were carried out."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('job', make_step(count=2)))
    first, second = (find_task(cluster, 'job', index=n) for n in range(2))
    (second if is_other_watched else first).is_watched = True
    cluster.place([first], worker, 100.0)
    placer = Placer(cluster, InterferenceModel())
    assert run_pass(placer, 100.1) == []
    cluster.confirm_start(first, 1, 100.2)
    assert run_pass(placer, 100.2) == [(second, worker)]


@pytest.mark.parametrize('crashes', [0, TRIAL_CRASHES])
def test_a_watched_gang_is_started_on_one_worker(crashes: int) -> None:
    """A gang with fewer workers than members was never started again."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    admit(cluster, make_job('job', make_step(count=3, gang=True)))
    members = [find_task(cluster, 'job', index=n) for n in range(3)]
    for member in members:
        member.is_watched = True
        member.crashed_runs = set(range(crashes))
    placed = run_pass(Placer(cluster, InterferenceModel()), 100.0)
    assert placed == [(member, worker) for member in members]


def test_a_lost_worker_of_a_waiting_task_delays_no_inherited_jobs() -> None:
    """Inherited tasks waited for an answer of a worker that was gone."""
    cluster = ClusterState()
    worker = add_worker(cluster, 'w')
    start_watched(cluster, worker)
    cluster.end_worker_tasks(worker, 106.0)
    successor = hand_over(cluster)
    starts = UnrecordedStarts(successor, False, 200.0, frozenset({'job'}), True)
    assert not starts.may_exist(107.0)


def test_an_answer_of_another_instance_is_no_answer_to_a_probe() -> None:
    """A start followed the probe of a worker whose successor had answered."""

    async def scenario(scene: RestartScene) -> None:
        scene.task.is_watched = True
        scene.client.silent_polls = True
        scene.client.is_replaced = True
        scene.commands.start(scene.task)
        await asyncio.sleep(0.1)
        assert not scene.task.start_follows_answer

    play(scenario)
