"""How much a pass over the queue looks at, on a large deployment."""

from __future__ import annotations

import pytest

from lentilmount.scheduling.book import Book
from lentilmount.scheduling.placing import Placer
from lentilmount.scheduling.sharing import Sharing
from lentilmount.scheduling.specs import StepSpec
from lentilmount.scheduling.views import WorkerView
from tests.fleet_scene import add_worker, admit, make_job, make_step

WORKERS = 200
TASKS = 40


def count_looks(book: Book, monkeypatch: pytest.MonkeyPatch) -> int:
    """Runs one pass; returns how often it asked whether a worker has room."""
    looks = 0
    allows = WorkerView.allows

    def count(view: WorkerView, task: object) -> bool:
        nonlocal looks
        looks += 1
        return allows(view, task)  # type: ignore[arg-type]

    monkeypatch.setattr(WorkerView, 'allows', count)
    Placer(book, Sharing()).place(10.0, lambda task, worker: True)
    return looks


@pytest.mark.parametrize(
    'step',
    [make_step(count=TASKS), make_step(count=TASKS, fills=True, image='f')],
)
def test_a_wide_step_looks_at_each_worker_once(
    step: StepSpec, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Quick jobs start seconds late on a deployment of hundreds of workers.

    Steps are tens of tasks wide. The owner looked at every worker for every
    task, hundreds of starts a second, and its processor was used up: looks,
    starts and ends were worked off later and later.
    Tasks of a step are alike, so one look at each worker serves them all, and
    only the worker that took a task has to be looked at again.
    """
    book = Book()
    for number in range(WORKERS):
        add_worker(book, f'w-{number}')
    admit(book, make_job('a', step))
    assert count_looks(book, monkeypatch) <= WORKERS + TASKS
    placed = [t for t in book.jobs['a'].tasks.values() if t.worker]
    assert len(placed) == TASKS
