"""More starts to send than an owner's link or processor carries."""

from __future__ import annotations

import attrs
import pytest

from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Task, TaskPhase
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.reports import EndKind
from lentilmount.scheduling.specs import JobSpec
from lentilmount.scheduling.start_window import (
    ADJUST_SECONDS,
    MIN_LIMIT_BYTES,
    START_OVERHEAD_BYTES,
    TARGET_ANSWER_SECONDS,
    UNANSWERED_SECONDS,
    StartWindow,
    make_start_window,
)
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    make_job,
    make_policy,
    make_step,
    run_pass,
)

LINK_BYTES_PER_SECOND = 250_000.0
PAYLOAD = 'x' * 1_200
START_BYTES = START_OVERHEAD_BYTES + len(PAYLOAD)
STARTS_PER_SECOND = LINK_BYTES_PER_SECOND / START_BYTES
WORKERS = 72
TASKS = 40
TASK_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 0.8
PASS_SECONDS = 0.05
WRITE_SECONDS = 0.05
FAST_ANSWER_SECONDS = 0.02
SLOW_ANSWER_SECONDS = 2 * TARGET_ANSWER_SECONDS


def make_batch(name: str) -> JobSpec:
    """Returns a job of many plain tasks with a long payload."""
    step = make_step(count=TASKS, estimated_seconds=TASK_SECONDS)
    job = make_job(name, step, policy=make_policy(priority=2))
    return attrs.evolve(job, payload=PAYLOAD)


def make_check(name: str) -> JobSpec:
    """Returns an urgent job of one task."""
    return make_job(name, make_step(), policy=make_policy(priority=0))


def make_cluster(workers: int = WORKERS) -> ClusterState:
    """Returns a cluster state with idle workers."""
    cluster = ClusterState()
    for number in range(workers):
        add_worker(cluster, f'w-{number}')
    return cluster


def make_placer(cluster: ClusterState, window: StartWindow) -> Placer:
    """Returns a placer of an owner with a link of 2 Mbit/s."""
    return Placer(cluster, InterferenceModel(), window)


def answer(
    cluster: ClusterState, tasks: list[Task], sent_at: float, now: float
) -> None:
    """Confirms the starts of tasks that were sent at a time."""
    for task in tasks:
        task.start_sent_at = sent_at
        cluster.confirm_start(task, task.run, now)


def place(placer: Placer, now: float) -> list[Task]:
    """Runs a placement pass; returns the tasks that it placed."""
    return [task for task, _ in run_pass(placer, now)]


def test_starts_beyond_what_the_link_carries_are_not_decided() -> None:
    """All starts sent at once queued for longer than the timeout of a call."""
    cluster = make_cluster()
    for number in range(10):
        admit(cluster, make_batch(f'{number}'))
    window = make_start_window(LINK_BYTES_PER_SECOND)
    placed = place(make_placer(cluster, window), 1.0)
    assert placed
    queue_seconds = len(placed) * START_BYTES / LINK_BYTES_PER_SECOND
    assert queue_seconds < CALL_TIMEOUT_SECONDS / 2
    assert window.is_binding
    assert len(cluster.ready) == 10 * TASKS - len(placed)


def test_an_urgent_start_does_not_wait_for_answers_to_others() -> None:
    """Urgent tasks waited behind the starts of a wide step."""
    cluster = make_cluster()
    for number in range(4):
        admit(cluster, make_batch(f'{number}'))
    placer = make_placer(cluster, make_start_window(LINK_BYTES_PER_SECOND))
    place(placer, 1.0)
    assert place(placer, 1.1) == []
    admit(cluster, make_check('urgent'))
    placed = place(placer, 1.2)
    assert [task.id.job for task in placed] == ['urgent']


def test_fewer_starts_are_under_way_while_answers_take_long() -> None:
    """An owner with a slow processor sent as many starts as a fast one."""
    cluster = make_cluster()
    for number in range(20):
        admit(cluster, make_batch(f'{number}'))
    window = StartWindow()
    placer = make_placer(cluster, window)
    now = 1.0
    placed = place(placer, now)
    most = window.in_flight
    answer(cluster, placed, now, now + SLOW_ANSWER_SECONDS)
    window.update(now + SLOW_ANSWER_SECONDS)
    assert window.limit < most


