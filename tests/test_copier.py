"""Copies as the owner starts, stops and logs them."""

from __future__ import annotations

import attrs
import logbook
import pytest
from aioprometheus.renderer import render

from lentilmount.cli.placements import PlacementTracer
from lentilmount.control.copier import Copier, log_copy
from lentilmount.control.metrics import ControlMetrics
from lentilmount.scheduling.health import WorkerHealth
from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.reports import EndKind
from lentilmount.scheduling.start_window import StartWindow
from tests.copy_fixtures import CopyScene, make_scene


def allow(task: Task, worker: Worker) -> bool:
    del task, worker
    return True


@attrs.define
class CopierScene:
    """A copier whose calls are recorded.

    Attributes:
      scene: The cluster state.
      copier: The copier.
      metrics: Its metrics.
      sent: Runs whose stop was sent, and their workers.
      stopped: Tasks that were stopped for a reason.
    """

    scene: CopyScene
    copier: Copier
    metrics: ControlMetrics
    sent: list[tuple[int, str]]
    stopped: list[tuple[Task, str]]

    def count(self, outcome: str) -> bool:
        """Returns whether one copy with an outcome was counted."""
        text = render(self.metrics.registry, [])[0].decode()
        return f'lentilmount_copies_total{{outcome="{outcome}"}} 1' in text


def make_copier() -> CopierScene:
    scene, metrics = make_scene(), ControlMetrics()
    sent: list[tuple[int, str]] = []
    stopped: list[tuple[Task, str]] = []
    copier = Copier(
        scene.cluster,
        scene.stragglers,
        WorkerHealth(),
        metrics,
        lambda run: sent.append((run.run, run.worker)),
        lambda task, reason: stopped.append((task, reason)),
    )
    return CopierScene(scene, copier, metrics, sent, stopped)


def test_a_copy_counts_as_a_start_under_way() -> None:
    """Copies were sent on top of a full window."""
    made = make_copier()
    task = made.scene.run_step(made.scene.add_workers(2)[0])
    window = StartWindow()
    (decision,) = made.copier.start(3.0, allow, window)
    assert decision.slow.task is task
    assert window.in_flight > 0
    assert made.count('started')
    assert made.copier.start(3.1, allow, window) == []


def test_nothing_is_copied_while_starts_are_limited() -> None:
    """Load: more starts than the link of the owner takes."""
    made = make_copier()
    task = made.scene.run_step(made.scene.add_workers(2)[0])
    window = StartWindow(limit=1.0)
    window.add(task)
    window.admits(task, 3.0)
    assert window.is_binding
    assert made.copier.start(3.0, allow, window) == []
    assert made.copier.start(3.0, allow, StartWindow()) != []


def test_a_needless_copy_is_stopped() -> None:
    made = make_copier()
    task = made.scene.copy()
    assert made.copier.start(7.0, allow, StartWindow()) == []
    assert made.stopped == [(task, 'the task is as long on another worker')]
    assert made.count('needless')


def test_the_run_that_lost_is_stopped_once() -> None:
    made = make_copier()
    task = made.scene.copy()
    made.scene.report('w1', 4.0, ended=((task, 2, EndKind.DONE),))
    made.copier.settle(4.0)
    made.copier.settle(4.0)
    assert made.sent == [(1, 'w0')]
    assert made.count('first')


def test_a_first_run_that_was_done_first_is_counted() -> None:
    made = make_copier()
    task = made.scene.copy()
    made.scene.report('w0', 4.0, ended=((task, 1, EndKind.DONE),))
    made.copier.settle(4.0)
    assert made.sent == [(2, 'w1')]
    assert made.count('second')


@pytest.mark.parametrize('is_copy', [True, False])
def test_a_worker_whose_runs_are_beaten_is_slow(is_copy: bool) -> None:
    """Load: a slow worker. It kept getting tasks, as none of them ended."""
    made = make_copier()
    task = made.scene.copy()
    worker, run = ('w1', 2) if is_copy else ('w0', 1)
    made.scene.report(worker, 5.5, ended=((task, run, EndKind.DONE),))
    made.copier.settle(5.5)
    workers = made.scene.cluster.workers
    assert (workers['w0'].slowdown > 1.5) == is_copy
    assert workers['w1'].slowdown == 1.0


def test_a_trace_shows_the_copy_and_the_winner() -> None:
    """Nobody could tell a copy from a second run by mistake."""
    made = make_copier()
    task = made.scene.run_step(made.scene.add_workers(2)[0])
    name = str(task.id)
    tracer = PlacementTracer(name)
    with logbook.TestHandler() as handler:
        (decision,) = made.copier.start(3.0, allow, StartWindow())
        log_copy(decision)
        task.start_sent_at = 3.0
        made.scene.report('w1', 4.0, ended=((task, 2, EndKind.DONE),))
        made.copier.settle(4.0)
    tracer.add_line({'message': 'Starting.', 'starts': [[name, 1, 'w0']]}, 'd')
    tracer.add_line({'message': 'Starting.', 'starts': [[name, 2, 'w1']]}, 'd')
    for record in handler.records:
        tracer.add_line({'message': record.message, **record.extra}, 'd')
    copied, won = (dict(record.extra) for record in handler.records)
    assert copied == {
        'task': name,
        'run': 2,
        'worker': 'w1',
        'first_worker': 'w0',
        'seconds': 2.999,
        'usual_seconds': 1.0,
    }
    assert won == {'task': name, 'run': 2, 'worker': 'w1'}
    first, copy = tracer.list_placements(name)
    assert first.notes == []
    assert copy.overlaps == ['run 1 on w0']
    assert copy.notes == [
        'Copied: the run on w0 takes long',
        'Copied: the copy was done before run 1',
    ]
