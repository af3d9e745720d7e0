"""Tasks whose runs are taken for hanging more than once."""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

import attrs
import pytest

from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.task_control import TaskController
from lentilmount.control.worker_commands import CommandSender
from lentilmount.scheduling.hangs import HANG_SECONDS, record_hang
from lentilmount.scheduling.health import WorkerHealth
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.reconciliation import Reconciler
from lentilmount.scheduling.reports import EndKind
from lentilmount.scheduling.rows import encode_state, restore_state
from tests.hang_fixtures import (
    BUSY_USAGE,
    LIMIT,
    REVIEW_SECONDS,
    STARTED_AT,
    Scene,
    Shown,
    make_scene,
)
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    hand_over,
    make_report,
    make_running,
)

MAX_RUNS = 15
HOUR = 3600.0

Show = Callable[[float], Shown]


def show_nothing(seconds: float) -> Shown:
    """The worker reports no progress, however much there is."""
    return Shown()


def show_percents_of_an_hour(seconds: float) -> Shown:
    """Each percent takes longer than the estimate allows."""
    return Shown(int(100 * seconds / HOUR))


def show_little_cpu_usage(seconds: float) -> Shown:
    """The task uses less than it declared by far."""
    return Shown(int(100 * seconds / HOUR), BUSY_USAGE / 100)


def show_a_pause(seconds: float) -> Shown:
    """The task waits for something else for half of its time."""
    is_waiting = 0.25 * HOUR < seconds < 0.75 * HOUR
    return Shown(50, 0.0 if is_waiting else BUSY_USAGE)


def run_until_done(scene: Scene, show: Show, takes_over: bool) -> list[float]:
    """Runs a task again and again; returns the seconds that each run took."""
    lengths: list[float] = []
    for number in range(MAX_RUNS):
        stopped_at = scene.find_hang(show, HOUR)
        lengths.append(HOUR if stopped_at is None else stopped_at)
        if stopped_at is None:
            break
        record_hang(scene.task, [scene.task], STARTED_AT + stopped_at)
        worker = add_worker(scene.cluster, f'w{number}')
        scene.place_again(worker)
        if takes_over:
            cluster = hand_over(scene.cluster)
            task = find_task(cluster, 'a')
            scene = Scene(cluster, cluster.workers[worker.id], task)
            scene.place_again(add_worker(cluster, worker.id))
    return lengths


@pytest.mark.parametrize('takes_over', [False, True])
@pytest.mark.parametrize('estimate', [0.0, 1.7])
@pytest.mark.parametrize(
    'show',
    [
        show_nothing,
        show_percents_of_an_hour,
        show_little_cpu_usage,
        show_a_pause,
    ],
)
def test_a_task_of_an_hour_without_progress_is_done(
    show: Show, estimate: float, takes_over: bool
) -> None:
    """Each run of the task was stopped at the same point, without end."""
    scene = make_scene(estimated_seconds=estimate)
    lengths = run_until_done(scene, show, takes_over)
    assert lengths[-1] == HOUR
    assert sum(lengths) < 4 * HOUR


def test_rows_of_earlier_versions_have_no_tolerated_stall() -> None:
    scene = make_scene()
    body = encode_state(scene.task.job)
    assert body['tasks'] == {'0.0.0': [1, 'w']}
    record_hang(scene.task, [scene.task], STARTED_AT + LIMIT)
    entry = encode_state(scene.task.job)['tasks']['0.0.0']
    cluster = hand_over(scene.cluster)
    assert find_task(cluster, 'a').tolerated_stall == 2 * LIMIT
    restored = admit(cluster, attrs.evolve(scene.task.job.spec, id='b'))
    restore_state(
        cluster, restored, {**body, 'tasks': {'0.0.0': entry[:-1]}}, 20.0, 4.0
    )
    assert find_task(cluster, 'b').tolerated_stall == 0.0


