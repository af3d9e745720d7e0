"""What became of the jobs of each queue, from log lines alone.

After a bad hour, on call asks which queue suffered and for what reason:
refusals, waiting for a first start, runs that ended early, or lateness.
"""

from __future__ import annotations

import collections
import datetime
import statistics
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from lentilmount.cli.output import write_items
from lentilmount.cli.session import Session
from lentilmount.cli.traces import read_lines
from lentilmount.errors import NotFoundError
from lentilmount.status import ExitStatus

UNKNOWN_QUEUE = '-'
"""For refusals, whose lines tell no queue, and for jobs accepted before the
logs begin."""

HEADER = (
    'QUEUE',
    'ACCEPTED',
    'REFUSED',
    'FIRST-P50',
    'FIRST-P95',
    'IN-TIME',
    'LATE',
    'FAILED',
    'CANCELLED',
    'OPEN',
    'STOPPED',
    'ENDED-BAD',
)

DAMAGED = ('failed', 'lapsed', 'broken', 'alone')
"""How runs end that are not done and were not stopped by an order."""


@attrs.define
class QueueReport:
    """What the logs tell of one queue.

    Attributes:
      queue: Its name.
      accepted: Jobs accepted.
      refused: Requests refused, by kind of error.
      first_starts: Seconds from acceptance to the first start, a job each.
      ended: Jobs that ended, by state; `late` of those completed.
      stopped: Runs stopped by an order, by its reason.
      ended_badly: Runs that ended by themselves and not done, by how.
    """

    queue: str
    accepted: int = 0
    refused: collections.Counter[str] = attrs.Factory(collections.Counter)
    first_starts: list[float] = attrs.Factory(list)
    ended: collections.Counter[str] = attrs.Factory(collections.Counter)
    stopped: collections.Counter[str] = attrs.Factory(collections.Counter)
    ended_badly: collections.Counter[str] = attrs.Factory(collections.Counter)

    @property
    def open(self) -> int:
        """Jobs of which no line tells the end."""
        ended = self.ended.total() - self.ended['late']
        return max(0, self.accepted - ended)

    def find_quantile(self, part: int) -> float | None:
        """Returns a twentieth of the seconds to the first start.

        Args:
          part: Which: 10 for the median, 19 for 95 of 100.
        """
        if len(self.first_starts) < 2:
            return self.first_starts[0] if self.first_starts else None
        twentieths = statistics.quantiles(
            self.first_starts, n=20, method='inclusive'
        )
        return round(twentieths[part - 1], 3)

    def make_document(self) -> dict[str, Any]:
        """Returns everything as JSON takes it."""
        return {
            'queue': self.queue,
            'accepted': self.accepted,
            'refused': dict(self.refused),
            'first_start_p50': self.find_quantile(10),
            'first_start_p95': self.find_quantile(19),
            'ended': dict(self.ended),
            'open': self.open,
            'stopped': dict(self.stopped),
            'ended_badly': dict(self.ended_badly),
        }

    def make_row(self) -> tuple[str, ...]:
        """Returns the row of a table; what is unknown is left empty."""
        quantiles = (self.find_quantile(10), self.find_quantile(19))
        first = ('' if q is None else f'{q:.3f}' for q in quantiles)
        in_time = self.ended['completed'] - self.ended['late']
        counts = (
            in_time,
            self.ended['late'],
            self.ended['failed'],
            self.ended['cancelled'],
            self.open,
            self.stopped.total(),
            self.ended_badly.total(),
        )
        return (
            self.queue,
            str(self.accepted),
            str(self.refused.total()),
            *first,
            *map(str, counts),
        )


