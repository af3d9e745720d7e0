"""Leases that an owner gives to its workers."""

from __future__ import annotations

from lentilmount.clock import ManualClock
from lentilmount.control.links import Link
from lentilmount.platform.workers import WorkerCalls
from lentilmount.scheduling.book import Book
from lentilmount.scheduling.model import Task, Worker
from lentilmount.scheduling.reconciling import News
from lentilmount.upstream.http import HttpCaller
from tests.fleet_scene import add_worker

LEASE_SECONDS = 6.0


class NoEvents:
    """Takes what a link tells, and forgets it."""

    def lose(self, reason: str) -> None:
        """See `Events`."""

    def take_news(self, worker: Worker, news: News) -> None:
        """See `Events`."""

    def take_lapse(self, worker: Worker, tasks: list[Task], why: str) -> None:
        """See `Events`."""

    def may_renew(self) -> bool:
        """See `Events`."""
        return True


def test_starts_to_a_worker_that_is_gone_do_not_renew_its_leases() -> None:
    """A worker is gone for good while a start to it has no answer.

    The start is sent again and again. The leases there must still run out:
    until then none of its tasks is started elsewhere, and a client's lasting
    task would stay away for ever.
    """
    clock = ManualClock()
    book = Book()
    worker = add_worker(book, 'w')
    calls = WorkerCalls(HttpCaller(''), 1, 1.0)
    link = Link(worker, book, calls, NoEvents(), LEASE_SECONDS, clock.monotonic)
    link.note_clock(1000)
    end = link.choose_lease_end()
    lapses_at = worker.lapses_at
    clock.advance(1.0)
    assert link.choose_lease_end() > end
    assert worker.lapses_at > lapses_at
    end, lapses_at = link.choose_lease_end(), worker.lapses_at
    worker.reachable = False
    clock.advance(5.0)
    assert link.choose_lease_end() == end
    assert worker.lapses_at == lapses_at