def test_a_long_running_task_that_was_at_work_is_found_as_soon_as_ever() -> (
    None
):
    """Each hang in its life would double the time until the next is found."""
    scene = make_scene(lasting=True)
    scene.task.tolerated_stall = HOUR
    idle_at = 20.0

    def show(seconds: float) -> Shown:
        return Shown(100, BUSY_USAGE if seconds < idle_at else 0.0)

    found_at = scene.find_hang(show, HOUR)
    assert found_at == pytest.approx(
        idle_at + HANG_SECONDS, abs=2 * REVIEW_SECONDS
    )


@attrs.define
class _Commands:
    """Records the stops that are sent."""

    stopped: list[Task] = attrs.Factory(list)

    def stop(self, task: Task) -> None:
        """See `CommandSender`."""
        self.stopped.append(task)


def make_controller(scene: Scene) -> tuple[TaskController, _Commands]:
    """Returns a controller of the scene, and the commands that it sends."""
    commands = _Commands()
    controller = TaskController(
        scene.cluster,
        InterferenceModel(),
        WorkerHealth(),
        cast(CommandSender, commands),
        ControlMetrics(),
    )
    return controller, commands


def add_reachable_workers(scene: Scene, count: int) -> list[Worker]:
    """Adds workers that answer, beside that of the scene."""
    workers = [add_worker(scene.cluster, f'w{n}') for n in range(count)]
    for worker in scene.cluster.workers.values():
        worker.reachable = True
    return workers


def test_a_task_that_seems_to_hang_anywhere_quarantines_one_worker() -> None:
    """Each worker that ran the task got no other task for 4 s."""
    scene = make_scene()
    controller, commands = make_controller(scene)
    first = scene.worker
    (second, *_) = add_reachable_workers(scene, 4)
    scene.report(Shown(), STARTED_AT + LIMIT)
    controller.check(STARTED_AT + LIMIT + 0.1)
    assert commands.stopped == [scene.task]
    assert first.quarantined_until > STARTED_AT + LIMIT
    scene.place_again(second)
    scene.report(Shown(), STARTED_AT + 3 * LIMIT)
    controller.check(STARTED_AT + 3 * LIMIT)
    assert commands.stopped == [scene.task, scene.task]
    assert second.quarantined_until == 0.0


def test_a_gang_that_shows_no_progress_is_not_stopped_member_by_member() -> (
    None
):
    """Only the member that was stopped had more time in the next run."""
    scene = make_scene(gang=True, count=3)
    controller, commands = make_controller(scene)
    workers = [scene.worker, *add_reachable_workers(scene, 2)]
    members = [find_task(scene.cluster, 'a', index=n) for n in range(3)]
    scene.cluster.end_run(members[0], EndKind.STOPPED, STARTED_AT)
    found = []
    for begin in (STARTED_AT, STARTED_AT + HOUR):
        scene.cluster.assign_run_number(members)
        for number, member in enumerate(members):
            at = begin + number
            scene.cluster.place_with_run_number(member, workers[number], at)
            scene.cluster.confirm_start(member, member.run, at)
        found.append(find_first_stop(scene, controller, commands, begin))
        for member in members:
            scene.cluster.end_run(member, EndKind.BROKEN, begin + HOUR)
    assert found[0] == pytest.approx(LIMIT, abs=1.0)
    assert found[1] == pytest.approx(2 * LIMIT, abs=1.0)


def find_first_stop(
    scene: Scene,
    controller: TaskController,
    commands: _Commands,
    begin: float,
) -> float | None:
    """Returns after how many seconds a run of a gang at 0 percent is stopped.

    Args:
      scene: The scene; all tasks of its job run.
      controller: Its controller.
      commands: The commands of that.
      begin: Monotonic time at which the runs began.
    """
    commands.stopped.clear()
    tasks = list(scene.task.job.tasks.values())
    for step in range(100):
        now = begin + 0.5 * step
        for task in tasks:
            worker = scene.cluster.workers[task.worker]
            run = make_running(task, task.run, BUSY_USAGE)
            Reconciler(scene.cluster).reconcile(
                worker, make_report((run,)), now, now
            )
        controller.check(now)
        if commands.stopped:
            return now - begin
    return None
