"""Which jobs callers are told to be waiting."""

from __future__ import annotations

from lentilmount.scheduling.book import Book
from lentilmount.scheduling.reconciling import Reconciler
from lentilmount.scheduling.reports import EndKind
from tests.fleet_scene import (
    add_worker,
    admit,
    find_task,
    hand_over,
    make_end,
    make_job,
    make_look,
    make_running,
    make_step,
)


def test_a_job_waits_until_a_worker_has_begun_it() -> None:
    """Jobs whose starts never arrived counted as begun."""
    book = Book()
    admit(book, make_job('a'))
    task = find_task(book, 'a')
    worker = add_worker(book, 'cut')
    book.place([task], worker, 1.0)
    name = task.job.spec.queue.name
    assert book.count_pending() == {name: 1}
    new = hand_over(book)
    assert new.count_pending() == {name: 1}
    book.confirm(task, task.run, 2.0)
    assert book.count_pending() == {name: 0}
    book.end(task, EndKind.LAPSED, 3.0)
    assert book.count_pending() == {name: 0}
    look = make_look(running=(make_running(task, task.run),))
    Reconciler(new).take_look(new.workers['cut'], look, 5.0, 5.0)
    assert new.count_pending() == {name: 0}


def test_a_new_owner_knows_what_has_begun_by_what_it_has_done() -> None:
    """Neither ends of the previous owner's time nor checkpoints are lost."""
    for kind, checkpoint in (
        (EndKind.DONE, ''),
        (EndKind.FAILED, ''),
        (EndKind.STOPPED, '0a'),
    ):
        book = Book()
        admit(book, make_job('a', make_step(count=2)))
        task = find_task(book, 'a')
        book.place([task], add_worker(book, 'w'), 1.0)
        look = make_look(ended=(make_end(1, task, 1, kind, checkpoint),))
        Reconciler(book).take_look(book.workers['w'], look, 2.0, 2.0)
        for owner in (book, hand_over(book)):
            assert set(owner.count_pending().values()) == {0}
