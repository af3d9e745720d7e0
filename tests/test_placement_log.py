"""Log lines of each way by which a task loses or gets a placement."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import attrs
import pytest

from lentilmount.clock import ManualClock
from lentilmount.control.metrics import ControlMetrics
from lentilmount.control.placement_log import (
    TASKS_PER_LINE,
    PlacementLog,
    StartProgress,
    log_restored,
)
from lentilmount.control.worker_commands import CommandSender
from lentilmount.control.worker_session import WorkerSession
from lentilmount.logflow import NonBlockingHandler
from lentilmount.platform.workers import (
    CallStatus,
    CommandAnswer,
    StartCommand,
    WorkerClient,
)
from lentilmount.resources import Room
from lentilmount.scheduling import history
from lentilmount.scheduling.cluster import ClusterState
from lentilmount.scheduling.history import ChangeKind, ChangeReason
from lentilmount.scheduling.interference import InterferenceModel
from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.placement import Placer
from lentilmount.scheduling.reconciliation import Reconciler
from lentilmount.scheduling.reports import EndKind, StaleRun, WorkerEntry
from lentilmount.upstream.http import HttpClient
from stand_ins.virtual_time import run_virtual
from tests.scheduling_fixtures import (
    add_worker,
    admit,
    find_task,
    hand_over,
    make_end,
    make_job,
    make_report,
    make_running,
    make_step,
    run_pass,
    run_task,
)
from tests.test_worker_session import IgnoringListener

Change = tuple[int, str, str, str, str]
"""Run, worker, kind, reason and earlier phase."""


@attrs.define(eq=False)
class Scene:
    """A cluster with two workers and one task."""

    cluster: ClusterState
    task: Task
    first: Worker
    second: Worker

    def report(self, worker: Worker, *, at: float = 5.0, **lists: Any) -> None:
        """Applies a report of a worker."""
        report = make_report(**lists)
        Reconciler(self.cluster).reconcile(worker, report, at, at)


def make_scene() -> Scene:
    """Returns a scene whose task waits."""
    cluster = ClusterState()
    admit(cluster, make_job('job'))
    first, second = add_worker(cluster, 'a'), add_worker(cluster, 'b')
    return Scene(cluster, find_task(cluster, 'job'), first, second)


def report_end(kind: EndKind) -> Callable[[Scene], None]:
    """Returns a step that reports the end of the task's first run."""

    def act(scene: Scene) -> None:
        run_task(scene.cluster, scene.task, scene.first)
        end = make_end(1, scene.task, 1, kind)
        scene.report(scene.first, ended=(end,))

    return act


def miss_in_report(scene: Scene) -> None:
    run_task(scene.cluster, scene.task, scene.first)
    scene.report(scene.first)


def miss_after_stop(scene: Scene) -> None:
    run_task(scene.cluster, scene.task, scene.first)
    scene.cluster.begin_stop(scene.task)
    scene.task.stopped_at = 2.0
    scene.report(scene.first)


def expire_start(scene: Scene) -> None:
    scene.cluster.place([scene.task], scene.first, 1.0)
    scene.task.start_expired_at = 4.0
    scene.report(scene.first)


def reject_start(scene: Scene) -> None:
    scene.cluster.place([scene.task], scene.first, 1.0)
    scene.cluster.reject_start(scene.task, 1)


def lose_worker(scene: Scene) -> None:
    run_task(scene.cluster, scene.task, scene.first)
    scene.cluster.end_worker_tasks(scene.first, 9.0)


def restart_worker(scene: Scene) -> None:
    run_task(scene.cluster, scene.task, scene.first)
    make_session(scene.cluster, scene.first).handle_restart('it restarted')


def restart_with_late_start(scene: Scene) -> None:
    scene.cluster.place([scene.task], scene.first, 1.0)
    session = make_session(scene.cluster, scene.first)
    session.add_unanswered_start(str(scene.task.id), 1)
    session.handle_restart('it restarted')


def restart_after_requeue(scene: Scene) -> None:
    scene.task.run = 1
    late = StaleRun('a', str(scene.task.id), 1)
    scene.cluster.end_worker_tasks(scene.first, 9.0, frozenset({late}))


def list_newer_run(scene: Scene) -> None:
    run_task(scene.cluster, scene.task, scene.first)
    scene.report(scene.second, running=(make_running(scene.task, 2),))


def end_newer_run(scene: Scene) -> None:
    run_task(scene.cluster, scene.task, scene.first)
    end = make_end(1, scene.task, 2, EndKind.FAILED)
    scene.report(scene.second, ended=(end,))


def list_older_run(scene: Scene) -> None:
    scene.task.run = 1
    run_task(scene.cluster, scene.task, scene.first)
    scene.report(scene.second, running=(make_running(scene.task, 1),))


