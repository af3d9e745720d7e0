"""Serving tasks that move together, so that filling work finds places."""

from __future__ import annotations

from typing import Any

from lentilmount.resources import Room
from lentilmount.scheduling.book import Book
from lentilmount.scheduling.consolidation import (
    MOST_TOGETHER,
    MOVE_PAUSE_SECONDS,
    SETTLED_SECONDS,
)
from lentilmount.scheduling.model import Task, TaskPhase, Worker
from lentilmount.scheduling.placing import Placer
from lentilmount.scheduling.sharing import Sharing
from tests.fleet_scene import (
    add_worker,
    admit,
    find_task,
    make_job,
    make_step,
    run_pass,
    run_task,
)

PAIRS = [['strict', 'popular', 0.2], ['lenient', 'popular', 0.0]]
"""What the filling image adds to each serving one."""

LATER = 2 * SETTLED_SECONDS


def serve(
    book: Book, name: str, worker: Worker, image: str, **fields: Any
) -> Task:
    """Lets a job's only task serve on a worker."""
    given = {'lasting': True, 'target_ms': 50.0, 'image': image}
    admit(book, make_job(name, make_step(**{**given, **fields})))
    task = find_task(book, name)
    run_task(book, task, worker, now=0.0)
    return task


def make_placer(book: Book, waits: bool = True) -> Placer:
    """Returns a placer that knows the pairs; filling work may wait."""
    sharing = Sharing()
    sharing.restore(PAIRS)
    if waits:
        # More memory than any worker has: it waits for good.
        step = make_step(demand=Room(2.0, 99_000), fills=True, image='popular')
        admit(book, make_job('filling', step))
    return Placer(book, sharing)


def open_book() -> tuple[Book, Task]:
    """Returns workers of one image each, and one with a task of the other."""
    book = Book()
    mixed = add_worker(book, 'mixed', capacity=Room(16.0, 64_000))
    strict = add_worker(book, 'strict', capacity=Room(16.0, 64_000))
    serve(book, 'lenient', mixed, 'lenient')
    for number in range(MOST_TOGETHER + 1):
        serve(book, f'home-{number}', strict, 'strict')
    return book, serve(book, 'stray', mixed, 'strict')


def test_a_task_moves_to_a_worker_of_its_image() -> None:
    """One small task kept sixteen cores from all filling work that waited."""
    book, stray = open_book()
    placer = make_placer(book)
    assert placer.choose_moves(LATER) == [stray]
    book.put_back(stray)
    placed = run_pass(placer, LATER)
    assert [worker.id for _, worker in placed] == ['strict']


def test_nothing_moves_without_work_that_waits() -> None:
    book, _ = open_book()
    assert make_placer(book, waits=False).choose_moves(LATER) == []


def test_nothing_moves_where_there_is_no_room() -> None:
    """The other worker of the image is full: the task would come back."""
    book, _ = open_book()
    strict = book.workers['strict']
    serve(book, 'wide', strict, 'strict', demand=Room(7.0, 1000))
    assert make_placer(book).choose_moves(LATER) == []


def test_a_task_that_came_lately_stays() -> None:
    """Moved at once again, a task would spend its time on starting."""
    book, _ = open_book()
    assert make_placer(book).choose_moves(SETTLED_SECONDS / 2) == []


def test_moves_keep_a_pause() -> None:
    book, stray = open_book()
    placer = make_placer(book)
    assert placer.choose_moves(LATER) == [stray]
    soon = LATER + MOVE_PAUSE_SECONDS / 2
    assert placer.choose_moves(soon) == []


def test_a_step_is_never_left_with_fewer_tasks_than_it_needs() -> None:
    """A job may miss one task, and one is away: another move breaks that."""
    book = Book()
    mixed = add_worker(book, 'mixed', capacity=Room(16.0, 64_000))
    strict = add_worker(book, 'strict', capacity=Room(16.0, 64_000))
    serve(book, 'lenient', mixed, 'lenient')
    for number in range(MOST_TOGETHER):
        serve(book, f'home-{number}', strict, 'strict')
    fields = {'lasting': True, 'target_ms': 50.0, 'image': 'strict'}
    step = make_step(count=2, may_miss=1, **fields)
    admit(book, make_job('pair', step))
    stray, other = find_task(book, 'pair'), find_task(book, 'pair', index=1)
    run_task(book, stray, mixed, now=0.0)
    run_task(book, other, strict, now=0.0)
    placer = make_placer(book)
    other.phase = TaskPhase.STOPPING
    assert placer.choose_moves(LATER) == []
    other.phase = TaskPhase.RUNNING
    assert placer.choose_moves(2 * LATER) == [stray]
