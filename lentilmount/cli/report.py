"""Summarizes the jobs of each queue from the log lines of daemons.

After an incident, the on-call engineer needs to find out which queue was
affected and why: refused requests, a long wait for the first start, runs that
ended early, or late jobs.
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
"""Used for refusals, whose log lines name no queue, and for jobs accepted
before the logs begin."""

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

FAILED_RUN_ENDS = ('failed', 'lapsed', 'broken', 'alone')
"""Results of runs that ended unfinished without a stop command."""


@attrs.define
class QueueReport:
    """Summary of the jobs of one queue.

    Attributes:
      queue: Name of the queue.
      accepted: Number of accepted jobs.
      refused: Number of refused requests, by kind of error.
      first_starts: Time from acceptance to the first start of each job, in
        seconds.
      ended: Number of ended jobs, by final state; `late` counts those of the
        completed jobs that missed their objective.
      stopped: Number of runs stopped by a command, by its reason.
      ended_badly: Number of runs that ended unfinished without a stop
        command, by result.
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
        """Number of accepted jobs whose end is not in the logs."""
        ended = self.ended.total() - self.ended['late']
        return max(0, self.accepted - ended)

    def find_quantile(self, twentieth: int) -> float | None:
        """Returns a quantile of the time to the first start, in seconds.

        Args:
          twentieth: Quantile in twentieths: 10 is the median, 19 the 95th
            percentile.

        Returns:
          The quantile, or None if no job has started.
        """
        if len(self.first_starts) < 2:
            return self.first_starts[0] if self.first_starts else None
        twentieths = statistics.quantiles(
            self.first_starts, n=20, method='inclusive'
        )
        return round(twentieths[twentieth - 1], 3)

    def make_document(self) -> dict[str, Any]:
        """Returns the summary as a JSON object."""
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
        """Returns the table row; unknown quantiles are empty."""
        quantiles = (self.find_quantile(10), self.find_quantile(19))
        first_cells = ('' if q is None else f'{q:.3f}' for q in quantiles)
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
            *first_cells,
            *map(str, counts),
        )


class ReportBuilder:
    """Builds the reports from log lines, added in order of their times."""

    def __init__(self) -> None:
        self._reports: dict[str, QueueReport] = {}
        self._queue_by_job: dict[str, str] = {}
        self._accepted_at: dict[str, datetime.datetime] = {}
        self._started_jobs: set[str] = set()
        self._ended_jobs: set[str] = set()

    def _get_report(self, queue: str) -> QueueReport:
        return self._reports.setdefault(queue, QueueReport(queue))

    def _get_job_report(self, job: str) -> QueueReport:
        return self._get_report(self._queue_by_job.get(job, UNKNOWN_QUEUE))

    def add_line(self, line: dict[str, Any]) -> None:
        """Updates the reports from a log line; ignores unrelated lines."""
        message = str(line.get('message', ''))
        handle = _HANDLERS.get(message.partition(' ')[0].rstrip(':.'))
        if handle is not None:
            handle(self, line, message)

    def _handle_accepted(self, line: dict[str, Any], _: str) -> None:
        job, queue = line.get('job'), line.get('queue')
        if not job or not queue or job in self._queue_by_job:
            return
        self._queue_by_job[job] = queue
        self._accepted_at[job] = _parse_time(line)
        self._get_report(queue).accepted += 1

    def _handle_refused(self, line: dict[str, Any], _: str) -> None:
        kind = str(line.get('kind', ''))
        self._get_report(UNKNOWN_QUEUE).refused[kind] += 1

    def _handle_starts(self, line: dict[str, Any], _: str) -> None:
        tasks = [start[0] for start in line.get('starts', ())]
        # Daemons of earlier versions log each start in a line of its own.
        for task in tasks or [line.get('task', '')]:
            self._record_start(line, str(task).partition('.')[0])

    def _record_start(self, line: dict[str, Any], job: str) -> None:
        if job in self._started_jobs or job not in self._accepted_at:
            return
        self._started_jobs.add(job)
        waited = _parse_time(line) - self._accepted_at[job]
        # The clocks of two hosts may differ by more than the time to a start.
        seconds = max(0.0, waited.total_seconds())
        self._get_job_report(job).first_starts.append(seconds)

    def _handle_stop(self, line: dict[str, Any], message: str) -> None:
        if 'task' in line:
            reason = message.partition(': ')[2].rstrip('.')
            self._get_job_report(_get_job_name(line)).stopped[reason] += 1

    def _handle_run_end(self, line: dict[str, Any], message: str) -> None:
        result = message.partition(': ')[2].rstrip('.')
        if result in FAILED_RUN_ENDS:
            self._get_job_report(_get_job_name(line)).ended_badly[result] += 1

    def _handle_job_end(self, line: dict[str, Any], message: str) -> None:
        job, took = line.get('job', ''), line.get('took')
        if took is None or job in self._ended_jobs:
            return
        # The end may be logged twice: by an owner that is replaced before it
        # has written the row, and by its successor.
        self._ended_jobs.add(job)
        state = message.rpartition(' ')[2].rstrip('.')
        report = self._get_report(line.get('queue', UNKNOWN_QUEUE))
        report.ended[state] += 1
        objective = line.get('objective')
        is_late = objective is not None and took > objective
        if state == 'completed' and is_late:
            report.ended['late'] += 1

    def list_reports(self) -> list[QueueReport]:
        """Returns the reports, sorted by queue."""
        return [self._reports[name] for name in sorted(self._reports)]


_HANDLERS = {
    'Accepted': ReportBuilder._handle_accepted,
    'Refused': ReportBuilder._handle_refused,
    'Starting': ReportBuilder._handle_starts,
    'Stopping': ReportBuilder._handle_stop,
    'Ended': ReportBuilder._handle_run_end,
    'Job': ReportBuilder._handle_job_end,
}
"""Handlers of log lines, by the first word of the message."""


def _get_job_name(line: dict[str, Any]) -> str:
    return str(line.get('task', '')).partition('.')[0]


def _parse_time(line: dict[str, Any]) -> datetime.datetime:
    return datetime.datetime.fromisoformat(str(line['time']))


def _has_time(line: dict[str, Any]) -> bool:
    try:
        _parse_time(line)
    except (KeyError, ValueError):
        return False
    return True


def build_reports(lines: Iterable[dict[str, Any]]) -> list[QueueReport]:
    """Builds the reports from the log lines of any number of daemons.

    Lines without a valid time are ignored.
    """
    builder = ReportBuilder()
    timed = (line for line in lines if _has_time(line))
    for line in sorted(timed, key=lambda line: str(line['time'])):
        builder.add_line(line)
    return builder.list_reports()


def _read_all(names: Iterable[str]) -> Iterator[dict[str, Any]]:
    for name in names:
        yield from read_lines(name)


async def report(session: Session) -> ExitStatus:
    """Shows a summary of the jobs of each queue."""
    reports = build_reports(_read_all(session.options.files))
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