def end_older_run(scene: Scene) -> None:
    scene.task.run = 1
    run_task(scene.cluster, scene.task, scene.first)
    end = make_end(1, scene.task, 1, EndKind.DONE)
    scene.report(scene.second, ended=(end,))


def list_unplaced_run(scene: Scene) -> None:
    scene.report(scene.second, running=(make_running(scene.task, 1),))


CASES: list[tuple[Callable[[Scene], None], list[Change]]] = [
    *(
        (report_end(kind), [(1, 'a', 'freed', kind.value, 'running')])
        for kind in EndKind
    ),
    (miss_in_report, [(1, 'a', 'freed', 'absent', 'running')]),
    (miss_after_stop, [(1, 'a', 'freed', 'absent', 'stopping')]),
    (expire_start, [(1, 'a', 'freed', 'start-expired', 'starting')]),
    (reject_start, [(1, 'a', 'freed', 'rejected', 'starting')]),
    (lose_worker, [(1, 'a', 'freed', 'lease-expired', 'running')]),
    (restart_worker, [(1, 'a', 'freed', 'restarted', 'running')]),
    (
        restart_with_late_start,
        [(1, 'a', 'stopped-anew', 'unanswered', 'starting')],
    ),
    (
        restart_after_requeue,
        [
            (1, 'a', 'held', 'unanswered', 'waiting'),
            (1, 'a', 'stopped-anew', 'unanswered', 'stopping'),
        ],
    ),
    (
        list_newer_run,
        [
            (1, 'a', 'freed', 'newer-run', 'running'),
            (2, 'b', 'adopted', 'listed', 'waiting'),
        ],
    ),
    (
        end_newer_run,
        [
            (2, 'b', 'other-end', 'failed', 'running'),
            (1, 'a', 'freed', 'newer-run', 'running'),
        ],
    ),
    (list_older_run, [(1, 'b', 'stale', 'listed', 'running')]),
    (
        end_older_run,
        [
            (1, 'b', 'other-end', 'done', 'running'),
            (2, 'a', 'stale', 'superseded', 'stopping'),
        ],
    ),
    (list_unplaced_run, [(1, 'b', 'adopted', 'listed', 'waiting')]),
]


def make_session(
    cluster: ClusterState, worker: Worker, clock: ManualClock | None = None
) -> WorkerSession:
    """Returns a session whose calls are not made."""
    clock = clock or ManualClock()
    client = WorkerClient(HttpClient(''), 1, 1.0)
    return WorkerSession(
        worker, cluster, client, IgnoringListener(), 6.0, clock.monotonic
    )


def drain(cluster: ClusterState) -> list[Change]:
    """Removes and returns the recorded changes, without tasks."""
    return [
        (c.run, c.worker, c.kind.value, c.reason.value, c.phase)
        for c in cluster.history.drain()
    ]


@pytest.mark.parametrize(
    ('act', 'expected'), CASES, ids=lambda value: getattr(value, '__name__', '')
)
def test_each_change_of_a_placement_is_recorded(
    act: Callable[[Scene], None], expected: list[Change]
) -> None:
    """A task was placed again without a log line that says why."""
    scene = make_scene()
    act(scene)
    assert drain(scene.cluster) == expected


def test_restored_placements_that_are_listed_are_recorded() -> None:
    """No log line told whether an inherited run was still there."""
    scene = make_scene()
    run_task(scene.cluster, scene.task, scene.first)
    new = hand_over(scene.cluster)
    report = make_report(running=(make_running(scene.task, 1),))
    for now in (5.0, 6.0):
        Reconciler(new).reconcile(new.workers['a'], report, now, now)
    assert drain(new) == [(1, 'a', 'confirmed', 'listed', 'running')]


def test_a_gang_that_does_not_fit_records_nothing() -> None:
    """Each pass would log placements that nothing else has ever told of."""
    cluster = ClusterState()
    admit(cluster, make_job('gang', make_step(count=3, gang=True)))
    add_worker(cluster, 'small', capacity=Room(4.0, 8_000))
    assert run_pass(Placer(cluster, InterferenceModel()), 1.0) == []
    assert drain(cluster) == []