class Reporter:
    """Makes reports of lines in the order of their times."""

    def __init__(self) -> None:
        self._reports: dict[str, QueueReport] = {}
        self._queues: dict[str, str] = {}
        self._accepted_at: dict[str, datetime.datetime] = {}
        self._started: set[str] = set()
        self._ended: set[str] = set()

    def _find(self, queue: str) -> QueueReport:
        return self._reports.setdefault(queue, QueueReport(queue))

    def _find_of(self, job: str) -> QueueReport:
        return self._find(self._queues.get(job, UNKNOWN_QUEUE))

    def take(self, line: dict[str, Any]) -> None:
        """Takes in a line; most tell nothing here."""
        message = str(line.get('message', ''))
        take = _TAKERS.get(message.partition(' ')[0].rstrip(':.'))
        if take is not None:
            take(self, line, message)

    def _take_accepted(self, line: dict[str, Any], _: str) -> None:
        job, queue = line.get('job'), line.get('queue')
        if not job or not queue or job in self._queues:
            return
        self._queues[job] = queue
        self._accepted_at[job] = _parse_time(line)
        self._find(queue).accepted += 1

    def _take_refused(self, line: dict[str, Any], _: str) -> None:
        kind = str(line.get('kind', ''))
        self._find(UNKNOWN_QUEUE).refused[kind] += 1

    def _take_starts(self, line: dict[str, Any], _: str) -> None:
        tasks = [start[0] for start in line.get('starts', ())]
        # Daemons of an earlier version write a line for each task.
        for task in tasks or [line.get('task', '')]:
            self._take_start(line, str(task).partition('.')[0])

    def _take_start(self, line: dict[str, Any], job: str) -> None:
        if job in self._started or job not in self._accepted_at:
            return
        self._started.add(job)
        waited = _parse_time(line) - self._accepted_at[job]
        # The clocks of two hosts may differ by more than a start takes.
        seconds = max(0.0, waited.total_seconds())
        self._find_of(job).first_starts.append(seconds)

    def _take_stop(self, line: dict[str, Any], message: str) -> None:
        if 'task' in line:
            reason = message.partition(': ')[2].rstrip('.')
            self._find_of(_get_job(line)).stopped[reason] += 1

    def _take_end(self, line: dict[str, Any], message: str) -> None:
        how = message.partition(': ')[2].rstrip('.')
        if how in DAMAGED:
            self._find_of(_get_job(line)).ended_badly[how] += 1

    def _take_job(self, line: dict[str, Any], message: str) -> None:
        job, took = line.get('job', ''), line.get('took')
        if took is None or job in self._ended:
            return
        # An owner that is replaced before its row is written may tell it too.
        self._ended.add(job)
        state = message.rpartition(' ')[2].rstrip('.')
        report = self._find(line.get('queue', UNKNOWN_QUEUE))
        report.ended[state] += 1
        objective = line.get('objective')
        is_late = objective is not None and took > objective
        if state == 'completed' and is_late:
            report.ended['late'] += 1

    def list_all(self) -> list[QueueReport]:
        """Lists the reports, by queue."""
        return [self._reports[name] for name in sorted(self._reports)]


_TAKERS = {
    'Accepted': Reporter._take_accepted,
    'Refused': Reporter._take_refused,
    'Starting': Reporter._take_starts,
    'Stopping': Reporter._take_stop,
    'Ended': Reporter._take_end,
    'Job': Reporter._take_job,
}
"""What is done with a line, by the first word of its message."""


def _get_job(line: dict[str, Any]) -> str:
    return str(line.get('task', '')).partition('.')[0]


def _parse_time(line: dict[str, Any]) -> datetime.datetime:
    return datetime.datetime.fromisoformat(str(line['time']))


def _has_time(line: dict[str, Any]) -> bool:
    try:
        _parse_time(line)
    except (KeyError, ValueError):
        return False
    return True


def make_reports(lines: Iterable[dict[str, Any]]) -> list[QueueReport]:
    """Makes the reports of log lines of any number of daemons."""
    reporter = Reporter()
    timed = (line for line in lines if _has_time(line))
    for line in sorted(timed, key=lambda line: str(line['time'])):
        reporter.take(line)
    return reporter.list_all()


def _read_all(names: Iterable[str]) -> Iterator[dict[str, Any]]:
    for name in names:
        yield from read_lines(name)


async def report(session: Session) -> ExitStatus:
    """Shows what became of the jobs of each queue."""
    reports = make_reports(_read_all(session.options.files))
    if not reports:
        raise NotFoundError('no line tells of a job or a request')
    write_items(
        [found.make_document() for found in reports],
        HEADER,
        [found.make_row() for found in reports],
        session.options.output,
        session.env,
    )
    return ExitStatus.OK
