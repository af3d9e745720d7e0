"""Summarizes from log lines who waits, who is refused and who pays.

After an incident, the on-call engineer needs to find out which queue, jobs of
which size or callers of which availability zone were affected, and why: refused
requests, a long wait for the first start, runs that ended early, or late jobs.
"""

from __future__ import annotations

import collections
import math
import statistics
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from lentilmount.cli.follow import read_time
from lentilmount.cli.job_accounts import (
    AccountReader,
    JobAccount,
    Line,
    Refusal,
    is_relevant,
    parse_time,
)
from lentilmount.cli.output import write_items
from lentilmount.cli.session import Session
from lentilmount.cli.size_classes import SizeClasses
from lentilmount.cli.time_shares import TimeShares
from lentilmount.cli.traces import count_missing, read_lines
from lentilmount.errors import NotFoundError
from lentilmount.status import ExitStatus

UNKNOWN = '-'
"""Stands for a queue, a zone or a size that no log line names."""

COUNTS_HEADER = (
    'ACCEPTED',
    'REFUSED',
    'SUBMITS',
    'REFUSED-JOBS',
    'FIRST-P50',
    'FIRST-P95',
    'IN-TIME',
    'LATE',
    'FAILED',
    'CANCELLED',
    'OPEN',
    'STOPPED',
    'ENDED-BAD',
    'LATE-FIRST',
    'LATE-BETWEEN',
    'LATE-PARTLY',
    'LATE-RUNNING',
    'LATE-LOST',
    'REFUSALS',
)


@attrs.define
class GroupReport:
    """Summary of a group of jobs.

    Attributes:
      labels: What the jobs have in common, such as the name of their queue, by
        name of the property.
      accepted: Number of accepted jobs.
      refused: Number of refused requests, by kind of error.
      refused_submissions: Number of those that submit a job, by kind of error.
      refused_jobs: Ids of the jobs that were refused and never accepted.
      first_starts: Time from acceptance to the first start of each job, in
        seconds.
      ended: Number of ended jobs, by final state; `late` counts those of the
        completed jobs that missed their objective.
      open: Number of accepted jobs whose end is not in the logs.
      stopped: Number of runs stopped by a command, by its reason.
      ended_badly: Number of runs that ended unfinished without a stop
        command, by result.
      late_shares: Where the time of the late jobs went, one entry a job.
      lost_run_seconds: Sum of the time of all runs of completed jobs that did
        not finish their task.
    """

    labels: dict[str, str]
    accepted: int = 0
    refused: collections.Counter[str] = attrs.Factory(collections.Counter)
    refused_submissions: collections.Counter[str] = attrs.Factory(
        collections.Counter
    )
    refused_jobs: set[str] = attrs.Factory(set)
    first_starts: list[float] = attrs.Factory(list)
    ended: collections.Counter[str] = attrs.Factory(collections.Counter)
    open: int = 0
    stopped: collections.Counter[str] = attrs.Factory(collections.Counter)
    ended_badly: collections.Counter[str] = attrs.Factory(collections.Counter)
    late_shares: list[TimeShares] = attrs.Factory(list)
    lost_run_seconds: float = 0.0

    def add_account(self, account: JobAccount) -> None:
        """Adds what is known of a job."""
        if account.accepted_at is not None:
            self.accepted += 1
            self.open += not account.state
        if account.first_wait is not None:
            self.first_starts.append(account.first_wait)
        if account.state:
            self.ended[account.state] += 1
        if account.is_late:
            self.ended['late'] += 1
            shares = account.measure_shares()
            if shares is not None:
                self.late_shares.append(shares)
        self.stopped += account.stopped
        self.ended_badly += account.ended_badly
        self.lost_run_seconds += account.lost_run_seconds

    def add_refusal(self, refusal: Refusal, is_job_lost: bool) -> None:
        """Adds a refused request.

        Args:
          refusal: The request.
          is_job_lost: Whether its job was never accepted.
        """
        self.refused[refusal.kind] += 1
        self.refused_submissions[refusal.kind] += refusal.is_submission
        if is_job_lost:
            self.refused_jobs.add(refusal.job)

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

    def average_late_shares(self) -> dict[str, float] | None:
        """Returns mean seconds of a late job by share; None without any."""
        if not self.late_shares:
            return None
        shares = [attrs.asdict(entry) for entry in self.late_shares]
        return {
            name: round(statistics.fmean(entry[name] for entry in shares), 3)
            for name in shares[0]
        }

    def make_document(self) -> dict[str, Any]:
        """Returns the summary as a JSON object."""
        return {
            **self.labels,
            'accepted': self.accepted,
            'refused': dict(self.refused),
            'refused_submissions': dict(+self.refused_submissions),
            'refused_jobs': len(self.refused_jobs),
            'first_start_p50': self.find_quantile(10),
            'first_start_p95': self.find_quantile(19),
            'ended': dict(self.ended),
            'open': self.open,
            'stopped': dict(self.stopped),
            'ended_badly': dict(self.ended_badly),
            'late_time': self.average_late_shares(),
            'lost_run_seconds': round(self.lost_run_seconds, 3),
        }

    def make_row(self) -> tuple[str, ...]:
        """Returns the table row; what is not known is empty."""
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
        late_time = self.average_late_shares() or {}
        share_names = [field.name for field in attrs.fields(TimeShares)]
        refusals = sorted((+self.refused_submissions).items())
        return (
            *self.labels.values(),
            str(self.accepted),
            str(self.refused.total()),
            str(self.refused_submissions.total()),
            str(len(self.refused_jobs)),
            _format_seconds(self.find_quantile(10)),
            _format_seconds(self.find_quantile(19)),
            *map(str, counts),
            *(_format_seconds(late_time.get(name)) for name in share_names),
            ', '.join(f'{kind} {count}' for kind, count in refusals),
        )