def test_the_history_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Changes that nobody logs would use memory without bound."""
    monkeypatch.setattr(history, 'MAX_CHANGES', 3)
    cluster = ClusterState()
    admit(cluster, make_job('job', make_step(count=5)))
    worker = add_worker(cluster, 'w', capacity=Room(80.0, 80_000))
    for index in range(5):
        run_task(cluster, find_task(cluster, 'job', index=index), worker)
    cluster.end_worker_tasks(worker, 9.0)
    lines = log_lines(lambda: make_log(cluster).flush())
    assert lines[0]['message'] == 'Left out 2 changes of placements.'
    assert [change[0] for change in lines[1]['changes']] == [
        f'job.0.0.{index}' for index in (2, 3, 4)
    ]
    assert cluster.history.dropped == 0


def make_log(cluster: ClusterState) -> PlacementLog:
    """Returns the log of a cluster."""
    return PlacementLog('desk', cluster.history, ControlMetrics())


def log_lines(
    act: Callable[[], None], clock: Callable[[], float] = lambda: 0.0
) -> list[dict[str, Any]]:
    """Returns the lines that an action logs through the limited handler."""
    reader, writer = os.pipe()
    with open(reader, 'rb', closefd=True) as file:
        os.set_blocking(reader, False)
        data = bytearray()
        handler = NonBlockingHandler(writer, 'info', clock)
        with handler.applicationbound():
            act()
            for _ in range(1000):
                data += file.read() or b''
                handler._flush()
                if not handler._backlog:
                    break
        os.close(writer)
        data += file.read() or b''
    return [json.loads(line) for line in data.splitlines()]


def test_changes_are_logged_before_the_starts_that_follow() -> None:
    """A second start of a task stood before the end of its first placement."""
    scene = make_scene()
    lose_worker(scene)
    log = make_log(scene.cluster)
    lines = log_lines(lambda: log.log_starts([(str(scene.task.id), 2, 'b')]))
    assert [line['message'] for line in lines] == [
        'Placements changed.',
        'Starting.',
    ]
    assert lines[0]['level'] == 'info'
    assert lines[0]['changes'] == [
        ['job.0.0.0', 1, 'a', 'freed', 'lease-expired', 'running']
    ]


def test_restored_placements_are_logged_within_bounds() -> None:
    """No log line told what a new owner took from the rows."""
    cluster = ClusterState()
    count = TASKS_PER_LINE + 20
    admit(cluster, make_job('job', make_step(count=count)))
    worker = add_worker(cluster, 'w')
    for index in range(count):
        run_task(cluster, find_task(cluster, 'job', index=index), worker)
    [line] = log_lines(lambda: log_restored(hand_over(cluster), 'desk'))
    assert line['message'] == f'Restored {count} placements.'
    assert len(line['restored']) == TASKS_PER_LINE
    assert line['restored'][0] == ['job.0.0.0', 1, 'w']
    assert line['waiting'] == []
    cluster.end_worker_tasks(worker, 9.0)
    [line] = log_lines(lambda: log_restored(hand_over(cluster), 'desk'))
    assert line['message'] == 'Restored 0 placements.'
    assert line['waiting_count'] == count
    assert line['waiting'][0] == ['job.0.0.0', 1]
    assert len(line['waiting']) == TASKS_PER_LINE


PASSES_PER_SECOND = 125
"""Placement passes of one owner, by `PASS_PAUSE_SECONDS`."""


def iterate_passes(starts: int) -> Iterator[tuple[int, int]]:
    """Yields the first and last number of the starts of each pass."""
    for number in range(PASSES_PER_SECOND):
        yield (
            number * starts // PASSES_PER_SECOND,
            (number + 1) * starts // PASSES_PER_SECOND,
        )


@pytest.mark.parametrize('services', [1, 3])
def test_no_start_of_a_busy_second_is_left_out(services: int) -> None:
    """One daemon owned three services, and their starts shared one limit."""
    starts = 700
    clusters = [ClusterState() for _ in range(services)]
    logs = [
        PlacementLog(f's-{number}', cluster.history, ControlMetrics())
        for number, cluster in enumerate(clusters)
    ]
    for cluster in clusters:
        admit(cluster, make_job('job', make_step(count=starts)))

    def act() -> None:
        for first, last in iterate_passes(starts):
            for cluster, log in zip(clusters, logs, strict=True):
                worker = add_worker(cluster, 'w')
                for index in range(first, last):
                    task = find_task(cluster, 'job', index=index)
                    run_task(cluster, task, worker)
                    cluster.end_run(task, EndKind.LAPSED, 2.0)
                log.log_starts(
                    [(f'job.0.0.{n}', 1, 'w') for n in range(first, last)]
                )

    lines = log_lines(act)
    assert not [x for x in lines if 'Left out' in str(x['message'])]
    for number in range(services):
        own = [x for x in lines if x['service'] == f's-{number}']
        assert sum(len(x.get('starts', ())) for x in own) == starts
        assert sum(len(x.get('changes', ())) for x in own) == starts


@attrs.define(eq=False)
class ScriptedClient(WorkerClient):
    """A client that answers starts as told, each after 0.2 s.

    Attributes:
      statuses: Outcomes of the copies of a start.
      on_start: Called while a copy is on its way.
    """

    statuses: list[CallStatus] = attrs.Factory(list)
    on_start: Callable[[], None] = lambda: None

    async def start(
        self, worker: WorkerEntry, command: StartCommand
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        await asyncio.sleep(0.2)
        self.on_start()
        return CommandAnswer(self.statuses.pop(0))

    async def stop(
        self, worker: WorkerEntry, task: str, run: int
    ) -> CommandAnswer:
        """See `WorkerClient`."""
        return CommandAnswer(CallStatus.DONE)


DONE, UNKNOWN = CallStatus.DONE, CallStatus.UNKNOWN


@pytest.mark.parametrize(
    ('statuses', 'expected'),
    [
        ([DONE], []),
        ([UNKNOWN, DONE], [('done', 2)]),
        ([CallStatus.REFUSED], [('refused, superseded', 1)]),
        ([UNKNOWN, UNKNOWN, CallStatus.REFUSED], [('refused, superseded', 3)]),
        ([CallStatus.FENCED], [('fenced', 1)]),
    ],
)
def test_each_start_that_is_not_simply_accepted_is_logged(
    statuses: list[CallStatus], expected: list[tuple[str, int]]
) -> None:
    """No log line told how often a start was sent and what answered it."""
    progresses, _ = play_start(statuses)
    logged = [p for p in progresses if not p.is_plain]
    assert [(p.outcome, p.copies) for p in logged] == expected
    assert len(progresses) == 1
    if logged and logged[0].copies > 1:
        assert logged[0].seconds >= 0.4


def test_a_start_accepted_after_its_task_was_freed_is_logged() -> None:
    """A worker took a start whose task had been placed elsewhere, unseen."""
    [progress], _ = play_start([DONE], frees_task=True)
    assert progress.outcome == 'done, superseded'
    assert not progress.is_plain


def test_a_start_that_is_not_due_any_more_is_logged() -> None:
    """Of two senders of one start the second left no trace."""
    [progress], _ = play_start([], is_due=False)
    assert (progress.outcome, progress.copies) == ('not-sent, superseded', 0)


def play_start(
    statuses: list[CallStatus], *, frees_task: bool = False, is_due: bool = True
) -> tuple[list[StartProgress], Task]:
    """Sends a start until it is settled; returns its outcomes and the task."""
    clock = ManualClock()
    scene = make_scene()
    client = ScriptedClient(HttpClient(''), 1, 1.0, statuses)
    if frees_task:
        client.on_start = lambda: scene.cluster.requeue(scene.task)
    progresses: list[StartProgress] = []

    async def work() -> None:
        scene.cluster.place([scene.task], scene.first, clock.monotonic())
        session = make_session(scene.cluster, scene.first, clock)
        session.update_clock(1000)
        # As if each report were requested after the newest copy.
        session._report_asked_at = clock.monotonic() + 60.0
        sent: list[Coroutine[Any, Any, None]] = []
        commands = CommandSender(
            scene.cluster,
            client,
            {'a': session},
            IgnoringListener(),
            clock.monotonic,
            sent.append,
            lambda task, worker: '',
            lambda: None,
            progresses.append,
        )
        commands.start(scene.task)
        if not is_due:
            scene.task.phase = TaskPhase.STOPPING
        while sent:
            await sent.pop(0)

    run_virtual(work(), clock)
    return progresses, scene.task


def test_settled_starts_and_metrics_are_batched() -> None:
    """A burst of unanswered starts would exceed the limit of its lines."""
    cluster = ClusterState()
    log = make_log(cluster)
    count = 3 * TASKS_PER_LINE

    def act() -> None:
        for number in range(count):
            progress = StartProgress(f'job.0.0.{number}', 1, 'w')
            progress.count_copy(1.0)
            progress.count_copy(2.0)
            progress.settled_at, progress.status = 2.5, DONE
            log.record_start(progress)

    lines = log_lines(act)
    assert [line['message'] for line in lines] == ['Starts settled.'] * 3
    assert lines[0]['settled'][0] == ['job.0.0.0', 1, 'w', 'done', 2, 1.5]
    scene = make_scene()
    lose_worker(scene)
    log.history = scene.cluster.history
    log_lines(log.flush)
    registry = log.metrics.registry
    freed = registry.get('lentilmount_placements_freed_total')
    assert freed.get({'reason': 'lease-expired'}) == 1
    assert registry.get('lentilmount_start_copies_total').get({}) == 2 * count


def test_reasons_cover_all_ends_of_runs() -> None:
    for kind in EndKind:
        assert ChangeReason(kind.value)
    assert len({kind.value for kind in ChangeKind}) == len(ChangeKind)