def test_more_starts_are_under_way_once_answers_are_fast_again() -> None:
    """A host that was slow for a while stayed limited for good."""
    cluster = make_cluster(WORKERS)
    for number in range(100):
        admit(cluster, make_batch(f'{number}'))
    window = StartWindow(limit=MIN_LIMIT_BYTES)
    placer = make_placer(cluster, window)
    now = 1.0
    while now < 1.0 + 40 * ADJUST_SECONDS:
        placed = place(placer, now)
        answer(cluster, placed, now, now + FAST_ANSWER_SECONDS)
        now += ADJUST_SECONDS
        for task in placed:
            cluster.end_run(task, EndKind.DONE, now)
    assert window.limit > 3 * MIN_LIMIT_BYTES


def test_deaf_workers_neither_fill_nor_shrink_the_window() -> None:
    """Starts that a few lost workers did not answer kept all others waiting."""
    cluster = make_cluster()
    for number in range(20):
        admit(cluster, make_batch(f'{number}'))
    window = make_start_window(LINK_BYTES_PER_SECOND)
    placer = make_placer(cluster, window)
    limit = window.limit
    placed = place(placer, 1.0)
    deaf, others = placed[: len(placed) // 4], placed[len(placed) // 4 :]
    for task in deaf:
        task.start_sent_at = 1.0
    answer(cluster, others, 1.0, 1.0 + FAST_ANSWER_SECONDS)
    window.update(1.0 + UNANSWERED_SECONDS + ADJUST_SECONDS)
    assert all(task.phase is TaskPhase.STARTING for task in deaf)
    assert window.in_flight == 0
    assert window.limit >= limit


@attrs.define
class SlowLink:
    """A link that carries one start after the other, without a network.

    Attributes:
      cluster: Gets the answers.
      free_at: Time at which the link has carried all that was sent.
      under_way: Starts with the times at which they are sent and answered.
      longest: Longest time from sending a start until its answer.
    """

    cluster: ClusterState
    free_at: float = 0.0
    under_way: list[tuple[Task, float, float]] = attrs.Factory(list)
    longest: float = 0.0

    def send(self, tasks: list[Task], now: float) -> None:
        """Sends starts after the write of their rows."""
        for task in tasks:
            sent_at = now + WRITE_SECONDS
            begins_at = max(sent_at, self.free_at)
            self.free_at = begins_at + START_BYTES / LINK_BYTES_PER_SECOND
            self.longest = max(self.longest, self.free_at - sent_at)
            self.under_way.append((task, sent_at, self.free_at))

    def deliver(self, now: float) -> list[Task]:
        """Answers the starts that are through; returns their tasks."""
        arrived = [entry for entry in self.under_way if entry[2] <= now]
        self.under_way = [e for e in self.under_way if e[2] > now]
        for task, sent_at, answered_at in arrived:
            answer(self.cluster, [task], sent_at, answered_at)
        return [task for task, _, _ in arrived]


def play(load: float, seconds: float = 20.0) -> tuple[float, float]:
    """Offers starts to an owner with a link of 2 Mbit/s.

    Args:
      load: Offered starts, relative to what the link carries.
      seconds: Duration.

    Returns:
      Starts per second in the second half, and the longest answer time.
    """
    cluster = make_cluster(4 * WORKERS)
    window = make_start_window(LINK_BYTES_PER_SECOND)
    placer = make_placer(cluster, window)
    link = SlowLink(cluster)
    ends: list[tuple[float, Task]] = []
    started = 0
    offered = 0.0
    now = 0.0
    while now < seconds:
        offered += load * STARTS_PER_SECOND * PASS_SECONDS
        while offered >= TASKS:
            offered -= TASKS
            admit(cluster, make_batch(f'{now:.2f}.{offered:.3f}'))
        for task in link.deliver(now):
            started += now > seconds / 2
            ends.append((now + TASK_SECONDS, task))
        for at, task in ends:
            if at <= now:
                cluster.end_run(task, EndKind.DONE, now)
        ends = [(at, task) for at, task in ends if at > now]
        link.send(place(placer, now), now)
        now += PASS_SECONDS
    return started / (seconds / 2), link.longest


def test_throughput_stays_level_beyond_what_the_link_carries() -> None:
    """Twice the starts that a link carries ended in fewer starts than once."""
    half, _ = play(0.5)
    full, _ = play(1.0)
    double, _ = play(2.0)
    assert full > 1.4 * half
    assert double > 0.9 * full


@pytest.mark.parametrize('load', [0.5, 1.0, 2.0])
def test_no_start_queues_for_longer_than_a_call_may_take(load: float) -> None:
    """Calls that timed out in the owner's own queue were sent again."""
    _, longest = play(load)
    assert longest < CALL_TIMEOUT_SECONDS