def _format_seconds(seconds: float | None) -> str:
    return '' if seconds is None else f'{seconds:.3f}'


@attrs.frozen
class JobProperties:
    """The properties by which jobs and refused requests are grouped.

    Attributes:
      queue: Name of the queue.
      zone: Availability zone of the daemon that the caller reached.
      size: Name of the size class within the queue.
    """

    queue: str
    zone: str
    size: str


GROUPINGS: dict[str, tuple[str, ...]] = {
    'queue': ('queue',),
    'size': ('queue', 'size'),
    'zone': ('zone', 'queue'),
}
"""Properties that identify a group, by value of the option `--by`."""

DEFAULT_GROUPING = 'queue'


@attrs.define
class GroupedReports:
    """Reports of the groups of jobs.

    Attributes:
      names: Properties that identify a group.
    """

    names: tuple[str, ...]
    _reports: dict[tuple[str, ...], GroupReport] = attrs.Factory(dict)

    def get(self, properties: JobProperties) -> GroupReport:
        """Returns the report of the group with these properties."""
        labels = {name: getattr(properties, name) for name in self.names}
        return self._reports.setdefault(
            tuple(labels.values()), GroupReport(labels)
        )

    def list_sorted(self) -> list[GroupReport]:
        """Returns the reports, sorted by their labels."""
        return [self._reports[key] for key in sorted(self._reports)]


def build_reports(
    lines: Iterable[Line],
    grouping: str = DEFAULT_GROUPING,
    since: float = -math.inf,
    until: float = math.inf,
) -> list[GroupReport]:
    """Builds the reports from the log lines of any number of daemons.

    Lines without a valid time are ignored.

    Args:
      lines: The log lines.
      grouping: Key of `GROUPINGS`.
      since: Unix time in seconds; only jobs and requests that arrived since
        then count.
      until: The same, for those that arrived before then.
    """
    reader = AccountReader()
    relevant = (line for line in lines if is_relevant(line))
    for line in sorted(relevant, key=parse_time):
        reader.add_line(line)
    accounts = [
        account
        for account in reader.accounts.values()
        if _is_counted(account, since, until)
    ]
    sizes = SizeClasses(accounts)
    reports = GroupedReports(GROUPINGS[grouping])
    for account in accounts:
        properties = JobProperties(
            account.queue or UNKNOWN,
            account.zone or UNKNOWN,
            sizes.find(account) or UNKNOWN,
        )
        reports.get(properties).add_account(account)
    for refusal in reader.refusals:
        if since <= refusal.time < until:
            known = reader.accounts.get(refusal.job, JobAccount(refusal.job))
            _add_refusal(reports, refusal, known, sizes)
    return reports.list_sorted()


def _is_counted(account: JobAccount, since: float, until: float) -> bool:
    """Returns whether a job arrived in a span and has anything to report.

    A job that arrived before the logs begin counts without a beginning only.
    """
    if account.accepted_at is not None:
        return since <= account.accepted_at < until
    has_events = account.state or account.stopped or account.ended_badly
    return since == -math.inf and bool(has_events)


def _add_refusal(
    reports: GroupedReports,
    refusal: Refusal,
    account: JobAccount,
    sizes: SizeClasses,
) -> None:
    properties = JobProperties(
        refusal.queue or account.queue or UNKNOWN,
        refusal.zone or UNKNOWN,
        sizes.find(account) or UNKNOWN,
    )
    # A job without a line of its acceptance may be older than the logs.
    is_known = account.accepted_at is not None or bool(account.runs)
    is_job_lost = refusal.is_submission and not is_known
    reports.get(properties).add_refusal(refusal, is_job_lost)


def add_zones(lines: list[Line]) -> None:
    """Adds the zone of the daemon to the lines of a file that lack it.

    Daemons of earlier versions name their zone only when they start. Lines of
    daemons of several zones in one file stay as they are.
    """
    started = (line for line in lines if line.get('message') == 'Started.')
    zones = {str(line['zone']) for line in started if 'zone' in line}
    if len(zones) != 1:
        return
    zone = zones.pop()
    for line in lines:
        line.setdefault('zone', zone)


def _read_all(session: Session) -> Iterator[Line]:
    for name in session.options.files:
        missing = 0
        lines = []
        for line in read_lines(name):
            missing += count_missing(line)
            if is_relevant(line) or line.get('message') == 'Started.':
                lines.append(line)
        if missing:
            print(f'{name}: {missing} lines left out', file=session.env.stderr)
        add_zones(lines)
        yield from lines


def _read_bound(option: str, text: str, default: float) -> float:
    """Parses an option that holds a time; returns Unix time in seconds."""
    milliseconds = read_time(option, text)
    return milliseconds / 1000 if milliseconds else default


async def report(session: Session) -> ExitStatus:
    """Shows a summary of the jobs of each group."""
    options = session.options
    reports = build_reports(
        _read_all(session),
        options.by,
        _read_bound('--since', options.since, -math.inf),
        _read_bound('--until', options.until, math.inf),
    )
    if not reports:
        raise NotFoundError('no line tells of a job or a request')
    names = (name.upper() for name in GROUPINGS[options.by])
    write_items(
        [found.make_document() for found in reports],
        (*names, *COUNTS_HEADER),
        [found.make_row() for found in reports],
        options.output,
        session.env,
    )
    return ExitStatus.OK
